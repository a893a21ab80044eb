//! A model server that responds to each request immediately.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// The head of a request.
pub(crate) struct Request {
    pub path: String,
    id: String,
}

impl Request {
    fn parse(head: &str) -> Self {
        let header = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("x-ironmast-request-id")
                .then(|| value.to_string())
        });
        Request {
            path: head.split(' ').nth(1).unwrap_or_default().to_string(),
            id: header.unwrap_or_default(),
        }
    }
}

/// Starts a server that runs until the test process exits; returns its address.
pub(crate) fn start() -> SocketAddr {
    start_with("i-1".to_string(), |_| String::new())
}

/// Starts a server like [`start`] with an incarnation id. `on_request` returns further header lines
/// for the response to a request.
pub(crate) fn start_with(
    instance: String,
    on_request: impl Fn(&Request) -> String + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let at = listener.local_addr().expect("an address");
    let handler = Arc::new((instance, on_request));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || respond(stream, &handler.0, &handler.1));
        }
    });
    at
}

fn respond(mut stream: TcpStream, instance: &str, on_request: &impl Fn(&Request) -> String) {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..length]);
        while let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let request = Request::parse(&String::from_utf8_lossy(&received[..end]));
            received.drain(..end + 4);
            let headers = on_request(&request);
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: {}\r\nX-Ironmast-Server-Signature: s.1\r\n\
                 X-Ironmast-Instance-Id: {instance}\r\n{headers}Content-Length: 5\r\n\r\nhello",
                request.id
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}
