//! Rejections: the reasons, and the delay after which the client should retry.

use std::sync::Arc;

use ironmast_balancer::{Micros, Rng};
use rustc_hash::FxHashMap;

use crate::decision::{Rejection, RejectionStatus};
use crate::settings::Settings;

/// Clients honour a retry delay of up to this fraction of their remaining time.
const MAX_SHARE_OF_TIME_LEFT: f64 = 1.0 / 3.0;
/// Jitter, as a fraction of the delay: it is spread by so much to either side, so that clients do
/// not all retry at once.
const JITTER: f64 = 0.25;

/// The reason for a rejection. All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RejectionReason {
    /// No server is eligible.
    NoServer {
        /// Time after which a server may be eligible, if that is known.
        retry_after: Option<Micros>,
    },
    /// All attempts were used.
    AttemptsExhausted {
        /// The longest delay that a server asked for; 0 if none did.
        retry_after: Micros,
    },
    /// All servers are at capacity.
    Full(SlotWait),
    /// The remaining capacity is reserved for more urgent requests.
    ReservedForPriority(SlotWait),
}

/// Estimate of when slots become free, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlotWait {
    /// Time until the first server's backoff ends.
    pub(crate) backoff: Micros,
    /// Mean time between two slots that become free.
    pub(crate) interval: Micros,
}

/// The latest slot that was promised to a rejected client, by service, as the time at which it
/// becomes free. Each request that is rejected for lack of capacity is given the next slot, so that
/// clients do not all retry at the same time.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule(FxHashMap<Arc<str>, Micros>);

impl RetrySchedule {
    /// Promises the next slot of a service, and returns the time until it becomes free, at most
    /// `max`. Slots become free one `interval` apart. All times are in microseconds.
    pub(crate) fn next_slot(
        &mut self,
        now: Micros,
        service: &Arc<str>,
        interval: Micros,
        max: Micros,
    ) -> Micros {
        let latest = self.0.entry(service.clone()).or_insert(now);
        let next = (*latest).max(now).saturating_add(interval);
        let at = next.min(now.saturating_add(max));
        *latest = at;
        at - now
    }

    /// Drops services that no longer exist.
    pub(crate) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.0.retain(|service, _| exists(service));
    }
}

/// Mean time between two ends of this gate's requests, each of which frees a slot, if each of the
/// `in_flight` requests takes `response_time` microseconds.
pub(crate) fn slot_interval(response_time: f64, in_flight: f64) -> Micros {
    (response_time / in_flight.max(1.0)) as Micros
}

/// The rejection whose retry delay is `delay`, bounded by the settings and by a fraction of
/// `time_left`, the client's remaining time, and then spread by jitter.
pub(crate) fn reject(
    settings: &Settings,
    rng: &mut Rng,
    status: RejectionStatus,
    delay: Micros,
    time_left: Micros,
) -> Rejection {
    let bounds = settings.retry_after;
    let honoured = (time_left as f64 * MAX_SHARE_OF_TIME_LEFT) as Micros;
    let max = bounds.max.min(honoured).max(bounds.min);
    let jitter = 1.0 + JITTER * (2.0 * rng.unit() - 1.0);
    let retry_after = (delay.clamp(bounds.min, max) as f64 * jitter) as Micros;
    Rejection {
        status,
        retry_after,
    }
}

#[cfg(test)]
mod tests;
