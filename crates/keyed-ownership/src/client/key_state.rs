//! The client state of one key: grants, the request in flight and unreported grants.

use std::time::Duration;

use ironmast_limits::sliding_window::SlidingLog;

use crate::message::{CompletedGrant, Grant};
use crate::timing::PermitTiming;
use crate::view::{GateId, OwnedKey, View};

/// The window over which a gate measures its own request rate, for prefetching permits.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The fraction of a permit's lifetime for which permits are prefetched; the rest passes in
/// transit.
const PREFETCH_FRACTION: f64 = 0.6;

/// How long an owner may queue a request until a permit becomes available.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(60);

/// How long an owner may queue a request after a rejection.
const MAX_WAIT_AFTER_REJECTION: Duration = Duration::from_millis(200);

/// The margin of a permit's lifetime over the round trip and the time in the owner's queue.
const LIFETIME_SLACK: Duration = Duration::from_millis(20);

/// The maximum number of completed grants that are kept for the report in the next request.
const MAX_UNREPORTED_GRANTS: usize = 16;

/// A permit request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightRequest {
    pub sequence: u64,
    pub owner: GateId,
    pub sent: Duration,
    /// When the requested permits expire, by the lifetime in the request.
    pub expires: Duration,
}

/// A grant whose permits may be used.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveGrant {
    sequence: u64,
    owner: GateId,
    /// When the request was sent.
    sent: Duration,
    expires: Duration,
    remaining: u32,
    used: u32,
    /// The time from sending the request to the last use; zero before the first use.
    last_used_after: Duration,
    /// Whether the owner's pool is contended, so that the last use is reported at once.
    contended: bool,
}

/// A completed grant that must be reported to its owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreportedGrant {
    owner: GateId,
    completed: CompletedGrant,
    /// When the request was sent.
    pub sent: Duration,
    /// Whether the report is sent in a message of its own, because some permits were not used or
    /// the owner's pool is contended.
    urgent: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct KeyState {
    uses: SlidingLog,
    pub grants: Vec<ActiveGrant>,
    pub in_flight: Option<InFlightRequest>,
    /// The end of the retry delay of the last rejection; no request is sent before.
    pub not_before: Duration,
    /// Whether the last answer was a rejection.
    pub rejected: bool,
    /// The highest epoch of an accepted grant.
    pub fencing_epoch: u64,
    /// The shortest recent round trip to the owner, which grows by at most 1/16 with each answer;
    /// `None` before the first answer and after a request without an answer.
    round_trip: Option<Duration>,
    /// The owner of the key, cached with the epoch of its view.
    owner: Option<(u64, GateId)>,
    pub unreported: Vec<UnreportedGrant>,
}

impl UnreportedGrant {
    /// The report that no permit granted for the request will be used.
    pub(super) fn unused(request: InFlightRequest) -> Self {
        Self {
            owner: request.owner,
            completed: CompletedGrant {
                sequence: request.sequence,
                used: 0,
                last_used_after: Duration::ZERO,
            },
            sent: request.sent,
            urgent: true,
        }
    }
}

impl ActiveGrant {
    pub(super) fn new<K>(request: InFlightRequest, grant: &Grant<K>) -> Self {
        Self {
            sequence: request.sequence,
            owner: request.owner,
            sent: request.sent,
            expires: request.expires,
            remaining: grant.count,
            used: 0,
            last_used_after: Duration::ZERO,
            contended: grant.contended,
        }
    }

    fn completed(&self) -> UnreportedGrant {
        UnreportedGrant {
            owner: self.owner,
            completed: CompletedGrant {
                sequence: self.sequence,
                used: self.used,
                last_used_after: self.last_used_after,
            },
            sent: self.sent,
            urgent: self.contended || self.remaining > 0,
        }
    }
}

impl KeyState {
    /// The owner of the key in the view, cached per epoch.
    pub(super) fn owner_in<K: OwnedKey>(&mut self, view: &View, key: &K) -> Option<GateId> {
        if self.owner.is_none_or(|(epoch, _)| epoch != view.epoch) {
            self.owner = view.owner(key).map(|owner| (view.epoch, owner));
        }
        self.owner.map(|(_, owner)| owner)
    }

