//! One attempt at a server: the request goes out, the head of the answer comes back, and what
//! either means.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use awc::ClientResponse;
use awc::error::{PayloadError, SendRequestError};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};
use ironmast_routing::{Dispatch, LoadReport, Micros, Outcome};
use ironmast_transport::attempt::{
    Admission, AttemptOptions, AttemptState, Delivery, ExpectedHeader,
};

use crate::head::{self, Forward};
use crate::upstream::Upstream;

/// The stamp of the server that made an answer.
const SIGNATURE: &str = "x-ironmast-server-signature";
/// The server did not run the request and never will.
const NOT_EXECUTED: &str = "x-ironmast-not-executed";
/// The incarnation that answers.
pub(crate) const INSTANCE_ID: &str = "x-ironmast-instance-id";
/// Requests running and waiting, and slots.
const SERVER_LOAD: &str = "x-ironmast-server-load";
/// The body of an answer that nobody wants is read up to this many bytes, and for this long, so
/// that its connection can be used again.
const DISCARDED_MOST: usize = 16 * 1024;
const DISCARDED_WITHIN: Duration = Duration::from_millis(100);
/// The longest wait of a server that is taken at its word, in s.
const RETRY_AFTER_MOST: f64 = 60.0;

/// What the head of an answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Meaning {
    /// It is served, once the body is whole.
    Success,
    /// The server has dealt with it otherwise; its answer may go to the client.
    Settled(Outcome),
    /// It has not run, or what came is no answer.
    Ended(Outcome),
}

/// An answer that has begun.
pub(crate) struct Begun {
    /// Its status.
    pub status: StatusCode,
    /// Its headers for the client.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// What its head means.
    pub meaning: Meaning,
    /// What the server says of its load.
    pub load: Option<LoadReport>,
    /// Its length, where it is told.
    pub length: Option<u64>,
    /// It is a series of events.
    pub is_events: bool,
    /// It has a body, if an empty one.
    has_body: bool,
    state: Rc<AttemptState>,
    body: ClientResponse,
}

/// A body as far as it was held.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Held {
    /// What has come.
    pub bytes: Bytes,
    /// It is all.
    pub whole: bool,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// How the attempt ended without one.
pub(crate) async fn begin(
    upstream: &Upstream,
    forward: &Forward,
    dispatch: &Dispatch,
    deadline_ms: u64,
    admission: Admission,
) -> Result<Begun, Outcome> {
    let expected = ExpectedHeader {
        name: head::REQUEST_ID,
        value: forward.id.clone(),
    };
    let state = AttemptState::new(AttemptOptions {
        delivery: Delivery::PassThrough,
        admission: Some(admission),
        start_deadline: None,
        expected: Some(expected),
        without_body: forward.method == actix_http::Method::HEAD,
    });
    let url = format!("http://{}{}", dispatch.address, forward.target);
    let mut call = upstream
        .client(dispatch.address)
        .request(forward.method.clone(), url)
        .no_decompress();
    for (name, value) in &forward.headers {
        call = call.append_header((name.clone(), value.clone()));
    }
    call = call
        .insert_header((head::DEADLINE, deadline_ms.to_string()))
        .insert_header((head::EXPECT_INSTANCE, dispatch.expect_instance.as_ref()))
        .insert_header((head::PRIORITY, dispatch.priority.to_string()));
    if let Some(event) = dispatch.resume_after {
        call = call.insert_header((head::LAST_EVENT, event.to_string()));
    }
    // The poller's turn first: the close of an idle connection is seen before it would be written
    // to.
    tokio::task::yield_now().await;
    let sending = if forward.body.is_empty() {
        state.scope(call.send()).await
    } else {
        state.scope(call.send_body(forward.body.clone())).await
    };
    match sending {
        Ok(answer) => Ok(Begun::new(answer, state, forward, dispatch)),
        Err(error) => Err(unsent(&error, &state)),
    }
}

/// How an attempt ended that got no head.
fn unsent(error: &SendRequestError, state: &AttemptState) -> Outcome {
    match error {
        SendRequestError::Connect(_) if state.bytes_written() == 0 => Outcome::ConnectFailed,
        _ if state.bytes_written() == 0 => Outcome::NotSent,
        _ if state.malformed().is_some() => Outcome::MalformedResponse,
        _ => Outcome::Reset,
    }
}

