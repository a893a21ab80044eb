//! Fixtures of the listener tests: a listener whose service responds as the test directs, and its
//! clients.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt as _;
use ironmast_transport::body::{BodyMemory, StreamedRequestBody};
use ironmast_transport::clock::Clock;
use ironmast_transport::connection::{ActiveRequest, ClientConnection, ClientLimits};
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::listener::{IdleConnections, Listener, Service};
use ironmast_transport::request_body::{self, RequestBody, RequestBodyError};
use ironmast_transport::sockets;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Limits with timeouts that are longer than any test.
pub(crate) const LIMITS: ClientLimits = ClientLimits {
    header_timeout: 60_000_000,
    idle_timeout: 60_000_000,
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 << 20,
};

pub(crate) const GET: &str = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
pub(crate) const POST: &str = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhelloworld";

/// The path of requests that the service answers at once, without the test.
pub(crate) const IMMEDIATE_PATH: &str = "/at-once";

/// The requested size of a socket's send or receive buffer, where it must be small.
const SOCKET_BUFFER_BYTES: u32 = 2_048;
/// A test that takes longer than this has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on the runtime that actix-http needs.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("in time");
    });
}

/// The response that the test chooses for a request.
enum Reply {
    Complete(String),
    Streamed(mpsc::Receiver<Result<Bytes, io::Error>>),
}

/// A request that waits for its response.
pub(crate) struct PendingRequest {
    /// The body, if it is buffered; else empty.
    pub body: String,
    /// The body, if it is streamed.
    pub streamed_body: Option<Rc<StreamedRequestBody>>,
    reply: oneshot::Sender<Reply>,
}

impl PendingRequest {
    /// Sends a complete response.
    pub(crate) fn respond(self, text: &str) {
        drop(self.reply.send(Reply::Complete(text.to_string())));
    }

    /// Starts a streamed response.
    pub(crate) fn stream(self) -> ResponseStream {
        let (chunk_sender, chunks) = mpsc::channel(1);
        drop(self.reply.send(Reply::Streamed(chunks)));
        ResponseStream(chunk_sender)
    }

    /// Waits until the listener has dropped the handler of the request.
    pub(crate) async fn dropped(&mut self) {
        self.reply.closed().await;
    }
}

/// A response that is being streamed.
pub(crate) struct ResponseStream(mpsc::Sender<Result<Bytes, io::Error>>);

impl ResponseStream {
    pub(crate) async fn send_event(&mut self, text: &str) {
        self.0
            .send(Ok(Bytes::copy_from_slice(text.as_bytes())))
            .await
            .expect("the response is still read");
    }

    /// Completes the response.
    pub(crate) fn end(self) {
        drop(self);
    }

    /// Aborts the response, as when its source fails.
    pub(crate) async fn abort(self) {
        self.0
            .send(Err(io::ErrorKind::UnexpectedEof.into()))
            .await
            .expect("the response is still read");
    }

    /// Waits until the listener has dropped the response's body.
    pub(crate) async fn dropped(&mut self) {
        self.0.closed().await;
    }
}

/// Passes requests to the test, which chooses the responses.
pub(crate) struct ScriptedService {
    requests: mpsc::UnboundedSender<PendingRequest>,
    body_memory: BodyMemory,
}

