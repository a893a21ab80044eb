//! Checks of the rules on a policy's attempts and rejections, against what its proxy had been
//! notified of.

use ironmast_balancer::{Micros, Phase, RequestId};

use super::Simulation;
use super::ids::AttemptId;
use super::proxies::Proxy;
use super::request::Attempt;
use crate::judge::Rule;
use crate::scenario::{DeduplicationGroup, EffectSpec, Scenario, millis, seconds};

/// The limits set by the rules.
pub(super) struct RuleLimits {
    /// The time after its timeout during which a client still accepts a response.
    pub(super) answer_slack: Micros,
    /// The maximum time between two queries by a proxy that does not watch the list.
    pub(super) discovery_interval: Micros,
    /// The maximum number of attempts at one request.
    pub(super) max_attempts: usize,
    /// Whether attempts at one request may be open at the same time.
    pub(super) allow_hedging: bool,
}

impl RuleLimits {
    /// Creates the limits from a scenario.
    pub(super) fn new(scenario: &Scenario) -> Self {
        RuleLimits {
            answer_slack: millis(scenario.rules.answer_slack_ms),
            discovery_interval: seconds(scenario.rules.max_query_interval_s),
            max_attempts: scenario.proxies.max_attempts as usize,
            allow_hedging: scenario.proxies.allow_hedging,
        }
    }
}

/// The factor by which the query interval is longer for a proxy whose last query failed, since no
/// proxy can learn the list during an outage of discovery.
const FAILED_QUERY_EXCUSE: Micros = 4;

impl Simulation<'_> {
    /// Records a violation of a rule that happens now.
    pub(super) fn record_violation(
        &mut self,
        rule: Rule,
        proxy: u32,
        server: Option<u32>,
        operation: Option<u64>,
        description: impl Into<String>,
    ) {
        self.judge
            .record_violation(rule, self.now, proxy, server, operation, description);
    }

    /// Checks an attempt before it is sent. Returns true, and records a violation, if the attempt
    /// must not be sent at all.
    pub(super) fn is_forbidden(&mut self, proxy: u32, server: u32, id: RequestId) -> bool {
        let request = &self.requests[id];
        let number = self.operations[request.operation].number;
        let limits = &self.rule_limits;
        let (rule, description) = if request.finished {
            (
                Rule::OneAnswer,
                "sent an attempt of a request that has its answer",
            )
        } else if request.attempts.len() >= limits.max_attempts {
            (
                Rule::NoEffectTwice,
                "sent more attempts of a request than max_attempts permits",
            )
        } else if request.has_open_attempt() && !limits.allow_hedging {
            let description = "two attempts of one request out together";
            (Rule::NoEffectTwice, description)
        } else if server as usize >= self.machines.len() {
            (
                Rule::NoSendAfterDrain,
                "sent an attempt to an unknown server",
            )
        } else {
            return false;
        };
        self.record_violation(rule, proxy, Some(server), Some(number), description);
        true
    }

    /// Checks the rule that no new request goes to a server that drains or is gone. The rule
    /// applies once the proxy was notified, or would have been if it had queried the list as often
    /// as it must.
    pub(super) fn check_drain(&mut self, number: u32, server: u32, operation: u64) {
        let proxy = &self.proxies[number as usize];
        let notified = proxy.closing_since.get(&server).copied();
        if let Some(at) = notified.or_else(|| self.overdue_notification(proxy, server)) {
            self.judge
                .check_send_after_drain(self.now, at, number, server, operation);
        }
    }

    /// The latest time at which a proxy that does not watch the list would have learned that a
    /// server drains or is gone, if it had queried the list as often as it must. `None` if that is
    /// not due.
    fn overdue_notification(&self, proxy: &Proxy, server: u32) -> Option<Micros> {
        let excuse = if proxy.last_query_failed {
            FAILED_QUERY_EXCUSE
        } else {
            1
        };
        let interval = self.rule_limits.discovery_interval * excuse;
        let is_overdue = !proxy.subscribed
            && !self.discovery.in_outage
            && self.now > proxy.last_contact + interval;
        if !is_overdue {
            return None;
        }
        let changes = self.discovery.changes_since(proxy.list_version);
        let newest = changes.iter().rev().find(|entry| entry.server == server)?;
        (newest.phase != Phase::Ready).then(|| newest.since.max(proxy.last_contact) + interval)
    }

    /// Checks the rule that no effect happens twice for an attempt at a request of a deduplicated
    /// class. Only servers of the deduplication group recognize a duplicate, and only within the
    /// window. Other classes are not checked here: idempotent requests may run again, and the
    /// second execution of a non-idempotent request is detected at the server.
    pub(super) fn check_repeat(&mut self, proxy: u32, server: u32, id: AttemptId) {
        let request = &self.requests[id.request];
        let operation = &self.operations[request.operation];
        let class = &self.scenario.classes[usize::from(operation.class)];
        if class.effect != EffectSpec::Deduplicated {
            return;
        }
        let window = seconds(class.deduplication_window_s);
        let zone = self.machines[server as usize].zone;
        let is_unknown_there = |earlier: &Attempt| {
            let is_outside_group = class.group == DeduplicationGroup::Zone
                && self.machines[earlier.server as usize].zone != zone;
            self.now >= earlier.sent + window || is_outside_group
        };
        let is_harmful = request.attempts[..usize::from(id.index)]
            .iter()
            .filter(|earlier| earlier.may_have_run())
            .any(is_unknown_there);
        if is_harmful {
            let number = operation.number;
            let description = format!(
                "`{}` sent again to a server that cannot recognize the duplicate",
                class.name
            );
            self.record_violation(
                Rule::NoEffectTwice,
                proxy,
                Some(server),
                Some(number),
                description,
            );
        }
    }

    /// Checks the rule that no effect happens twice for a rejection. Clients retry rejected
    /// requests, so that a request that may have run must not be rejected, unless a repeat is
    /// harmless.
    pub(super) fn check_rejection(&mut self, proxy: u32, id: RequestId) {
        let request = &self.requests[id];
        let operation = &self.operations[request.operation];
        let class = &self.scenario.classes[usize::from(operation.class)];
        let is_harmless = match class.effect {
            EffectSpec::Idempotent => true,
            EffectSpec::NonIdempotent => false,
            EffectSpec::Deduplicated => class.group == DeduplicationGroup::All,
        };
        if !is_harmless && request.attempts.iter().any(Attempt::may_have_run) {
            let number = operation.number;
            let description = format!("`{}` refused though it may have run", class.name);
            self.record_violation(Rule::NoEffectTwice, proxy, None, Some(number), description);
        }
    }
}
