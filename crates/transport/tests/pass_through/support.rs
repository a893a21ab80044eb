//! A server whose every byte the test writes, and a client of it.

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

/// An answer whose body is read by parts.
pub(crate) type Answer = awc::ClientResponse;

/// The id of each request.
pub(crate) const ID: &str = "9c41d07be2a35f68";
/// How an answer's body ends.
pub(crate) const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
pub(crate) const SIZED: &str = "Content-Length: 10\r\n";
pub(crate) const TO_END: &str = "Connection: close\r\n";

/// A play that does not end has failed.
const MOST: Duration = Duration::from_secs(30);

/// Plays on the runtime that awc needs.
pub(crate) fn play(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(MOST, test).await.expect("in time");
    });
}

/// An answer's head.
pub(crate) fn head(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: {id}\r\n{framing}\r\n")
}

/// An event of a stream.
pub(crate) fn event(n: usize) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

/// What attempts here are made with.
pub(crate) fn passing() -> AttemptOptions {
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

/// Why an attempt's response was rejected, in words.
pub(crate) fn reason(state: &AttemptState) -> Option<String> {
    state.malformed().map(|reason| reason.to_string())
}

pub(crate) fn attempt(options: AttemptOptions) -> Rc<AttemptState> {
    AttemptState::new(options)
}

/// The server and its client.
pub(crate) struct Stage {
    listener: TcpListener,
    address: SocketAddr,
    client: awc::Client,
}

impl Stage {
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
        Stage {
            listener,
            address,
            client,
        }
    }

    /// Sends a request, and waits for the head of its answer.
    pub(crate) async fn ask(
        &self,
        state: &Rc<AttemptState>,
        method: Method,
    ) -> Result<Answer, SendRequestError> {
        // A turn of the poller: what has come on idle connections is seen.
        tokio::task::yield_now().await;
        let call = self
            .client
            .request(method, format!("http://{}/", self.address))
            .no_decompress();
        state.scope(call.send()).await
    }

    /// Sends a request with a body, and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        state: &Rc<AttemptState>,
        body: Bytes,
    ) -> Result<Answer, SendRequestError> {
        let call = self
            .client
            .post(format!("http://{}/", self.address))
            .no_decompress();
        state.scope(call.send_body(body)).await
    }

    /// Sends a request, which the server answers by these bytes on a new connection; that
    /// connection, too.
    pub(crate) async fn exchange(
        &self,
        state: &Rc<AttemptState>,
        method: Method,
        written: &str,
    ) -> (Result<Answer, SendRequestError>, Peer) {
        let serve = async {
            let mut peer = self.accept().await;
            peer.request().await;
            peer.write(written).await;
            peer
        };
        futures_util::future::join(self.ask(state, method), serve).await
    }

    /// The next connection.
    pub(crate) async fn accept(&self) -> Peer {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        stream.set_nodelay(true).expect("set");
        Peer(stream)
    }
}

/// The server's side of a connection.
pub(crate) struct Peer(TcpStream);

impl Peer {
    /// Reads a request's head.
    pub(crate) async fn request(&mut self) {
        assert!(self.try_request().await, "a request");
    }

    /// Reads a request's head; false where the connection ends instead.
    pub(crate) async fn try_request(&mut self) -> bool {
        let mut come = Vec::new();
        while !come.ends_with(b"\r\n\r\n") {
            match self.0.read_u8().await {
                Ok(byte) => come.push(byte),
                Err(_) => return false,
            }
        }
        true
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("written");
    }

    /// Lets the client take what was written.
    pub(crate) async fn arrived(&self) {
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the client has closed its side.
    pub(crate) async fn closed(&mut self) {
        let mut rest = Vec::new();
        // A reset is a close, too.
        let _ = self.0.read_to_end(&mut rest).await;
    }

    /// Waits until the client has closed its side; whether it did so in order.
    pub(crate) async fn closed_in_order(&mut self) -> bool {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).await.is_ok()
    }

    /// Ends its own side.
    pub(crate) async fn end(&mut self) {
        self.0.shutdown().await.expect("ended");
    }

    /// Ends it by a reset.
    pub(crate) fn reset(self) {
        self.0.set_zero_linger().expect("set");
    }
}

/// Reads the parts of a body that has to end whole.
pub(crate) async fn whole(answer: &mut Answer) -> String {
    let mut body = Vec::new();
    while let Some(part) = answer.next().await {
        body.extend_from_slice(&part.expect("whole"));
    }
    String::from_utf8(body).expect("text")
}

/// Reads so many bytes, and no others may be there.
pub(crate) async fn exactly(answer: &mut Answer, text: &str) {
    let mut come = String::new();
    while come.len() < text.len() {
        let part = answer.next().await.expect("more").expect("sound");
        come.push_str(std::str::from_utf8(&part).expect("text"));
    }
    assert_eq!(come, text);
}

/// Asks once more; whether that comes on a connection of its own.
pub(crate) async fn asks_anew(stage: &Stage, old: &mut Peer) -> bool {
    let state = attempt(passing());
    let answer = format!("{}helloworld", head(ID, SIZED));
    let on_old = async {
        if !old.try_request().await {
            return std::future::pending().await;
        }
        old.write(&answer).await;
        false
    };
    let on_new = async {
        let mut peer = stage.accept().await;
        peer.request().await;
        peer.write(&answer).await;
        true
    };
    let serve = async {
        tokio::select! { anew = on_old => anew, anew = on_new => anew }
    };
    let (asked, anew) = futures_util::future::join(stage.ask(&state, Method::GET), serve).await;
    assert_eq!(whole(&mut asked.expect("an answer")).await, "helloworld");
    anew
}

/// A first answer on a connection, with these bytes behind it; then the connection. Its head is
/// read before the rest is written, where it is to flow.
pub(crate) async fn answered_as(
    stage: &Stage,
    framing: &str,
    body: &str,
    behind: &str,
    flows: bool,
) -> Peer {
    let state = attempt(passing());
    let (first, rest) = (head(ID, framing), format!("{body}{behind}"));
    let written = if flows {
        first
    } else {
        format!("{first}{rest}")
    };
    let (answer, mut peer) = stage.exchange(&state, Method::GET, &written).await;
    let mut answer = answer.expect("an answer");
    if flows {
        peer.write(&rest).await;
    }
    assert_eq!(
        whole(&mut answer).await,
        "helloworld",
        "and nothing behind it"
    );
    peer
}

/// The same, all of it written at once.
pub(crate) async fn answered(stage: &Stage, framing: &str, body: &str, behind: &str) -> Peer {
    answered_as(stage, framing, body, behind, false).await
}
