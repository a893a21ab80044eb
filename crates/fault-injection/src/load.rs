//! Open-loop clients: requests at a fixed rate to one proxy, each on a connection of its own.
//!
//! Latency is measured from the intended send time, so that a stalled proxy shows as late responses
//! and not as fewer requests (no coordinated omission). The number of requests, of threads and the
//! duration are bounded, and only loopback addresses are accepted.

mod client;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use client::send_request;

/// The most threads of one load.
const MAX_THREADS: usize = 256;
/// The longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// What a client observed of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete, with status 200.
    Served,
    /// Status 429 or 503: rejected, safe to retry.
    Rejected,
    /// Another status.
    Failed,
    /// There was no connection, or it ended before the response was complete.
    Broken,
    /// The response was not complete before the client's timeout; the client disconnected.
    TimedOut,
}

/// One request that a client sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// `X-Txn` of the request.
    pub txn: String,
    /// Intended send time, since the start of the load.
    pub at: Duration,
    /// What the client observed.
    pub outcome: Outcome,
    /// The time from `at` until the response was complete or the exchange failed.
    pub latency: Duration,
}

/// The load on one proxy.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Requests per second, above 0.
    pub rate: f64,
    /// How long the load lasts.
    pub duration: Duration,
    /// The path, whose first segment is the class (`/deposit-order`, `/balance`).
    pub path: String,
    /// The client's timeout in milliseconds, sent as `X-Remaining`.
    pub timeout_ms: u64,
    /// The number of sending threads. A request waits for a free one, which counts as latency.
    pub threads: usize,
}

impl LoadProfile {
    /// A load with enough threads that no request waits for one even if every request lasts until
    /// its timeout: the rate times the timeout plus 2, at most 256.
    #[must_use]
    pub fn new(rate: f64, duration: Duration, path: &str, timeout_ms: u64) -> LoadProfile {
        let in_flight = (rate * timeout_ms as f64 / 1e3).ceil() as usize;
        LoadProfile {
            rate,
            duration,
            path: path.into(),
            timeout_ms,
            threads: (in_flight + 2).min(MAX_THREADS),
        }
    }
}

/// Every request of a load and the latencies.
pub struct LoadReport {
    /// The requests by intended send time.
    pub sent: Vec<SentRequest>,
    /// The latency of served requests in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadReport {
    fn new(mut sent: Vec<SentRequest>) -> LoadReport {
        sent.sort_by_key(|request| request.at);
        let mut latency = latency_histogram();
        for request in &sent {
            if request.outcome == Outcome::Served {
                let _ = latency.record((request.latency.as_micros() as u64).max(1));
            }
        }
        LoadReport { sent, latency }
    }

    /// The number of requests with this outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> usize {
        self.sent
            .iter()
            .filter(|request| request.outcome == outcome)
            .count()
    }
}

/// An empty histogram of latencies in microseconds.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds")
}

/// The requests of a load that have completed so far, shared with whoever follows it.
pub type SharedResults = Arc<Mutex<Vec<SentRequest>>>;

/// Applies a load to the proxy at `address`; each `X-Txn` is `name` followed by hexadecimal digits.
///
/// # Errors
/// The address is not a loopback address.
pub fn run(address: SocketAddr, name: &str, profile: &LoadProfile) -> std::io::Result<LoadReport> {
    run_into(
        address,
        name,
        profile,
        Instant::now(),
        &SharedResults::default(),
    )
}

/// As [`run`], with times counted from `start` and each request added to `results` when it
/// completes.
///
/// # Errors
/// The address is not a loopback address.
pub fn run_into(
    address: SocketAddr,
    name: &str,
    profile: &LoadProfile,
    start: Instant,
    results: &SharedResults,
) -> std::io::Result<LoadReport> {
    crate::require_loopback(address)?;
    let threads = profile.threads.max(1);
    let sender = |first| {
        let (profile, results, name) = (profile.clone(), Arc::clone(results), name.to_string());
        std::thread::spawn(move || {
            for number in (first..request_count(&profile)).step_by(threads) {
                let request = send_at_its_time(address, &name, number, &profile, start);
                results.lock().expect("not poisoned").push(request);
            }
        })
    };
    let senders: Vec<_> = (0..threads).map(sender).collect();
    for sender in senders {
        let _ = sender.join();
    }
    Ok(LoadReport::new(
        results.lock().expect("not poisoned").clone(),
    ))
}

fn request_count(profile: &LoadProfile) -> usize {
    (profile.rate * profile.duration.as_secs_f64()).ceil() as usize
}

/// Waits until the intended send time of a request, sends it and waits for its response.
fn send_at_its_time(
    address: SocketAddr,
    name: &str,
    number: usize,
    profile: &LoadProfile,
    start: Instant,
) -> SentRequest {
    let at = Duration::from_secs_f64(number as f64 / profile.rate);
    if let Some(wait) = at.checked_sub(start.elapsed()) {
        std::thread::sleep(wait);
    }
    let txn = format!("{name}{number:08x}");
    let timeout = Duration::from_millis(profile.timeout_ms);
    let outcome = send_request(address, &profile.path, &txn, timeout);
    SentRequest {
        txn,
        at,
        outcome,
        latency: start.elapsed().saturating_sub(at),
    }
}
