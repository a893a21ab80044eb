//! Parses and validates the head of a client's request, in the order that the platform's protocol
//! prescribes.

use actix_http::header::{CONTENT_LENGTH, HeaderValue};
use actix_http::{HttpMessage as _, Request};
use ironmast_balancer::{ClassId, Effect, Micros, TenantId};
use ironmast_settings::DeploymentSettings;
use ironmast_transport::body::MAX_BODY_BYTES;

/// Exclusive upper bound of `X-Remaining`, in µs (about 11.6 days). No real deadline is longer, and
/// the bound keeps clock arithmetic from overflowing.
const MAX_REMAINING_TIME: Micros = 1_000_000_000_000;

/// Reason for which a request is invalid. The message is the body of the HTTP response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The first segment of the path is not the name of a request class.
    #[error("no such class")]
    UnknownClass,
    /// The request class requires another method.
    #[error("method not allowed")]
    MethodNotAllowed {
        /// The only method that the class allows.
        allowed: &'static str,
    },
    /// `X-Txn`, the transaction ID, is missing or empty.
    #[error("X-Txn is missing")]
    MissingTxn,
    /// The request class requires a key by which servers drop duplicates.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// `X-Remaining` is not a number with a unit, or exceeds the permitted maximum.
    #[error("X-Remaining is malformed")]
    MalformedRemaining,
    /// `Content-Length` exceeds [`MAX_BODY_BYTES`].
    #[error("the body is over 32 MB")]
    BodyTooLong,
    /// The client disconnected, or exceeded a limit, before the end of the body.
    #[error("the body is incomplete")]
    IncompleteBody,
}

/// Validated head of a request.
pub(super) struct RequestHead {
    /// Request class.
    pub class: ClassId,
    /// Tenant named by `X-Org`, if it is configured.
    pub tenant: Option<TenantId>,
    /// Whether the method is safe: the request may be retried freely, and has no body.
    pub is_safe: bool,
    /// Path and query, unchanged.
    pub target: String,
    /// Hash of the subject, for session affinity.
    pub subject: Option<u64>,
    /// Transaction ID that the client assigned to the request (`X-Txn`).
    pub txn: Vec<u8>,
    /// Key by which servers drop duplicates (`Idempotency-Key`).
    pub idempotency_key: Option<Vec<u8>>,
    /// How long the client waits, in µs, counted from the last byte of the request.
    pub client_timeout: Micros,
    /// Whether the client marks the request as a retry (`X-Resent: 1`).
    pub is_client_retry: bool,
    /// Body length from `Content-Length`; `None` if it is absent or not a number.
    pub content_length: Option<u64>,
}

impl RequestHead {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// [`RequestError`] for the first violation, in the order of the platform's protocol.
    pub(super) fn parse(
        request: &Request,
        deployment: &DeploymentSettings,
    ) -> Result<Self, RequestError> {
        let class = class_of(request, deployment)?;
        let settings = &deployment.settings.classes[class];
        let is_safe = settings.effect == Effect::Idempotent;
        check_method(request, is_safe)?;
        let txn = txn(request)?;
        let idempotency_key = idempotency_key(request, settings.effect)?;
        let client_timeout = client_timeout(request)?.unwrap_or(settings.deadline);
        let content_length = content_length(request)?;
        Ok(RequestHead {
            class,
            tenant: tenant(request, deployment),
            is_safe,
            target: target(request),
            subject: subject(request),
            txn,
            idempotency_key,
            client_timeout,
            is_client_retry: header(request, "X-Resent") == Some(b"1"),
            content_length,
        })
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a [u8]> {
    request.headers().get(name).map(HeaderValue::as_bytes)
}

/// Looks up the request class by the first segment of the path.
fn class_of(request: &Request, deployment: &DeploymentSettings) -> Result<ClassId, RequestError> {
    let path = request.path().trim_start_matches('/');
    let first_segment = path.split('/').next().unwrap_or("");
    deployment
        .classes
        .iter()
        .position(|class| class == first_segment)
        .ok_or(RequestError::UnknownClass)
}

fn check_method(request: &Request, is_safe: bool) -> Result<(), RequestError> {
    let allowed = if is_safe { "GET" } else { "POST" };
    if request.method().as_str() == allowed {
        Ok(())
    } else {
        Err(RequestError::MethodNotAllowed { allowed })
    }
}

fn txn(request: &Request) -> Result<Vec<u8>, RequestError> {
    header(request, "X-Txn")
        .filter(|txn| !txn.is_empty())
        .map(<[u8]>::to_vec)
        .ok_or(RequestError::MissingTxn)
}

fn idempotency_key(request: &Request, effect: Effect) -> Result<Option<Vec<u8>>, RequestError> {
    let key = header(request, "Idempotency-Key").map(<[u8]>::to_vec);
    if matches!(effect, Effect::Deduplicated { .. }) && key.is_none() {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(key)
}

/// Parses `X-Remaining`: how long the client still waits, in µs.
fn client_timeout(request: &Request) -> Result<Option<Micros>, RequestError> {
    header(request, "X-Remaining")
        .map(|value| parse_remaining(value).ok_or(RequestError::MalformedRemaining))
        .transpose()
}

/// Parses `480m` (milliseconds) or `480000u` (microseconds).
fn parse_remaining(value: &[u8]) -> Option<Micros> {
    let (unit, number) = value.split_last()?;
    let micros_per_unit = match unit {
        b'm' => 1_000,
        b'u' => 1,
        _ => return None,
    };
    // `parse` would accept a leading sign.
    if !number.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let number: Micros = std::str::from_utf8(number).ok()?.parse().ok()?;
    number
        .checked_mul(micros_per_unit)
        .filter(|&remaining| remaining < MAX_REMAINING_TIME)
}

fn tenant(request: &Request, deployment: &DeploymentSettings) -> Option<TenantId> {
    let organization = header(request, "X-Org");
    deployment
        .tenants
        .iter()
        .position(|tenant| organization == Some(tenant.as_bytes()))
}

fn content_length(request: &Request) -> Result<Option<u64>, RequestError> {
    let length = header(request, CONTENT_LENGTH.as_str())
        .and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
    if length.is_some_and(|length: u64| length > MAX_BODY_BYTES as u64) {
        return Err(RequestError::BodyTooLong);
    }
    Ok(length)
}

/// Value of the first query parameter `k` that is a number.
fn subject(request: &Request) -> Option<u64> {
    let query = request.uri().query().unwrap_or("");
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("k=")?.parse().ok())
}

fn target(request: &Request) -> String {
    let target = request.uri().path_and_query();
    target.map_or("/", |target| target.as_str()).to_string()
}

#[cfg(test)]
mod tests;
