//! A test server that writes exactly the given bytes, and an HTTP client that validates them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt as _;
use ironmast_transport::attempt::{AttemptOptions, AttemptState, Delivery, ExpectedHeader};
use ironmast_transport::client::client;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::response_validation::ValidatingStream;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// A response whose body is read in chunks.
pub(crate) type Response = awc::ClientResponse;

/// The request ID that each attempt expects in its response.
pub(crate) const ID: &str = "9c41d07be2a35f68";
/// Header lines for the three ways in which the body of a response is delimited.
pub(crate) const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
pub(crate) const FIXED_LENGTH: &str = "Content-Length: 10\r\n";
pub(crate) const CLOSE_DELIMITED: &str = "Connection: close\r\n";

/// A test that takes longer than this has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on the actix runtime, which awc needs.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends in time");
    });
}

/// The head of a response with the given request ID and framing headers.
pub(crate) fn head(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: {id}\r\n{framing}\r\n")
}

/// The `n`th server-sent event of a stream.
pub(crate) fn event(n: usize) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

/// The options of an attempt that passes its response through and expects [`ID`].
pub(crate) fn pass_through_options() -> AttemptOptions {
    let expected = ExpectedHeader {
        name: "X-Ironmast-Request-Id",
        value: Some(ID.into()),
    };
    AttemptOptions {
        delivery: Delivery::PassThrough,
        expected: Some(expected),
        ..AttemptOptions::default()
    }
}

/// The message with which an attempt's response was rejected.
pub(crate) fn reason(state: &AttemptState) -> Option<String> {
    state.malformed().map(|reason| reason.to_string())
}

pub(crate) fn attempt(options: AttemptOptions) -> Rc<AttemptState> {
    AttemptState::new(options)
}

/// The server, and a client that sends requests to it.
pub(crate) struct TestServer {
    listener: TcpListener,
    address: SocketAddr,
    client: awc::Client,
}

impl TestServer {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let second = Duration::from_secs(1);
        let client = client(
            DescriptorBudget::new(16),
            second,
            60 * second,
            ValidatingStream::new,
        );
        TestServer {
            listener,
            address,
            client,
        }
    }

    /// Sends a request without a body, and waits for the head of its response.
    pub(crate) async fn send_request(
        &self,
        state: &Rc<AttemptState>,
        method: Method,
    ) -> Result<Response, SendRequestError> {
        // Lets the runtime notice what has arrived on idle connections.
        tokio::task::yield_now().await;
        let call = self
            .client
            .request(method, format!("http://{}/", self.address))
            .no_decompress();
        state.scope(call.send()).await
    }

    /// Sends a request with a body, and waits for the head of its response.
    pub(crate) async fn send_body(
        &self,
        state: &Rc<AttemptState>,
        body: Bytes,
    ) -> Result<Response, SendRequestError> {
        let call = self
            .client
            .post(format!("http://{}/", self.address))
            .no_decompress();
        state.scope(call.send_body(body)).await
    }

    /// Sends a request on a new connection, where the server replies with the bytes of `written`.
    /// Returns the response and the connection.
    pub(crate) async fn exchange(
        &self,
        state: &Rc<AttemptState>,
        method: Method,
        written: &str,
    ) -> (Result<Response, SendRequestError>, ServerConnection) {
        let serve = async {
            let mut connection = self.accept().await;
            connection.read_request().await;
            connection.write(written).await;
            connection
        };
        futures_util::future::join(self.send_request(state, method), serve).await
    }

    /// Accepts the next connection.
    pub(crate) async fn accept(&self) -> ServerConnection {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        stream.set_nodelay(true).expect("the socket option is set");
        ServerConnection(stream)
    }
}

/// The server's side of a connection.
pub(crate) struct ServerConnection(TcpStream);

impl ServerConnection {
    /// Reads the head of a request.
    pub(crate) async fn read_request(&mut self) {
        assert!(self.try_read_request().await, "a request arrives");
    }

