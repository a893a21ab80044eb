//! In-flight limits per server and locality, and slow start of servers that have just started.

use super::{Balancer, INITIAL_LIMIT, RATE_DECAY_TIME};
use crate::api::{AttemptEnded, ClassId, Micros, Outcome};
use crate::fleet::Load;
use crate::locality::{ByLocality, Locality};
use crate::node::Node;

/// Requests that all balancers together may send a warming server in one overload window without
/// any evidence of its capacity.
const MIN_WARM_UP_REQUESTS: f64 = 4.0;
/// Fraction of its latency target from which on a response counts as overload, so that overload is
/// detected before targets are missed.
const OVERLOAD_LATENCY_SHARE: f64 = 0.2;
/// Numerator of a limit's increase for each response without overload while the locality is in use
/// (`INITIAL_LIMIT` until the first overload). Each response with overload, 0 to 1, decreases the limit
/// by that much, so the limit converges to this divided by the mean overload.
const LIMIT_INCREASE: f64 = 3.0;
/// Smoothing factor of this balancer's share of a server's load, which load reports show.
const LOAD_SHARE_SMOOTHING: f64 = 0.05;

/// Attempts in flight in a locality, and the sum of its limits.
#[derive(Clone, Copy)]
pub(super) struct LocalityLoad {
    pub in_flight: f64,
    pub limit: f64,
}

impl Balancer {
    /// The fraction of its capacity that a server has reached at least, 0 to 1.
    pub(super) fn warmth(&self, node: &Node) -> f64 {
        node.warmth(self.now, &self.settings.safety)
    }

    /// Whether a server is below its in-flight limit and, while it warms up, within its budget. Every
    /// first attempt, retry and spillover depends on it, which enforces rule 4.
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

    /// Attempts in flight in a locality, and the sum of its limits. A balancer that uses a subset
    /// extrapolates the sum, as unused servers keep their initial limits. Servers ejected for the class
    /// do not count: their unused limits would keep the limits of the others from growing.
    pub(super) fn locality_load(&self, locality: Locality, class: ClassId) -> LocalityLoad {
        let is_ejected_here = |node: &&Node| {
            self.fleet.locality(node.server.zone) == locality && !self.serves_class(node, class)
        };
        let load = self
            .fleet
            .ejected_for(class)
            .filter(is_ejected_here)
            .fold(self.fleet.load(locality), Load::without);
        let uses_all = self.peer_load.subset_size(self.now) >= load.healthy;
        let limit = if load.healthy > 0 && uses_all {
            load.healthy_limit.value()
        } else {
            self.extrapolated_limit(locality, class, &load)
        };
        LocalityLoad {
            in_flight: load.in_flight as f64,
            limit,
        }
    }

    /// The sum of limits in a locality, extrapolated from the servers that this balancer uses.
    fn extrapolated_limit(&self, locality: Locality, class: ClassId, load: &Load) -> f64 {
        let is_known = |node: &&Node| node.ejected.is_none() && self.serves_class(node, class);
        let subset = if load.healthy > 0 {
            self.usable(locality, is_known, |_| true)
        } else {
            Vec::new()
        };
        let limits = subset.iter().map(|node| node.limit).sum::<f64>() + load.ejected_limit.value();
        limits * load.ready() as f64 / (subset.len() + load.ejected).max(1) as f64
    }

    /// Slow start: grants warming servers half of what they can take by their recent successes or by an
    /// even share of all successes, and a minimum without any. A grant below one request per
    /// window is made at random and not saved, so that many balancers do not each save one for the
    /// same server.
    pub(super) fn grant_warm_up(&mut self) {
        let due = self.fleet.take_due_warm_ups(self.now);
        if due.is_empty() {
            return;
        }
        let window_length = self.settings.safety.overload_window as f64;
        let min_rate = MIN_WARM_UP_REQUESTS / f64::from(self.settings.balancers) / window_length;
        let means = self.mean_successes();
        for id in due {
            let Some(node) = self.fleet.get(id).filter(|node| self.warmth(node) < 1.0) else {
                continue;
            };
            let mean = means[self.fleet.locality(node.server.zone)];
            let size = node.size(&self.settings, self.mean_size);
            let served = (mean * self.warmth(node) * size).max(node.recent_successes);
            let multiple = self.settings.safety.overload_multiple;
            let rate = multiple / 2.0 * served / RATE_DECAY_TIME + min_rate;
            let window = (1.0 / rate).clamp(self.maintenance_interval as f64, window_length);
            let chance = self.rng.unit();
            let Some(node) = self.fleet.get_mut(id) else {
                continue;
            };
            let max_saved = rate * window_length / 2.0 - 1.0;
            let saved = node.warm_up_budget.min(max_saved).max(0.0);
            node.warm_up_budget = (saved + rate * window + chance).floor();
            node.warm_up_chance = (rate * window).min(1.0);
            self.fleet.schedule_warm_up(id, self.now + window as Micros);
        }
    }

    /// Recent successes of this balancer per server that it uses: per server of the own zone for local
    /// servers, per server of all zones for remote ones.
    fn mean_successes(&self) -> ByLocality<f64> {
        let nodes = self.fleet.maintained();
        let successes = nodes.map(|node| node.recent_successes).sum::<f64>();
        let subset_size = self.peer_load.subset_size(self.now);
        let mean = |servers: usize| successes / servers.clamp(1, subset_size) as f64;
        let local = self.fleet.ready_in(Locality::Local).len();
        let remote = self.fleet.ready_in(Locality::Remote).len();
        ByLocality {
            local: mean(local),
            remote: mean(local + remote),
        }
    }
}

/// Inputs of a limit update besides the server and the outcome.
pub(super) struct LimitInputs {
    /// Latency target of the class, in microseconds.
    pub target: f64,
    /// Upper bound of the assumed network latency, in microseconds.
    pub max_network_latency: f64,
    /// Whether half of the locality's limit or more is in flight.
    pub is_locality_in_use: bool,
    pub balancers: f64,
}

/// Updates a server's in-flight limit: additive increase, and decrease by the overload of a response.
pub(super) fn update_limit(node: &mut Node, ended: &AttemptEnded, inputs: &LimitInputs) {
    let balancers = inputs.balancers;
    // Limits are split evenly, unless load reports show this balancer's share of the load.
    let in_flight = f64::from(node.in_flight + 1);
    if let Some(active) = ended.load.and_then(|load| load.active) {
        let share = (in_flight / active.max(in_flight)).max(1.0 / balancers);
        node.load_share += LOAD_SHARE_SMOOTHING * (share - node.load_share);
    }
    // Network latency, approximated by the shortest response, is not load. If it counted, limits in
    // other zones would stay at their minimum and leave no capacity to spill over to.
    node.min_latency = node.min_latency.min(ended.latency);
    let network_latency = (node.min_latency as f64).min(inputs.max_network_latency);
    let part = if ended.outcome == Outcome::Ok {
        (ended.latency as f64 - network_latency) / inputs.target
    } else {
        1.0
    };
    let overload =
        ((part - OVERLOAD_LATENCY_SHARE) / (1.0 - OVERLOAD_LATENCY_SHARE)).clamp(0.0, 1.0);
    if overload > 0.0 {
        node.limit = (node.limit - overload * node.limit.min(1.0)).max(1.0 / balancers);
        node.was_overloaded = true;
    } else if inputs.is_locality_in_use {
        let increase = if node.was_overloaded {
            LIMIT_INCREASE / node.limit.max(1.0)
        } else {
            INITIAL_LIMIT
        };
        node.limit += (increase * node.load_share).min(1.0);
    }
}
