//! Classifies the head of a server's response.
//!
//! Two mistakes must be avoided: treating a response as a success that no server of the fleet has
//! signed, and retrying a request that may have been executed.

use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap};
use ironmast_routing::{Micros, Outcome};

use crate::headers;

/// The longest `Retry-After` that is respected, in s; longer ones are reduced to it.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// What is done with a response, according to its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ResponseClass {
    /// The request is served once the body is complete.
    Success,
    /// The server responded with an error; that response may be forwarded to the client.
    Forwardable(Outcome),
    /// The request was not executed, or the response is invalid; the response is discarded.
    Discarded(Outcome),
}

/// Classifies the head of a response. A success counts only if it is signed by its server and not
/// content-encoded.
pub(super) fn classify(
    status: StatusCode,
    headers: &HeaderMap,
    expects_version: bool,
    expected_instance: &str,
) -> ResponseClass {
    if status == StatusCode::MISDIRECTED_REQUEST {
        let is_same_instance =
            headers::text(headers, headers::INSTANCE_ID) == Some(expected_instance);
        return ResponseClass::Discarded(if expects_version && is_same_instance {
            Outcome::WrongVersion
        } else {
            Outcome::WrongInstance
        });
    }
    if status.is_success() {
        return classify_success(headers);
    }
    if headers.contains_key(headers::NOT_EXECUTED) {
        return classify_not_executed(status, headers);
    }
    ResponseClass::Forwardable(if status.is_server_error() {
        Outcome::ServerError
    } else {
        Outcome::ClientError
    })
}

fn classify_success(headers: &HeaderMap) -> ResponseClass {
    let is_valid = is_signed(headers) && !headers.contains_key(header::CONTENT_ENCODING);
    if is_valid {
        ResponseClass::Success
    } else {
        ResponseClass::Discarded(Outcome::MalformedResponse)
    }
}

/// Whether the response has exactly one signature. The gate can't verify a signature, only check
/// that there is one.
fn is_signed(headers: &HeaderMap) -> bool {
    let mut signatures = headers.get_all(headers::SERVER_SIGNATURE);
    let Some(signature) = signatures.next() else {
        return false;
    };
    let is_empty = signature.as_bytes().trim_ascii().is_empty();
    !is_empty && signatures.next().is_none()
}

/// Classifies a response that declares its request not executed. Client errors other than 429 are
/// forwarded, because every server would reject such a request.
fn classify_not_executed(status: StatusCode, headers: &HeaderMap) -> ResponseClass {
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        return ResponseClass::Forwardable(Outcome::ClientError);
    }
    ResponseClass::Discarded(Outcome::NotExecuted {
        retry_after: parse_retry_after(headers),
    })
}

/// Whether a status tells the client that the request was not executed.
pub(crate) fn implies_not_executed(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn parse_retry_after(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers::text(headers, header::RETRY_AFTER.as_str())?
        .parse()
        .ok()?;
    (seconds >= 0.0).then(|| (seconds.min(MAX_RETRY_AFTER_S) * 1e6) as Micros)
}

#[cfg(test)]
mod tests;