    /// Reads the head of a request; returns false if the connection ends instead.
    pub(crate) async fn try_read_request(&mut self) -> bool {
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            match self.0.read_u8().await {
                Ok(byte) => received.push(byte),
                Err(_) => return false,
            }
        }
        true
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("written");
    }

    /// Yields, so that the client reads what was written.
    pub(crate) async fn let_client_read(&self) {
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the client has closed its side.
    pub(crate) async fn wait_for_close(&mut self) {
        let mut rest = Vec::new();
        // A reset counts as a close.
        let _ = self.0.read_to_end(&mut rest).await;
    }

    /// Waits until the client has closed its side; returns false if it reset the connection.
    pub(crate) async fn is_closed_in_order(&mut self) -> bool {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).await.is_ok()
    }

    /// Shuts down the server's sending side.
    pub(crate) async fn shut_down(&mut self) {
        self.0.shutdown().await.expect("the socket is shut down");
    }

    /// Closes the connection with a reset.
    pub(crate) fn reset(self) {
        self.0.set_zero_linger().expect("the socket option is set");
    }
}

/// Reads a body, which must end without an error.
pub(crate) async fn read_body(response: &mut Response) -> String {
    let mut body = Vec::new();
    while let Some(part) = response.next().await {
        body.extend_from_slice(&part.expect("no error"));
    }
    String::from_utf8(body).expect("UTF-8")
}

/// Reads as many bytes of the body as `text` has, which must be equal to `text`.
pub(crate) async fn expect_body_bytes(response: &mut Response, text: &str) {
    let mut received = String::new();
    while received.len() < text.len() {
        let part = response
            .next()
            .await
            .expect("more of the body")
            .expect("no error");
        received.push_str(std::str::from_utf8(&part).expect("UTF-8"));
    }
    assert_eq!(received, text);
}

/// Sends another request; returns whether it arrives on a new connection instead of `old`.
pub(crate) async fn next_request_opens_connection(
    server: &TestServer,
    old: &mut ServerConnection,
) -> bool {
    let state = attempt(pass_through_options());
    let response = format!("{}helloworld", head(ID, FIXED_LENGTH));
    let on_old = async {
        if !old.try_read_request().await {
            return std::future::pending().await;
        }
        old.write(&response).await;
        false
    };
    let on_new = async {
        let mut connection = server.accept().await;
        connection.read_request().await;
        connection.write(&response).await;
        true
    };
    let serve = async {
        tokio::select! { is_new = on_old => is_new, is_new = on_new => is_new }
    };
    let (result, is_new) =
        futures_util::future::join(server.send_request(&state, Method::GET), serve).await;
    assert_eq!(
        read_body(&mut result.expect("a response")).await,
        "helloworld"
    );
    is_new
}

/// Opens a connection, on which the server writes a response and the bytes of `trailing` after it,
/// and returns the connection. With `head_first` the client reads the head before the rest is
/// written.
pub(crate) async fn connection_after_response_with(
    server: &TestServer,
    framing: &str,
    body: &str,
    trailing: &str,
    head_first: bool,
) -> ServerConnection {
    let state = attempt(pass_through_options());
    let (first, rest) = (head(ID, framing), format!("{body}{trailing}"));
    let written = if head_first {
        first
    } else {
        format!("{first}{rest}")
    };
    let (response, mut connection) = server.exchange(&state, Method::GET, &written).await;
    let mut response = response.expect("a response");
    if head_first {
        connection.write(&rest).await;
    }
    assert_eq!(
        read_body(&mut response).await,
        "helloworld",
        "nothing after the body is delivered"
    );
    connection
}

/// Does the same as [`connection_after_response_with`], with everything written at once.
pub(crate) async fn connection_after_response(
    server: &TestServer,
    framing: &str,
    body: &str,
    trailing: &str,
) -> ServerConnection {
    connection_after_response_with(server, framing, body, trailing, false).await
}
