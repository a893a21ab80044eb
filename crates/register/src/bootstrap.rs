//! Whether the whole system starts for the first time: asked by an initial member whose disk is
//! empty.
//!
//! The identity of an initial member follows from its address, for the initial members have to know
//! one another's before they can agree on anything. A machine whose disk was lost, and whose
//! settings still say that the system starts for the first time, would take the same identity again
//! and vote as if it had promised nothing. It therefore gives no vote before the others have told
//! of their past ([`Participation`]):
//!
//! - One that has voted for something, or knows something beyond the initial state: the disk was
//!   lost. The replica takes a new identity, and the members decide whether to take it in.
//! - All other initial members have voted for nothing: nor has this one's earlier life in any
//!   decision, for each decision has a majority, and so another member. It is an initial member.
//! - Some are out of reach: if those that are heard make a majority with this one, and all of them
//!   had empty disks too when they were first heard, the system starts with machines missing. This
//!   is believed only after a while. Else it waits: the one that is missing may be the only other
//!   that knows a decision.
//!
//! A replica that has become a member votes only once all initial members have, or after a while a
//! majority with it: its votes tell the others that the system had started before them, and whoever
//! hasn't yet then takes another identity and is a member again only after a change of the set.
//! Until then the next loss would leave no majority. A member that comes back from its disk and has
//! voted for nothing yet ([`BootstrapCheck::returned`]) waits for a majority, too: the others may not
//! have started.
//!
//! What remains unprotected: a loss of the disks of a majority, which loses the decisions
//! themselves; and a promise to a coordinator that is no initial member, given and lost with the
//! disk before that coordinator's request reached any other member of a system that has never been
//! changed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::acceptor::Record;
use crate::ballot::Identity;
use crate::message::Participation;

#[cfg(test)]
mod tests;

/// What the others' pasts show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BootstrapVerdict {
    /// Not enough yet.
    Undecided,
    /// The system starts for the first time.
    FirstStart,
    /// It has started before.
    AlreadyStarted,
}

/// What has been heard of the others' pasts.
#[derive(Clone, Debug)]
pub(crate) struct BootstrapCheck<V> {
    own: SocketAddr,
    members: Vec<SocketAddr>,
    value: V,
    patience: Duration,
    /// Of each initial member, its past when it was first heard.
    heard: BTreeMap<SocketAddr, Participation>,
    is_later: bool,
    /// Other initial members that were heard to be members.
    members_heard: BTreeSet<SocketAddr>,
    /// Whether this replica has become a member.
    pub(crate) is_member: bool,
    /// Whether it was one before this life.
    pub(crate) has_returned: bool,
    since: Option<Duration>,
}

impl<V> BootstrapCheck<V> {
    pub(crate) fn new(
        own: SocketAddr,
        members: Vec<SocketAddr>,
        value: V,
        patience: Duration,
    ) -> Self {
        Self {
            own,
            members,
            value,
            patience,
            heard: BTreeMap::new(),
            is_later: false,
            members_heard: BTreeSet::new(),
            is_member: false,
            has_returned: false,
            since: None,
        }
    }

    /// For an initial member that comes back from its disk and has voted for nothing; none for any
    /// other record.
    pub(crate) fn returned(own: SocketAddr, record: &Record<V>, patience: Duration) -> Option<Self>
    where
        V: Clone,
    {
        let initial = record
            .accepted
            .as_ref()
            .filter(|_| !record.has_participated())?;
        let replicas = initial.state.members.current.replicas();
        let members = replicas.iter().map(|replica| replica.address).collect();
        let value = V::clone(&initial.state.value);
        Some(Self {
            is_member: true,
            has_returned: true,
            ..Self::new(own, members, value, patience)
        })
    }

    /// Addresses of the initial members, which are asked.
    pub(crate) fn members(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.iter().copied()
    }

    /// A coordinator tells of its past. One that stands at a member's address under another
    /// identity is no witness: it doesn't know what that member knew.
    pub(crate) fn message_received(
        &mut self,
        sender: Identity,
        address: SocketAddr,
        past: Participation,
    ) {
        self.is_later |= past == Participation::Advanced;
        let is_member = address != self.own && self.members.contains(&address);
        if is_member && sender == Identity::from_seed_address(address) {
            self.heard.entry(address).or_insert(past);
            if past != Participation::Blank {
                self.members_heard.insert(address);
            }
        }
    }

    /// Number of the other initial members.
    fn others(&self) -> usize {
        self.members
            .iter()
            .filter(|member| **member != self.own)
            .count()
    }

    /// Number of the other initial members that make a majority with this one.
    fn majority_of_others(&self) -> usize {
        self.members.len() / 2
    }

    /// Whether the others have been waited for long enough; the wait begins with the first
    /// question.
    fn is_patience_over(&mut self, now: Duration) -> bool {
        now >= *self.since.get_or_insert(now) + self.patience
    }

    /// What the others' pasts show so far.
    pub(crate) fn verdict(&mut self, now: Duration) -> BootstrapVerdict {
        let is_patience_over = self.is_patience_over(now);
        let all_blank = self
            .heard
            .values()
            .all(|past| *past == Participation::Blank);
        let is_likely =
            is_patience_over && all_blank && self.heard.len() >= self.majority_of_others();
        match (
            self.is_later,
            self.heard.len() == self.others() || is_likely,
        ) {
            (true, _) => BootstrapVerdict::AlreadyStarted,
            (false, true) => BootstrapVerdict::FirstStart,
            (false, false) => BootstrapVerdict::Undecided,
        }
    }

    /// Whether this member may vote: all initial members are members, or after a while a majority
    /// of them is.
    pub(crate) fn may_vote(&mut self, now: Duration) -> bool {
        let majority_suffices = self.is_patience_over(now) || self.has_returned;
        let needed = if majority_suffices {
            self.majority_of_others()
        } else {
            self.others()
        };
        self.is_member && self.members_heard.len() >= needed
    }

    /// The record of an initial member.
    pub(crate) fn record(&self) -> Record<V>
    where
        V: Clone,
    {
        Record::bootstrap(self.own, &self.members, self.value.clone())
    }
}
