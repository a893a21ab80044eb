//! Prompts that wait to be read: what gates tell each other of them, and how fast servers read.

use std::sync::Arc;

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::ServerHandle;
use crate::endpoints::Endpoint;
use crate::prefill::PrefillRate;

/// A change of what waits at a server is worth telling from this part of the objective of its
/// service on.
const SIGNIFICANT_CHANGE: f64 = 0.02;

/// What a gate tells the other gates of its region. Servers go by the hash of their instance, the
/// same at every gate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    /// What it has out that waits to be read.
    pub pending_prefill: Vec<PendingPrefill>,
    /// Servers that seem out of order to it: they owe an answer and give no sign, or an attempt
    /// there has just broken off.
    pub suspect: Vec<u64>,
}

/// Tokens of prompts that wait at one server, by the hash of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPrefill {
    /// The hash, the same at every gate.
    pub server: u64,
    /// The tokens.
    pub tokens: u64,
}

impl Decider {
    /// What this gate has to tell the other gates of its region.
    pub fn peer_report(&self, now: Micros) -> PeerReport {
        let waiting = self.endpoints.listed().filter(|node| node.unread.own() > 0);
        let suspect = self
            .endpoints
            .listed()
            .filter(|node| node.is_suspect(now, self.settings.unresponsive_after));
        PeerReport {
            pending_prefill: waiting
                .map(|node| PendingPrefill {
                    server: node.hash,
                    tokens: node.unread.own(),
                })
                .collect(),
            suspect: suspect.map(|node| node.hash).collect(),
        }
    }

    /// Whether what there is to tell now differs from what was told by as much as would change a
    /// decision.
    pub fn is_significant_change(&self, told: &PeerReport, news: &PeerReport) -> bool {
        if told.suspect != news.suspect {
            return true;
        }
        let tokens = |of: &PeerReport, server: u64| {
            of.pending_prefill
                .iter()
                .find(|unread| unread.server == server)
                .map_or(0, |unread| unread.tokens)
        };
        let weighs = |node: &Endpoint| {
            let change = tokens(told, node.hash).abs_diff(tokens(news, node.hash));
            let Some(service) = self.table.service(&node.spec.service) else {
                return false;
            };
            let least =
                self.table.latency_objective_ms(service) as f64 * 1_000.0 * SIGNIFICANT_CHANGE;
            let time = self.pace(service).over(change);
            change > 0 && (time == 0.0 || time >= least)
        };
        self.endpoints.listed().any(weighs)
    }

    /// A peer told the whole of its news.
    pub fn apply_peer_report(&mut self, now: Micros, peer: u64, news: &PeerReport) {
        for node in self.endpoints.listed_mut() {
            let here = news
                .pending_prefill
                .iter()
                .filter(|unread| unread.server == node.hash);
            node.unread.told(
                now,
                peer,
                here.map(|unread| unread.tokens).max().unwrap_or(0),
            );
            node.suspicions
                .told(now, peer, news.suspect.contains(&node.hash));
        }
    }

    /// A prompt has been read at a server: it and what was in front of it took that long.
    pub(super) fn record_prefill(
        &mut self,
        server: ServerHandle,
        unread: u64,
        backlog: u64,
        took: Micros,
    ) {
        let Some(node) = self.endpoints.get_mut(server) else {
            return;
        };
        node.unread.release(unread);
        // The way to another region is no reading.
        let near = *node.spec.region == *self.settings.region;
        if backlog > 0 && near {
            let service = node.spec.service.clone();
            self.prefill_rates
                .entry(service)
                .or_default()
                .measured(backlog, took);
        }
    }

    /// The shortest objective of the routes on a server's service, in microseconds.
    pub(super) fn shortest_objective(&self, server: ServerHandle) -> f64 {
        let service = self
            .endpoints
            .get(server)
            .and_then(|node| self.table.service(&node.spec.service));
        service.map_or(0.0, |service| {
            self.table.latency_objective_ms(service) as f64 * 1000.0
        })
    }

    /// How fast servers of a service read.
    pub(super) fn pace(&self, service: u32) -> PrefillRate {
        let name: Option<&Arc<str>> = self
            .table
            .services()
            .get(service as usize)
            .map(|service| &service.name);
        name.and_then(|name| self.prefill_rates.get(name))
            .copied()
            .unwrap_or_default()
    }
}
