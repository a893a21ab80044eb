//! The judge evaluates a run from the true events at clients and servers, not from what policies
//! report.
//!
//! The judge counts operations by outcome (an operation is one request of a client, including all
//! its tries), records violations of the four rules, and computes the digest of the run.

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

/// Tag of the digest record for the end of an operation.
const OPERATION_ENDED: u8 = 1;

/// Records the service, the rule violations and the digest of one run.
pub(crate) struct Judge {
    origin: Micros,
    drain_grace: Micros,
    warm_up_load: WarmUpLoad,
    digest: Xxh3,
    /// The outcomes of operations and the value that they earned.
    pub service: ServiceRecord,
    /// The recorded violations of the rules.
    pub violations: ViolationLog,
}

impl Judge {
    /// Creates the judge for a run whose clock starts at `origin`.
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

    /// Adds a record to the digest. `kind` is a tag that distinguishes the kinds of records.
    pub(crate) fn record_fact(&mut self, kind: u8, parts: [u64; 3]) {
        let mut bytes = [0; 25];
        bytes[0] = kind;
        for (chunk, part) in bytes[1..].chunks_exact_mut(8).zip(parts) {
            chunk.copy_from_slice(&part.to_le_bytes());
        }
        self.digest.update(&bytes);
    }

    /// The digest of all records so far.
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

    /// Adds an operation that ended to the service record and the digest.
    pub(crate) fn operation_ended(&mut self, operation: &EndedOperation) {
        let parts = [
            operation.number,
            operation.outcome.code(),
            u64::from(operation.proxy),
        ];
        self.record_fact(OPERATION_ENDED, parts);
        self.service.add(operation);
    }

    /// Checks an attempt that was sent to a draining or removed server; the proxy was notified of
    /// that state at `notified`. Within the drain grace period the attempt is permitted.
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
        let description = format!(
            "sent {after_ms:.0} ms after the proxy was notified that the server is draining or removed"
        );
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
    /// An overload violates the rule only if at least two thirds of the work came from proxies that
    /// knew that the server had started.
    #[must_use]
    pub(crate) fn work_reached_warming_server(&mut self, arrival: WarmUpWork) -> bool {
        let Some(overload) = self.warm_up_load.add(arrival) else {
            return false;
        };
        if overload.avoidable {
            let description = format!(
                "server received {:.0} ms of work in the overload window while warming up, limit {:.0} ms",
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

    /// Ends the tracking of a server whose warm-up is complete or that is down.
    pub(crate) fn warm_up_ended(&mut self, server: u32) {
        self.warm_up_load.remove(server);
    }
}

#[cfg(test)]
mod tests;
