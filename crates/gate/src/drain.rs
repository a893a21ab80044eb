//! The graceful shutdown of a gate: new clients are sent to other gates, requests in progress are
//! finished, and idle connections are closed.

use std::time::Duration;

use ironmast_transport::listener::{IdleConnections, Listener, Service};
use slog::{info, warn};

use crate::gate::Gate;

/// Clients keep connecting for about this fraction of the longest time for which they may cache a
/// list of addresses.
const ACCEPT_FRACTION_OF_TTL: f64 = 0.5;
/// The largest fraction of the grace period in which new connections are accepted.
const MAX_ACCEPT_FRACTION: f64 = 0.5;

/// Shuts a gate down. Returns once no client waits for a response, or at the shutdown deadline,
/// when the requests still in progress are aborted.
pub(crate) async fn run<S: Service>(gate: &Gate, listener: &Listener<S>) {
    gate.begin_shutdown();
    let accept_s = accept_seconds(gate);
    info!(gate.log, "shutting down"; "accepting_for_s" => accept_s);
    let deadline = gate.shutdown_deadline().unwrap_or_default();
    let finish = async {
        tokio::time::sleep(Duration::from_secs_f64(accept_s)).await;
        listener.stop.notify_one();
        listener.finish(IdleConnections::CloseNow).await;
    };
    // Requests still in progress at the deadline are aborted when the gate stops.
    let _ = tokio::time::timeout_at(gate.clock.at(deadline).into(), finish).await;
    let aborted = gate.requests_in_progress.count();
    if aborted > 0 {
        warn!(gate.log, "aborting the requests still in progress at the end of the grace period"; "requests" => aborted);
    }
    info!(gate.log, "stopped");
}

/// For how long new connections are still accepted after the shutdown began, in s.
fn accept_seconds(gate: &Gate) -> f64 {
    let settings = gate.settings.borrow();
    let bounds = &settings.timing_bounds;
    (bounds.ttl_max_s * ACCEPT_FRACTION_OF_TTL).min(bounds.grace_period_s * MAX_ACCEPT_FRACTION)
}
