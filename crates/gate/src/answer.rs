//! Answers to clients: the gate's own, a server's whole, and one that flows.

use std::io;
use std::pin::Pin;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream};
use ironmast_routing::Rejection;
use ironmast_transport::connection::ActiveRequest;
use tokio::sync::mpsc;

/// Parts of an answer that wait for their client.
const WAITING_MOST: usize = 32;

/// What a client gets.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The request has not run and never will.
    Refused(Rejection),
    /// It failed here; nothing is promised.
    Failed(StatusCode),
    /// A server's, whole.
    Whole(Head, Bytes),
    /// A server's, as it arrives.
    Flowing(Head, Option<u64>, Flow),
}

/// The head of a server's answer.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// Its status.
    pub status: StatusCode,
    /// Its headers for the client.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// A part of an answer that flows.
#[derive(Debug)]
enum Part {
    Bytes(Bytes),
    End,
}

/// Where the parts of an answer come from. It looks whole only if [`Outlet::end`] was called.
#[derive(Debug)]
pub(crate) struct Flow(mpsc::Receiver<Part>);

/// Where the parts of an answer go.
#[derive(Debug)]
pub(crate) struct Outlet(mpsc::Sender<Part>);

/// The client has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Left;

/// An answer that flows; dropping the outlet breaks it off.
pub(crate) fn flow() -> (Outlet, Flow) {
    let (sender, receiver) = mpsc::channel(WAITING_MOST);
    (Outlet(sender), Flow(receiver))
}

impl Outlet {
    /// Passes bytes on.
    ///
    /// # Errors
    /// The client has left.
    pub(crate) async fn pass(&self, bytes: Bytes) -> Result<(), Left> {
        self.0.send(Part::Bytes(bytes)).await.map_err(|_| Left)
    }

    /// The answer is whole.
    pub(crate) async fn end(self) {
        let _ = self.0.send(Part::End).await;
    }

    /// Returns when the client has left.
    pub(crate) async fn left(&self) {
        self.0.closed().await;
    }
}

/// The bytes of a flow; an error where it was broken off.
fn stream_of(receiver: mpsc::Receiver<Part>) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Part::Bytes(bytes)) => Some((Ok(bytes), Some(receiver))),
            Some(Part::End) => None,
            None => {
                // What was passed on before goes out first: an error ends the connection as it
                // stands.
                tokio::task::yield_now().await;
                Some((Err(io::ErrorKind::ConnectionAborted.into()), None))
            }
        }
    })
}

/// The same; `active` keeps the connection busy until it is over.
fn parts(
    flow: Flow,
    active: ActiveRequest,
) -> Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>> {
    Box::pin(stream_of(flow.0).inspect(move |_| _ = &active))
}

/// The answer as it goes out; `active` keeps its connection busy until then.
pub(crate) fn response(answer: Answer, active: ActiveRequest) -> Response<BoxBody> {
    match answer {
        Answer::Refused(refusal) => refused(refusal.status.code(), &refusal.retry_after_seconds()),
        Answer::Failed(status) => Response::new(status),
        Answer::Whole(head, body) => with_head(head, BoxBody::new(body)),
        Answer::Flowing(head, None, flow) => {
            with_head(head, BoxBody::new(BodyStream::new(parts(flow, active))))
        }
        Answer::Flowing(head, Some(length), flow) => with_head(
            head,
            BoxBody::new(SizedStream::new(length, parts(flow, active))),
        ),
    }
}

/// A refusal with the time after which it is of use to come back, in s.
pub(crate) fn refused(status: u16, after: &str) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::new(status);
    if let Ok(after) = HeaderValue::from_str(after) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

fn with_head(head: Head, body: BoxBody) -> Response<BoxBody> {
    let mut response = Response::with_body(head.status, body);
    for (name, value) in head.headers {
        response.headers_mut().append(name, value);
    }
    response
}

#[cfg(test)]
mod tests;
