//! The judge: observes what truly happens at clients and servers, not what policies report.
//!
//! It counts how operations end (an operation is what a client wants, with all its tries) and
//! records violations of the four rules. It also computes the digest of a run.

mod service;
mod violation;
mod warm_up_load;

use ironmast_balancer::Micros;
use xxhash_rust::xxh3::Xxh3;

use crate::scenario::{Scenario, millis};

pub use service::{COLUMNS, Counts};
pub(crate) use service::{EndedOperation, OperationOutcome, ServiceRecord};
pub(crate) use violation::ViolationLog;
pub use violation::{Rule, Violation};
use warm_up_load::WarmUpLoad;
pub(crate) use warm_up_load::WarmUpWork;

/// The kind of the fact that an operation ended, in the digest.
const OPERATION_ENDED: u8 = 1;

/// Counts, checks and digests one run.
pub(crate) struct Judge {
    origin: Micros,
    drain_grace: Micros,
    warm_up_load: WarmUpLoad,
    digest: Xxh3,
    /// How operations ended.
    pub service: ServiceRecord,
    /// Violations of the rules.
    pub violations: ViolationLog,
}

impl Judge {
    /// A judge for a run of a scenario whose clock starts at `origin`.
    pub(crate) fn new(scenario: &Scenario, origin: Micros) -> Self {
        Judge {
            origin,
            drain_grace: millis(scenario.rules.drain_grace_ms),
            warm_up_load: WarmUpLoad::new(scenario),
            digest: Xxh3::new(),
            service: ServiceRecord::new(scenario, origin),
            violations: ViolationLog::default(),
        }
    }

    /// Adds a fact to the digest. `kind` distinguishes kinds of facts.
    pub(crate) fn record_fact(&mut self, kind: u8, parts: [u64; 3]) {
        let mut bytes = [0; 25];
        bytes[0] = kind;
        for (chunk, part) in bytes[1..].chunks_exact_mut(8).zip(parts) {
            chunk.copy_from_slice(&part.to_le_bytes());
        }
        self.digest.update(&bytes);
    }

    /// The digest of all facts so far.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// Records a violation of a rule.
    pub(crate) fn record_violation(
        &mut self,
        rule: Rule,
        at: Micros,
        proxy: u32,
        server: Option<u32>,
        request: Option<u64>,
        description: impl Into<String>,
    ) {
        self.violations.record(Violation {
            rule,
            at_s: (at - self.origin) as f64 / 1e6,
            proxy,
            server,
            request,
            description: description.into(),
        });
    }

    /// Records that an operation ended.
    pub(crate) fn operation_ended(&mut self, operation: &EndedOperation) {
        let parts = [
            operation.number,
            operation.outcome.code(),
            u64::from(operation.proxy),
        ];
        self.record_fact(OPERATION_ENDED, parts);
        self.service.add(operation);
    }

    /// Checks a request that was sent to a server which, as the proxy was notified at `notified`,
    /// is draining or removed.
    pub(crate) fn check_send_after_drain(
        &mut self,
        at: Micros,
        notified: Micros,
        proxy: u32,
        server: u32,
        request: u64,
    ) {
        if at <= notified + self.drain_grace {
            return;
        }
        let after_ms = (at - notified) as f64 / 1e3;
        let description =
            format!("sent {after_ms:.0} ms after it was told that the server drains or is gone");
        self.record_violation(
            Rule::NoSendAfterDrain,
            at,
            proxy,
            Some(server),
            Some(request),
            description,
        );
    }

    /// Records work that reached a server while it warms up. Returns whether the server is
    /// overloaded and fails.
    ///
    /// The rule is violated if two thirds of the work came from informed proxies.
    #[must_use]
    pub(crate) fn work_reached_warming_server(&mut self, arrival: WarmUpWork) -> bool {
        let Some(overload) = self.warm_up_load.add(arrival) else {
            return false;
        };
        if overload.avoidable {
            let description = format!(
                "{:.0} ms of work in its window, it bears {:.0} ms",
                overload.received / 1e3,
                overload.limit / 1e3
            );
            self.record_violation(
                Rule::NoWarmUpOverload,
                arrival.at,
                arrival.proxy,
                Some(arrival.server),
                None,
                description,
            );
        }
        true
    }

    /// Records that a server is warm, or down.
    pub(crate) fn warm_up_ended(&mut self, server: u32) {
        self.warm_up_load.remove(server);
    }
}

#[cfg(test)]
mod tests;
