//! Responses to clients. Statuses, headers and bodies are defined by the platform's protocol.

use actix_http::body::{BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::header::{ALLOW, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt as _;
use ironmast_balancer::Micros;
use ironmast_transport::body::StreamedResponseBody;
use ironmast_transport::connection::ActiveRequest;

use super::request_head::RequestError;

/// Response to a readiness check: 200 if the process is ready, otherwise 503.
pub(super) fn readiness(is_ready: bool) -> Response<BoxBody> {
    if is_ready {
        response(StatusCode::OK, "ready\n")
    } else {
        response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no list of servers is held\n",
        )
    }
}

/// Response to an invalid request. Closes the connection, because an unread body would be parsed as
/// the next request, and to slow down clients that repeat the request at full speed.
pub(super) fn invalid_request(error: &RequestError) -> Response<BoxBody> {
    let status = match error {
        RequestError::UnknownClass => StatusCode::NOT_FOUND,
        RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
        RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
        RequestError::MissingTxn
        | RequestError::MissingIdempotencyKey
        | RequestError::MalformedRemaining
        | RequestError::IncompleteBody => StatusCode::BAD_REQUEST,
    };
    let mut response = response(status, format!("{error}\n"));
    if let RequestError::MethodNotAllowed { allowed } = error {
        response
            .headers_mut()
            .insert(ALLOW, HeaderValue::from_static(allowed));
    }
    close_after(response)
}

/// Response to a request whose `X-Txn` is already open, in this process or in the other of a hot
/// restart. Closes the connection.
pub(super) fn conflict() -> Response<BoxBody> {
    close_after(response(
        StatusCode::CONFLICT,
        "a request of that X-Txn is open\n",
    ))
}

/// Response with the unchanged, complete body of a server's response.
pub(super) fn buffered(body: Bytes) -> Response<BoxBody> {
    response(StatusCode::OK, body)
}

/// Response that streams the unchanged body of a server's response. `active` keeps the connection
/// marked as busy until the body ends.
pub(super) fn streamed(body: StreamedResponseBody, active: ActiveRequest) -> Response<BoxBody> {
    let length = body.length;
    let body = body.inspect(move |_| _ = &active);
    match length {
        Some(length) => response(StatusCode::OK, SizedStream::new(length, body)),
        None => response(StatusCode::OK, BodyStream::new(body)),
    }
}

/// Response to a request that was not executed, so that a retry is safe. A `retry_after` above 0 µs
/// is sent as `Retry-After`.
///
/// # Panics
/// Never: a decimal number is a valid header value.
pub(super) fn rejected(retry_after: Option<Micros>) -> Response<BoxBody> {
    let mut response = response(
        StatusCode::SERVICE_UNAVAILABLE,
        Bytes::from_static(b"refused\n"),
    );
    if let Some(retry_after) = retry_after.filter(|&delay| delay > 0) {
        let seconds = format!("{:.3}", retry_after as f64 / 1e6);
        let value =
            HeaderValue::from_str(&seconds).expect("a decimal number is a valid header value");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Response to a request that failed and may have been executed.
pub(super) fn failed() -> Response<BoxBody> {
    response(StatusCode::BAD_GATEWAY, "failed\n")
}

fn response(status: StatusCode, body: impl MessageBody + 'static) -> Response<BoxBody> {
    Response::with_body(status, body).map_into_boxed_body()
}

fn close_after(mut response: Response<BoxBody>) -> Response<BoxBody> {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}
