//! Health checks of servers: of those set aside that no request tries, and of those that may have
//! turned cold.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use ironmast_routing::{HealthCheck, HealthCheckOutcome, Micros};
use ironmast_transport::attempt::{AttemptOptions, AttemptState, Delivery};

use crate::attempt::INSTANCE_ID;
use crate::gate::Gate;

/// How often is looked for servers to be checked.
const EVERY: Duration = Duration::from_millis(200);
/// A check is given up after this.
const WITHIN: Duration = Duration::from_secs(1);
/// How much longer a server is cold, in ms.
const WARMUP: &str = "x-ironmast-warmup-ms";
/// Limits forget what is old once in so many looks.
const SWEEP: u32 = 25;

/// What a check told.
struct Told {
    outcome: HealthCheckOutcome,
    /// Of a server that is well, how much longer it is cold, in ms.
    warmup_left: Option<f64>,
}

/// Checks servers for as long as the gate lives.
pub(crate) async fn run(gate: Rc<Gate>) {
    let mut probes = Vec::new();
    for round in 0_u32.. {
        tokio::time::sleep(EVERY).await;
        gate.decider
            .borrow_mut()
            .due_health_checks(gate.clock.now(), &mut probes);
        for probe in probes.drain(..) {
            actix_rt::spawn(check(Rc::clone(&gate), probe));
        }
        let disturbed = gate.limits.borrow_mut().take_disturbed();
        for instance in disturbed {
            ask_warmup(&gate, instance);
        }
        if round % SWEEP == 0 {
            let known = |instance: &str| gate.is_open(instance);
            gate.limits.borrow_mut().sweep(gate.clock.now(), known);
        }
    }
}

async fn check(gate: Rc<Gate>, probe: HealthCheck) {
    let sent = gate.clock.now();
    let told = ask(&gate, probe.address, &probe.path, &probe.expect_instance).await;
    note_warmup(&gate, sent, &probe.expect_instance, &told);
    let now = gate.clock.now();
    gate.decider
        .borrow_mut()
        .health_check_finished(now, probe.server, told.outcome);
}

/// Asks a server how much longer it is cold, where that matters.
fn ask_warmup(gate: &Rc<Gate>, instance: Arc<str>) {
    let Some(server) = gate.open_server(&instance) else {
        return;
    };
    if !gate.limits.borrow().is_limited(&server.service) {
        return;
    }
    let table = Arc::clone(gate.decider.borrow().table());
    let Some(service) = table
        .services()
        .iter()
        .find(|service| service.name == server.service)
    else {
        return;
    };
    let path = service.health_check.clone();
    let gate = Rc::clone(gate);
    actix_rt::spawn(async move {
        let sent = gate.clock.now();
        let told = ask(&gate, server.address, &path, &instance).await;
        note_warmup(&gate, sent, &instance, &told);
    });
}

fn note_warmup(gate: &Gate, sent: Micros, instance: &Arc<str>, told: &Told) {
    if let Some(left) = told.warmup_left {
        gate.limits
            .borrow_mut()
            .health(gate.clock.now(), sent, instance, left);
    }
}

async fn ask(gate: &Gate, address: SocketAddr, path: &str, instance: &str) -> Told {
    let state = AttemptState::new(AttemptOptions {
        delivery: Delivery::PassThrough,
        ..AttemptOptions::default()
    });
    let call = gate
        .upstream
        .client(address)
        .get(format!("http://{address}{path}"))
        .no_decompress();
    tokio::task::yield_now().await;
    let asked = tokio::time::timeout(WITHIN, state.scope(call.send())).await;
    let Ok(Ok(mut answer)) = asked else {
        return Told {
            outcome: HealthCheckOutcome::Unhealthy,
            warmup_left: None,
        };
    };
    let text = |name: &str| {
        answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let same = text(INSTANCE_ID).is_none_or(|id| id == instance);
    let turned_away = answer.headers().contains_key("x-ironmast-not-executed");
    let left = text(WARMUP)
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0);
    let outcome = match answer.status() {
        _ if !same => HealthCheckOutcome::WrongInstance,
        StatusCode::OK => HealthCheckOutcome::Healthy,
        _ if turned_away => HealthCheckOutcome::Full,
        _ => HealthCheckOutcome::Unhealthy,
    };
    // Read to its end, so that the connection can be used again.
    let _ = tokio::time::timeout(WITHIN, answer.body()).await;
    Told {
        outcome,
        warmup_left: (outcome == HealthCheckOutcome::Healthy).then_some(left),
    }
}
