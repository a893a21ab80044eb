//! A client that writes and reads bytes.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// A connection to the gate.
pub(crate) struct Client {
    stream: TcpStream,
    /// What came and was not taken yet.
    read: String,
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("the gate accepts");
        Client {
            stream,
            read: String::new(),
        }
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gate reads");
    }

    /// Sends a whole request.
    pub(crate) async fn ask(&mut self, target: &str, id: &str, more: &str) {
        let body = "question";
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: {id}\r\n\
             X-Ironmast-Deadline-Ms: 20000\r\nContent-Length: {}\r\n{more}\r\n{body}",
            body.len()
        );
        self.write(&request).await;
    }

    async fn more(&mut self) -> bool {
        let mut part = [0; 4096];
        let count = self.stream.read(&mut part).await.unwrap_or(0);
        self.read
            .push_str(std::str::from_utf8(&part[..count]).expect("text"));
        count > 0
    }

    /// Takes what comes up to and with `end`.
    pub(crate) async fn until(&mut self, end: &str) -> String {
        while !self.read.contains(end) {
            assert!(
                self.more().await,
                "closed before {end:?} came, after {:?}",
                self.read
            );
        }
        let at = self.read.find(end).expect("it is there") + end.len();
        let rest = self.read.split_off(at);
        std::mem::replace(&mut self.read, rest)
    }

    /// Takes a head.
    pub(crate) async fn head(&mut self) -> String {
        self.until("\r\n\r\n").await.to_ascii_lowercase()
    }

    /// Takes a head and the body that it tells the length of.
    pub(crate) async fn answer(&mut self) -> (String, String) {
        let head = self.head().await;
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
        while self.read.len() < length {
            assert!(self.more().await, "closed in the body");
        }
        let rest = self.read.split_off(length);
        (head, std::mem::replace(&mut self.read, rest))
    }

    /// Everything that comes until the gate closes.
    pub(crate) async fn rest(&mut self) -> String {
        while self.more().await {}
        std::mem::take(&mut self.read)
    }
}
