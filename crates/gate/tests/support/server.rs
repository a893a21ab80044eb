//! A server whose every answer the test writes.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A server.
pub(crate) struct Server {
    pub instance: String,
    pub address: SocketAddr,
    asked: mpsc::UnboundedReceiver<Asked>,
}

/// A request at a server.
pub(crate) struct Asked {
    head: String,
    pub body: String,
    stream: TcpStream,
}

impl Server {
    pub(crate) async fn start(instance: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let (to, asked) = mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let to = to.clone();
                actix_rt::spawn(async move {
                    if let Some(asked) = Asked::read(stream).await {
                        let _ = to.send(asked);
                    }
                });
            }
        });
        Server {
            instance: instance.to_string(),
            address,
            asked,
        }
    }

    /// The next request on a new connection.
    pub(crate) async fn asked(&mut self) -> Asked {
        self.asked.recv().await.expect("the server runs")
    }

    /// Whether no request has come.
    pub(crate) fn is_idle(&mut self) -> bool {
        self.asked.try_recv().is_err()
    }
}

impl Asked {
    async fn read(mut stream: TcpStream) -> Option<Asked> {
        let mut read = String::new();
        let head_ends = loop {
            if let Some(at) = read.find("\r\n\r\n") {
                break at + 4;
            }
            more(&mut stream, &mut read).await?;
        };
        let head = read[..head_ends].to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(Some(0), |length| length.parse().ok())?;
        while read.len() < head_ends + length {
            more(&mut stream, &mut read).await?;
        }
        Some(Asked {
            head,
            body: read[head_ends..].to_string(),
            stream,
        })
    }

    /// The value of a header, its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The first line.
    pub(crate) fn line(&self) -> &str {
        self.head.lines().next().unwrap_or("")
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gate reads");
    }

    /// A head with the request's id and a stamp.
    pub(crate) async fn head(&mut self, status: &str, more: &str) {
        let id = self
            .header("x-ironmast-request-id")
            .unwrap_or("")
            .to_string();
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Ironmast-Request-Id: {id}\r\nX-Ironmast-Server-Signature: stamp\r\n{more}\r\n"
        );
        self.write(&head).await;
    }

    /// A whole answer.
    pub(crate) async fn answer(&mut self, status: &str, more: &str, body: &str) {
        self.head(status, &format!("Content-Length: {}\r\n{more}", body.len()))
            .await;
        self.write(body).await;
    }

    /// The head of a stream of events.
    pub(crate) async fn begin_events(&mut self) {
        self.head(
            "200 OK",
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        )
        .await;
    }

    /// The next request on the same connection.
    pub(crate) async fn again(self) -> Asked {
        Asked::read(self.stream).await.expect("another request")
    }

    /// Waits until the gate closes the connection.
    pub(crate) async fn closed(mut self) {
        let mut scratch = String::new();
        while more(&mut self.stream, &mut scratch).await.is_some() {}
    }
}

async fn more(stream: &mut TcpStream, read: &mut String) -> Option<()> {
    let mut part = [0; 4096];
    let count = stream
        .read(&mut part)
        .await
        .ok()
        .filter(|count| *count > 0)?;
    read.push_str(std::str::from_utf8(&part[..count]).ok()?);
    Some(())
}
