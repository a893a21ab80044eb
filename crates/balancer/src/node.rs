//! What this balancer knows of one listed server. Nothing here decides anything.

use std::collections::BTreeMap;

use crate::api::{ClassId, Micros, Safety, Server, Settings, SizeMeaning};

/// The smallest size that counts, relative to the mean: guards against listed sizes that are wrong.
const MIN_RELATIVE_SIZE: f64 = 0.2;
/// The largest size that counts, relative to the mean.
const MAX_RELATIVE_SIZE: f64 = 5.0;

/// How long a server is ejected before a trial.
pub(crate) struct EjectionTime {
    /// The first time.
    pub first: Micros,
    /// The longest; each failed trial doubles the time up to it.
    pub longest: Micros,
}

impl EjectionTime {
    /// The time that follows the `previous`, which is 0 at first.
    pub(crate) fn after(&self, previous: Micros) -> Micros {
        (previous * 2).clamp(self.first, self.longest)
    }
}

/// The ejection of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ejection {
    pub since: Micros,
    /// From then on a trial is due.
    pub until: Micros,
}

/// Whether a server is ejected for one class.
#[derive(Default)]
pub(crate) struct ClassEjection {
    /// Average of unanswered attempts, 0 to 1.
    pub failure_rate: f64,
    /// Since when it is ejected for the class; 0 if it is not.
    pub since: Micros,
    /// From then on a trial is due.
    pub until: Micros,
    /// How long the latest ejection lasts.
    pub backoff: Micros,
}

/// The state of one listed server.
pub(crate) struct Node {
    pub server: Server,
    /// When this incarnation was first listed.
    pub since: Micros,
    /// Its credit in the round robin, in requests; the largest credit is chosen.
    pub credit: f64,
    /// Attempts in flight.
    pub in_flight: u32,
    /// When its last attempt ended, unless its connections were closed since.
    pub idle_since: Option<Micros>,
    /// How many attempts may be in flight.
    pub limit: f64,
    /// Whether it has ever been overloaded.
    pub was_overloaded: bool,
    /// Its shortest response time: nearly the network latency.
    pub min_latency: Micros,
    /// This balancer's share of its load, as far as known.
    pub load_share: f64,
    /// It rejected a request as overloaded: nothing is sent until then.
    pub overloaded_until: Micros,
    /// Average of recent failures, 0 to 1.
    pub failure_rate: f64,
    /// How often it was slower than usual recently, 0 to 1.
    pub slowness: f64,
    /// Its ejection, if it is ejected.
    pub ejected: Option<Ejection>,
    /// How long its latest ejection lasts; 0 once it has recovered.
    pub backoff: Micros,
    /// Ejections for single classes.
    pub class_ejections: BTreeMap<ClassId, ClassEjection>,
    /// Successful responses, decaying.
    pub recent_successes: f64,
    /// How many requests may still be sent to it while it warms up.
    pub warm_up_budget: f64,
    /// How likely the latest grant to that budget was at least one request.
    pub warm_up_chance: f64,
    /// When it is granted more.
    pub warm_up_due: Micros,
    /// It has measurements that decay, or is to be maintained.
    pub needs_maintenance: bool,
}

impl Node {
    /// One that is new: `limit` is what all balancers together may have in flight there, `load_share`
    /// this one's part, `credit` its first credit in the round robin.
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

    /// Ejects the server, longer each time.
    pub(crate) fn eject(&mut self, since: Micros, now: Micros, time: &EjectionTime) {
        self.backoff = time.after(self.backoff);
        let until = now + self.backoff;
        self.ejected = Some(Ejection { since, until });
    }

    /// The server is ejected and a trial is due: starts it. The next one is due after the backoff.
    /// Returns whether one was due.
    pub(crate) fn start_due_trial(&mut self, now: Micros) -> bool {
        match &mut self.ejected {
            Some(ejection) if ejection.until <= now => {
                ejection.until = now + self.backoff;
                true
            }
            _ => false,
        }
    }

    /// The same for its ejection for a class.
    pub(crate) fn start_due_class_trial(&mut self, class: ClassId, now: Micros) -> bool {
        match self.class_ejections.get_mut(&class) {
            Some(ejection) if ejection.since > 0 && ejection.until <= now => {
                ejection.until = now + ejection.backoff;
                true
            }
            _ => false,
        }
    }

    /// The part of its capacity that it surely has: grows linearly from `initial_capacity` after a
    /// start.
    pub(crate) fn warmth(&self, now: Micros, safety: &Safety) -> f64 {
        let (first, over) = (safety.initial_capacity, safety.warm_up.max(1) as f64);
        let age = self
            .server
            .started
            .map_or(1.0, |at| now.saturating_sub(at) as f64 / over);
        (first + (1.0 - first) * age).min(1.0)
    }

    /// Its size relative to the mean, where listed sizes mean capacity; otherwise 1.
    pub(crate) fn size(&self, settings: &Settings, mean: f64) -> f64 {
        if settings.sizes == SizeMeaning::Capacity && self.server.size > 0.0 {
            (self.server.size / mean).clamp(MIN_RELATIVE_SIZE, MAX_RELATIVE_SIZE)
        } else {
            1.0
        }
    }
}
