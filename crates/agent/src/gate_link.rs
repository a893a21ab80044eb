//! The link to the agent's gate over loopback, to which the gate connects: the agent sends entries, and
//! the gate sends its status.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr as _};
use ironmast_schema::control::{FromGate, ToGate};
use ironmast_transport::link;
use ironmast_transport::log_limit::LogLimit;
use ironmast_transport::tasks::Tasks;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::gate_reporter::ReportedStatus;
use crate::state::SharedState;

/// Interval of the keep-alive frames. A gate that receives none for three intervals no longer relies
/// on what it knows of the servers' warm-up.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Listens for the gate at `address`.
///
/// # Errors
/// The address cannot be bound.
pub(crate) async fn start(
    state: &SharedState,
    address: SocketAddr,
    log: &Logger,
    tasks: &Tasks,
) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening for the gate at {address}"))?;
    tasks.spawn_essential("gate link", accept(Rc::clone(state), listener, log.clone()));
    tasks.spawn_essential("gate keep-alive", keep_alive(Rc::clone(state)));
    Ok(())
}

/// Sends keep-alive frames to the gate. Never completes.
async fn keep_alive(state: SharedState) {
    loop {
        tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
        state.borrow_mut().entries.keep_alive();
    }
}

/// Accepts connections of gates and serves each in a task of its own. Never completes.
async fn accept(state: SharedState, listener: TcpListener, log: Logger) {
    let sessions = Tasks::new(&log);
    let mut error_log_limit = LogLimit::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                sessions.spawn("gate", serve(Rc::clone(&state), stream));
            }
            Err(error) => {
                if let Some(suppressed) = error_log_limit.admit(Instant::now()) {
                    warn!(log, "cannot accept a connection"; "error" => %error, "suppressed" => suppressed);
                }
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Waits until no gate is connected.
pub(crate) async fn disconnected(state: &SharedState) {
    let gate_disconnected = Rc::clone(&state.borrow().gate_disconnected);
    while state.borrow().connected_gates > 0 {
        gate_disconnected.notified().await;
    }
}

/// Serves a gate until its connection closes.
async fn serve(state: SharedState, stream: TcpStream) {
    let mut session = GateSession::new(state);
    // Whatever the error was, dropping the session reports the gate as down.
    let _ = session.run(stream).await;
}

/// The session of a connected gate. When it is dropped, the gate is reported as down, so that no more
/// clients are directed to it.
struct GateSession {
    state: SharedState,
    /// The last status that the gate has sent.
    last_status: Option<ReportedStatus>,
}

impl GateSession {
    fn new(state: SharedState) -> Self {
        state.borrow_mut().connected_gates += 1;
        GateSession {
            state,
            last_status: None,
        }
    }

    /// Exchanges frames with the gate until its connection closes.
    ///
    /// # Errors
    /// The connection breaks, or the gate sends an invalid frame.
    async fn run(&mut self, stream: TcpStream) -> Result<()> {
        let (mut receiver, mut sender) = link::split::<FromGate, ToGate>(stream)?;
        let (updates, mut outgoing) = mpsc::unbounded_channel();
        self.state.borrow_mut().entries.subscribe(updates);
        link::exchange(
            &mut receiver,
            &mut sender,
            &mut outgoing,
            |FromGate::Status { frontend, ready }| {
                self.on_status(ReportedStatus { frontend, ready });
            },
        )
        .await?;
        Ok(())
    }

    fn on_status(&mut self, status: ReportedStatus) {
        self.last_status = Some(status);
        self.state.borrow_mut().gate_reporter.report_up(status);
    }
}

impl Drop for GateSession {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.connected_gates -= 1;
        if let Some(last_status) = self.last_status {
            state.gate_reporter.report_down(last_status);
        }
        state.gate_disconnected.notify_one();
    }
}

#[cfg(test)]
mod tests;
