//! Contact with a majority: when this node last asked a question that a majority of the replicas
//! has answered.
//!
//! A node asks all coordinators that it knows at regular intervals. Its contact is as old as the
//! *asking* of the newest question that a majority has answered, by the node's own steady clock:
//! the time an answer was on its way, or waited while this process stood still, counts as time
//! without contact. An answer counts only if its sender holds no newer replica set than the asker,
//! so that a quorum of an outdated set gives no contact: any newer set is accepted by a majority of
//! the one before it, and one of those would have told.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ballot::Identity;
use crate::replicas::{Membership, ReplicaSet};

#[cfg(test)]
mod tests;

/// Number of a question; unique within one life of a node, and drawn so that lives don't share
/// numbers.
pub type HeartbeatId = u64;

/// Questions asked within one bound.
const HEARTBEATS_PER_LEASE: u32 = 4;
/// Answers older than this many bounds are forgotten.
const ACK_RETENTION_LEASES: u32 = 64;

/// The questions of one node and who has answered them.
#[derive(Clone, Debug)]
pub struct QuorumLease {
    bound: Duration,
    next: HeartbeatId,
    ask_at: Duration,
    /// Questions that may still be answered, with the time of asking; oldest first.
    open: VecDeque<(HeartbeatId, Duration)>,
    /// When the newest question that a replica has answered was asked.
    answered: BTreeMap<Identity, Duration>,
}

impl QuorumLease {
    /// No contact yet. `first` is the number of the first question; it must differ at each start.
    #[must_use]
    pub fn new(bound: Duration, first: HeartbeatId) -> Self {
        Self {
            bound,
            next: first,
            ask_at: Duration::ZERO,
            open: VecDeque::new(),
            answered: BTreeMap::new(),
        }
    }

    /// When the next question is due.
    #[must_use]
    pub fn wake(&self) -> Duration {
        self.ask_at
    }

    /// Makes a question due at once.
    pub fn expedite_heartbeat(&mut self) {
        self.ask_at = Duration::ZERO;
    }

    /// The question to be asked now, if one is due.
    pub fn next_heartbeat(&mut self, now: Duration) -> Option<HeartbeatId> {
        if now < self.ask_at {
            return None;
        }
        self.ask_at = now + self.bound / HEARTBEATS_PER_LEASE;
        self.forget(now);
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.open.push_back((number, now));
        Some(number)
    }

    /// A replica has answered. Answers to questions that were never asked, or too long ago, don't
    /// count.
    pub fn acknowledge(&mut self, from: Identity, number: HeartbeatId) {
        let asked = self.open.iter().find(|(open, _)| *open == number);
        if let Some((_, at)) = asked {
            let newest = self.answered.entry(from).or_insert(*at);
            *newest = (*newest).max(*at);
        }
    }

    /// When the newest question was asked that a majority of each set held has answered; `own` has,
    /// at every moment.
    #[must_use]
    pub fn confirmed_at(
        &self,
        now: Duration,
        own: Identity,
        members: &Membership,
    ) -> Option<Duration> {
        let current = self.majority_confirmed_at(now, own, &members.current)?;
        match &members.next {
            Some(next) => Some(current.min(self.majority_confirmed_at(now, own, next)?)),
            None => Some(current),
        }
    }

    /// Whether contact is younger than the bound.
    #[must_use]
    pub fn is_valid(&self, now: Duration, own: Identity, members: &Membership) -> bool {
        self.confirmed_at(now, own, members)
            .is_some_and(|since| now < since + self.bound)
    }

    fn majority_confirmed_at(
        &self,
        now: Duration,
        own: Identity,
        set: &ReplicaSet,
    ) -> Option<Duration> {
        let answered = |identity| {
            if identity == own {
                Some(now)
            } else {
                self.answered.get(&identity).copied()
            }
        };
        let mut times: Vec<Duration> = set
            .replicas()
            .iter()
            .filter_map(|replica| answered(replica.identity))
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        times.get(set.majority() - 1).copied()
    }

    fn forget(&mut self, now: Duration) {
        let bound = self.bound;
        while self.open.front().is_some_and(|(_, at)| now >= *at + bound) {
            self.open.pop_front();
        }
        self.answered
            .retain(|_, at| now < *at + bound * ACK_RETENTION_LEASES);
    }
}