impl Service for ScriptedService {
    async fn handle(
        &self,
        mut request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        if request.path() == IMMEDIATE_PATH {
            return Response::with_body(StatusCode::OK, "at once").map_into_boxed_body();
        }
        let length = request.headers().get("content-length");
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let payload = request.take_payload();
        let read = request_body::read(
            payload,
            length,
            64 * 1024,
            &self.body_memory,
            connection,
            || {},
        );
        let (body, streamed_body) = match read.await {
            Ok(RequestBody::Buffered(body)) => {
                (String::from_utf8(body.to_vec()).expect("text"), None)
            }
            Err(RequestBodyError::TooLong) => return empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            Err(RequestBodyError::Incomplete) => return empty_response(StatusCode::BAD_REQUEST),
            Err(RequestBodyError::OutOfMemory) => unreachable!("the body is not held whole"),
            Ok(RequestBody::Streamed(streamed_body)) => (String::new(), Some(streamed_body)),
        };
        let active = connection.mark_request_pending();
        active.set_fully_received(streamed_body.is_none());
        let (reply, reply_receiver) = oneshot::channel();
        self.requests
            .send(PendingRequest {
                body,
                streamed_body,
                reply,
            })
            .expect("the test is running");
        match reply_receiver.await {
            Ok(Reply::Complete(text)) => {
                Response::with_body(StatusCode::OK, text).map_into_boxed_body()
            }
            Ok(Reply::Streamed(chunks)) => streamed_response(chunks, active),
            Err(_) => empty_response(StatusCode::BAD_GATEWAY),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).map_into_boxed_body()
}

fn streamed_response(
    mut chunks: mpsc::Receiver<Result<Bytes, io::Error>>,
    active: ActiveRequest,
) -> Response<BoxBody> {
    let chunks = futures_util::stream::poll_fn(move |cx| chunks.poll_recv(cx));
    let body = BodyStream::new(chunks.inspect(move |_| _ = &active));
    Response::with_body(StatusCode::OK, body).map_into_boxed_body()
}

/// A running listener, its service and its address.
pub(crate) struct TestServer {
    pub listener: Rc<Listener<ScriptedService>>,
    address: SocketAddr,
    requests: Mutex<mpsc::UnboundedReceiver<PendingRequest>>,
    accepting: RefCell<Option<JoinHandle<()>>>,
    _serving: watch::Sender<bool>,
}

impl TestServer {
    pub(crate) fn start(limits: ClientLimits) -> Self {
        TestServer::start_with_descriptors(limits, 64)
    }

    /// Starts a listener that may have `descriptors` connections open.
    pub(crate) fn start_with_descriptors(limits: ClientLimits, descriptors: usize) -> Self {
        let tcp =
            sockets::listen("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
        // Accepted sockets inherit the size of the send buffer.
        rustix::net::sockopt::set_socket_send_buffer_size(&tcp, SOCKET_BUFFER_BYTES as usize)
            .expect("set");
        let address = tcp.local_addr().expect("bound");
        let (request_sender, requests) = mpsc::unbounded_channel();
        let (serving, serves) = watch::channel(true);
        let service = Rc::new(ScriptedService {
            requests: request_sender,
            body_memory: BodyMemory::new(64),
        });
        let log = Logger::root(Discard, o!());
        let listener = Listener::new(
            service,
            Clock::start(),
            log,
            DescriptorBudget::new(descriptors),
            limits,
            serves,
        );
        let accepting = actix_rt::spawn(Rc::clone(&listener).accept(Rc::new(tcp)));
        let (requests, accepting) = (Mutex::new(requests), RefCell::new(Some(accepting)));
        TestServer {
            listener,
            address,
            requests,
            accepting,
            _serving: serving,
        }
    }

    pub(crate) async fn connect(&self) -> Client {
        Client(BufReader::new(
            TcpStream::connect(self.address)
                .await
                .expect("the listener is bound"),
        ))
    }

    /// Connects a client and sends a request, which is pending.
    pub(crate) async fn start_request(&self) -> (Client, PendingRequest) {
        let mut client = self.connect().await;
        client.write(GET).await;
        (client, self.next_request().await)
    }

    /// Connects a client and sends a request, whose response is being streamed.
    pub(crate) async fn start_stream(&self) -> (Client, ResponseStream) {
        let (client, request) = self.start_request().await;
        (client, request.stream())
    }

    /// Connects a client with a small receive buffer: a long response waits in the listener until the
    /// client reads.
    pub(crate) async fn connect_with_small_buffers(&self) -> Client {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
            .expect("set");
        Client(BufReader::with_capacity(
            64,
            socket
                .connect(self.address)
                .await
                .expect("the listener is bound"),
        ))
    }

    /// Waits for the next request that reaches the service.
    pub(crate) async fn next_request(&self) -> PendingRequest {
        self.requests
            .lock()
            .await
            .recv()
            .await
            .expect("the service is running")
    }

    /// Stops accepting and shuts the listener down; the returned task ends with the last connection.
    pub(crate) fn drain(&self) -> JoinHandle<()> {
        let accepting = self.accepting.take().expect("drained once");
        let listener = Rc::clone(&self.listener);
        actix_rt::spawn(async move {
            listener.stop.notify_one();
            accepting.await.expect("accepting has stopped");
            listener.finish(IdleConnections::CloseNow).await;
        })
    }
}

/// A client's connection.
pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    /// Writes `text` in a task of its own, which returns the client.
    pub(crate) fn write_in_background(mut self, text: String) -> JoinHandle<Client> {
        actix_rt::spawn(async move {
            self.write(&text).await;
            self
        })
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .await
            .expect("written");
    }