    pub(super) fn has_permit(&self, now: Duration) -> bool {
        self.grants.iter().any(|grant| now < grant.expires)
    }

    /// Uses the permit that expires first, if there is one.
    pub(super) fn take_permit(&mut self, now: Duration) -> bool {
        let Some(first) = (0..self.grants.len()).min_by_key(|index| self.grants[*index].expires)
        else {
            return false;
        };
        let grant = &mut self.grants[first];
        grant.remaining -= 1;
        grant.used += 1;
        grant.last_used_after = now.saturating_sub(grant.sent);
        self.uses.record(now);
        if grant.remaining == 0 {
            let completed = grant.completed();
            self.grants.remove(first);
            self.add_unreported(completed);
        }
        true
    }

    /// Completes the grants and the request in flight whose lifetime has passed.
    pub(super) fn expire(&mut self, now: Duration) {
        let expired: Vec<ActiveGrant> = self
            .grants
            .extract_if(.., |grant| grant.expires <= now)
            .collect();
        for grant in expired {
            self.add_unreported(grant.completed());
        }
        if let Some(request) = self.in_flight.take_if(|request| request.expires <= now) {
            self.round_trip = None;
            self.add_unreported(UnreportedGrant::unused(request));
        }
    }

    /// Updates the round trip with the time that an answer took. That includes time in the owner's
    /// queue, so the shortest time is the best estimate.
    pub(super) fn record_round_trip(&mut self, elapsed: Duration) {
        let known = self.round_trip.map_or(elapsed, |known| known + known / 16);
        self.round_trip = Some(known.min(elapsed));
    }

    /// The lifetime of permits to request while requests wait for one.
    pub(super) fn lifetime(&self, timing: &PermitTiming) -> Duration {
        let Some(round_trip) = self.round_trip else {
            return timing.lifetime;
        };
        (round_trip + round_trip / 4 + self.max_wait() + LIFETIME_SLACK)
            .max(timing.min_lifetime)
            .min(timing.lifetime)
    }

    /// How long the owner may queue the permit request while requests wait for a permit.
    pub(super) fn max_wait(&self) -> Duration {
        if self.rejected {
            MAX_WAIT_AFTER_REJECTION
        } else {
            MAX_WAIT
        }
    }

    /// Adds a completed grant to be reported; drops the oldest one beyond
    /// [`MAX_UNREPORTED_GRANTS`].
    pub(super) fn add_unreported(&mut self, grant: UnreportedGrant) {
        if self.unreported.len() == MAX_UNREPORTED_GRANTS {
            self.unreported.remove(0);
        }
        self.unreported.push(grant);
    }

    /// The next owner to which a completed grant must be reported at once.
    pub(super) fn next_urgent_owner(&self) -> Option<GateId> {
        let urgent = self.unreported.iter().find(|grant| grant.urgent)?;
        Some(urgent.owner)
    }

    /// Removes and returns the completed grants to be reported to `owner`.
    pub(super) fn take_unreported(&mut self, owner: GateId) -> Vec<CompletedGrant> {
        self.unreported
            .extract_if(.., |grant| grant.owner == owner)
            .map(|grant| grant.completed)
            .collect()
    }

    /// The number of permits that may be used.
    pub(super) fn remaining(&self) -> u32 {
        self.grants.iter().map(|grant| grant.remaining).sum()
    }

    /// The number of permits to prefetch, by the gate's own recent rate.
    pub(super) fn prefetch(&mut self, now: Duration, lifetime: Duration) -> u32 {
        let rate = self.uses.count(now, RATE_WINDOW) as f64 / RATE_WINDOW.as_secs_f64();
        // Fits in a `u32`: a rate of permits times a fraction of a second.
        (rate * lifetime.as_secs_f64() * PREFETCH_FRACTION).floor() as u32
    }

    /// When the first grant or request expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        let grants = self.grants.iter().map(|grant| grant.expires);
        grants
            .chain(self.in_flight.map(|request| request.expires))
            .min()
    }

    pub(super) fn is_idle(&mut self, now: Duration) -> bool {
        self.uses.count(now, RATE_WINDOW) == 0
            && self.grants.is_empty()
            && self.in_flight.is_none()
            && self.not_before <= now
            && self.unreported.is_empty()
    }
}
