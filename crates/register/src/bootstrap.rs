//! The bootstrap check: whether the whole system starts for the first time. An initial member whose
//! disk is empty needs to know.
//!
//! The identity of an initial member follows from its address, since the initial members must know
//! each other's identities before they can agree on anything. A machine whose disk was lost, and
//! whose settings still say `bootstrap`, would take the same identity again and vote as if it had
//! promised nothing: the check guards against that. The member therefore gives no vote before the
//! others have reported their [`Participation`]:
//!
//! - One of them has voted, or knows a state beyond the initial one: the disk was lost. The replica
//!   takes a new identity, and the members decide whether to add it.
//! - All other initial members have voted for nothing: then no earlier incarnation of this one was
//!   part of a decision either, since each decision has a majority, and so another member. It is an
//!   initial member.
//! - Some are unreachable: if those heard from are a majority together with this one, and all of
//!   them had empty disks too when first heard from, the system starts with machines missing. This
//!   is assumed only after a time-out. Otherwise the check waits: the missing one may be the only
//!   other that knows a decision.
//!
//! A replica that has become a member votes only once all initial members are, or after the
//! time-out a majority: its votes would tell the others that the system had started before them,
//! and one that isn't a member yet would then take another identity and be a member again only
//! after a change of the replica set. Until then the next loss would leave no majority. A member
//! that restarts from its disk and has voted for nothing yet ([`BootstrapCheck::restarted`]) waits
//! for a majority, too: the others may not have started.
//!
//! What remains unprotected: a loss of the disks of a majority, which loses the decisions
//! themselves; and a promise to a coordinator that is no initial member, given and lost with the
//! disk before that coordinator's request reached any other member of a system that has never been
//! changed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Identity;
use crate::message::Participation;
use crate::record::Record;

#[cfg(test)]
mod tests;

/// What the participation of the others shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BootstrapVerdict {
    /// Not enough is known yet.
    Undecided,
    /// The system starts for the first time.
    FirstStart,
    /// The system has started before: the disk of this node was lost.
    AlreadyStarted,
}

/// What is known of the participation of the others.
#[derive(Clone, Debug)]
pub(crate) struct BootstrapCheck<V> {
    own_address: SocketAddr,
    members: Vec<SocketAddr>,
    value: V,
    timeout: Duration,
    /// The participation that each other initial member reported first.
    first_reports: BTreeMap<SocketAddr, Participation>,
    /// Whether any node has reported more than the initial state.
    is_already_started: bool,
    /// Other initial members that have reported to be members.
    reported_members: BTreeSet<SocketAddr>,
    /// Whether this replica has become a member.
    pub(crate) is_member: bool,
    /// Whether it was a member before it started.
    pub(crate) has_restarted: bool,
    /// When the wait for the others began.
    wait_started_at: Option<Duration>,
}

impl<V> BootstrapCheck<V> {
    /// The check of an initial member whose disk is empty.
    pub(crate) fn new(
        own_address: SocketAddr,
        members: Vec<SocketAddr>,
        value: V,
        timeout: Duration,
    ) -> Self {
        Self {
            own_address,
            members,
            value,
            timeout,
            first_reports: BTreeMap::new(),
            is_already_started: false,
            reported_members: BTreeSet::new(),
            is_member: false,
            has_restarted: false,
            wait_started_at: None,
        }
    }

    /// The check of an initial member that restarts from its disk and has voted for nothing; none
    /// for any other record.
    pub(crate) fn restarted(
        own_address: SocketAddr,
        record: &Record<V>,
        timeout: Duration,
    ) -> Option<Self>
    where
        V: Clone,
    {
        if record.has_participated() {
            return None;
        }
        let initial = &record.accepted.as_ref()?.state;
        let replicas = initial.members.current.replicas();
        let members = replicas.iter().map(|replica| replica.address).collect();
        let value = V::clone(&initial.value);
        Some(Self {
            is_member: true,
            has_restarted: true,
            ..Self::new(own_address, members, value, timeout)
        })
    }

    /// Addresses of the initial members.
    pub(crate) fn members(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.iter().copied()
    }

    /// A coordinator has reported its participation. A node at a member's address with another
    /// identity proves nothing about that member, unless it knows a later state.
    pub(crate) fn participation_received(
        &mut self,
        sender: Identity,
        address: SocketAddr,
        participation: Participation,
    ) {
        self.is_already_started |= participation == Participation::Advanced;
        let is_other_member = address != self.own_address && self.members.contains(&address);
        if is_other_member && sender == Identity::from_seed_address(address) {
            self.first_reports.entry(address).or_insert(participation);
            if participation != Participation::Blank {
                self.reported_members.insert(address);
            }
        }
    }

    /// What the participation of the others shows so far.
    pub(crate) fn verdict(&mut self, now: Duration) -> BootstrapVerdict {
        let has_timed_out = self.has_timed_out(now);
        if self.is_already_started {
            return BootstrapVerdict::AlreadyStarted;
        }
        let reports = self.first_reports.len();
        let are_all_blank = self
            .first_reports
            .values()
            .all(|participation| *participation == Participation::Blank);
        let suffices_after_timeout =
            has_timed_out && are_all_blank && reports >= self.majority_excluding_self();
        if reports == self.other_member_count() || suffices_after_timeout {
            BootstrapVerdict::FirstStart
        } else {
            BootstrapVerdict::Undecided
        }
    }

    /// Whether this member may vote: all initial members are members, or after the time-out, or
    /// after a restart, a majority of them is.
    pub(crate) fn may_vote(&mut self, now: Duration) -> bool {
        let majority_suffices = self.has_timed_out(now) || self.has_restarted;
        let needed = if majority_suffices {
            self.majority_excluding_self()
        } else {
            self.other_member_count()
        };
        self.is_member && self.reported_members.len() >= needed
    }

    /// The record of an initial member.
    pub(crate) fn record(&self) -> Record<V>
    where
        V: Clone,
    {
        Record::bootstrap(self.own_address, &self.members, self.value.clone())
    }

    /// Number of the other initial members.
    fn other_member_count(&self) -> usize {
        self.members
            .iter()
            .filter(|member| **member != self.own_address)
            .count()
    }

    /// Number of the other initial members that are a majority together with this one.
    fn majority_excluding_self(&self) -> usize {
        self.members.len() / 2
    }

    /// Whether the time-out has passed; it begins with the first call.
    fn has_timed_out(&mut self, now: Duration) -> bool {
        now >= *self.wait_started_at.get_or_insert(now) + self.timeout
    }
}
