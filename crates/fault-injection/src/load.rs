//! Open-loop clients: requests at a set rate to one proxy's clients' address, each on a connection
//! of its own, with latency counted from the intended send time (so a stalled proxy shows as late,
//! not as fewer requests).
//!
//! Bounded in count and in time; loopback only.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// What a client saw of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200.
    Served,
    /// 429 or 503: refused, harmless to try again.
    Rejected,
    /// Another status.
    Failed,
    /// No connection, or it broke before a whole answer.
    Broken,
    /// No whole answer within the client's patience: the client went away.
    TimedOut,
}

/// One request a client sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its `X-Txn`.
    pub txn: String,
    /// When it was meant to go, from the start of the load.
    pub at: Duration,
    /// What came of it.
    pub outcome: Outcome,
    /// From `at` to the end of its answer, or to the break.
    pub latency: Duration,
}

/// The shape of a load on one proxy.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Requests a second, above 0.
    pub rate: f64,
    /// How long the load lasts.
    pub length: Duration,
    /// The path, whose first part is the class (`/deposit-order`, `/balance`).
    pub path: String,
    /// `X-Remaining` in milliseconds: how long the client waits.
    pub patience_ms: u64,
    /// Threads that send; a request waits for a free one, and its lateness counts.
    pub threads: usize,
}

impl LoadProfile {
    /// A load with enough threads that none waits while requests wait their whole patience: the
    /// rate times the patience, and two more, at most 256.
    #[must_use]
    pub fn new(rate: f64, length: Duration, path: &str, patience_ms: u64) -> LoadProfile {
        let threads = ((rate * patience_ms as f64 / 1e3).ceil() as usize + 2).min(256);
        LoadProfile {
            rate,
            length,
            path: path.into(),
            patience_ms,
            threads,
        }
    }
}

/// Every request of a load and their latencies.
pub struct LoadReport {
    /// The requests by intended send time.
    pub sent: Vec<SentRequest>,
    /// Latency of served requests in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadReport {
    /// Requests with this outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> usize {
        self.sent.iter().filter(|s| s.outcome == outcome).count()
    }
}

fn one(address: SocketAddr, path: &str, txn: &str, patience: Duration) -> Outcome {
    let begun = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, patience) else {
        return Outcome::Broken;
    };
    let post = path.starts_with("/deposit") || path.starts_with("/timesheet");
    let method = if post { "POST" } else { "GET" };
    let body = if post { "{\"amount\":1}" } else { "" };
    let length = if post {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let key = if path.starts_with("/timesheet") {
        format!("Idempotency-Key: {txn}\r\n")
    } else {
        String::new()
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: pay\r\nConnection: close\r\nX-Txn: {txn}\r\nX-Remaining: {}m\r\n{key}{length}\r\n{body}",
        patience.as_millis()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return Outcome::Broken;
    }
    // The client waits for the whole answer until its patience is over, and no longer.
    let mut answer = Vec::new();
    let mut piece = [0u8; 4096];
    loop {
        let Some(left) = patience
            .checked_sub(begun.elapsed())
            .filter(|l| !l.is_zero())
        else {
            return Outcome::TimedOut;
        };
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut piece) {
            Ok(0) => break,
            Ok(n) => answer.extend_from_slice(&piece[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                return Outcome::TimedOut;
            }
            Err(_) => return Outcome::Broken,
        }
    }
    let status = answer
        .get(9..12)
        .and_then(|s| std::str::from_utf8(s).ok())
        .unwrap_or("");
    let whole = answer.windows(4).any(|w| w == b"\r\n\r\n");
    match status {
        "200" if whole => Outcome::Served,
        "429" | "503" => Outcome::Rejected,
        "" => Outcome::Broken,
        _ if !whole => Outcome::Broken,
        _ => Outcome::Failed,
    }
}

/// What a load has seen so far, shared with whoever watches it live.
pub type SharedResults = Arc<Mutex<Vec<SentRequest>>>;

/// Plays a load on `address`; `name` prefixes each `X-Txn` (hex digits are added). Refuses an
/// address off loopback.
///
/// # Errors
/// The address is not a loopback address.
pub fn run(address: SocketAddr, name: &str, shape: &LoadProfile) -> std::io::Result<LoadReport> {
    run_into(
        address,
        name,
        shape,
        Instant::now(),
        &SharedResults::default(),
    )
}

/// The same, with times counted from `start` and each request added to `sent` as it ends.
///
/// # Errors
/// The address is not a loopback address.
pub fn run_into(
    address: SocketAddr,
    name: &str,
    shape: &LoadProfile,
    start: Instant,
    sent: &SharedResults,
) -> std::io::Result<LoadReport> {
    crate::loopback(address)?;
    let count = (shape.rate * shape.length.as_secs_f64()).ceil() as usize;
    let threads: Vec<_> = (0..shape.threads.max(1))
        .map(|k| {
            let (shape, sent, name) = (shape.clone(), Arc::clone(sent), name.to_string());
            std::thread::spawn(move || {
                for n in (k..count).step_by(shape.threads.max(1)) {
                    let at = Duration::from_secs_f64(n as f64 / shape.rate);
                    if let Some(wait) = at.checked_sub(start.elapsed()) {
                        std::thread::sleep(wait);
                    }
                    let txn = format!("{name}{n:08x}");
                    let outcome = one(
                        address,
                        &shape.path,
                        &txn,
                        Duration::from_millis(shape.patience_ms),
                    );
                    let latency = start.elapsed().saturating_sub(at);
                    sent.lock().expect("not poisoned").push(SentRequest {
                        txn,
                        at,
                        outcome,
                        latency,
                    });
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let mut sent = sent.lock().expect("not poisoned").clone();
    sent.sort_by_key(|s| s.at);
    let mut latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    for s in sent.iter().filter(|s| s.outcome == Outcome::Served) {
        let _ = latency.record((s.latency.as_micros() as u64).max(1));
    }
    Ok(LoadReport { sent, latency })
}
