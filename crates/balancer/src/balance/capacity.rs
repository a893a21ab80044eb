//! How much may be in flight: limits per server and zone, and the slow start of servers that have
//! just started.

use super::Balancer;
use super::health::RATE_DECAY_TIME;
use crate::api::{ClassId, Micros};
use crate::fleet::Load;
use crate::node::Node;

/// Requests that all balancers together may send a warming server in one overload window without
/// any evidence of its capacity.
const MIN_WARM_UP_REQUESTS: f64 = 4.0;

impl Balancer {
    /// The part of its capacity that a server surely has.
    pub(super) fn warmth(&self, node: &Node) -> f64 {
        node.warmth(self.now, &self.settings.safety)
    }

    /// Whether a server is below its in-flight limit and, while it warms up, within its budget: guards
    /// rule 4 for every choice, retry and spillover.
    pub(super) fn has_capacity(&self, node: &Node) -> bool {
        let is_below_limit = f64::from(node.in_flight) + 1.0 <= node.limit.max(1.0)
            && node.overloaded_until <= self.now;
        is_below_limit && (self.warmth(node) >= 1.0 || node.warm_up_budget >= 1.0)
    }

    /// Whether a server may be sent a class: it is not ejected for it, or a trial is due.
    pub(super) fn serves_class(&self, node: &Node, class: ClassId) -> bool {
        node.class_ejections
            .get(&class)
            .is_none_or(|ejection| ejection.until <= self.now)
    }

    /// What is in flight in the own zone or the others, and the sum of limits there. Where balancers
    /// are so many that initial limits leave each less than one, the limits that are known stand for
    /// all. Servers ejected for the class do not count: their idle limits would keep the others'
    /// from growing.
    pub(super) fn zone_load(&self, own: bool, class: ClassId) -> (f64, f64) {
        let is_ejected_here = |node: &&Node| {
            (node.server.zone == self.settings.zone) == own && !self.serves_class(node, class)
        };
        let load = self
            .fleet
            .ejected_for(class)
            .filter(is_ejected_here)
            .fold(self.fleet.load(own), Load::without);
        let (in_flight, all) = (load.in_flight as f64, (load.healthy + load.ejected) as f64);
        if load.healthy > 0 && self.peer_load.subset_size(self.now) >= load.healthy {
            return (in_flight, load.healthy_limit.value());
        }
        let is_known = |node: &&Node| node.ejected.is_none() && self.serves_class(node, class);
        let subset = if load.healthy > 0 {
            self.usable(own, is_known, |_| true)
        } else {
            Vec::new()
        };
        let limits = subset.iter().map(|node| node.limit).sum::<f64>() + load.ejected_limit.value();
        (
            in_flight,
            limits * all / (subset.len() + load.ejected).max(1) as f64,
        )
    }

    /// Slow start: grants warming servers half of what they can take judging by their successes, or by
    /// this balancer's even share of all successes, and a little without evidence. Less than one
    /// request in a window is granted at random and not saved: guards against many balancers that
    /// each save one for the same server.
    pub(super) fn grant_warm_up(&mut self) {
        let (multiple, window_length) = (
            self.settings.safety.overload_multiple,
            self.settings.safety.overload_window as f64,
        );
        let min_rate = MIN_WARM_UP_REQUESTS / f64::from(self.settings.balancers) / window_length;
        let due = self.fleet.due_warm_ups(self.now);
        let successes = if due.is_empty() {
            0.0
        } else {
            self.fleet
                .maintained()
                .map(|node| node.recent_successes)
                .sum::<f64>()
        };
        let (own, subset_size) = (
            self.fleet.side(true).len(),
            self.peer_load.subset_size(self.now),
        );
        let means = [own + self.fleet.side(false).len(), own]
            .map(|n| successes / n.clamp(1, subset_size) as f64);
        for id in due {
            let Some(node) = self.fleet.get(id).filter(|node| self.warmth(node) < 1.0) else {
                continue;
            };
            let mean = means[usize::from(node.server.zone == self.settings.zone)];
            let size = node.size(&self.settings, self.mean_size);
            let served = (mean * self.warmth(node) * size).max(node.recent_successes);
            let rate = multiple / 2.0 * served / RATE_DECAY_TIME + min_rate;
            let (window, chance) = (
                (1.0 / rate).clamp(self.maintenance_interval as f64, window_length),
                self.rng.unit(),
            );
            let Some(node) = self.fleet.touch(id) else {
                continue;
            };
            let saved = node
                .warm_up_budget
                .min(rate * window_length / 2.0 - 1.0)
                .max(0.0);
            node.warm_up_budget = (saved + rate * window + chance).floor();
            node.warm_up_chance = (rate * window).min(1.0);
            self.fleet.grant(id, self.now + window as Micros);
        }
    }
}
