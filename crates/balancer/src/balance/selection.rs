//! Which server a request is sent to: the candidates (the zone test of KEP-4444, spillover, health),
//! then a shuffled, weighted round robin among them, or bounded-load rendezvous hashing by key.

use super::Balancer;
use crate::api::{Effect, Group, ServerId};
use crate::fleet::SAMPLE_SIZE;
use crate::node::Node;
use crate::open_request::{Attempt, OpenRequest};
use crate::rng::{mix, unit};

/// With key affinity, a server may exceed its even share by this part before the key's next server
/// takes over.
const BOUNDED_LOAD_MARGIN: f64 = 0.1;
/// How far average slowness above the other servers' trims a share, and the least that remains.
const SLOWNESS_TRIM: (f64, f64) = (1.5, 0.1);
/// How far a server may run behind or ahead of its even share, in requests.
const MAX_CREDIT: f64 = 10.0;

impl Balancer {
    /// `PreferClose`: the usable servers of the own zone; if there are none, those of all zones. If
    /// health leaves none at all, it is ignored (panic mode). Servers at their limit count as usable
    /// until the request has waited as long as crossing zones costs; then it spills over.
    pub(super) fn candidates(&self, open: &OpenRequest) -> Vec<ServerId> {
        let effect = self.settings.classes[open.request.class].effect;
        let allow_trials = effect == Effect::Idempotent && !self.settings.limits.probes;
        // Guards a server against many balancers that each send it one request at a time.
        let has_zone_capacity = [false, true].map(|own| {
            let (in_flight, limit) = self.zone_load(own, open.request.class);
            in_flight + 1.0 <= limit.max(1.0) && self.paused_until[usize::from(own)] <= self.now
        });
        let has_capacity = |node: &&Node| {
            has_zone_capacity[usize::from(node.server.zone == self.settings.zone)]
                && self.has_capacity(node)
        };
        let was_tried = |id: ServerId| open.attempts.iter().any(|attempt| attempt.server == id);
        for (by_health, allow_tried) in [(true, false), (false, false), (false, true)] {
            let usable = |own: bool| {
                // An ejected server gets an idempotent request as a trial once its ejection and the
                // pause of its zone are over; where probes are allowed, `maintain` sends one.
                let is_trial_due = allow_trials && self.paused_until[usize::from(own)] <= self.now;
                let is_usable = |node: &&Node| {
                    let is_healthy = node
                        .ejected
                        .is_none_or(|(_, until)| is_trial_due && until <= self.now);
                    (!by_health || is_healthy && self.serves_class(node, open.request.class))
                        && (allow_tried || !was_tried(node.server.id))
                        && self.may_send(open, node)
                        && !self.failure_detector.is_unreachable(node.server.zone)
                };
                // The first test avoids the scan of a side that is ejected as a whole.
                let is_side_ejected =
                    by_health && !is_trial_due && self.fleet.load(own).healthy == 0;
                if is_side_ejected {
                    Vec::new()
                } else {
                    self.usable(own, is_usable, has_capacity)
                }
            };
            let mut set = usable(true);
            if set.is_empty() || open.spill_at <= self.now && !set.iter().any(has_capacity) {
                set.extend(usable(false));
            }
            if !set.is_empty() {
                return set
                    .into_iter()
                    .filter(has_capacity)
                    .map(|node| node.server.id)
                    .collect();
            }
        }
        Vec::new()
    }

    /// The servers of a side to choose from: the subset of one of many balancers, in an order of its
    /// own and regardless of capacity, so that full servers do not widen it; of a very large side a
    /// sample, with capacity if possible; otherwise all.
    pub(super) fn usable(
        &self,
        own: bool,
        is_usable: impl Fn(&&Node) -> bool,
        has_capacity: impl Fn(&&Node) -> bool,
    ) -> Vec<&Node> {
        let subset_size = self.peer_load.subset_size(self.now);
        if subset_size == usize::MAX {
            let from = (!self.settings.key_affinity).then_some(self.round_robin_position);
            return self.fleet.sample(own, from, is_usable, has_capacity);
        }
        // Guards against waiting for warming servers while others further on have capacity.
        let is_offered = |(i, n): &(usize, &Node)| {
            self.warmth(n) >= 1.0 || *i < subset_size && n.warm_up_budget >= 1.0
        };
        let ring = self
            .fleet
            .ring(own, 0)
            .filter(is_usable)
            .enumerate()
            .filter(is_offered);
        ring.map(|(_, n)| n).take(subset_size).collect()
    }

    /// Guards rule 2: a request that may have run is retried only where and while that is safe.
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
        let may_overlap = self.settings.limits.allow_hedging || open.outstanding() == 0;
        may_overlap
            && open
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_run())
                .all(is_safe)
    }

    /// Weighted round robin by credit: each draw credits every candidate its share and takes one from
    /// the server chosen. With key affinity the key's rendezvous hash chooses among those that are
    /// within their bound.
    pub(super) fn draw(&mut self, set: &[ServerId], key: Option<u64>) -> Option<ServerId> {
        let key = key.filter(|_| self.settings.key_affinity);
        let members = || set.iter().filter_map(|id| self.fleet.get(*id));
        let usual = members().map(|node| node.slowness).sum::<f64>() / set.len().max(1) as f64;
        let trim =
            |n: &Node| (1.0 - SLOWNESS_TRIM.0 * (n.slowness - usual)).clamp(SLOWNESS_TRIM.1, 1.0);
        let warm = |n: &Node| (self.warmth(n) / n.warm_up_chance).min(1.0);
        let size = |n: &Node| n.size(&self.settings, self.mean_size);
        let shares: Vec<(f64, f64)> = members()
            .map(|n| (size(n) * warm(n) * trim(n), size(n)))
            .collect();
        let total: f64 = shares.iter().map(|share| share.0).sum();
        let rate = if key.is_some() {
            1.0 + BOUNDED_LOAD_MARGIN
        } else {
            1.0
        };
        let (mut chosen, mut best) = (None, (false, f64::NEG_INFINITY));
        for (id, (weight, size)) in set.iter().zip(shares) {
            let Some(node) = self.fleet.touch(*id) else {
                continue;
            };
            node.credit = (node.credit + rate * weight / total).clamp(-MAX_CREDIT, MAX_CREDIT);
            let rank = match key.filter(|_| node.credit > 0.0) {
                Some(key) => (
                    true,
                    -size / unit(mix(key ^ mix(id.0))).max(f64::MIN_POSITIVE).ln(),
                ),
                None => (false, node.credit),
            };
            if rank > best {
                (chosen, best) = (Some(*id), rank);
            }
        }
        let _ = chosen
            .and_then(|id| self.fleet.touch(id))
            .map(|node| node.credit -= 1.0);
        self.round_robin_position =
            self.round_robin_position
                .wrapping_add(if chosen.is_some() { 1 } else { SAMPLE_SIZE });
        chosen
    }
}