    async fn head(&mut self) -> Option<String> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            self.0
                .read_line(&mut head)
                .await
                .ok()
                .filter(|&bytes| bytes > 0)?;
        }
        Some(head.to_ascii_lowercase().replacen("http", "HTTP", 1))
    }

    /// Reads a response with a content length and returns its head and body; `None` where the
    /// connection ends before.
    pub(crate) async fn response(&mut self) -> Option<String> {
        let mut head = self.head().await?;
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .expect("a length");
        let mut body = vec![0; length.parse().expect("a number")];
        self.0.read_exact(&mut body).await.ok()?;
        head.push_str(std::str::from_utf8(&body).expect("text"));
        Some(head)
    }

    /// Asserts that a response arrives and ends with `ending`.
    pub(crate) async fn expect_response(&mut self, ending: &str) {
        let response = self.response().await.expect("a response");
        assert!(response.ends_with(ending), "{response}");
    }

    /// Asserts that a response arrives, ends with `ending` and announces the close of the connection.
    pub(crate) async fn expect_closing_response(&mut self, ending: &str) {
        let response = self.response().await.expect("a response");
        assert!(
            response.contains("connection: close") && response.ends_with(ending),
            "{response}"
        );
    }

    /// Asserts that a response arrives, ends with `ending` and does not announce a close.
    pub(crate) async fn expect_keep_alive_response(&mut self, ending: &str) {
        let response = self.response().await.expect("a response");
        assert!(
            response.ends_with(ending) && !response.contains("close"),
            "{response}"
        );
    }

    /// Asserts that `text` is the next chunk of a streamed response.
    pub(crate) async fn expect_chunk(&mut self, text: &str) {
        assert_eq!(self.chunk().await.as_deref(), Some(text));
    }

    /// Reads the next chunk of a streamed response and skips its head; `None` where the connection
    /// ends.
    pub(crate) async fn chunk(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            self.0
                .read_line(&mut line)
                .await
                .ok()
                .filter(|&bytes| bytes > 0)?;
            if let Ok(size) = usize::from_str_radix(line.trim(), 16) {
                let mut chunk = vec![0; size + 2];
                self.0.read_exact(&mut chunk).await.ok()?;
                chunk.truncate(size);
                return String::from_utf8(chunk).ok();
            }
        }
    }

    /// Waits until the listener has closed the connection, and asserts that no bytes precede the end.
    pub(crate) async fn closed(&mut self) {
        let mut rest = Vec::new();
        // A reset also closes the connection.
        let _ = self.0.read_to_end(&mut rest).await;
        assert!(rest.is_empty(), "{rest:?}");
    }

    /// Whether the listener has not closed the connection.
    pub(crate) fn is_open(&self) -> bool {
        let mut byte = [0];
        matches!(self.0.get_ref().try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
