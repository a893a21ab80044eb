//! What the head of a client's request says, and what of it goes on to servers.

use actix_http::Method;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use bytes::Bytes;
use ironmast_routing::{Micros, PromptPart};

/// The try's own id.
pub(crate) const REQUEST_ID: &str = "x-ironmast-request-id";
/// What the client will wait, in ms.
pub(crate) const DEADLINE: &str = "x-ironmast-deadline-ms";
/// The incarnation that alone may run a request.
pub(crate) const EXPECT_INSTANCE: &str = "x-ironmast-expect-instance";
/// The version of the weights that alone may serve a request.
pub(crate) const EXPECT_VERSION: &str = "expect-version";
/// Its rank at the server.
pub(crate) const PRIORITY: &str = "priority";
/// The event after which a stream is taken up.
pub(crate) const LAST_EVENT: &str = "last-event-id";
const MODEL: &str = "x-ironmast-model";
const USAGE: &str = "x-ironmast-token-usage";
const PREFIX: &str = "x-ironmast-prompt-prefix";

/// The longest deadline that is taken at its word, in ms.
const DEADLINE_MOST: u64 = 86_400_000;

/// A client's request as servers get it.
#[derive(Debug)]
pub(crate) struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its headers, without those of its connection and those that each attempt sets.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Its id.
    pub id: Option<Vec<u8>>,
    /// It asks for weights of one version.
    pub expects_version: bool,
    /// Its body.
    pub body: Bytes,
}

/// What the decisions need of a head.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Hints {
    /// What the client will wait.
    pub deadline: Option<Micros>,
    /// The model's name.
    pub model: Box<str>,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt, and of the answer at the most.
    pub tokens: (u64, u64),
    /// The event after which the client takes a stream up again.
    pub last_event: Option<u64>,
}

impl Hints {
    /// Reads a head; what can't be read is as if it weren't there.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::trim)
        };
        let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
        Hints {
            deadline: number(DEADLINE).map(|ms| ms.min(DEADLINE_MOST) * 1_000),
            model: text(MODEL).unwrap_or("").into(),
            parts: text(PREFIX).map(parts).unwrap_or_default(),
            tokens: text(USAGE).and_then(usage).unwrap_or_default(),
            last_event: number(LAST_EVENT),
        }
    }
}

/// The parts of a prompt: `ID:TOKENS` separated by commas, the id in hex. None where one can't be
/// read.
fn parts(value: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    value
        .split(',')
        .map(part)
        .collect::<Option<Vec<_>>>()
        .unwrap_or_default()
}

/// Tokens in and out, separated by a comma.
fn usage(value: &str) -> Option<(u64, u64)> {
    let (tokens_in, tokens_out) = value.split_once(',')?;
    Some((
        tokens_in.trim().parse().ok()?,
        tokens_out.trim().parse().ok()?,
    ))
}

/// The headers of a request that every attempt at it repeats.
pub(crate) fn forwarded(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let named = named_by_connection(headers);
    let set_here = [DEADLINE, EXPECT_INSTANCE, PRIORITY, LAST_EVENT];
    let goes = |name: &HeaderName| {
        let name = name.as_str();
        !is_hop_by_hop(name) && !set_here.contains(&name) && !named.iter().any(|hop| hop == name)
    };
    let kept = headers.iter().filter(|(name, _)| goes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The headers of an answer that its client gets.
pub(crate) fn returned(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let named = named_by_connection(headers);
    let goes = |name: &HeaderName| {
        !is_hop_by_hop(name.as_str()) && !named.iter().any(|hop| hop.as_str() == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| goes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Headers that `Connection` names as its own.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Headers that concern a single connection or the framing on it.
fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "transfer-encoding",
        "upgrade",
    ];
    NAMES.contains(&name) || name == "trailer"
}

#[cfg(test)]
mod tests;
