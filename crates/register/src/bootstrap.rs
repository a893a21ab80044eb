//! The bootstrap check, by which an initial member with an empty disk finds out whether the whole
//! system starts for the first time.
//!
//! The identity of an initial member is derived from its address, since the initial members must
//! know each other's identities before they can agree on anything. A machine whose disk was lost,
//! and whose settings still say `bootstrap`, would take the same identity again and could
//! contradict its lost promises. The member therefore gives no vote (promise or acceptance) before
//! the others have reported their [`Participation`]:
//!
//! - If any node has voted, or knows a state beyond the initial one, this member's disk was lost.
//!   The replica takes a new identity, and the members decide whether to add it.
//! - If all other initial members have reported and none has voted, the system starts for the first
//!   time and this node is an initial member. No earlier incarnation of it was part of a decision,
//!   since each decision needs a majority, and so another member.
//! - If some initial members are unreachable, the system is assumed to start without them only
//!   after a timeout, and only if those that reported are a majority together with this one and all
//!   had empty disks when they first reported. Otherwise the check waits, since a missing member
//!   may be the only other one that knows a decision.
//!
//! A new member votes only once all initial members have become members, or a majority after the
//! timeout. With an earlier vote, an initial member that still checks would conclude that the
//! system had started before and take another identity. It would be a member again only after a
//! change of the replica set, and until then one more loss would leave no majority. A member that
//! restarts from its disk without ever having voted ([`BootstrapCheck::restarted`]) also waits for
//! a majority, since the others may not have started.
//!
//! Two cases are not covered: the loss of a majority of the disks, which loses the decisions
//! themselves; and, in a system whose state has never been changed, a promise to a coordinator that
//! is not an initial member, if the promise is lost with the disk before that coordinator's request
//! has reached any other member.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Identity;
use crate::message::Participation;
use crate::record::Record;

#[cfg(test)]
mod tests;

/// The conclusion that the reported participation allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BootstrapVerdict {
    /// The reports received so far allow no conclusion.
    Undecided,
    /// The system starts for the first time.
    FirstStart,
    /// The system has started before, so the disk of this node was lost.
    AlreadyStarted,
}

/// State of the bootstrap check: what the other coordinators have reported.
#[derive(Clone, Debug)]
pub(crate) struct BootstrapCheck<V> {
    own_address: SocketAddr,
    members: Vec<SocketAddr>,
    value: V,
    timeout: Duration,
    /// First report of each other initial member.
    first_reports: BTreeMap<SocketAddr, Participation>,
    /// Whether any node has reported a vote or a state beyond the initial one.
    is_already_started: bool,
    /// Other initial members that have reported that they are members.
    reported_members: BTreeSet<SocketAddr>,
    /// Whether this replica has become a member.
    pub(crate) is_member: bool,
    /// Whether this replica was a member before this start of the node.
    pub(crate) has_restarted: bool,
    /// When the timeout began.
    wait_started_at: Option<Duration>,
}

impl<V> BootstrapCheck<V> {
    /// Creates the check of an initial member whose disk is empty.
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

    /// Creates the check of an initial member that restarts from its disk and has never voted.
    /// Returns `None` for any other record.
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

    /// Records the participation that a coordinator has reported. A report from a member's address
    /// under another identity doesn't count for that member, but a vote or a later state reported
    /// by any node shows that the system has started.
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

    /// The conclusion from the reports received so far. The first call starts the timeout.
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

    /// Whether this replica may vote: it is a member, and all initial members have become members.
    /// A majority suffices after the timeout or after a restart.
    pub(crate) fn may_vote(&mut self, now: Duration) -> bool {
        let majority_suffices = self.has_timed_out(now) || self.has_restarted;
        let needed = if majority_suffices {
            self.majority_excluding_self()
        } else {
            self.other_member_count()
        };
        self.is_member && self.reported_members.len() >= needed
    }

    /// Creates this node's record as an initial member.
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

    /// Number of other initial members that form a majority together with this one.
    fn majority_excluding_self(&self) -> usize {
        self.members.len() / 2
    }

    /// Whether the timeout has passed; the first call starts it.
    fn has_timed_out(&mut self, now: Duration) -> bool {
        now >= *self.wait_started_at.get_or_insert(now) + self.timeout
    }
}
