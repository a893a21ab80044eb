//! The framing of HTTP/1.1 responses (RFC 9112, sections 4 to 7): where the head of a response
//! ends, how its body is delimited, and which bytes belong to it.
//!
//! [`parse_head`] finds the final head; a [`BodyTracker`] then finds the end of the body. Neither
//! changes the bytes.

mod body;
mod chunked;
mod head;
mod progress;

pub(crate) use body::{BodyFraming, BodyTracker};
pub(crate) use head::{FramingRules, Head, header_values, keep_alive_timeout, parse_head};
pub(crate) use progress::Progress;

#[cfg(test)]
mod tests;
