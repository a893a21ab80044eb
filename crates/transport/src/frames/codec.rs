//! Frames on the wire: a length of four bytes, big endian, and so many bytes.
//!
//! tokio-util's `LengthDelimitedCodec` is not used: it takes a connection that ends right behind a
//! length for one that ends between frames.

use bytes::{Buf as _, BufMut as _, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use super::{FrameError, LinkErrorKind};

/// Bytes of a length.
const LENGTH: usize = 4;

/// Reads and writes frames up to a bound.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    /// A frame holds no more bytes than this.
    pub(crate) most: usize,
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = LinkErrorKind;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<BytesMut>, LinkErrorKind> {
        let Some(&length) = bytes.first_chunk::<LENGTH>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(length) as usize;
        // Guards the memory against lengths that are noise.
        if length > self.most {
            return Err(FrameError::TooLong { most: self.most }.into());
        }
        if bytes.len() < LENGTH + length {
            bytes.reserve(LENGTH + length - bytes.len());
            return Ok(None);
        }
        bytes.advance(LENGTH);
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
            .filter(|_| frame.len() <= self.most);
        let length = length.ok_or(FrameError::TooLong { most: self.most })?;
        bytes.reserve(LENGTH + frame.len());
        bytes.put_u32(length);
        bytes.put_slice(&frame);
        Ok(())
    }
}
