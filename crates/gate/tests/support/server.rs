//! A server on loopback that hands each request to the test, which writes the response itself.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::messages::{END_OF_CHUNKS, chunk, content_length, event};

/// The header by which a server guarantees that it has not executed a request.
const NOT_EXECUTED: &str = "X-Ironmast-Not-Executed: 1\r\n";

/// A listening server. Of each connection it reads the first request itself; the test reads later
/// ones with [`ReceivedRequest::next_on_connection`].
pub(crate) struct Server {
    pub instance: String,
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<ReceivedRequest>,
}

/// A request that a server has received, and the connection on which it came.
pub(crate) struct ReceivedRequest {
    /// In lower case.
    head: String,
    pub body: String,
    stream: TcpStream,
}

impl Server {
    /// Starts a server with this instance id on a free port.
    pub(crate) async fn start(instance: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let (sender, requests) = mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                actix_rt::spawn(async move {
                    if let Some(request) = ReceivedRequest::read(stream).await {
                        let _ = sender.send(request);
                    }
                });
            }
        });
        Server {
            instance: instance.to_string(),
            address,
            requests,
        }
    }

    /// Waits for the first request of the next new connection.
    pub(crate) async fn next_request(&mut self) -> ReceivedRequest {
        self.requests
            .recv()
            .await
            .expect("the server still accepts connections")
    }

    /// True if no further connection has brought a request.
    pub(crate) fn has_no_request(&mut self) -> bool {
        self.requests.try_recv().is_err()
    }
}

impl ReceivedRequest {
    /// Reads a request; `None` if the connection ends first or the request is not UTF-8.
    async fn read(mut stream: TcpStream) -> Option<ReceivedRequest> {
        let mut text = String::new();
        let head_length = loop {
            if let Some(at) = text.find("\r\n\r\n") {
                break at + 4;
            }
            read_more(&mut stream, &mut text).await?;
        };
        let head = text[..head_length].to_ascii_lowercase();
        let body_length = content_length(&head).unwrap_or(0);
        while text.len() < head_length + body_length {
            read_more(&mut stream, &mut text).await?;
        }
        Some(ReceivedRequest {
            head,
            body: text[head_length..].to_string(),
            stream,
        })
    }

    /// The value of the header with this name, which is in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The request line in lower case.
    pub(crate) fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or("")
    }

    /// Writes these bytes to the connection.
    pub(crate) async fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gate reads");
    }

    /// Writes a response head with the request's id, a server signature and these header lines.
    pub(crate) async fn write_head(&mut self, status: &str, headers: &str) {
        let id = self
            .header("x-ironmast-request-id")
            .unwrap_or("")
            .to_string();
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Ironmast-Request-Id: {id}\r\nX-Ironmast-Server-Signature: stamp\r\n{headers}\r\n"
        );
        self.write(&head).await;
    }

    /// Writes a complete response, framed by `Content-Length`.
    pub(crate) async fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let headers = format!("Content-Length: {}\r\n{headers}", body.len());
        self.write_head(status, &headers).await;
        self.write(body).await;
    }

    /// Serves the request and keeps the connection open.
    pub(crate) async fn serve(&mut self, body: &str) {
        self.respond("200 OK", "", body).await;
    }

    /// Serves the request and announces that the connection closes, so that the gate sends the next
    /// request on a new one.
    pub(crate) async fn serve_and_close(&mut self, body: &str) {
        self.respond("200 OK", "Connection: close\r\n", body).await;
    }

    /// Rejects the request with status 503 as not executed.
    pub(crate) async fn reject(&mut self) {
        self.respond("503 Service Unavailable", NOT_EXECUTED, "")
            .await;
    }

    /// Writes the head of an event stream, with further header lines.
    pub(crate) async fn start_events(&mut self, headers: &str) {
        let headers =
            format!("{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        self.write_head("200 OK", &headers).await;
    }

    /// Writes the event with this id.
    pub(crate) async fn send_event(&mut self, id: u64) {
        self.write(&chunk(&event(id))).await;
    }

    /// Writes the end of an event stream.
    pub(crate) async fn end_events(&mut self) {
        self.write(END_OF_CHUNKS).await;
    }

    /// Waits for the next request on the same connection.
    pub(crate) async fn next_on_connection(self) -> ReceivedRequest {
        ReceivedRequest::read(self.stream)
            .await
            .expect("the gate sends another request on the connection")
    }

    /// Waits for the next request on the same connection; `None` if the connection ends first.
    pub(crate) async fn try_next_on_connection(self) -> Option<ReceivedRequest> {
        ReceivedRequest::read(self.stream).await
    }

    /// Waits until the gate closes the connection.
    pub(crate) async fn wait_until_closed(mut self) {
        self.closed().await;
    }

    /// Completes once the gate has closed the connection.
    pub(crate) async fn closed(&mut self) {
        let mut ignored = String::new();
        while read_more(&mut self.stream, &mut ignored).await.is_some() {}
    }
}

/// Reads the bytes that arrive next; `None` if the connection has ended or they are not UTF-8.
async fn read_more(stream: &mut TcpStream, text: &mut String) -> Option<()> {
    let mut chunk = [0; 4096];
    let count = stream
        .read(&mut chunk)
        .await
        .ok()
        .filter(|count| *count > 0)?;
    text.push_str(std::str::from_utf8(&chunk[..count]).ok()?);
    Some(())
}
