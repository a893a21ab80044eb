//! The codec of frames: a length of four bytes, big endian, followed by that many bytes.
//!
//! tokio-util's `LengthDelimitedCodec` is not used, because it treats a connection that ends right
//! after a length as one that ends between two frames.

use bytes::{Buf as _, BufMut as _, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use super::{FrameError, LinkErrorKind};

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Reads and writes frames up to a maximum length.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    /// Maximum length of a frame's payload in bytes.
    pub(crate) max_bytes: usize,
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = LinkErrorKind;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<BytesMut>, LinkErrorKind> {
        let Some(&length) = bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(length) as usize;
        // Bounds the memory that is reserved when the bytes are not a length, such as those of
        // another protocol.
        if length > self.max_bytes {
            return Err(FrameError::TooLong {
                max_bytes: self.max_bytes,
            }
            .into());
        }
        if bytes.len() < LENGTH_BYTES + length {
            bytes.reserve(LENGTH_BYTES + length - bytes.len());
            return Ok(None);
        }
        bytes.advance(LENGTH_BYTES);
        Ok(Some(bytes.split_to(length)))
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> Result<Option<BytesMut>, LinkErrorKind> {
        match self.decode(bytes)? {
            None if !bytes.is_empty() => Err(FrameError::Truncated.into()),
            frame => Ok(frame),
        }
    }
}

impl Encoder<Vec<u8>> for FrameCodec {
    type Error = LinkErrorKind;

    fn encode(&mut self, frame: Vec<u8>, bytes: &mut BytesMut) -> Result<(), LinkErrorKind> {
        let length = u32::try_from(frame.len())
            .ok()
            .filter(|_| frame.len() <= self.max_bytes);
        let length = length.ok_or(FrameError::TooLong {
            max_bytes: self.max_bytes,
        })?;
        bytes.reserve(LENGTH_BYTES + frame.len());
        bytes.put_u32(length);
        bytes.put_slice(&frame);
        Ok(())
    }
}
