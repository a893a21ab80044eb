//! Server selection: candidates (the zone test of KEP-4444, spillover, health), then shuffled, weighted
//! round robin among them, or rendezvous hashing with bounded loads by key.

use super::Balancer;
use crate::api::{Effect, Group, ServerId};
use crate::fleet::SAMPLE_SIZE;
use crate::locality::{ByLocality, Locality};
use crate::node::Node;
use crate::open_request::{Attempt, OpenRequest};
use crate::rng::{mix, unit};

/// Fraction by which a server may exceed its even share with key affinity before requests go to the
/// key's next server.
const BOUNDED_LOAD_MARGIN: f64 = 0.1;
/// Factor by which slowness above the candidates' mean reduces a server's share.
const SLOWNESS_TRIM: f64 = 1.5;
/// Minimum fraction of a share that remains after this reduction.
const MIN_TRIMMED_SHARE: f64 = 0.1;
/// Bound on how far a server may fall behind or exceed its share, in requests.
const MAX_CREDIT: f64 = 10.0;

/// Which servers a search for candidates considers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Search {
    /// Healthy servers to which no attempt at the request was sent.
    Healthy,
    /// All servers to which no attempt was sent.
    Untried,
    All,
}

/// The weights of one candidate: for round robin, and for rendezvous hashing.
struct Weight {
    share: f64,
    size: f64,
}

impl Balancer {
    /// The servers with capacity that a request may be sent to. `PreferClose`: the usable servers of
    /// the own zone or, if there are none, of all zones. If no healthy server is left, health is
    /// ignored (panic mode). Servers at their limit count as usable until the request may spill over.
    pub(super) fn candidates(&self, open: &OpenRequest) -> Vec<ServerId> {
        // One request at a time from each of many balancers could overload a server.
        let has_locality_capacity = ByLocality::from_fn(|locality| {
            let load = self.locality_load(locality, open.request.class);
            load.in_flight + 1.0 <= load.limit.max(1.0) && self.paused_until[locality] <= self.now
        });
        let has_capacity = |node: &&Node| {
            has_locality_capacity[self.fleet.locality(node.server.zone)] && self.has_capacity(node)
        };
        for search in [Search::Healthy, Search::Untried, Search::All] {
            let mut found = self.search(open, Locality::Local, search, has_capacity);
            let may_spill = open.spill_at <= self.now;
            if found.is_empty() || may_spill && !found.iter().any(has_capacity) {
                found.extend(self.search(open, Locality::Remote, search, has_capacity));
            }
            if !found.is_empty() {
                let free = found.into_iter().filter(has_capacity);
                return free.map(|node| node.server.id).collect();
            }
        }
        Vec::new()
    }

    /// The servers of a locality that a request may be sent to.
    fn search(
        &self,
        open: &OpenRequest,
        locality: Locality,
        search: Search,
        has_capacity: impl Fn(&&Node) -> bool,
    ) -> Vec<&Node> {
        let class = open.request.class;
        // An ejected server gets an idempotent request as a trial once its ejection and the pause of
        // its locality are over; where probes are allowed, maintenance sends a probe instead.
        let is_idempotent = self.settings.classes[class].effect == Effect::Idempotent;
        let is_trial_due = is_idempotent
            && !self.settings.limits.probes
            && self.paused_until[locality] <= self.now;
        // Skips the scan of a locality without healthy servers.
        if search == Search::Healthy && !is_trial_due && self.fleet.load(locality).healthy == 0 {
            return Vec::new();
        }
        let is_healthy = |node: &Node| {
            let is_due = |until| is_trial_due && until <= self.now;
            node.ejected.is_none_or(|ejection| is_due(ejection.until))
                && self.serves_class(node, class)
        };
        let is_usable = |node: &&Node| {
            (search != Search::Healthy || is_healthy(node))
                && (search == Search::All || !open.was_tried(node.server.id))
                && self.may_send(open, node)
                && !self.failure_detector.is_unreachable(node.server.zone)
        };
        self.usable(locality, is_usable, has_capacity)
    }

