//! Bodies of requests and responses: buffered while they are short, streamed where they are long.
//!
//! - [`BodyMemory`] bounds the memory of all streamed bodies together.
//! - [`MinRateTimer`] enforces the minimum rate at which a client sends a request body.
//! - [`StreamedRequestBody`] and [`ResponseBody`] are the bodies themselves.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;

mod memory;
mod min_rate;
mod request;
mod response;

pub use memory::{BodyMemory, BodyMemoryPermit};
pub use min_rate::{MinRateStream, MinRateTimer};
pub use request::StreamedRequestBody;
pub use response::{ResponseBody, StreamedResponseBody};

/// A body of up to this many bytes is buffered: it can be validated and sent again.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The longest body, in bytes: 32 MB whether counted in powers of 2 or of 10, and some for framing.
pub const MAX_BODY_BYTES: usize = 36 << 20;

/// The chunks of a body as they arrive; an error where the body is aborted.
pub type BodyChunks = Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>;
