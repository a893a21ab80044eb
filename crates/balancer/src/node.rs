//! What this balancer knows of one listed server. Nothing here decides anything.

use std::collections::BTreeMap;

use crate::api::{ClassId, Micros, Safety, Server, Settings, SizeMeaning};

/// Whether a server is ejected for one class.
#[derive(Default)]
pub(crate) struct ClassEjection {
    /// Average of unanswered attempts, 0 to 1.
    pub failure_rate: f64,
    /// Ejected for the class since and until; after `until` a trial is due.
    pub since: Micros,
    pub until: Micros,
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
    /// How many attempts may be in flight, and whether it has ever been overloaded.
    pub limit: f64,
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
    /// Ejected since and until; after `until` a trial is due.
    pub ejected: Option<(Micros, Micros)>,
    pub backoff: Micros,
    /// Ejections for single classes.
    pub class_ejections: BTreeMap<ClassId, ClassEjection>,
    /// Successful responses, decaying.
    pub recent_successes: f64,
    /// What may still be sent to it while it warms up, how likely that was one or more, and when it
    /// is granted more.
    pub warm_up_budget: f64,
    pub warm_up_chance: f64,
    pub warm_up_due: Micros,
    /// It has measurements that decay, or is to be maintained.
    pub needs_maintenance: bool,
}

impl Node {
    /// One that is new: `limit` is what all agents together may have in flight there, `load_share` this
    /// one's part.
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

    /// Its size against the mean, where the list has sizes that mean capacity.
    pub(crate) fn size(&self, settings: &Settings, mean: f64) -> f64 {
        let told = settings.sizes == SizeMeaning::Capacity && self.server.size > 0.0;
        if told {
            (self.server.size / mean).clamp(0.2, 5.0)
        } else {
            1.0
        }
    }
}
