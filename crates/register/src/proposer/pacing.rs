//! Pacing of rounds: deference to a ballot of another proposer, backoff after conflicts, and the
//! measured round trip time.
//!
//! Pacing guards against duelling proposers, which pre-empt each other's rounds so that none
//! completes (Lamport 2001, "Paxos Made Simple", section 2.4). Safety never depends on pacing.

use std::time::Duration;

use super::{Context, Proposer};
use crate::ballot::Ballot;
use crate::operation::RegisterValue;
use crate::state::ballot_of;

/// Weight of the moving average of the round trip time: a new sample counts as one of this many.
const ROUND_TRIP_SAMPLES: u32 = 4;

/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Deference of this proposer to a ballot of another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deference {
    ballot: Ballot,
    /// Time after which the proposer defers to no ballot.
    until: Duration,
}

impl<V: RegisterValue> Proposer<V> {
    /// Whether to wait because the node's own acceptor has promised a ballot of another proposer
    /// that isn't known as chosen yet. A round started now would only pre-empt that one.
    pub(super) fn should_defer(&mut self, now: Duration, context: &Context<'_, V>) -> bool {
        let promised = context.promised;
        if promised.identity == self.identity || promised <= ballot_of(context.chosen) {
            self.deference = None;
            return false;
        }
        let pause = (self.round_trip * 2).max(self.settings.initial_backoff);
        let (ballot, until) = match self.deference {
            Some(deference) => (deference.ballot, deference.until),
            None => (Ballot::ZERO, now + self.settings.max_deference),
        };
        if ballot == promised || now >= until {
            return false;
        }
        self.deference = Some(Deference {
            ballot: promised,
            until,
        });
        self.next_round_at = (now + pause).min(until);
        true
    }

    /// Ends the deference once the chosen ballot has reached the other proposer's ballot; the next
    /// round may then start at once.
    pub(super) fn end_deference(&mut self, now: Duration, context: &Context<'_, V>) {
        let is_over = |deference: &mut Deference| {
            context
                .chosen
                .is_some_and(|chosen| chosen.ballot >= deference.ballot)
        };
        if self.deference.take_if(is_over).is_some() {
            self.next_round_at = now;
        }
    }

    /// Counts a conflict; returns the random wait before the next round.
    pub(super) fn wait_after_conflict(&mut self) -> Duration {
        self.metrics.conflicts += 1;
        self.conflicts += 1;
        let bound = self.backoff();
        self.random.below(bound)
    }

    /// Upper bound of the random wait after the conflicts so far. A change takes two round trips,
    /// so the first bound is at least two round trips.
    fn backoff(&self) -> Duration {
        let first = self.settings.initial_backoff.max(self.round_trip * 2);
        let doublings = self.conflicts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = first * (1 << doublings);
        doubled.min(self.settings.max_backoff)
    }

    /// Adds the reply time of a quorum to the average round trip time. Samples of rounds that may
    /// have retransmitted are ignored, since it is unknown which transmission was answered (Karn
    /// and Partridge 1987).
    pub(super) fn record_round_trip(&mut self, sample: Duration) {
        if sample < self.settings.retransmit_interval {
            let earlier = self.round_trip * (ROUND_TRIP_SAMPLES - 1);
            self.round_trip = (earlier + sample) / ROUND_TRIP_SAMPLES;
        }
    }
}
