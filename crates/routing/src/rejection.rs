//! When a request is turned away, and for how long.

use std::sync::Arc;

use ironmast_balancer::{Micros, Rng};
use rustc_hash::FxHashMap;

use crate::decision::{Rejection, RejectionStatus};
use crate::guards::Guard;
use crate::settings::Settings;

/// A refusal for want of room needs at least this part of the places to be taken, or requests that
/// wait.
pub(crate) const MIN_OVERLOAD_SHARE: f64 = 0.5;
/// Clients honour a wait up to this part of the time they have left.
const MAX_SHARE_OF_DEADLINE: f64 = 1.0 / 3.0;
/// The wait is spread by this part of itself to either side: not all come back at once.
const JITTER: f64 = 0.25;

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RejectionReason {
    /// Nobody is usable; somebody may be after that long, if that is known.
    NoServer { until: Option<Micros> },
    /// The attempts are spent, on servers that named that wait, or none.
    AttemptsExhausted { told: Micros },
    /// All are full: the first rests for that long, and so long passes from one place to the next.
    Full { rest: Micros, gap: Micros },
    /// What room is left is for more urgent requests.
    ReservedForPriority { rest: Micros, gap: Micros },
}

/// When places become free again, by service. Each request that is turned away for want of room is
/// given the place after the one before it, so that those told to come back do not all find the
/// same.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule(FxHashMap<Arc<str>, Micros>);

impl RetrySchedule {
    /// The wait for the next place of a service; places come `gap` apart. None is promised later
    /// than `most`.
    pub fn next(&mut self, now: Micros, service: &Arc<str>, gap: Micros, most: Micros) -> Micros {
        let last = self.0.entry(service.clone()).or_insert(now);
        let at = (*last)
            .max(now)
            .saturating_add(gap)
            .min(now.saturating_add(most));
        *last = at;
        at - now
    }

    /// Forgets services that are gone.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        self.0.retain(|service, _| known(service));
    }
}

/// What the level of a request depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionInputs {
    /// Rank of priority; 0 is the most urgent.
    pub rank: u32,
    /// The request's own chance, 0 to 1.
    pub chance: f64,
    /// What a request of the service takes, and the shortest objective there.
    pub whole: f64,
    pub target: f64,
}

/// Up to which part of its room a server may be filled for a request to be sent there. Each has a
/// level of its own: in a crowd requests are turned away one by one, the less urgent ones more
/// often, but no kind and no size is left out. So many may wait for a slot that each has one in
/// time. Never under half.
pub(crate) fn level(settings: &Settings, claim: AdmissionInputs) -> f64 {
    let ranks = if Guard::PriorityReserve.on() {
        f64::from(claim.rank.min(9))
    } else {
        0.0
    };
    let waiting = (settings.max_queue_time_share * claim.target / claim.whole.max(1.0))
        .min(settings.max_queue_share);
    let most = settings.max_load + waiting - ranks * settings.priority_step;
    (most - claim.chance * settings.rejection_ramp).max(MIN_OVERLOAD_SHARE)
}

/// Time from one place of this gate's to the next: what it has in flight takes `whole` each.
pub(crate) fn gap(whole: f64, in_flight: f64) -> Micros {
    (whole / in_flight.max(1.0)) as Micros
}

/// The refusal with that wait; `left` is the client's time.
pub(crate) fn refuse(
    settings: &Settings,
    rng: &mut Rng,
    status: RejectionStatus,
    wait: Micros,
    left: Micros,
) -> Rejection {
    let (least, most) = settings.retry_after;
    let honoured = (left as f64 * MAX_SHARE_OF_DEADLINE) as Micros;
    let most = most.min(honoured).max(least);
    let spread = 1.0 + JITTER * (2.0 * rng.unit() - 1.0);
    let retry_after = (wait.clamp(least, most) as f64 * spread) as Micros;
    Rejection {
        status,
        retry_after,
    }
}

#[cfg(test)]
mod tests;
