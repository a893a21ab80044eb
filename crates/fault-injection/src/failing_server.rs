//! A server that fails an exchange at a chosen step and serves every other one, and a client that
//! says how an answer ended. Both are used against the gate and against the program in service,
//! whose headers a [`Dialect`] names.
//!
//! Every request that a server reads to its last byte and does not turn away counts as run. A body
//! that is not the one made for its request ([`body_of`]) is noted as such.

mod client;
mod steps;

use std::collections::VecDeque;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd as _;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub use client::{ClientRequest, ClientResponse, Ending, RequestBody, exchange, receive, send};
pub use steps::{Connection, Failure, RequestHead, Step, events, steps};

/// What never comes fails a test after this.
const PATIENCE: Duration = Duration::from_secs(20);

/// The headers of one of the two programs.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Names a request.
    pub id: &'static str,
    /// Answers repeat it.
    pub answers_name_it: bool,
    /// What an answer that counts carries.
    pub stamp: &'static str,
    /// What an answer carries that promises that the request has not run.
    pub promise: &'static str,
}

/// The headers of the gate and its servers.
pub const GATE: Dialect = Dialect {
    id: "X-Ironmast-Request-Id",
    answers_name_it: true,
    stamp: "X-Ironmast-Server-Signature: stamp\r\n",
    promise: "X-Ironmast-Not-Executed: 1\r\n",
};

/// The headers of the program in service and its servers.
pub const IN_SERVICE: Dialect = Dialect {
    id: "X-Txn",
    answers_name_it: false,
    stamp: "",
    promise: "X-Turned-Away: 1\r\n",
};

/// The body made for a request.
#[must_use]
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("{id}.")
        .into_bytes()
        .repeat(length / (id.len() + 1) + 1);
    body.truncate(length);
    body
}

/// What servers saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observations {
    /// The ids of the requests that ran, in their order.
    pub runs: Vec<String>,
    /// For each request that began to arrive: its id and the connection's number.
    pub arrivals: Vec<(String, usize)>,
    /// What no request may look like.
    pub wrong: Vec<String>,
}

/// Shared with the threads of a server's connections.
struct State {
    dialect: Dialect,
    /// What is to fail next, at whichever of the servers that share it.
    failures: Arc<Mutex<VecDeque<Failure>>>,
    seen: Mutex<Observations>,
    release: Mutex<Receiver<()>>,
    released: Sender<()>,
}

/// A server. Its threads end with their connections.
pub struct FailingServer {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    release: Sender<()>,
    released: Receiver<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FailingServer {
    /// A server that fails the first requests as told, in their order, and serves all that follow.
    ///
    /// # Errors
    /// The system's, where no port is free.
    pub fn start(dialect: Dialect, failures: &[Failure]) -> std::io::Result<Self> {
        FailingServer::sharing(
            dialect,
            Arc::new(Mutex::new(failures.iter().copied().collect())),
        )
    }

    /// Two servers of which the first requests at either fail as told.
    ///
    /// # Errors
    /// The system's, where no port is free.
    pub fn start_two(dialect: Dialect, failures: &[Failure]) -> std::io::Result<[Self; 2]> {
        let failures = Arc::new(Mutex::new(failures.iter().copied().collect()));
        Ok([
            FailingServer::sharing(dialect, Arc::clone(&failures))?,
            FailingServer::sharing(dialect, failures)?,
        ])
    }

    fn sharing(dialect: Dialect, failures: Arc<Mutex<VecDeque<Failure>>>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let ((release, waits), (released, heard)) = (channel(), channel());
        let (seen, go_on_waits) = (Mutex::default(), Mutex::new(waits));
        let state = Arc::new(State {
            dialect,
            failures,
            seen,
            release: go_on_waits,
            released,
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
            released: heard,
        })
    }

    /// What it has seen so far.
    #[must_use]
    pub fn seen(&self) -> Observations {
        lock(&self.state.seen).clone()
    }

    /// Lets it do what it keeps back until then, and waits until that is done.
    ///
    /// # Panics
    /// It keeps nothing back.
    pub fn release(&self) {
        self.release.send(()).expect("it runs");
        self.released.recv_timeout(PATIENCE).expect("it goes on");
    }
}

/// Serves one connection.
fn serve(mut stream: TcpStream, number: usize, state: &State) {
    let _ = (
        stream.set_nodelay(true),
        stream.set_read_timeout(Some(3 * PATIENCE)),
    );
    let mut buffer = Vec::new();
    while let Some(asked) = RequestHead::read(&mut stream, &mut buffer, state.dialect.id) {
        let Some(id) = asked.id.clone() else {
            // A probe, or a check of its health.
            if stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .is_err()
            {
                return;
            }
            continue;
        };
        lock(&state.seen).arrivals.push((id, number));
        let failure = lock(&state.failures).pop_front();
        let mut steps = steps(failure, &asked, &state.dialect).into_iter();
        while let Some(act) = steps.next() {
            if !perform(act, &mut stream, &mut buffer, &asked, state) {
                drop(stream);
                if steps.next() == Some(Step::ConfirmRelease) {
                    let _ = state.released.send(());
                }
                return;
            }
        }
    }
}

/// Does one step; false where the connection is over.
fn perform(
    act: Step,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    asked: &RequestHead,
    state: &State,
) -> bool {
    match act {
        Step::ReadBody { runs } => match asked.read_body(stream, buffer) {
            Ok(true) => {
                if runs {
                    lock(&state.seen).runs.extend(asked.id.clone());
                }
                true
            }
            Ok(false) => {
                let said = format!("the body of {:?} is another's", asked.id);
                lock(&state.seen).wrong.push(said);
                false
            }
            Err(_) => false,
        },
        Step::Write(bytes) => stream.write_all(&bytes).is_ok(),
        Step::AwaitRelease => lock(&state.release).recv_timeout(3 * PATIENCE).is_ok(),
        Step::ConfirmRelease => state.released.send(()).is_ok(),
        Step::Close => {
            // Whoever reads on sees an orderly end; what is unread here would make it a reset.
            let _ = stream.shutdown(std::net::Shutdown::Write);
            while stream.read(&mut [0; 4096]).is_ok_and(|bytes| bytes > 0) {}
            false
        }
        Step::Drop => false,
        Step::Reset => {
            let _ = rustix::net::sockopt::set_socket_linger(stream.as_fd(), Some(Duration::ZERO));
            false
        }
        Step::Stall => {
            while stream.read(&mut [0; 4096]).is_ok_and(|bytes| bytes > 0) {}
            false
        }
    }
}