    /// The servers of a locality to choose from. One of many balancers uses a subset, in an order of
    /// its own and regardless of capacity, so that full servers do not widen it. Others use all or,
    /// if there are very many, a sample, with capacity if possible.
    pub(super) fn usable(
        &self,
        locality: Locality,
        is_usable: impl Fn(&&Node) -> bool,
        has_capacity: impl Fn(&&Node) -> bool,
    ) -> Vec<&Node> {
        let subset_size = self.peer_load.subset_size(self.now);
        if subset_size == usize::MAX {
            let from = (!self.settings.key_affinity).then_some(self.round_robin_position);
            return self.fleet.sample(locality, from, is_usable, has_capacity);
        }
        // Requests must not wait for warming servers while others further on have capacity.
        let is_offered = |(index, node): &(usize, &Node)| {
            self.warmth(node) >= 1.0 || *index < subset_size && node.warm_up_budget >= 1.0
        };
        let ring = self.fleet.ring(locality, 0).filter(is_usable).enumerate();
        let offered = ring.filter(is_offered).map(|(_, node)| node);
        offered.take(subset_size).collect()
    }

    /// Whether rule 2 permits an attempt at a server: a request that may have run is retried only where
    /// and while that is safe.
    pub(super) fn may_send(&self, open: &OpenRequest, node: &Node) -> bool {
        let effect = self.settings.classes[open.request.class].effect;
        let is_safe = |attempt: &Attempt| match effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated {
                group: Group::Zone, ..
            } if attempt.zone != node.server.zone => false,
            Effect::Deduplicated {
                group: Group::Cell, ..
            } if attempt.cell != node.server.cell => false,
            Effect::Deduplicated { window, .. } => self.now < attempt.sent + window,
        };
        let may_overlap = self.settings.limits.allow_hedging || open.in_flight() == 0;
        may_overlap
            && open
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_run())
                .all(is_safe)
    }

    /// Weighted round robin by credit: each pick credits every candidate with its share and takes one
    /// from the chosen server. With key affinity, the key's rendezvous hash chooses among the
    /// candidates within their load bound.
    pub(super) fn pick(&mut self, candidates: &[ServerId], key: Option<u64>) -> Option<ServerId> {
        let key = key.filter(|_| self.settings.key_affinity);
        let weights = self.weights(candidates);
        let total: f64 = weights.iter().map(|weight| weight.share).sum();
        let rate = 1.0 + key.map_or(0.0, |_| BOUNDED_LOAD_MARGIN);
        let (mut chosen, mut best) = (None, (false, f64::NEG_INFINITY));
        for (id, weight) in candidates.iter().zip(weights) {
            let Some(node) = self.fleet.get_mut(*id) else {
                continue;
            };
            let credit = node.credit + rate * weight.share / total;
            node.credit = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
            let rank = match key.filter(|_| node.credit > 0.0) {
                Some(key) => (true, rendezvous_score(key, *id, weight.size)),
                None => (false, node.credit),
            };
            if rank > best {
                (chosen, best) = (Some(*id), rank);
            }
        }
        if let Some(node) = chosen.and_then(|id| self.fleet.get_mut(id)) {
            node.credit -= 1.0;
        }
        let step = if chosen.is_some() { 1 } else { SAMPLE_SIZE };
        self.round_robin_position = self.round_robin_position.wrapping_add(step);
        chosen
    }

    /// The weights of servers: by size, reduced while they warm up or are slower than the others.
    fn weights(&self, servers: &[ServerId]) -> Vec<Weight> {
        let nodes = || servers.iter().filter_map(|id| self.fleet.get(*id));
        let mean_slowness =
            nodes().map(|node| node.slowness).sum::<f64>() / servers.len().max(1) as f64;
        let weight = |node: &Node| {
            let size = node.size(&self.settings, self.mean_size);
            let warmth = (self.warmth(node) / node.warm_up_chance).min(1.0);
            let trim = 1.0 - SLOWNESS_TRIM * (node.slowness - mean_slowness);
            Weight {
                share: size * warmth * trim.clamp(MIN_TRIMMED_SHARE, 1.0),
                size,
            }
        };
        nodes().map(weight).collect()
    }
}

/// The score of a server for a key in weighted rendezvous hashing; the highest is chosen.
fn rendezvous_score(key: u64, server: ServerId, size: f64) -> f64 {
    let hash = unit(mix(key ^ mix(server.0)));
    -size / hash.max(f64::MIN_POSITIVE).ln()
}
