//! A client's request: the parts that are forwarded to servers, and the hints in its headers that
//! the routing decisions use.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, Method, Request};
use ironmast_routing::{Micros, PromptPart};
use ironmast_transport::body::HeldBody;

use crate::headers;

/// The longest deadline that a client may set, in ms (one day); longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// A client's request as it is forwarded to servers.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    pub method: Method,
    /// The request target: path and query.
    pub target: String,
    /// The end-to-end headers, without those that each attempt sets.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The request id, which responses must repeat.
    pub id: Option<Vec<u8>>,
    /// Whether the client accepts only one version of the model weights.
    pub expects_version: bool,
    /// The complete body.
    pub body: HeldBody,
}

impl ForwardedRequest {
    /// Builds the forwarded request from the head of a client's request and its complete body.
    pub(crate) fn new(request: &Request, body: HeldBody) -> Self {
        let headers = request.headers();
        ForwardedRequest {
            method: request.method().clone(),
            target: request
                .uri()
                .path_and_query()
                .map_or("/", |target| target.as_str())
                .to_string(),
            headers: headers::forwarded_headers(headers),
            id: headers
                .get(headers::REQUEST_ID)
                .map(|id| id.as_bytes().to_vec()),
            expects_version: headers.contains_key(headers::EXPECT_VERSION),
            body,
        }
    }
}

/// The tokens that a request is expected to use.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TokenUsage {
    /// The number of tokens of the prompt.
    pub input: u64,
    /// The largest number of tokens of the response.
    pub output: u64,
}

/// The inputs to the routing decisions that a client sends in its headers.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct RequestHints {
    /// How long the client waits for the response, in µs from the start of the request.
    pub deadline: Option<Micros>,
    /// The name of the model, or the empty string.
    pub model: Box<str>,
    /// The parts of the prompt, by which servers cache prefixes.
    pub parts: Vec<PromptPart>,
    /// The expected token usage.
    pub tokens: TokenUsage,
    /// The id of the event after which the client resumes a stream.
    pub last_event: Option<u64>,
}

impl RequestHints {
    /// Parses the headers. A header that can't be parsed counts as missing.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers::text(headers, name);
        let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
        RequestHints {
            deadline: number(headers::DEADLINE).map(|ms| ms.min(MAX_DEADLINE_MS) * 1_000),
            model: text(headers::MODEL).unwrap_or("").into(),
            parts: text(headers::PROMPT_PREFIX)
                .map(parse_prompt_parts)
                .unwrap_or_default(),
            tokens: text(headers::TOKEN_USAGE)
                .and_then(parse_token_usage)
                .unwrap_or_default(),
            last_event: number(headers::LAST_EVENT_ID),
        }
    }
}

/// Parses the parts of a prompt: a comma-separated list of `ID:TOKENS`, the id in hexadecimal.
/// Returns no parts if any of them is invalid.
fn parse_prompt_parts(value: &str) -> Vec<PromptPart> {
    let parse_part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    value
        .split(',')
        .map(parse_part)
        .collect::<Option<Vec<_>>>()
        .unwrap_or_default()
}

/// Parses the value of the token usage header, `INPUT,OUTPUT`.
fn parse_token_usage(value: &str) -> Option<TokenUsage> {
    let (input, output) = value.split_once(',')?;
    Some(TokenUsage {
        input: input.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
    })
}

#[cfg(test)]
mod tests;
