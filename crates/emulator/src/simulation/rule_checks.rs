//! Checks of the rules on what a policy sends and refuses.

use ironmast_balancer::Phase;

use super::Simulation;
use super::request::{Attempt, request_key};
use crate::judge::Rule;
use crate::scenario::{DeduplicationGroup, EffectSpec, seconds};

impl Simulation<'_> {
    /// Rule 3: a proxy that was notified, or counts as notified because it does not ask.
    pub(super) fn check_drain(&mut self, proxy: u32, server: u32, number: u64) {
        let p = &self.proxies[proxy as usize];
        let mut told = p.closing_since.get(&server).copied();
        // A call that failed excuses for longer; while discovery is out nobody could know.
        let within = self.rule_limits.discovery_interval * if p.last_query_failed { 4 } else { 1 };
        if told.is_none()
            && !p.subscribed
            && !self.discovery.is_out
            && self.now > p.last_contact + within
        {
            let asked = self
                .discovery
                .changes_since(p.list_version)
                .iter()
                .rev()
                .find(|l| l.server == server);
            let closed = asked.filter(|l| l.phase != Phase::Ready);
            told = closed.map(|l| l.since.max(p.last_contact) + within);
        }
        if let Some(told) = told {
            self.judge
                .check_send_after_drain(self.now, told, proxy, server, number);
        }
    }

    /// Rule 2 where servers drop repeats: only those of the group, and only for a while, know of
    /// the first.
    pub(super) fn check_repeat(&mut self, proxy: u32, server: u32, request: u64, n: u8) {
        let held = &self.requests[request_key(request)];
        let op = &self.operations[held.op];
        let spec = &self.scenario.classes[op.class as usize];
        if spec.effect != EffectSpec::Deduplicated {
            return; // free may run again; for `once`, running twice shows it
        }
        let (now, window, zone) = (
            self.now,
            seconds(spec.deduplication_window_s),
            self.machines[server as usize].zone,
        );
        let harmful = held.attempts[..n as usize]
            .iter()
            .filter(|a| a.may_have_run())
            .any(|a| {
                let stranger = spec.group == DeduplicationGroup::Zone
                    && self.machines[a.server as usize].zone != zone;
                now >= a.sent + window || stranger
            });
        if harmful {
            let what = format!(
                "`{}` sent again to where nobody knows of the first",
                spec.name
            );
            self.judge.record_violation(
                Rule::NoEffectTwice,
                now,
                proxy,
                Some(server),
                Some(op.number),
                what,
            );
        }
    }

    /// Rule 2 for refusals: "try again" only where that is harmless.
    pub(super) fn check_refusal(&mut self, proxy: u32, request: u64) {
        let held = &self.requests[request_key(request)];
        let op = &self.operations[held.op];
        let spec = &self.scenario.classes[op.class as usize];
        let harmless = match spec.effect {
            EffectSpec::Idempotent => true,
            EffectSpec::NonIdempotent => false,
            EffectSpec::Deduplicated => spec.group == DeduplicationGroup::All,
        };
        if !harmless && held.attempts.iter().any(Attempt::may_have_run) {
            let what = format!("`{}` refused though it may have run", spec.name);
            self.judge.record_violation(
                Rule::NoEffectTwice,
                self.now,
                proxy,
                None,
                Some(op.number),
                what,
            );
        }
    }
}
