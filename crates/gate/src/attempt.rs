//! One attempt at a server: sends the request and receives the head of the response.
//!
//! The module `classify` classifies the head, and `response` reads the body.

mod classify;
mod response;

use actix_http::Method;
use awc::ClientRequest;
use awc::error::SendRequestError;
use ironmast_routing::{Dispatch, Outcome};
use ironmast_transport::attempt::{
    AdmissionCheck, AttemptOptions, AttemptState, Delivery, ExpectedHeader,
};

use crate::headers;
use crate::request::ForwardedRequest;
use crate::upstream::UpstreamClients;

pub(crate) use classify::{ResponseClass, implies_not_executed};
pub(crate) use response::{BufferedBody, UpstreamResponse};

/// Sends a request and waits for the head of its response. `deadline_ms` is sent in the deadline
/// header; `admission` is called right before the first byte is written.
///
/// # Errors
/// The outcome of the attempt, if no head was received.
pub(crate) async fn send(
    clients: &UpstreamClients,
    forwarded: &ForwardedRequest,
    dispatch: &Dispatch,
    deadline_ms: u64,
    admission: AdmissionCheck,
) -> Result<UpstreamResponse, Outcome> {
    let state = AttemptState::new(options(forwarded, admission));
    let request = build_request(clients, forwarded, dispatch, deadline_ms);
    // Yields once, so that a connection that the server has already closed is noticed before the
    // request is written.
    tokio::task::yield_now().await;
    let sent = if forwarded.body.bytes.is_empty() {
        state.scope(request.send()).await
    } else {
        state
            .scope(request.send_body(forwarded.body.bytes.clone()))
            .await
    };
    match sent {
        Ok(response) => Ok(UpstreamResponse::new(response, state, forwarded, dispatch)),
        Err(error) => Err(send_failure(&error, &state)),
    }
}

fn options(forwarded: &ForwardedRequest, admission: AdmissionCheck) -> AttemptOptions {
    let expected = ExpectedHeader {
        name: headers::REQUEST_ID,
        value: forwarded.id.clone(),
    };
    AttemptOptions {
        delivery: Delivery::PassThrough,
        admission: Some(admission),
        start_deadline: None,
        expected: Some(expected),
        without_body: forwarded.method == Method::HEAD,
    }
}

fn build_request(
    clients: &UpstreamClients,
    forwarded: &ForwardedRequest,
    dispatch: &Dispatch,
    deadline_ms: u64,
) -> ClientRequest {
    let url = format!("http://{}{}", dispatch.address, forwarded.target);
    let mut request = clients
        .client(dispatch.address)
        .request(forwarded.method.clone(), url)
        .no_decompress();
    for (name, value) in &forwarded.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    request = request
        .insert_header((headers::DEADLINE, deadline_ms.to_string()))
        .insert_header((headers::EXPECT_INSTANCE, dispatch.expect_instance.as_ref()))
        .insert_header((headers::PRIORITY, dispatch.priority.to_string()));
    if let Some(event) = dispatch.resume_after {
        request = request.insert_header((headers::LAST_EVENT_ID, event.to_string()));
    }
    request
}

/// The outcome of an attempt for which no head was received.
fn send_failure(error: &SendRequestError, state: &AttemptState) -> Outcome {
    match error {
        SendRequestError::Connect(_) if state.bytes_written() == 0 => Outcome::ConnectFailed,
        _ if state.bytes_written() == 0 => Outcome::NotSent,
        _ if state.malformed().is_some() => Outcome::MalformedResponse,
        _ => Outcome::Reset,
    }
}
