//! The state that this balancer keeps for one listed server. No decision is made here.

use std::collections::BTreeMap;

use crate::api::{ClassId, Micros, Safety, Server, Settings, SizeMeaning};

/// The smallest size of a server relative to the mean; smaller listed sizes are taken for wrong and
/// count as this.
const MIN_RELATIVE_SIZE: f64 = 0.2;
/// The largest size of a server relative to the mean; larger listed sizes count as this.
const MAX_RELATIVE_SIZE: f64 = 5.0;

/// How long a server is ejected before a trial request or probe, in microseconds.
pub(crate) struct EjectionTime {
    /// The duration of the first ejection.
    pub first: Micros,
    /// The longest duration; each failed trial doubles the duration up to it.
    pub longest: Micros,
}

impl EjectionTime {
    /// The duration of the ejection that follows one of `previous`, which is 0 for the first.
    pub(crate) fn after(&self, previous: Micros) -> Micros {
        (previous * 2).clamp(self.first, self.longest)
    }
}

/// The ejection of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ejection {
    pub since: Micros,
    /// When a trial is due.
    pub until: Micros,
}

/// The failure rate of a server for one request class, and its ejection for that class.
#[derive(Default)]
pub(crate) struct ClassEjection {
    /// Moving average of attempts that were not answered, 0 to 1.
    pub failure_rate: f64,
    /// When the ejection for the class started; 0 if the server is not ejected for it.
    pub since: Micros,
    /// When a trial is due.
    pub until: Micros,
    /// The duration of the latest ejection.
    pub backoff: Micros,
}

/// The state of one listed server.
pub(crate) struct Node {
    pub server: Server,
    /// When this incarnation of the server was first listed.
    pub since: Micros,
    /// Credit in the weighted round robin, in requests; the candidate with the most is chosen.
    pub credit: f64,
    /// Attempts in flight.
    pub in_flight: u32,
    /// When the last attempt ended; `None` if none has, or if idle connections were closed since.
    pub idle_since: Option<Micros>,
    /// The number of attempts that this balancer may have in flight at the server.
    pub limit: f64,
    /// Whether the server has ever been overloaded.
    pub was_overloaded: bool,
    /// The shortest response time, which approximates the network latency.
    pub min_latency: Micros,
    /// The estimated share of this balancer in the server's load, 0 to 1.
    pub load_share: f64,
    /// Until when nothing is sent because the server rejected a request as overloaded.
    pub overloaded_until: Micros,
    /// Moving average of failed attempts, 0 to 1.
    pub failure_rate: f64,
    /// Moving average of responses that were slow or errors, 0 to 1.
    pub slowness: f64,
    /// The ejection, if the server is ejected.
    pub ejected: Option<Ejection>,
    /// The duration of the latest ejection; 0 once the server has recovered.
    pub backoff: Micros,
    /// Failure rates and ejections for single classes.
    pub class_ejections: BTreeMap<ClassId, ClassEjection>,
    /// Exponentially decaying count of successful responses.
    pub recent_successes: f64,
    /// The number of requests that may still be sent to the server while it warms up.
    pub warm_up_budget: f64,
    /// The probability with which the latest grant to `warm_up_budget` was at least one request.
    pub warm_up_chance: f64,
    /// When `warm_up_budget` is granted more requests.
    pub warm_up_due: Micros,
    /// Whether the next maintenance includes the server: it was changed, is in use or ejected, or
    /// has measurements that decay.
    pub needs_maintenance: bool,
}

impl Node {
    /// A newly listed server. `limit` is the number of attempts that all balancers together may
    /// have in flight there, `load_share` the part of this balancer, and `credit` the initial
    /// credit in the round robin.
    pub(crate) fn new(
        server: Server,
        credit: f64,
        limit: f64,
        load_share: f64,
        now: Micros,
    ) -> Self {
        Node {
            server,
            since: now,
            credit,
            in_flight: 0,
            idle_since: None,
            limit: limit * load_share,
            was_overloaded: false,
            min_latency: Micros::MAX,
            load_share,
            overloaded_until: 0,
            failure_rate: 0.0,
            slowness: 0.0,
            ejected: None,
            backoff: 0,
            class_ejections: BTreeMap::new(),
            recent_successes: 0.0,
            warm_up_budget: 0.0,
            warm_up_chance: 1.0,
            warm_up_due: now,
            needs_maintenance: false,
        }
    }

    /// Ejects the server as of `since`, for longer each time until it has recovered.
    pub(crate) fn eject(&mut self, since: Micros, now: Micros, time: &EjectionTime) {
        self.backoff = time.after(self.backoff);
        let until = now + self.backoff;
        self.ejected = Some(Ejection { since, until });
    }

    /// Returns whether the server is ejected and a trial is due; if so, the next one is due after
    /// the backoff.
    pub(crate) fn start_due_trial(&mut self, now: Micros) -> bool {
        match &mut self.ejected {
            Some(ejection) if ejection.until <= now => {
                ejection.until = now + self.backoff;
                true
            }
            _ => false,
        }
    }

    /// [`Node::start_due_trial`] for the ejection for a class.
    pub(crate) fn start_due_class_trial(&mut self, class: ClassId, now: Micros) -> bool {
        match self.class_ejections.get_mut(&class) {
            Some(ejection) if ejection.since > 0 && ejection.until <= now => {
                ejection.until = now + ejection.backoff;
                true
            }
            _ => false,
        }
    }

    /// The part of its capacity that the server certainly has, up to 1: grows linearly from
    /// `initial_capacity` after a start, over `warm_up`.
    pub(crate) fn warmth(&self, now: Micros, safety: &Safety) -> f64 {
        let (first, over) = (safety.initial_capacity, safety.warm_up.max(1) as f64);
        let age = self
            .server
            .started
            .map_or(1.0, |at| now.saturating_sub(at) as f64 / over);
        (first + (1.0 - first) * age).min(1.0)
    }

    /// The size of the server relative to the mean if listed sizes mean capacity; otherwise 1.
    pub(crate) fn size(&self, settings: &Settings, mean: f64) -> f64 {
        if settings.sizes == SizeMeaning::Capacity && self.server.size > 0.0 {
            (self.server.size / mean).clamp(MIN_RELATIVE_SIZE, MAX_RELATIVE_SIZE)
        } else {
            1.0
        }
    }
}
