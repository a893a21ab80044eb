//! Encodes records into a buffer that is kept.

use postcard::ser_flavors::Flavor;
use serde::Serialize;

/// Encodes a record into `buffer`, whose old content goes but whose memory stays.
pub(crate) fn encode<R: Serialize>(record: &R, mut buffer: Vec<u8>) -> postcard::Result<Vec<u8>> {
    buffer.clear();
    postcard::serialize_with_flavor(record, Buffer(buffer))
}

/// Copies slices whole; the flavour for any [`Extend`] copies byte by byte where nothing is
/// optimised.
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
