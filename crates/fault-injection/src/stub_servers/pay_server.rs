//! A stub pay server. It begins to execute a request once its last byte has arrived, takes the
//! service time and responds 200 with a body that names the request's `X-Txn`.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use super::execution_record::ExecutionRecord;
use super::http::{header, read_request};
use super::listener::Listener;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How a pay server responds; it can be changed during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ResponseMode {
    /// Executes each request and responds 200.
    Serve = 0,
    /// Rejects each request with 503 and `X-Turned-Away: 1`; nothing is executed.
    Reject = 1,
    /// Executes each request and responds 500.
    Fail = 2,
}

/// A stub pay server. When it is dropped it accepts no more connections; open ones continue until
/// their clients close them.
pub struct PayServer {
    /// Uid of the pay server in discovery.
    pub uid: String,
    /// Address at which the pay server listens.
    pub address: SocketAddr,
    service_time: Duration,
    behaviour: Arc<Behaviour>,
    _listener: Listener,
}

/// What can be changed during a run.
struct Behaviour {
    mode: AtomicU8,
    service_time_us: AtomicU64,
}

impl PayServer {
    /// Starts a pay server that takes `service_time` for each request.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub fn start(
        uid: &str,
        service_time: Duration,
        record: Arc<ExecutionRecord>,
    ) -> std::io::Result<PayServer> {
        let behaviour = Arc::new(Behaviour {
            mode: AtomicU8::new(ResponseMode::Serve as u8),
            service_time_us: AtomicU64::new(service_time.as_micros() as u64),
        });
        let (shared, name) = (Arc::clone(&behaviour), uid.to_string());
        let listener = Listener::start(move |connection, _| {
            serve(connection, &name, &shared, &record);
        })?;
        Ok(PayServer {
            uid: uid.into(),
            address: listener.address,
            service_time,
            behaviour,
            _listener: listener,
        })
    }

    /// Multiplies the service time by `factor` from the next request on.
    pub fn set_slowdown(&self, factor: f64) {
        let service_time = self.service_time.mul_f64(factor);
        self.behaviour
            .service_time_us
            .store(service_time.as_micros() as u64, Ordering::Relaxed);
    }

    /// Changes the response mode from the next request on.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.behaviour.mode.store(mode as u8, Ordering::Relaxed);
    }
}

/// Serves the requests of one connection.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the connection ends with this function"
)]
fn serve(connection: TcpStream, uid: &str, behaviour: &Behaviour, record: &ExecutionRecord) {
    let _ = connection.set_read_timeout(Some(IDLE_TIMEOUT));
    let mut reader = BufReader::new(&connection);
    while let Some(head) = read_request(&mut reader) {
        let response = respond(&head, uid, behaviour, record);
        if (&connection).write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// The response to a request; executes it where the mode and its key allow that.
fn respond(head: &str, uid: &str, behaviour: &Behaviour, record: &ExecutionRecord) -> String {
    let path = head.split(' ').nth(1).unwrap_or("/");
    let class = path.trim_start_matches('/').split(['/', '?']).next();
    let class = class.unwrap_or("");
    if matches!(class, "health" | "stats") {
        return response("200 OK", "", "inflight=0");
    }
    let Some(txn) = header(head, "x-txn") else {
        return response("404 Not Found", "", "");
    };
    let mode = behaviour.mode.load(Ordering::Relaxed);
    if mode == ResponseMode::Reject as u8 {
        return response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
    }
    if record.admit(header(head, "idempotency-key")) {
        record.push(txn, class, uid);
    }
    let service_time_us = behaviour.service_time_us.load(Ordering::Relaxed);
    std::thread::sleep(Duration::from_micros(service_time_us));
    let status = if mode == ResponseMode::Fail as u8 {
        "500 Internal Server Error"
    } else {
        "200 OK"
    };
    response(status, "", &format!("ran {txn} on {uid}"))
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
