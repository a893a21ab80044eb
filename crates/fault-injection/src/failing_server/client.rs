//! A client that sends one request and says how its answer ended.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use super::{PATIENCE, body_of};

/// How a request's body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// There is none.
    None,
    /// With its length.
    Sized(usize),
    /// In chunks of up to 1,000 bytes.
    Chunked(usize),
}

/// A request.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// The header that names it.
    pub id_header: &'a str,
    /// Its id.
    pub id: &'a str,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    /// Its body.
    pub body: RequestBody,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is complete.
    Complete,
    /// It ended early, which the client can detect.
    Truncated,
    /// None came.
    None,
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status; 0 where there was no head.
    pub status: u16,
    /// The head, in lower case.
    pub head: String,
    /// The body without its framing, as far as it came.
    pub body: String,
    /// How it ended.
    pub ending: Ending,
}

impl ClientResponse {
    /// The value of a header, its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        crate::stub_servers::http::header(&self.head, name)
    }
}

/// Sends a request on a connection of its own.
///
/// # Errors
/// The system's, where no connection comes up.
pub fn exchange(to: SocketAddr, request: &ClientRequest<'_>) -> io::Result<ClientResponse> {
    crate::loopback(to)?;
    let mut stream = TcpStream::connect(to)?;
    send(&mut stream, request)?;
    Ok(receive(
        &mut stream,
        &mut Vec::new(),
        request.method == "HEAD",
    ))
}

/// Sends a request. One that is answered before it is written whole is not written further.
///
/// # Errors
/// The system's, where a time-out can't be set.
pub fn send(stream: &mut TcpStream, request: &ClientRequest<'_>) -> io::Result<()> {
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_nodelay(true)?;
    let ClientRequest {
        method,
        target,
        id_header,
        id,
        headers,
        body,
    } = request;
    let framing = match body {
        RequestBody::None => String::new(),
        RequestBody::Sized(length) => format!("Content-Length: {length}\r\n"),
        RequestBody::Chunked(_) => "Transfer-Encoding: chunked\r\n".into(),
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: a.example\r\n{id_header}: {id}\r\n{headers}{framing}\r\n"
    );
    let mut bytes = head.into_bytes();
    match body {
        RequestBody::None => {}
        RequestBody::Sized(length) => bytes.extend(body_of(id, *length)),
        RequestBody::Chunked(length) => {
            for chunk in body_of(id, *length).chunks(1_000) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    // What comes back tells.
    let _ = stream.write_all(&bytes);
    Ok(())
}

/// Reads the final answer; `buffer` keeps what follows it.
pub fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>, to_head: bool) -> ClientResponse {
    let mut got = ClientResponse {
        status: 0,
        head: String::new(),
        body: String::new(),
        ending: Ending::None,
    };
    loop {
        let Some(end) = find(stream, buffer, b"\r\n\r\n") else {
            return got;
        };
        got.head =
            String::from_utf8_lossy(&buffer.drain(..end).collect::<Vec<u8>>()).to_ascii_lowercase();
        got.status = got
            .head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        if got.status >= 200 {
            break;
        }
    }
    let (body, whole) = if to_head || matches!(got.status, 204 | 304) {
        (Vec::new(), true)
    } else {
        read_body(stream, buffer, &got)
    };
    got.body = String::from_utf8_lossy(&body).into_owned();
    got.ending = if whole {
        Ending::Complete
    } else {
        Ending::Truncated
    };
    got
}

fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    got: &ClientResponse,
) -> (Vec<u8>, bool) {
    if got.header("transfer-encoding").is_some() {
        return read_chunks(stream, buffer);
    }
    let length: usize = got
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if !more(stream, buffer) {
            return (std::mem::take(buffer), false);
        }
    }
    (buffer.drain(..length).collect(), true)
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(stream, buffer, b"\r\n") else {
            return (body, false);
        };
        let line: Vec<u8> = buffer.drain(..end).collect();
        let Ok(size) = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16) else {
            return (body, false);
        };
        while buffer.len() < size + 2 {
            if !more(stream, buffer) {
                return (body, false);
            }
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
        if size == 0 {
            return (body, true);
        }
    }
}

/// Where the bytes looked for end; none where the connection ends before.
fn find(stream: &mut TcpStream, buffer: &mut Vec<u8>, wanted: &[u8]) -> Option<usize> {
    loop {
        if let Some(at) = buffer.windows(wanted.len()).position(|part| part == wanted) {
            return Some(at + wanted.len());
        }
        if !more(stream, buffer) {
            return None;
        }
    }
}

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut part = [0; 16 * 1024];
    let bytes = stream.read(&mut part).unwrap_or(0);
    buffer.extend_from_slice(&part[..bytes]);
    bytes > 0
}
