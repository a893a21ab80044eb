//! The responses that clients get. Their statuses, headers and bodies are the platform's protocol.

use actix_http::body::{BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::header::{ALLOW, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt as _;
use ironmast_balancer::Micros;
use ironmast_transport::body::StreamedResponseBody;
use ironmast_transport::connection::ActiveRequest;

use super::request_head::RequestError;

/// Whether this process is ready for requests.
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

/// The request is invalid. Closes the connection: guards against an unread body, which would be
/// taken for the next request, and against clients that repeat the request at full speed.
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

/// A request of the same name is open in this process or in the other of a hot restart.
pub(super) fn conflict() -> Response<BoxBody> {
    close_after(response(
        StatusCode::CONFLICT,
        "a request of that X-Txn is open\n",
    ))
}

/// A server's response, unchanged.
pub(super) fn buffered(body: Bytes) -> Response<BoxBody> {
    response(StatusCode::OK, body)
}

/// A server's long response, unchanged. The connection counts as busy until its end.
pub(super) fn streamed(body: StreamedResponseBody, active: ActiveRequest) -> Response<BoxBody> {
    let length = body.length;
    let body = body.inspect(move |_| _ = &active);
    match length {
        Some(length) => response(StatusCode::OK, SizedStream::new(length, body)),
        None => response(StatusCode::OK, BodyStream::new(body)),
    }
}

/// The request was not executed. A retry is harmless, after a delay in µs if there is one.
///
/// # Panics
/// Never: a number in digits is a valid header value.
pub(super) fn rejected(retry_after: Option<Micros>) -> Response<BoxBody> {
    let mut response = response(
        StatusCode::SERVICE_UNAVAILABLE,
        Bytes::from_static(b"refused\n"),
    );
    if let Some(retry_after) = retry_after.filter(|&delay| delay > 0) {
        let seconds = format!("{:.3}", retry_after as f64 / 1e6);
        let value = HeaderValue::from_str(&seconds).expect("digits and a point");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The request failed and may have been executed.
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
