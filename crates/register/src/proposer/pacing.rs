//! Pacing among proposers: deference to another's ballot, backoff after conflicts, and the measured
//! round trip time. It guards against duelling proposers, which pre-empt each other's rounds so
//! that none completes (Lamport 2001, "Paxos Made Simple", section 2.4). Safety never depends on
//! it.

use std::time::Duration;

use super::{Context, Proposer};
use crate::ballot::Ballot;
use crate::operation::RegisterValue;
use crate::state::ballot_of;

/// Samples that the average round trip time is weighted over.
const ROUND_TRIP_SAMPLES: u32 = 4;

/// Largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// A ballot of another proposer to which this one defers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deference {
    ballot: Ballot,
    /// No ballot is deferred to after this.
    until: Duration,
}

impl<V: RegisterValue> Proposer<V> {
    /// Whether to wait because the own acceptor has lately promised a ballot of another proposer,
    /// of which nothing is chosen yet: a round begun now would only pre-empt that one.
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

    /// Ends the deference to a ballot that a chosen state has reached: the next round may begin at
    /// once.
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

    /// Upper bound of the wait after the conflicts so far. A change takes two round trips, so the
    /// first bound is at least that.
    fn backoff(&self) -> Duration {
        let first = self.settings.initial_backoff.max(self.round_trip * 2);
        let doublings = self.conflicts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = first * (1 << doublings);
        doubled.min(self.settings.max_backoff)
    }

    /// Counts the time that a quorum took into the average round trip time. A round in which
    /// requests may have been sent again says nothing: it isn't known which one was answered (Karn
    /// and Partridge 1987).
    pub(super) fn record_round_trip(&mut self, sample: Duration) {
        if sample < self.settings.retransmit_interval {
            let earlier = self.round_trip * (ROUND_TRIP_SAMPLES - 1);
            self.round_trip = (earlier + sample) / ROUND_TRIP_SAMPLES;
        }
    }
}
