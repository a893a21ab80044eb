//! Reads a request from a connection.

use std::io::{self, Read as _};
use std::net::TcpStream;

use super::body_of;
use crate::stub_servers::http::header;

/// Path prefixes of requests that are answered with a stream of events.
const STREAM_PATHS: [&str; 2] = ["/stream/", "/once/"];

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request id; `None` if the head has no id header.
    pub id: Option<String>,
    pub(super) is_head: bool,
    pub(super) is_stream: bool,
    /// The id of the event after which a stream is resumed.
    pub(super) last_event: u64,
    /// `Content-Length` of the body; `None` if the head has no valid one.
    pub length: Option<usize>,
    is_chunked: bool,
}

impl RequestHead {
    /// Reads a head; `None` if the connection ends. `buffer` keeps the bytes that follow it.
    pub(super) fn read(
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        id_header: &str,
    ) -> Option<RequestHead> {
        let head = read_until(stream, buffer, b"\r\n\r\n").ok()?;
        Some(RequestHead::parse(
            &String::from_utf8_lossy(&head),
            id_header,
        ))
    }

    /// Parses a head; `id_header` is the name of the header that contains the request's id.
    #[must_use]
    pub fn parse(text: &str, id_header: &str) -> RequestHead {
        let header = |name: &str| header(text, name).map(str::to_string);
        let is_stream_path = |path: &str| STREAM_PATHS.iter().any(|start| path.starts_with(start));
        RequestHead {
            id: header(&id_header.to_ascii_lowercase()),
            is_head: text.starts_with("HEAD "),
            is_stream: text.split(' ').nth(1).is_some_and(is_stream_path),
            last_event: header("last-event-id")
                .and_then(|event| event.parse().ok())
                .unwrap_or(0),
            length: header("content-length").and_then(|length| length.parse().ok()),
            is_chunked: header("transfer-encoding").is_some(),
        }
    }

    /// Reads the body; returns whether it is the one made for this request.
    pub(super) fn read_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> io::Result<bool> {
        let body = if self.is_chunked {
            read_chunks(stream, buffer)?
        } else {
            read_exactly(stream, buffer, self.length.unwrap_or(0))?
        };
        Ok(body == body_of(self.id.as_deref().unwrap_or(""), body.len()))
    }
}

/// Reads more bytes into the buffer.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        length => {
            buffer.extend_from_slice(&bytes[..length]);
            Ok(())
        }
    }
}

/// Reads up to and including a delimiter.
fn read_until(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    delimiter: &[u8],
) -> io::Result<Vec<u8>> {
    loop {
        let found = buffer
            .windows(delimiter.len())
            .position(|bytes| bytes == delimiter);
        if let Some(start) = found {
            return Ok(buffer.drain(..start + delimiter.len()).collect());
        }
        fill(stream, buffer)?;
    }
}

fn read_exactly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    Ok(buffer.drain(..length).collect())
}

/// Reads a body with `Transfer-Encoding: chunked` and returns it without its framing.
fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_until(stream, buffer, b"\r\n")?;
        let size = String::from_utf8_lossy(&line).trim().to_string();
        let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
        body.extend(read_exactly(stream, buffer, size)?);
        read_exactly(stream, buffer, 2)?;
        if size == 0 {
            return Ok(body);
        }
    }
}
