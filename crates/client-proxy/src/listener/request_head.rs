//! The head of a client's request, validated step by step in the order of the platform's protocol.

use actix_http::header::{CONTENT_LENGTH, HeaderValue};
use actix_http::{HttpMessage as _, Request};
use ironmast_balancer::{ClassId, Effect, Micros, TenantId};
use ironmast_settings::DeploymentSettings;
use ironmast_transport::body::MAX_BODY_BYTES;

/// A remaining time must be below this, in µs: a longer one makes no sense for any deadline, and
/// must not overflow the clock.
const MAX_REMAINING_TIME: Micros = 1_000_000_000_000;

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// No class of requests has this path.
    #[error("no such class")]
    UnknownClass,
    /// The path requires another method.
    #[error("method not allowed")]
    MethodNotAllowed {
        /// The method that is allowed.
        allowed: &'static str,
    },
    /// The request has no name.
    #[error("X-Txn is missing")]
    MissingTxn,
    /// The class requires a key by which servers drop duplicates.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// The remaining time is not understood.
    #[error("X-Remaining is malformed")]
    MalformedRemaining,
    /// The announced body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is over 32 MB")]
    BodyTooLong,
    /// The client disconnected, or violated its limits, before the end of the body.
    #[error("the body is incomplete")]
    IncompleteBody,
}

/// The head of a valid request.
pub(super) struct RequestHead {
    /// The class.
    pub class: ClassId,
    /// The tenant, if it is a known one.
    pub tenant: Option<TenantId>,
    /// Whether the method is safe: the request may be retried freely, and has no body.
    pub is_safe: bool,
    /// Path and query, byte for byte.
    pub target: String,
    /// The hash of the subject, for affinity.
    pub subject: Option<u64>,
    /// The client's name for the request.
    pub txn: Vec<u8>,
    /// The key by which servers drop duplicates.
    pub idempotency_key: Option<Vec<u8>>,
    /// How long the client waits from the last byte of the request on.
    pub client_timeout: Micros,
    /// Whether the client says that this is a retry.
    pub is_client_retry: bool,
    /// The announced length of the body, if there is one.
    pub content_length: Option<u64>,
}

impl RequestHead {
    /// Validates the head of a request.
    ///
    /// # Errors
    /// [`RequestError`] for the first fault in the order of the protocol.
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

/// The class whose name is the first segment of the path.
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

/// How long the client says that it still waits.
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
    // Excludes a sign, which `parse` would accept.
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

/// The value of the query's first pair `k=NUMBER`.
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
