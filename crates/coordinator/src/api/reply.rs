//! HTTP statuses and bodies of outcomes. No other module maps an outcome to a status.

use std::fmt::Display;
use std::net::SocketAddr;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde::Serialize;

use crate::outcome::{
    ChangeError, ChangeOutcome, ReadError, ReadOutcome, RegistrationError, RegistrationOutcome,
    Resolution, ResolveError, ResolveOutcome,
};
use crate::value::Rejection;

/// An HTTP status with its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response body: JSON for a success, one line of text otherwise.
    pub body: Vec<u8>,
}

impl Reply {
    /// A reply with status 200 and a JSON body.
    fn json(body: impl Into<Vec<u8>>) -> Self {
        Reply {
            status: StatusCode::OK,
            body: body.into(),
        }
    }

    /// A reply with an error status and its text as one line.
    pub(crate) fn error(status: StatusCode, text: &impl Display) -> Self {
        Reply {
            status,
            body: format!("{text}\n").into_bytes(),
        }
    }
}

impl From<ChangeOutcome> for Reply {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            Ok(()) => Reply::json("{}"),
            Err(error) => Reply::error(change_status(error), &error),
        }
    }
}

fn change_status(error: ChangeError) -> StatusCode {
    match error {
        ChangeError::Rejected(Rejection::VersionMismatch) => StatusCode::PRECONDITION_FAILED,
        ChangeError::Rejected(Rejection::StaleGeneration) => StatusCode::BAD_REQUEST,
        ChangeError::OutOfContact
        | ChangeError::UnreadableConfiguration
        | ChangeError::NoQuorum
        | ChangeError::Rejected(Rejection::CallerGone)
        | ChangeError::ContactLost => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unknown | ChangeError::ContactLostAfterApply => StatusCode::GATEWAY_TIMEOUT,
    }
}

impl From<ReadOutcome> for Reply {
    fn from(outcome: ReadOutcome) -> Self {
        match outcome {
            Ok(body) => Reply::json(body),
            Err(error) => Reply::error(read_status(error), &error),
        }
    }
}

fn read_status(error: ReadError) -> StatusCode {
    match error {
        ReadError::NoConfiguration => StatusCode::NOT_FOUND,
        ReadError::OutOfContact | ReadError::NoQuorum | ReadError::ContactLost => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

impl From<RegistrationOutcome> for Reply {
    fn from(outcome: RegistrationOutcome) -> Self {
        match outcome {
            Ok(()) => Reply::json("{}"),
            Err(
                error @ (RegistrationError::OutOfContact
                | RegistrationError::UnknownServer
                | RegistrationError::NotReplicated),
            ) => Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error),
        }
    }
}

/// The JSON body of a successful resolution.
#[derive(Serialize)]
struct ResolutionBody<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

impl From<ResolveOutcome> for Reply {
    fn from(outcome: ResolveOutcome) -> Self {
        let Resolution { addresses, ttl_s } = match outcome {
            Ok(resolution) => resolution,
            Err(error @ (ResolveError::NoGate | ResolveError::UnreadableConfiguration)) => {
                return Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error);
            }
        };
        let body = ResolutionBody {
            addresses: &addresses,
            ttl_s,
        };
        serde_json::to_vec(&body).map_or_else(
            |_| Reply::error(StatusCode::INTERNAL_SERVER_ERROR, &"no answer"),
            Reply::json,
        )
    }
}

impl From<Reply> for HttpResponse {
    fn from(reply: Reply) -> Self {
        let content_type = if reply.status.is_success() {
            "application/json"
        } else {
            "text/plain"
        };
        HttpResponse::build(reply.status)
            .content_type(content_type)
            .body(reply.body)
    }
}

#[cfg(test)]
mod tests;
