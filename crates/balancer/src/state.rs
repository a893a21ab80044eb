//! Plain records of the balancer's state, and its random numbers. Nothing here decides anything.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::api::{
    ClassId, ClassSettings, Effect, Group, Limits, Micros, Outcome, Request, RequestId, Safety,
    Server, ServerId, Settings, SizeMeaning, ZoneId,
};

/// A queued request's position: by value, then newest first.
pub(crate) type QueuePosition = (Reverse<u64>, Reverse<Micros>, RequestId);

/// One attempt at a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: u64,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Records how it ended; returns when it was sent.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Micros {
        self.outcome = Some(outcome);
        self.sent
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that is not answered, or whose attempts have not all ended.
pub(crate) struct OpenRequest {
    pub request: Request,
    pub turn: QueuePosition,
    /// From when on it may spill over to other zones, when its latency target passes, and when it must
    /// be ended.
    pub spill_at: Micros,
    pub target_at: Micros,
    /// When it is rejected if no server has seen it.
    pub unsent_until: Micros,
    pub last: Micros,
    pub attempts: Vec<Attempt>,
    /// The client has its response or has disconnected: nothing may be sent any more.
    pub done: bool,
    /// A streamed response has started and is being forwarded.
    pub streaming: bool,
}

impl OpenRequest {
    pub(crate) fn new(
        request: Request,
        turn: QueuePosition,
        spill_at: Micros,
        target_at: Micros,
        unsent_until: Micros,
        last: Micros,
    ) -> Self {
        let (done, streaming) = (false, false);
        OpenRequest {
            request,
            turn,
            spill_at,
            target_at,
            unsent_until,
            last,
            attempts: Vec::new(),
            done,
            streaming,
        }
    }

    /// Its last byte has arrived: target and deadline count from now, and attempts in flight count as
    /// sent now. Returns when it must be ended.
    pub(crate) fn complete(&mut self, now: Micros, expires: Micros) -> (Micros, RequestId) {
        let (margin, arrived) = (
            self.request.expires.saturating_sub(self.last),
            self.turn.1.0,
        );
        (self.request.expires, self.last) = (expires, expires.saturating_sub(margin));
        self.target_at = now + self.target_at.saturating_sub(arrived);
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.outcome.is_none())
            .for_each(|attempt| attempt.sent = now);
        (self.last, self.request.id)
    }

    /// The attempt in flight at a server that is unreachable by `is_unreachable`, if the request may be retried
    /// elsewhere: its response has not started, a retry is safe anywhere, and attempts are left.
    pub(crate) fn stranded_attempt(
        &self,
        class: &ClassSettings,
        limits: &Limits,
        is_unreachable: impl Fn(&Attempt) -> bool,
    ) -> Option<u32> {
        let harmless = matches!(
            class.effect,
            Effect::Idempotent
                | Effect::Deduplicated {
                    group: Group::All,
                    ..
                }
        );
        let moves = harmless && !self.done && !self.streaming && self.has_attempts_left(limits);
        let out = self
            .attempts
            .iter()
            .rposition(|attempt| attempt.outcome.is_none() && is_unreachable(attempt));
        out.filter(|_| moves).map(|n| n as u32)
    }

    /// Until when one more attempt may start: servers deduplicate within the class's window, which
    /// counts from the first attempt that may have run.
    pub(crate) fn start_deadline(&self, effect: Effect) -> Option<Micros> {
        let Effect::Deduplicated { window, .. } = effect else {
            return None;
        };
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
            .map(|attempt| attempt.sent + window)
            .min()
    }

    pub(crate) fn has_attempts_left(&self, limits: &Limits) -> bool {
        self.attempts.len() < limits.max_attempts as usize
    }

    pub(crate) fn outstanding(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }
}

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
}

impl Node {
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

/// Running estimates of a class's latency quantiles, 0.5 and 0.9, in microseconds.
#[derive(Clone)]
pub(crate) struct LatencyQuantiles {
    pub median: f64,
    pub high: f64,
}

/// A deterministic random number generator (splitmix64).
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    /// The next number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.0))
    }
}

/// Mixes the bits of a number (the finalizer of splitmix64).
#[must_use]
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Maps bits to [0, 1).
#[must_use]
pub fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Moves a quantile estimate towards a new value.
pub(crate) fn follow(estimate: &mut f64, value: Micros, quantile: f64) {
    let up = if value as f64 > *estimate {
        quantile
    } else {
        quantile - 1.0
    };
    *estimate *= 1.0 + 0.05 * up;
}