impl Begun {
    fn new(
        answer: ClientResponse,
        state: Rc<AttemptState>,
        forward: &Forward,
        dispatch: &Dispatch,
    ) -> Self {
        let (status, headers) = (answer.status(), answer.headers());
        let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        Begun {
            status,
            headers: head::returned(headers),
            meaning: meaning(
                status,
                headers,
                forward.expects_version,
                &dispatch.expect_instance,
            ),
            load: headers.get(SERVER_LOAD).and_then(load),
            length: text(headers, header::CONTENT_LENGTH.as_str())
                .and_then(|value| value.parse().ok()),
            is_events: text(headers, header::CONTENT_TYPE.as_str())
                .is_some_and(|value| value.starts_with("text/event-stream")),
            has_body: !bodiless && forward.method != actix_http::Method::HEAD,
            state,
            body: answer,
        }
    }

    /// The next part of the body; none at its proper end.
    ///
    /// # Errors
    /// It broke off, or what came is no answer.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Outcome> {
        if !self.has_body {
            return Ok(None);
        }
        match self.body.next().await {
            Some(Ok(part)) => Ok(Some(part)),
            Some(Err(error)) => Err(self.broken(&error)),
            None => Ok(None),
        }
    }

    /// Holds the body up to `most` bytes.
    ///
    /// # Errors
    /// As for [`Begun::next`].
    pub(crate) async fn hold(&mut self, most: usize) -> Result<Held, Outcome> {
        let mut bytes = BytesMut::new();
        while bytes.len() <= most {
            match self.next().await? {
                Some(part) => bytes.extend_from_slice(&part),
                None => {
                    return Ok(Held {
                        bytes: bytes.freeze(),
                        whole: true,
                    });
                }
            }
        }
        Ok(Held {
            bytes: bytes.freeze(),
            whole: false,
        })
    }

    /// Reads the rest of an answer that nobody wants, where it is short: its connection is used
    /// again then.
    pub(crate) fn discard(mut self) {
        let work = async move { _ = self.hold(DISCARDED_MOST).await };
        let mut work = Box::pin(tokio::time::timeout(DISCARDED_WITHIN, work));
        if (&mut work).now_or_never().is_none() {
            actix_rt::spawn(work);
        }
    }

    fn broken(&self, _error: &PayloadError) -> Outcome {
        match self.state.malformed() {
            Some(_) => Outcome::MalformedResponse,
            None => Outcome::Reset,
        }
    }
}

/// What a head means. A success counts only with its server's stamp and an untouched body.
fn meaning(
    status: StatusCode,
    headers: &HeaderMap,
    expects_version: bool,
    instance: &str,
) -> Meaning {
    let not_executed = headers.contains_key(NOT_EXECUTED);
    if status == StatusCode::MISDIRECTED_REQUEST {
        let same = text(headers, INSTANCE_ID) == Some(instance);
        return Meaning::Ended(if expects_version && same {
            Outcome::WrongVersion
        } else {
            Outcome::WrongInstance
        });
    }
    if not_executed && !status.is_success() {
        return match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Meaning::Ended(Outcome::NotExecuted {
                    retry_after: retry_after(headers),
                })
            }
            status if status.is_client_error() => Meaning::Settled(Outcome::ClientError),
            _ => Meaning::Ended(Outcome::NotExecuted {
                retry_after: retry_after(headers),
            }),
        };
    }
    if status.is_success() {
        let counts =
            headers.contains_key(SIGNATURE) && !headers.contains_key(header::CONTENT_ENCODING);
        return if counts {
            Meaning::Success
        } else {
            Meaning::Ended(Outcome::MalformedResponse)
        };
    }
    if status.is_server_error() {
        Meaning::Settled(Outcome::ServerError)
    } else {
        Meaning::Settled(Outcome::ClientError)
    }
}

/// Whether a status promises that the request has not run.
pub(crate) fn promises(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = text(headers, header::RETRY_AFTER.as_str())?.parse().ok()?;
    (seconds >= 0.0).then(|| (seconds.min(RETRY_AFTER_MOST) * 1e6) as Micros)
}

/// `running,waiting,slots`.
pub(crate) fn load(value: &HeaderValue) -> Option<LoadReport> {
    let mut numbers = value
        .to_str()
        .ok()?
        .split(',')
        .map(|number| number.trim().parse::<u32>().ok());
    let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some(LoadReport {
        running,
        waiting,
        slots: Some(slots),
        kv_cache: None,
    })
}

#[cfg(test)]
mod tests;
