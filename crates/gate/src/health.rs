//! Health checks of servers: those that the decider reports as due, such as ejected servers that no
//! request has tried since, and those that may have to warm up again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use ironmast_routing::{HealthCheck, HealthCheckOutcome, Micros};
use ironmast_transport::attempt::{AttemptOptions, AttemptState, Delivery};
use ironmast_transport::tasks::Tasks;

use crate::gate::Gate;
use crate::headers;

/// The interval between two collections of the checks that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a check, and of reading the body of its response.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The state of the limits is swept every this many check intervals.
const SWEEP_ROUNDS: u32 = 25;

/// The result of a health check.
struct HealthCheckResult {
    outcome: HealthCheckOutcome,
    /// The remaining warm-up time in ms, if the server is healthy.
    warmup_remaining_ms: Option<f64>,
}

/// Sends the due health checks for as long as the gate runs, and sweeps the limits.
pub(crate) async fn run(gate: Rc<Gate>) {
    let checks = Tasks::new(&gate.log);
    let mut due = Vec::new();
    let query_requested = gate.limits.borrow().query_requested();
    for round in 0_u32.. {
        // A request waits for a query that was requested, so the query is not delayed.
        let _ = tokio::time::timeout(CHECK_INTERVAL, query_requested.notified()).await;
        gate.decider
            .borrow_mut()
            .due_health_checks(gate.clock.now(), &mut due);
        for check in due.drain(..) {
            checks.spawn("health check", check_ejected(Rc::clone(&gate), check));
        }
        let invalidated = gate.limits.borrow_mut().take_invalidated();
        for instance in invalidated {
            query_warmup(&gate, instance, &checks);
        }
        if round % SWEEP_ROUNDS == 0 {
            let is_known = |instance: &str| gate.is_accepting(instance);
            gate.limits.borrow_mut().sweep(gate.clock.now(), is_known);
        }
    }
}

async fn check_ejected(gate: Rc<Gate>, check: HealthCheck) {
    let sent_at = gate.clock.now();
    let result = send_check(&gate, check.address, &check.path, &check.expect_instance).await;
    record_warmup(&gate, sent_at, &check.expect_instance, &result);
    let now = gate.clock.now();
    gate.decider
        .borrow_mut()
        .health_check_finished(now, check.server, result.outcome);
}

/// Queries the remaining warm-up time of a server by a health check, if its service limits requests
/// during warm-up.
fn query_warmup(gate: &Rc<Gate>, instance: Arc<str>, checks: &Tasks) {
    let Some(server) = gate.accepting_server(&instance) else {
        return;
    };
    if !gate.limits.borrow().is_limited(&server.service) {
        return;
    }
    let Some(path) = health_check_path(gate, &server.service) else {
        return;
    };
    let gate = Rc::clone(gate);
    checks.spawn("warm-up check", async move {
        let sent_at = gate.clock.now();
        let result = send_check(&gate, server.address, &path, &instance).await;
        record_warmup(&gate, sent_at, &instance, &result);
    });
}

fn health_check_path(gate: &Gate, name: &str) -> Option<Box<str>> {
    let table = Arc::clone(gate.decider.borrow().table());
    let service = table
        .services()
        .iter()
        .find(|service| *service.name == *name)?;
    Some(service.health_check.clone())
}

fn record_warmup(gate: &Gate, sent_at: Micros, instance: &Arc<str>, result: &HealthCheckResult) {
    if let Some(remaining_ms) = result.warmup_remaining_ms {
        gate.limits.borrow_mut().record_health_check(
            gate.clock.now(),
            sent_at,
            instance,
            remaining_ms,
        );
    }
}

/// Sends one health check and waits for its result.
async fn send_check(
    gate: &Gate,
    address: SocketAddr,
    path: &str,
    instance: &str,
) -> HealthCheckResult {
    let state = AttemptState::new(AttemptOptions {
        delivery: Delivery::PassThrough,
        ..AttemptOptions::default()
    });
    let request = gate
        .upstream
        .client(address)
        .get(format!("http://{address}{path}"))
        .no_decompress();
    // As for an attempt: yields once, so that a connection that the server has already closed is
    // noticed before the request is written.
    tokio::task::yield_now().await;
    let sent = tokio::time::timeout(CHECK_TIMEOUT, state.scope(request.send())).await;
    let Ok(Ok(mut response)) = sent else {
        return HealthCheckResult {
            outcome: HealthCheckOutcome::Unhealthy,
            warmup_remaining_ms: None,
        };
    };
    let outcome = outcome_of(response.status(), response.headers(), instance);
    let warmup_remaining_ms = warmup_remaining_ms(response.headers());
    // The connection can be reused only if the body is read to its end; otherwise it is closed.
    let _ = tokio::time::timeout(CHECK_TIMEOUT, response.body()).await;
    HealthCheckResult {
        outcome,
        warmup_remaining_ms: (outcome == HealthCheckOutcome::Healthy)
            .then_some(warmup_remaining_ms),
    }
}

fn outcome_of(status: StatusCode, headers: &HeaderMap, instance: &str) -> HealthCheckOutcome {
    let is_same_instance =
        headers::text(headers, headers::INSTANCE_ID).is_none_or(|id| id == instance);
    let is_rejected = headers.contains_key(headers::NOT_EXECUTED);
    match status {
        _ if !is_same_instance => HealthCheckOutcome::WrongInstance,
        StatusCode::OK => HealthCheckOutcome::Healthy,
        _ if is_rejected => HealthCheckOutcome::Full,
        _ => HealthCheckOutcome::Unhealthy,
    }
}

fn warmup_remaining_ms(headers: &HeaderMap) -> f64 {
    headers::text(headers, headers::WARMUP)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0.0)
}
