//! Parses the head of a response, and the framing that it announces for the body.

use std::ops::Range;
use std::time::Duration;

use super::body::BodyFraming;
use super::chunked::ChunkedState;
use crate::body::MAX_BODY_BYTES;
use crate::malformed_response::MalformedResponse;

/// The longest head, in bytes; also the limit for the interim heads together.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest number of headers in a head.
const MAX_HEADERS: usize = 64;

/// The final head of a response, as opposed to an interim (1xx) one.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// Position of the head in the received bytes, after any interim heads.
    pub(crate) range: Range<usize>,
    pub(crate) status: u16,
    pub(crate) framing: BodyFraming,
}

/// What determines the end of a response in addition to its head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FramingRules {
    /// The request was a `HEAD`: the response has no body, whatever its head announces.
    pub(crate) without_body: bool,
    /// A body without an announced length may end with its connection even if the head does not
    /// announce the close (`Connection: close`).
    pub(crate) allow_unannounced_close: bool,
}

/// Finds the final head in the received bytes; `None` while it is incomplete.
///
/// # Errors
/// If the bytes are not the start of a well-framed response.
pub(crate) fn parse_head(
    bytes: &[u8],
    rules: FramingRules,
) -> Result<Option<Head>, MalformedResponse> {
    let mut start = 0;
    loop {
        let rest = &bytes[start..];
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(rest).map_err(|_| MalformedResponse::Head)? {
            httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => length,
            // Bounds the memory that a head without an end would take.
            _ if rest.len() > MAX_HEAD_BYTES => return Err(MalformedResponse::HeadTooLong),
            _ => return Ok(None),
        };
        let status = response.code.unwrap_or(0);
        match status {
            101 => return Err(MalformedResponse::ProtocolSwitch),
            100..=199 => start += length,
            _ => {
                return Ok(Some(Head {
                    range: start..start + length,
                    status,
                    framing: body_framing(&response, rules)?,
                }));
            }
        }
        // Bounds the memory that interim heads without an end would take.
        if start > MAX_HEAD_BYTES {
            return Err(MalformedResponse::InterimHeadsTooLong);
        }
    }
}

/// Returns how the body is delimited according to the response's head and status and the request.
fn body_framing(
    response: &httparse::Response<'_, '_>,
    rules: FramingRules,
) -> Result<BodyFraming, MalformedResponse> {
    // awc treats such a response as one without a body.
    if has_token(response, "Upgrade", "websocket") {
        return Err(MalformedResponse::ProtocolSwitch);
    }
    match (response.code, announced_framing(response)?) {
        (Some(204), BodyFraming::Chunked(_) | BodyFraming::ContentLength(1..)) => {
            Err(MalformedResponse::UnexpectedBody)
        }
        (Some(204 | 304), _) => Ok(BodyFraming::ContentLength(0)),
        _ if rules.without_body => Ok(BodyFraming::ContentLength(0)),
        // Without an announced close nothing distinguishes a complete response from an aborted one,
        // so the rules must allow it explicitly.
        (_, BodyFraming::CloseDelimited)
            if !rules.allow_unannounced_close && !has_token(response, "Connection", "close") =>
        {
            Err(MalformedResponse::Framing)
        }
        (_, framing) => Ok(framing),
    }
}

/// Returns the framing that `Content-Length` and `Transfer-Encoding` announce.
fn announced_framing(
    response: &httparse::Response<'_, '_>,
) -> Result<BodyFraming, MalformedResponse> {
    let lengths = values(response, "Content-Length");
    let codings = values(response, "Transfer-Encoding");
    match (&lengths[..], &codings[..]) {
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            // The client would wait for a huge announced length in vain.
            let length = length
                .parse()
                .ok()
                .filter(|&length: &u64| length <= MAX_BODY_BYTES as u64);
            length
                .map(BodyFraming::ContentLength)
                .ok_or(MalformedResponse::ContentLength)
        }
        // HTTP/1.0 has no transfer codings: a reader that goes by the version would take the chunk
        // framing for part of the body.
        ([], [_]) if response.version == Some(0) => Err(MalformedResponse::Framing),
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(BodyFraming::Chunked(ChunkedState::new()))
        }
        ([], []) => Ok(BodyFraming::CloseDelimited),
        _ => Err(MalformedResponse::Framing),
    }
}

/// Returns the values of a header, without surrounding whitespace. A value that is not UTF-8 is
/// returned as an empty one.
fn values<'a>(response: &httparse::Response<'_, 'a>, name: &str) -> Vec<&'a str> {
    let headers = response.headers.iter();
    headers
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| std::str::from_utf8(header.value).unwrap_or("").trim())
        .collect()
}

/// Whether one value of the header equals `token`, ignoring case.
fn has_token(response: &httparse::Response<'_, '_>, name: &str, token: &str) -> bool {
    values(response, name)
        .iter()
        .any(|value| value.eq_ignore_ascii_case(token))
}

/// Returns the values of a header in a head found by [`parse_head`].
pub(crate) fn header_values<'a>(head: &'a [u8], name: &str) -> Vec<&'a [u8]> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    if response.parse(head).is_err() {
        return Vec::new();
    }
    response
        .headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
        .collect()
}

/// Returns how long the server keeps the connection open after the response, if the head announces
/// it in the `timeout` parameter of `Keep-Alive`, which is in seconds.
pub(crate) fn keep_alive_timeout(head: &[u8]) -> Option<Duration> {
    let value = std::str::from_utf8(header_values(head, "Keep-Alive").first()?).ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout=")?.parse().ok())?;
    Some(Duration::from_secs(seconds))
}
