//! Reports exchanged between gates about pending prefill and suspect servers, and the prefill rates
//! that convert pending tokens into time.

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::ServerHandle;
use crate::endpoint::Endpoint;
use crate::peer_report::{PeerReport, PendingPrefill};
use crate::prefill_rate::PrefillRate;

/// A change of the tokens pending at a server is significant if their prefill takes at least this
/// fraction of the latency objective of the service.
const SIGNIFICANT_CHANGE: f64 = 0.02;

impl Decider {
    /// The report of this gate to the other gates of its region: the tokens that its requests have
    /// pending at each server, and the servers that it suspects.
    #[must_use]
    pub fn peer_report(&self, now: Micros) -> PeerReport {
        let timeout = self.settings.unresponsive_after;
        let listed = self.endpoints.listed();
        let pending = listed.filter(|endpoint| endpoint.prefill_backlog.own() > 0);
        let listed = self.endpoints.listed();
        let suspect = listed.filter(|endpoint| endpoint.is_suspect(now, timeout));
        PeerReport {
            pending_prefill: pending
                .map(|endpoint| PendingPrefill {
                    server: endpoint.hash,
                    tokens: endpoint.prefill_backlog.own(),
                })
                .collect(),
            suspect: suspect.map(|endpoint| endpoint.hash).collect(),
        }
    }

    /// True if the current report differs from the one sent last by enough to change a decision of
    /// a peer: if the set of suspect servers differs, or if the prefill of the difference in pending
    /// tokens at a server takes at least 2% of the latency objective of the service.
    #[must_use]
    pub fn is_significant_change(&self, sent: &PeerReport, current: &PeerReport) -> bool {
        if sent.suspect != current.suspect {
            return true;
        }
        let mut listed = self.endpoints.listed();
        listed.any(|endpoint| {
            let sent = pending_tokens(sent, endpoint.hash);
            let change = sent.abs_diff(pending_tokens(current, endpoint.hash));
            self.is_significant(endpoint, change)
        })
    }

    /// True if a change of the pending tokens at a server is significant. Every change is while the
    /// prefill rate is unknown.
    fn is_significant(&self, endpoint: &Endpoint, change: u64) -> bool {
        let Some(service) = self.table.service(&endpoint.spec.service) else {
            return false;
        };
        let min_time = self.shortest_objective(service) * SIGNIFICANT_CHANGE;
        let time = self.prefill_rate(service).time_for(change);
        change > 0 && (time == 0.0 || time >= min_time)
    }

    /// Applies a peer's report, which replaces its previous one.
    pub fn apply_peer_report(&mut self, now: Micros, peer: u64, report: &PeerReport) {
        for endpoint in self.endpoints.listed_mut() {
            let pending = report.pending_prefill.iter();
            let of_server = pending.filter(|pending| pending.server == endpoint.hash);
            let tokens = of_server.map(|pending| pending.tokens).max().unwrap_or(0);
            endpoint.prefill_backlog.record_peer(now, peer, tokens);
            if report.suspect.contains(&endpoint.hash) {
                endpoint.suspicions.record(now, peer);
            } else {
                endpoint.suspicions.withdraw(now, peer);
            }
        }
    }

    /// Records that a server has prefilled a prompt: its `pending_tokens` are no longer pending,
    /// and `backlog` tokens, those ahead of it included, took `elapsed`.
    pub(super) fn record_prefill(
        &mut self,
        server: ServerHandle,
        pending_tokens: u64,
        backlog: u64,
        elapsed: Micros,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        endpoint.prefill_backlog.remove(pending_tokens);
        // The network latency to another region would distort the rate.
        let is_local = *endpoint.spec.region == *self.settings.region;
        if backlog > 0 && is_local {
            let service = endpoint.spec.service.clone();
            let prefill_rate = self.prefill_rates.entry(service).or_default();
            prefill_rate.record(backlog, elapsed);
        }
    }

    /// The shortest latency objective of the routes to a service, in microseconds.
    pub(super) fn shortest_objective(&self, service: u32) -> f64 {
        self.table.latency_objective_ms(service) as f64 * 1000.0
    }

    /// The prefill rate of a service's servers.
    pub(super) fn prefill_rate(&self, service: u32) -> PrefillRate {
        let service = self.table.services().get(service as usize);
        let rate = service.and_then(|service| self.prefill_rates.get(&service.name));
        rate.copied().unwrap_or_default()
    }
}

/// Tokens pending at a server according to a report; 0 if it does not list the server.
fn pending_tokens(report: &PeerReport, server: u64) -> u64 {
    let mut pending = report.pending_prefill.iter();
    let of_server = pending.find(|pending| pending.server == server);
    of_server.map_or(0, |pending| pending.tokens)
}
