//! A client that sends one request and reports how its response ended.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use super::{TIMEOUT, body_of};

/// The size of the largest chunk of a request, in bytes.
const MAX_CHUNK: usize = 1_000;

/// The body of a request and its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// No body.
    None,
    /// A body of this length with `Content-Length`.
    Sized(usize),
    /// A body of this length in chunks of up to 1,000 bytes.
    Chunked(usize),
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Name of the header with the request id.
    pub id_header: &'a str,
    /// Request id, from which the body is made ([`body_of`]).
    pub id: &'a str,
    /// Further header lines, each with its line end.
    pub headers: &'a str,
    /// Body and its framing.
    pub body: RequestBody,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The response is complete.
    Complete,
    /// The response ended early, which the client can detect.
    Truncated,
    /// No head arrived.
    None,
}

/// What a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status; 0 if there was no head.
    pub status: u16,
    /// The head in lower case.
    pub head: String,
    /// The received part of the body, without its framing.
    pub body: String,
    /// How the response ended.
    pub ending: Ending,
}

impl ClientResponse {
    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        crate::stub_servers::http::header(&self.head, name)
    }
}

/// Sends a request on a connection of its own and reads the response.
///
/// # Errors
/// The address is not a loopback address, or the connection fails.
pub fn exchange(address: SocketAddr, request: &ClientRequest<'_>) -> io::Result<ClientResponse> {
    crate::require_loopback(address)?;
    let mut stream = TcpStream::connect(address)?;
    send(&mut stream, request)?;
    Ok(receive(
        &mut stream,
        &mut Vec::new(),
        request.method == "HEAD",
    ))
}

/// Sends a request. Writing stops without an error if the server closes the connection before.
///
/// # Errors
/// A socket option cannot be set.
pub fn send(stream: &mut TcpStream, request: &ClientRequest<'_>) -> io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_nodelay(true)?;
    // The response shows whether the request has arrived.
    let _ = stream.write_all(&request.encode());
    Ok(())
}

impl ClientRequest<'_> {
    /// The bytes of the request.
    fn encode(&self) -> Vec<u8> {
        let ClientRequest {
            method,
            target,
            id_header,
            id,
            headers,
            body,
        } = self;
        let framing = match body {
            RequestBody::None => String::new(),
            RequestBody::Sized(length) => format!("Content-Length: {length}\r\n"),
            RequestBody::Chunked(_) => "Transfer-Encoding: chunked\r\n".into(),
        };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: a.example\r\n{id_header}: {id}\r\n\
             {headers}{framing}\r\n"
        );
        let mut bytes = head.into_bytes();
        match body {
            RequestBody::None => {}
            RequestBody::Sized(length) => bytes.extend(body_of(id, *length)),
            RequestBody::Chunked(length) => {
                for chunk in body_of(id, *length).chunks(MAX_CHUNK) {
                    bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
            }
        }
        bytes
    }
}

/// Reads the final response, after any interim ones; `buffer` keeps the bytes that follow it.
/// `to_head` states that the request's method is HEAD, so that the response has no body.
pub fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>, to_head: bool) -> ClientResponse {
    let mut response = ClientResponse {
        status: 0,
        head: String::new(),
        body: String::new(),
        ending: Ending::None,
    };
    while response.status < 200 {
        let Some(head) = read_until(stream, buffer, b"\r\n\r\n") else {
            return response;
        };
        response.head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let status = response.head.split(' ').nth(1);
        response.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    }
    let body = if to_head || matches!(response.status, 204 | 304) {
        Body::complete(Vec::new())
    } else {
        read_body(stream, buffer, &response)
    };
    response.body = String::from_utf8_lossy(&body.bytes).into_owned();
    response.ending = body.ending;
    response
}

/// The received part of a body.
struct Body {
    bytes: Vec<u8>,
    ending: Ending,
}

impl Body {
    fn complete(bytes: Vec<u8>) -> Body {
        Body {
            bytes,
            ending: Ending::Complete,
        }
    }

    fn truncated(bytes: Vec<u8>) -> Body {
        Body {
            bytes,
            ending: Ending::Truncated,
        }
    }
}

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, response: &ClientResponse) -> Body {
    if response.header("transfer-encoding").is_some() {
        return read_chunks(stream, buffer);
    }
    let length: usize = response
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer) {
            return Body::truncated(std::mem::take(buffer));
        }
    }
    Body::complete(buffer.drain(..length).collect())
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Body {
    let mut body = Vec::new();
    loop {
        let Some(line) = read_until(stream, buffer, b"\r\n") else {
            return Body::truncated(body);
        };
        let Ok(size) = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16) else {
            return Body::truncated(body);
        };
        while buffer.len() < size + 2 {
            if !fill(stream, buffer) {
                return Body::truncated(body);
            }
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
        if size == 0 {
            return Body::complete(body);
        }
    }
}

/// Reads up to and including a delimiter; `None` if the connection ends before it.
fn read_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, delimiter: &[u8]) -> Option<Vec<u8>> {
    loop {
        let found = buffer
            .windows(delimiter.len())
            .position(|bytes| bytes == delimiter);
        if let Some(start) = found {
            return Some(buffer.drain(..start + delimiter.len()).collect());
        }
        if !fill(stream, buffer) {
            return None;
        }
    }
}

/// Reads more bytes into the buffer; returns whether there were any.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 16 * 1024];
    let length = stream.read(&mut bytes).unwrap_or(0);
    buffer.extend_from_slice(&bytes[..length]);
    length > 0
}
