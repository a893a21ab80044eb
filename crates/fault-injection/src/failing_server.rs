//! A server that fails an exchange at a chosen step and serves every other one, and a client that
//! reports how a response ended. Both are used in tests of the gate and of the deployed proxy,
//! whose headers a [`Dialect`] names.
//!
//! Every request that a server reads to its last byte and does not reject counts as executed. A
//! body that is not the one made for its request ([`body_of`]) is recorded as invalid.

mod client;
mod failure;
mod request;
mod response;
mod steps;

use std::collections::{BTreeSet, VecDeque};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub use client::{ClientRequest, ClientResponse, Ending, RequestBody, exchange, receive, send};
pub use failure::{Connection, Failure};
pub use request::RequestHead;
pub use response::events;
pub use steps::{Step, steps};

/// How long a client waits for bytes and a test for a server.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long a server waits for bytes and for its release; longer, so that the client fails first.
const SERVER_TIMEOUT: Duration = Duration::from_secs(60);

/// The headers of the gate or of the deployed proxy.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// The name of the header with the id of a request.
    pub id_header: &'static str,
    /// Whether responses repeat that header.
    pub echoes_id: bool,
    /// The header line that a valid response carries, with its line end; may be empty.
    pub signature: &'static str,
    /// The header line that guarantees that the request has not been executed, with its line end.
    pub not_executed: &'static str,
}

/// The headers of the gate and its servers.
pub const GATE: Dialect = Dialect {
    id_header: "X-Ironmast-Request-Id",
    echoes_id: true,
    signature: "X-Ironmast-Server-Signature: stamp\r\n",
    not_executed: "X-Ironmast-Not-Executed: 1\r\n",
};

/// The headers of the deployed proxy and its pay servers.
pub const PROXY: Dialect = Dialect {
    id_header: "X-Txn",
    echoes_id: false,
    signature: "",
    not_executed: "X-Turned-Away: 1\r\n",
};

/// The response to a request without an id, such as a health check.
const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The body made for the request with this id.
#[must_use]
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("{id}.")
        .into_bytes()
        .repeat(length / (id.len() + 1) + 1);
    body.truncate(length);
    body
}

/// What a server has observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observations {
    /// The ids of the requests that were executed, in the order of execution.
    pub runs: Vec<String>,
    /// For each request whose head arrived: its id and the number of its connection, from 0.
    pub arrivals: Vec<(String, usize)>,
    /// Descriptions of the requests that were invalid.
    pub invalid: Vec<String>,
    /// The numbers of the connections that the server has closed or reset.
    pub closed: BTreeSet<usize>,
}

/// The failures of the next requests.
type FailureQueue = Arc<Mutex<VecDeque<Failure>>>;

/// What a server shares with the threads of its connections.
struct State {
    dialect: Dialect,
    /// May be shared with another server.
    failures: FailureQueue,
    observations: Mutex<Observations>,
    /// Notified when the server has closed or reset a connection.
    connection_ended: Condvar,
    release: Mutex<Receiver<()>>,
    released: Sender<()>,
}

/// A server on loopback. Its threads end with their connections.
pub struct FailingServer {
    /// Address at which the server listens.
    pub address: SocketAddr,
    state: Arc<State>,
    release: Sender<()>,
    released: Receiver<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn queue(failures: &[Failure]) -> FailureQueue {
    Arc::new(Mutex::new(failures.iter().copied().collect()))
}

impl FailingServer {
    /// Starts a server that applies `failures` to its first requests, in this order, and serves all
    /// others.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(dialect: Dialect, failures: &[Failure]) -> std::io::Result<Self> {
        FailingServer::start_with(dialect, queue(failures))
    }

    /// Starts two servers that share `failures`: the first requests at either of them fail.
    ///
    /// # Errors
    /// No port is free.
    pub fn start_two(dialect: Dialect, failures: &[Failure]) -> std::io::Result<[Self; 2]> {
        let failures = queue(failures);
        Ok([
            FailingServer::start_with(dialect, Arc::clone(&failures))?,
            FailingServer::start_with(dialect, failures)?,
        ])
    }

