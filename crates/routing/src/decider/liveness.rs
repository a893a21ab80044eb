//! Looking after what gives no sign: quiet attempts, and ejected servers that no request tries.

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::{HealthCheck, ProgressCheck};
use crate::endpoints::Endpoint;
use crate::request::Call;
use crate::table::RouteKind;

/// An attempt without a first byte is looked at after this many times the usual.
const STALL_FACTOR: f64 = 4.0;
/// A stream is looked at after a pause of this many times the longest that is in time, and no
/// sooner than that.
const STREAM_STALL_FACTOR: u64 = 2;
const MIN_STREAM_STALL: Micros = 1_000_000;

/// A server that owes an answer is asked for a sign after this many times what makes it quiet.
const UNRESPONSIVE_FACTOR: u64 = 2;
/// It is asked again after so long.
const HEALTH_CHECK_INTERVAL: Micros = 2_000_000;

impl Decider {
    /// The attempt that is out has been quiet: whether to end it and go on elsewhere. Only where
    /// nothing at all is heard of its server, for one that works on others still works on this one.
    pub fn check_progress(&self, now: Micros, call: &Call) -> ProgressCheck {
        let open = call
            .attempts
            .last()
            .filter(|attempt| attempt.outcome.is_none() && !call.done);
        let Some((attempt, patience)) = open.zip(self.patience(call)) else {
            return ProgressCheck::Ignore;
        };
        let sign = self
            .endpoints
            .get(attempt.server)
            .map_or(0, |node| node.last_heard);
        let heard = sign.max(attempt.sent).max(call.last_byte_at);
        match heard + patience <= now {
            true => ProgressCheck::FailOver,
            false => ProgressCheck::Wait {
                until: heard + patience,
            },
        }
    }

    /// How long nothing may be heard before the request goes elsewhere; none where it cannot.
    fn patience(&self, call: &Call) -> Option<Micros> {
        let spec = &call.request.route.spec;
        if !call.is_idempotent() || call.arrived_attempts() >= spec.max_attempts as usize {
            return None;
        }
        if call.head_forwarded {
            let gap = spec
                .max_event_gap_ms
                .filter(|_| spec.kind != RouteKind::Idempotent)?;
            return Some((gap.saturating_mul(1000 * STREAM_STALL_FACTOR)).max(MIN_STREAM_STALL));
        }
        let usual = self.baselines.first(&call.request.route) * STALL_FACTOR;
        Some((usual as Micros).max(call.latency_objective()))
    }

    /// Appends the health checks that are due: of ejected servers that no request has tried since
    /// their rest ended, of servers that owe an answer and are quiet for long, and of one server of
    /// each region that gives no sign.
    pub fn due_health_checks(&mut self, now: Micros, out: &mut Vec<HealthCheck>) {
        let first = out.len();
        let due = self
            .endpoints
            .listed()
            .filter(|node| self.probe_is_due(now, node));
        out.extend(due.filter_map(|node| self.probe(node)));
        self.check_unreachable_regions(now, out);
        for probe in &out[first..] {
            if let Some(node) = self.endpoints.get_mut(probe.server) {
                node.health.trial = true;
                node.health_checked_at = now;
            }
        }
    }

    fn probe(&self, node: &Endpoint) -> Option<HealthCheck> {
        let service = self.table.service(&node.spec.service)?;
        Some(HealthCheck {
            server: node.handle,
            address: node.spec.address,
            expect_instance: node.spec.instance.clone(),
            path: self.table.services()[service as usize].health_check.clone(),
        })
    }

    /// Asks the server of each dark region that was asked longest ago: the region counts as reached
    /// by its answer.
    fn check_unreachable_regions(&mut self, now: Micros, out: &mut Vec<HealthCheck>) {
        let patience = self.settings.unresponsive_after;
        let quiet = |region: &str| {
            let there = self
                .endpoints
                .listed()
                .filter(|node| *node.spec.region == *region);
            there
                .filter(|node| node.is_unresponsive(now, patience))
                .count()
        };
        let own = &self.settings.region;
        let is_dark = |region: &str| {
            *region != **own
                && self
                    .reachability
                    .is_dark(now, region, patience, || quiet(region))
        };
        let mut dark: Vec<&Endpoint> = Vec::new();
        let open = self
            .endpoints
            .listed()
            .filter(|node| node.is_eligible() && !node.health.trial);
        for node in open {
            match dark
                .iter_mut()
                .find(|known| known.spec.region == node.spec.region)
            {
                Some(known) if node.health_checked_at < known.health_checked_at => *known = node,
                Some(_) => {}
                None if is_dark(&node.spec.region) => dark.push(node),
                None => {}
            }
        }
        let asked: Vec<_> = dark
            .into_iter()
            .filter_map(|node| Some((node.spec.region.clone(), self.probe(node)?)))
            .collect();
        out.extend(
            asked
                .into_iter()
                .filter(|(region, _)| self.reachability.ask(now, region))
                .map(|(_, probe)| probe),
        );
    }

    fn probe_is_due(&self, now: Micros, node: &Endpoint) -> bool {
        if !node.is_eligible() || node.health.trial {
            return false;
        }
        match node.health.ejected() {
            Some(ejected) => {
                ejected
                    .until
                    .saturating_add(self.settings.health_check_after)
                    <= now
            }
            None => {
                self.is_dark(now, node)
                    && node.health_checked_at.saturating_add(HEALTH_CHECK_INTERVAL) <= now
            }
        }
    }

    /// True where nothing was heard of a server that owes an answer for much longer than makes it
    /// quiet.
    pub(super) fn is_dark(&self, now: Micros, node: &Endpoint) -> bool {
        node.is_unresponsive(
            now,
            self.settings
                .unresponsive_after
                .saturating_mul(UNRESPONSIVE_FACTOR),
        )
    }
}
