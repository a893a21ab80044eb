//! What the decision module remembers: plain records and its random numbers. Nothing here decides
//! anything.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::api::{
    ClassId, ClassSettings, Effect, Group, Limits, Micros, Outcome, Request, RequestId, Safety,
    Server, ServerId, Settings, SizeMeaning, ZoneId,
};

/// A held request's turn: by worth, then newest first.
pub(crate) type Turn = (Reverse<u64>, Reverse<Micros>, RequestId);

/// One attempt at a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: u64,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Notes how it ended and tells when it was sent.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Micros {
        self.outcome = Some(outcome);
        self.sent
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

/// A request that is owed an answer, or whose attempts are not all settled yet.
pub(crate) struct Open {
    pub request: Request,
    pub turn: Turn,
    /// From when on it may cross zones for room, when its aim passes, and when it must be ended.
    pub spill_at: Micros,
    pub aim_at: Micros,
    /// When it is given up if no server has seen it.
    pub unsent_until: Micros,
    pub last: Micros,
    pub attempts: Vec<Attempt>,
    /// The client has its answer or left: nothing may be sent any more.
    pub done: bool,
    /// A stream has begun: it belongs to the client.
    pub streaming: bool,
}

impl Open {
    pub(crate) fn new(
        request: Request,
        turn: Turn,
        spill_at: Micros,
        aim_at: Micros,
        unsent_until: Micros,
        last: Micros,
    ) -> Self {
        let (done, streaming) = (false, false);
        Open {
            request,
            turn,
            spill_at,
            aim_at,
            unsent_until,
            last,
            attempts: Vec::new(),
            done,
            streaming,
        }
    }

    /// Its last byte has come: aim and end count from now, and what is out was sent now. Tells when
    /// it is to be ended.
    pub(crate) fn whole(&mut self, now: Micros, expires: Micros) -> (Micros, RequestId) {
        let (margin, arrived) = (
            self.request.expires.saturating_sub(self.last),
            self.turn.1.0,
        );
        (self.request.expires, self.last) = (expires, expires.saturating_sub(margin));
        self.aim_at = now + self.aim_at.saturating_sub(arrived);
        self.attempts
            .iter_mut()
            .filter(|a| a.outcome.is_none())
            .for_each(|a| a.sent = now);
        (self.last, self.request.id)
    }

    /// The attempt out where `nothing` is heard, if the request may go elsewhere instead: it is not
    /// on its way to the client, repeats are harmless wherever they run, and tries are left.
    pub(crate) fn stranded(
        &self,
        class: &ClassSettings,
        limits: &Limits,
        nothing: impl Fn(&Attempt) -> bool,
    ) -> Option<u32> {
        let harmless = matches!(
            class.effect,
            Effect::Idempotent
                | Effect::Deduplicated {
                    group: Group::All,
                    ..
                }
        );
        let moves = harmless && !self.done && !self.streaming && self.tries_left(limits);
        let out = self
            .attempts
            .iter()
            .rposition(|a| a.outcome.is_none() && nothing(a));
        out.filter(|_| moves).map(|n| n as u32)
    }

    /// Until when one more attempt may begin: a keyed class's repeats are dropped for its window,
    /// counted from the first attempt that may have run.
    pub(crate) fn start_deadline(&self, effect: Effect) -> Option<Micros> {
        let Effect::Deduplicated { window, .. } = effect else {
            return None;
        };
        self.attempts
            .iter()
            .filter(|a| a.may_have_run())
            .map(|a| a.sent + window)
            .min()
    }

    pub(crate) fn tries_left(&self, limits: &Limits) -> bool {
        self.attempts.len() < limits.max_attempts as usize
    }

    pub(crate) fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// How a server answers one class.
#[derive(Default)]
pub(crate) struct Mute {
    /// Average of attempts it kept silent on, 0 to 1.
    pub failing: f64,
    /// Left out for the class since and until; `until` passed means a trial is due.
    pub since: Micros,
    pub until: Micros,
    pub backoff: Micros,
}

/// What is known of one listed server.
pub(crate) struct Node {
    pub server: Server,
    /// When this life of it was first heard of.
    pub since: Micros,
    /// Share owed to it, in requests; the even draw takes from those owed most.
    pub credit: f64,
    /// Attempts in flight.
    pub out: u32,
    /// When its last attempt ended, unless its connections were closed since.
    pub idle_since: Option<Micros>,
    /// How many may be in flight, and whether it has ever hurt.
    pub limit: f64,
    pub hurt: bool,
    /// Its quickest answer so far: the way there and back, nearly.
    pub quickest: Micros,
    /// This agent's part of its load, as far as known.
    pub mine: f64,
    /// It just turned a request away as full: nothing more until then.
    pub full_until: Micros,
    /// Average of recent failures, 0 to 1.
    pub failing: f64,
    /// How often of late it was slower than usual, 0 to 1.
    pub lag: f64,
    /// Set aside since and until; `until` passed means a trial is due.
    pub aside: Option<(Micros, Micros)>,
    pub backoff: Micros,
    /// Of classes it has kept silent on.
    pub mute: BTreeMap<ClassId, Mute>,
    /// Good answers, fading.
    pub oks: f64,
    /// What may still be sent to it while it is cold, how likely that was one or more, and until
    /// when.
    pub cold_left: f64,
    pub cold_chance: f64,
    pub cold_at: Micros,
    /// Something of it fades, or is to be looked after.
    pub awake: bool,
}

impl Node {
    /// One that is new: `limit` is what all agents together may have in flight there, `mine` this
    /// one's part.
    pub(crate) fn new(server: Server, credit: f64, limit: f64, mine: f64, now: Micros) -> Self {
        Node {
            server,
            since: now,
            credit,
            out: 0,
            idle_since: None,
            limit: limit * mine,
            hurt: false,
            quickest: Micros::MAX,
            mine,
            full_until: 0,
            failing: 0.0,
            lag: 0.0,
            aside: None,
            backoff: 0,
            mute: BTreeMap::new(),
            oks: 0.0,
            cold_left: 0.0,
            cold_chance: 1.0,
            cold_at: now,
            awake: false,
        }
    }
}

impl Node {
    /// Part of its capacity that it surely has: grows evenly from `initial_capacity` after a start.
    pub(crate) fn warmth(&self, now: Micros, safety: &Safety) -> f64 {
        let (first, over) = (safety.initial_capacity, safety.warm_up.max(1) as f64);
        let age = self
            .server
            .started
            .map_or(1.0, |at| now.saturating_sub(at) as f64 / over);
        (first + (1.0 - first) * age).min(1.0)
    }

    /// Size against the mean, where the list tells sizes; momentary load in it is not wanted.
    pub(crate) fn size(&self, settings: &Settings, mean: f64) -> f64 {
        let told = settings.sizes == SizeMeaning::Capacity && self.server.size > 0.0;
        if told {
            (self.server.size / mean).clamp(0.2, 5.0)
        } else {
            1.0
        }
    }
}

/// Running estimates of a class's latency quantiles.
#[derive(Clone)]
pub(crate) struct Usual {
    pub median: f64,
    pub high: f64,
}

/// A stream of random numbers of its own for each balancer (splitmix64).
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    /// A number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.0))
    }
}

/// Stirs the bits of a number.
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