    fn start_with(dialect: Dialect, failures: FailureQueue) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (release, release_receiver) = channel();
        let (released_sender, released) = channel();
        let state = Arc::new(State {
            dialect,
            failures,
            observations: Mutex::default(),
            connection_ended: Condvar::new(),
            release: Mutex::new(release_receiver),
            released: released_sender,
        });
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let state = Arc::clone(&shared);
                std::thread::spawn(move || serve(stream, number, &state));
            }
        });
        Ok(FailingServer {
            address,
            state,
            release,
            released,
        })
    }

    /// What the server has observed so far.
    #[must_use]
    pub fn observations(&self) -> Observations {
        lock(&self.state.observations).clone()
    }

    /// Waits until the server has closed or reset the connection with this number.
    ///
    /// # Panics
    /// The server leaves the connection open.
    pub fn await_end(&self, connection: usize) {
        let observations = lock(&self.state.observations);
        let is_open = |observations: &mut Observations| !observations.closed.contains(&connection);
        let (observations, timeout) = self
            .state
            .connection_ended
            .wait_timeout_while(observations, TIMEOUT, is_open)
            .unwrap_or_else(PoisonError::into_inner);
        assert!(
            !timeout.timed_out(),
            "connection {connection} is still open after {TIMEOUT:?}: {observations:?}"
        );
    }

    /// Lets the server continue after [`Step::AwaitRelease`], and waits until it has done the next
    /// step.
    ///
    /// # Panics
    /// The server is not waiting for its release.
    pub fn release(&self) {
        self.release.send(()).expect("the server runs");
        self.released
            .recv_timeout(TIMEOUT)
            .expect("the server continues");
    }
}

/// Whether a connection can be used after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterStep {
    Continue,
    Close,
}

impl AfterStep {
    fn continue_if(is_usable: bool) -> AfterStep {
        if is_usable {
            AfterStep::Continue
        } else {
            AfterStep::Close
        }
    }
}

impl State {
    /// Records that the server has closed or reset the connection with this number.
    fn record_end(&self, connection: usize) {
        lock(&self.observations).closed.insert(connection);
        self.connection_ended.notify_all();
    }
}

/// Serves the connection with this number.
fn serve(mut stream: TcpStream, number: usize, state: &State) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(SERVER_TIMEOUT));
    let mut buffer = Vec::new();
    while let Some(request) = RequestHead::read(&mut stream, &mut buffer, state.dialect.id_header) {
        let Some(id) = request.id.clone() else {
            if stream.write_all(EMPTY_RESPONSE).is_err() {
                return;
            }
            continue;
        };
        lock(&state.observations).arrivals.push((id, number));
        let failure = lock(&state.failures).pop_front();
        let mut steps = steps(failure, &request, &state.dialect).into_iter();
        while let Some(step) = steps.next() {
            let after = perform(step, &mut stream, number, &mut buffer, &request, state);
            if after == AfterStep::Close {
                drop(stream);
                state.record_end(number);
                if steps.next() == Some(Step::ConfirmRelease) {
                    let _ = state.released.send(());
                }
                return;
            }
        }
    }
}

/// Performs one step on the connection with this number.
fn perform(
    step: Step,
    stream: &mut TcpStream,
    number: usize,
    buffer: &mut Vec<u8>,
    request: &RequestHead,
    state: &State,
) -> AfterStep {
    match step {
        Step::ReadBody { runs } => match request.read_body(stream, buffer) {
            Ok(true) => {
                if runs {
                    let id = request.id.clone();
                    lock(&state.observations).runs.extend(id);
                }
                AfterStep::Continue
            }
            Ok(false) => {
                let problem = format!(
                    "the body of request {:?} is not the one made for its id",
                    request.id
                );
                lock(&state.observations).invalid.push(problem);
                AfterStep::Close
            }
            Err(_) => AfterStep::Close,
        },
        Step::Write(bytes) => AfterStep::continue_if(stream.write_all(&bytes).is_ok()),
        Step::AwaitRelease => {
            let release = lock(&state.release).recv_timeout(SERVER_TIMEOUT);
            AfterStep::continue_if(release.is_ok())
        }
        Step::ConfirmRelease => AfterStep::continue_if(state.released.send(()).is_ok()),
        Step::Close => {
            // Unread bytes would turn the close into a reset.
            let _ = stream.shutdown(std::net::Shutdown::Write);
            state.record_end(number);
            discard_input(stream);
            AfterStep::Close
        }
        // Dropping the stream would not end the connection where a process that is being started
        // still has a copy of it.
        Step::Drop => {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            AfterStep::Close
        }
        Step::Reset => {
            let _ = rustix::net::connect_unspec(&*stream);
            AfterStep::Close
        }
        Step::Stall => {
            discard_input(stream);
            AfterStep::Close
        }
    }
}

/// Reads and discards bytes until the client closes the connection.
fn discard_input(stream: &mut TcpStream) {
    while stream.read(&mut [0; 4096]).is_ok_and(|length| length > 0) {}
}
