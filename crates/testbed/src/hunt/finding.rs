//! The kinds of findings of a hunt, and the check of a run for them.

use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};

use ironmast_emulator::{PolicyName, Report, Rule, Scenario, Simulation};

/// A run with more events than this for each request counts as one that does not terminate.
const MAX_EVENTS_PER_REQUEST: u64 = 100;

/// The maximum number of requests, with the clients' retries, for each request of the scenario's
/// rate.
const MAX_REQUESTS_PER_ARRIVAL: f64 = 5.0;

/// The number of requests that are allowed in addition; it matters for short scenarios.
const REQUEST_ALLOWANCE: u64 = 10_000;

/// The simulated time between two checks of the number of events, in seconds.
const CHECK_INTERVAL_S: f64 = 0.25;

/// A failure that a scenario shows.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Finding {
    /// A rule was broken; with the circumstances.
    RuleBroken(Rule, String),
    /// A policy or the emulator panicked; with the message.
    Panicked(String),
    /// The run has more events than its requests explain, and counts as endless.
    NonTerminating,
    /// The policy's service is far below the reference's.
    PoorService {
        /// The policy's service.
        service: f64,
        /// The reference's service.
        reference: f64,
    },
}

impl Finding {
    /// Whether another finding is of the same kind.
    pub(super) fn is_same_kind(&self, other: &Finding) -> bool {
        match (self, other) {
            (Finding::RuleBroken(rule, _), Finding::RuleBroken(other, _)) => rule == other,
            (finding, other) => std::mem::discriminant(finding) == std::mem::discriminant(other),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::RuleBroken(rule, circumstances) => write!(f, "{rule} broken: {circumstances}"),
            Finding::Panicked(message) => write!(f, "panic: {message}"),
            Finding::NonTerminating => write!(
                f,
                "the run does not terminate: too many events for its requests"
            ),
            Finding::PoorService { service, reference } => {
                write!(f, "service {service:.3}, the reference has {reference:.3}")
            }
        }
    }
}

/// Runs a scenario and returns its service.
///
/// # Errors
/// The run broke a rule, panicked or did not terminate.
pub(super) fn service(scenario: &Scenario, policy: PolicyName, seed: u64) -> Result<f64, Finding> {
    let run = AssertUnwindSafe(|| run_to_end(scenario, policy, seed));
    let report =
        catch_unwind(run).map_err(|payload| Finding::Panicked(panic_message(&*payload)))??;
    match report.violations.first() {
        Some(violation) => Err(Finding::RuleBroken(
            violation.rule,
            format!(
                "{} (at {:.3} s, proxy {})",
                violation.description, violation.at_s, violation.proxy
            ),
        )),
        None => Ok(report.service),
    }
}

/// Runs a scenario until it is over or has too many events.
fn run_to_end(scenario: &Scenario, policy: PolicyName, seed: u64) -> Result<Report, Finding> {
    let mut simulation = Simulation::new(scenario, policy, seed);
    let max_events = max_events(scenario);
    let mut until_s = 0.0;
    loop {
        until_s += CHECK_INTERVAL_S;
        // Requests that began within the scenario's length may end after it.
        let is_last = until_s > scenario.length_s;
        if simulation.run_to(if is_last {
            f64::from(u32::MAX)
        } else {
            until_s
        }) {
            return Ok(simulation.report());
        }
        if simulation.events() > max_events {
            return Err(Finding::NonTerminating);
        }
    }
}

fn max_events(scenario: &Scenario) -> u64 {
    let requests = scenario.clients.rate * scenario.length_s * MAX_REQUESTS_PER_ARRIVAL;
    let max_requests = requests as u64 + REQUEST_ALLOWANCE;
    max_requests.saturating_mul(MAX_EVENTS_PER_REQUEST)
}

/// The message of a panic; empty if it has none.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message.clone();
    }
    let message = payload.downcast_ref::<&str>();
    message.copied().unwrap_or_default().to_string()
}
