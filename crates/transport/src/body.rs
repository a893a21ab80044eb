//! Request and response bodies: short ones are buffered, long ones are streamed.
//!
//! - [`BodyMemory`] bounds the memory of all streamed bodies together, [`BodyBudget`] that of bodies
//!   that are held whole.
//! - [`MinRateTimer`] enforces the minimum rate at which a client sends a request body.
//! - [`StreamedRequestBody`] and [`ResponseBody`] are the bodies themselves.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;

mod budget;
mod memory;
mod min_rate;
mod request;
mod response;

pub use budget::{BodyBudget, BodyReservation, HeldBody};
pub use memory::{BodyMemory, BodyMemoryPermit};
pub use min_rate::{MinRateStream, MinRateTimer};
pub use request::StreamedRequestBody;
pub use response::{ResponseBody, StreamedResponseBody};

/// The longest body that is buffered, in bytes. A buffered body can be validated before it is
/// delivered, and sent again by a retry.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The longest body that is accepted, in bytes: 32 MB, whether counted in powers of 2 or of 10,
/// plus a margin for framing.
pub const MAX_BODY_BYTES: usize = 36 << 20;

/// The chunks of a body in the order of their arrival. An aborted body ends with an error.
pub type BodyChunks = Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>;
