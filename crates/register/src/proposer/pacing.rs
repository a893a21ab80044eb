//! Pacing among proposers: deference to another's ballot, backoff after conflicts, the measured
//! round trip.

use std::time::Duration;

use super::{Context, Proposer};
use crate::ballot::Ballot;

impl<V: Clone> Proposer<V> {
    /// Whether to wait because the own acceptor has lately promised a ballot of another proposer,
    /// of which nothing is chosen yet: a round begun now would only end that one.
    pub(super) fn gives_way(&mut self, now: Duration, context: &Context<'_, V>) -> bool {
        let chosen = context
            .chosen
            .map_or(Ballot::ZERO, |proposal| proposal.ballot);
        let promised = context.promised;
        if promised.identity == self.identity || promised <= chosen {
            self.deference = None;
            return false;
        }
        let pause = (self.round_trip * 2).max(self.settings.initial_backoff);
        let (ballot, limit) = match self.deference {
            Some((ballot, limit)) => (ballot, limit),
            None => (Ballot::ZERO, now + self.settings.max_deference),
        };
        if ballot == promised || now >= limit {
            return false;
        }
        self.deference = Some((promised, limit));
        self.wait_until = (now + pause).min(limit);
        true
    }

    /// Ends the deference to a ballot that a chosen state has reached: the next round may begin at
    /// once.
    pub(super) fn end_deference(&mut self, now: Duration, context: &Context<'_, V>) {
        let is_over = |(ballot, _)| context.chosen.is_some_and(|chosen| chosen.ballot >= ballot);
        if self
            .deference
            .take_if(|deference| is_over(*deference))
            .is_some()
        {
            self.wait_until = now;
        }
    }

    /// Counts a conflict; returns the random wait before the next round.
    pub(super) fn wait_after_conflict(&mut self) -> Duration {
        self.counters.conflicts += 1;
        self.conflicts += 1;
        let bound = self.backoff();
        self.random.below(bound)
    }

    /// Bound of the wait after the conflicts so far: a write takes two round trips.
    fn backoff(&self) -> Duration {
        let first = self.settings.initial_backoff.max(self.round_trip * 2);
        let doubled = first * (1 << self.conflicts.saturating_sub(1).min(8));
        doubled.min(self.settings.max_backoff)
    }
}

/// Average of the time that a quorum takes. Rounds in which something may have been sent again tell
/// nothing.
pub(super) fn smoothed(average: Duration, sample: Duration, resend: Duration) -> Duration {
    if sample < resend {
        (average * 3 + sample) / 4
    } else {
        average
    }
}
