//! The HTTP headers of clients and servers: their names, and which of them the gate forwards in
//! either direction.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The id of the request, chosen by the client; responses repeat it.
pub(crate) const REQUEST_ID: &str = "x-ironmast-request-id";
/// How long the client waits for the response, in ms.
pub(crate) const DEADLINE: &str = "x-ironmast-deadline-ms";
/// The only incarnation of a server that may execute the request.
pub(crate) const EXPECT_INSTANCE: &str = "x-ironmast-expect-instance";
/// The only version of the model weights that may serve the request.
pub(crate) const EXPECT_VERSION: &str = "expect-version";
/// The priority of the request in the server's queue.
pub(crate) const PRIORITY: &str = "priority";
/// The id of the event after which a stream resumes.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// The name of the model that the request needs.
pub(crate) const MODEL: &str = "x-ironmast-model";
/// The expected numbers of input and output tokens, `INPUT,OUTPUT`.
pub(crate) const TOKEN_USAGE: &str = "x-ironmast-token-usage";
/// The parts of the prompt for prefix caching, a comma-separated list of `ID:TOKENS`.
pub(crate) const PROMPT_PREFIX: &str = "x-ironmast-prompt-prefix";
/// The signature of the server that made the response.
pub(crate) const SERVER_SIGNATURE: &str = "x-ironmast-server-signature";
/// Present if the server has not executed the request and never will.
pub(crate) const NOT_EXECUTED: &str = "x-ironmast-not-executed";
/// The incarnation id of the server that responds.
pub(crate) const INSTANCE_ID: &str = "x-ironmast-instance-id";
/// The numbers of running and waiting requests and of slots at the server,
/// `RUNNING,WAITING,SLOTS`.
pub(crate) const SERVER_LOAD: &str = "x-ironmast-server-load";
/// The remaining warm-up time of the server, in ms.
pub(crate) const WARMUP: &str = "x-ironmast-warmup-ms";

/// Headers that apply to a single connection or its message framing (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Request headers that are set for each attempt and not copied from the client.
const SET_BY_ATTEMPT: [&str; 4] = [DEADLINE, EXPECT_INSTANCE, PRIORITY, LAST_EVENT_ID];

/// The value of a header without surrounding white space, if it is visible ASCII text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

/// The headers of a client's request that every attempt sends.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    end_to_end(headers, &SET_BY_ATTEMPT)
}

/// The headers of a server's response that are forwarded to the client.
pub(crate) fn returned_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    end_to_end(headers, &[])
}

/// The headers that are neither hop-by-hop headers nor among `removed`.
fn end_to_end(headers: &HeaderMap, removed: &[&str]) -> Vec<(HeaderName, HeaderValue)> {
    let named = named_by_connection(headers);
    let is_end_to_end = |name: &str| {
        !HOP_BY_HOP.contains(&name)
            && !removed.contains(&name)
            && !named.iter().any(|hop| hop == name)
    };
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The names in the `Connection` header, in lower case.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

#[cfg(test)]
mod tests;
