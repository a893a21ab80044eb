//! Encodes records into a reused buffer.

use postcard::ser_flavors::Flavor;
use serde::Serialize;

/// Encodes a record into `buffer`; its content is replaced, its memory reused.
pub(crate) fn encode<R: Serialize>(record: &R, mut buffer: Vec<u8>) -> postcard::Result<Vec<u8>> {
    buffer.clear();
    postcard::serialize_with_flavor(record, Buffer(buffer))
}

/// A postcard flavor that copies whole slices: the one for any [`Extend`] copies byte by byte in
/// unoptimised builds.
struct Buffer(Vec<u8>);

impl Flavor for Buffer {
    type Output = Vec<u8>;

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        self.0.extend_from_slice(data);
        Ok(())
    }

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.0.push(data);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<Vec<u8>> {
        Ok(self.0)
    }
}
