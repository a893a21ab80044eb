//! An HTTP client that works on the bytes of its connection, so that a test can send partial requests
//! and see how a response is framed.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use super::messages::{END_OF_CHUNKS, content_length, event};

/// A client connection to the gate.
pub(crate) struct Client {
    stream: TcpStream,
    /// Bytes that were received and not returned yet.
    buffered: String,
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("the gate accepts");
        Client {
            stream,
            buffered: String::new(),
        }
    }

    /// Writes these bytes to the connection.
    pub(crate) async fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gate reads");
    }

    /// Sends a complete `POST` request with the body `question` and a deadline of 20 s.
    pub(crate) async fn send_request(&mut self, target: &str, id: &str) {
        self.send_request_with(target, id, "").await;
    }

    /// Sends the request of [`Client::send_request`] with additional header lines.
    pub(crate) async fn send_request_with(&mut self, target: &str, id: &str, headers: &str) {
        let body = "question";
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: {id}\r\n\
             X-Ironmast-Deadline-Ms: 20000\r\nContent-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        self.write(&request).await;
    }

    /// Sends one of the platform's readiness checks; returns the head of the response.
    pub(crate) async fn check_readiness(&mut self) -> String {
        self.write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            .await;
        self.read_response().await.0
    }

    /// Reads the bytes that arrive next; returns false if the connection is closed.
    async fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        let count = self.stream.read(&mut chunk).await.unwrap_or(0);
        self.buffered
            .push_str(std::str::from_utf8(&chunk[..count]).expect("text"));
        count > 0
    }

    /// Reads up to and including `end`.
    pub(crate) async fn read_until(&mut self, end: &str) -> String {
        while !self.buffered.contains(end) {
            assert!(
                self.read_more().await,
                "the connection closed before {end:?} arrived; unread: {:?}",
                self.buffered
            );
        }
        let length = self.buffered.find(end).expect("found above") + end.len();
        let rest = self.buffered.split_off(length);
        std::mem::replace(&mut self.buffered, rest)
    }

    /// Reads the head of a response; returns it in lower case.
    pub(crate) async fn read_head(&mut self) -> String {
        self.read_until("\r\n\r\n").await.to_ascii_lowercase()
    }

    /// Reads up to and including the event with this id.
    pub(crate) async fn read_event(&mut self, id: u64) -> String {
        self.read_until(&event(id)).await
    }

    /// Reads up to and including the last chunk of a stream.
    pub(crate) async fn read_end_of_stream(&mut self) -> String {
        self.read_until(&format!("\r\n{END_OF_CHUNKS}")).await
    }

    /// Reads a head and a body of the length that the head announces.
    pub(crate) async fn read_response(&mut self) -> (String, String) {
        let head = self.read_head().await;
        let length = content_length(&head).unwrap_or(0);
        while self.buffered.len() < length {
            assert!(
                self.read_more().await,
                "the connection closed within the body"
            );
        }
        let rest = self.buffered.split_off(length);
        (head, std::mem::replace(&mut self.buffered, rest))
    }

    /// Reads until the gate closes the connection.
    pub(crate) async fn read_to_end(&mut self) -> String {
        while self.read_more().await {}
        std::mem::take(&mut self.buffered)
    }
}
