//! The change that a replica set needs, as a function of the coordinators.

use std::collections::BTreeSet;

use crate::ballot::Identity;
use crate::operation::ReplicaChange;
use crate::replicas::{Replica, ReplicaSet};

/// A coordinator as seen from one node.
#[derive(Clone, Debug)]
pub(super) struct Coordinator {
    pub(super) replica: Replica,
    /// Heard lately.
    pub(super) is_live: bool,
    /// About to stop for good.
    pub(super) leaving: bool,
}

impl Coordinator {
    pub(super) fn is(&self, identity: Identity) -> bool {
        self.replica.identity == identity
    }
}

/// A replica set and the coordinators there are.
pub(super) struct Plan<'a> {
    pub(super) set: &'a ReplicaSet,
    pub(super) coordinators: &'a [Coordinator],
    /// Members that are to be given up for lost.
    pub(super) missed: &'a BTreeSet<Identity>,
    /// Number of replicas aimed at.
    pub(super) target: usize,
}

impl Plan<'_> {
    /// The most urgent change of which the result has a live majority.
    pub(super) fn change(&self) -> Option<ReplicaChange> {
        let candidates = [
            self.renew(),
            self.shrink(),
            self.swap(),
            self.grow(),
            self.even_out(),
        ];
        candidates
            .into_iter()
            .flatten()
            .find(|change| self.is_bearable(change))
    }

    /// A member whose disk was emptied: its address has another identity.
    fn renew(&self) -> Option<ReplicaChange> {
        let renewed = |replica: &Replica| {
            let at = |known: &&Coordinator| known.replica.address == replica.address;
            let known = self.coordinators.iter().find(at)?;
            let is_new = known.is_live
                && !known.is(replica.identity)
                && !self.set.contains(known.replica.identity);
            is_new.then(|| swap(replica, &known.replica))
        };
        self.set.replicas().iter().find_map(renewed)
    }

    /// More members than wanted, one of which is gone or leaves.
    fn shrink(&self) -> Option<ReplicaChange> {
        if self.set.len() <= self.target {
            return None;
        }
        self.lost()
            .map(|replica| ReplicaChange::Remove(replica.identity))
    }

    /// A member that is gone or leaves, and a coordinator in its place.
    fn swap(&self) -> Option<ReplicaChange> {
        let lost = self.lost()?;
        let standby = self
            .standbys(&self.set.without(lost.identity))
            .into_iter()
            .next()?;
        Some(swap(lost, &standby))
    }

    /// Fewer members than wanted. An odd set grows only if the next odd size can be reached.
    fn grow(&self) -> Option<ReplicaChange> {
        if self.set.len() >= self.target {
            return None;
        }
        let standbys = self.standbys(self.set);
        let needed = if self.set.len().is_multiple_of(2) {
            1
        } else {
            2
        };
        if standbys.len() < needed {
            return None;
        }
        standbys.into_iter().next().map(ReplicaChange::Add)
    }

    /// An even set with a member gone and nobody in its place bears as much without it.
    fn even_out(&self) -> Option<ReplicaChange> {
        if !self.set.len().is_multiple_of(2) || self.set.len() <= 2 {
            return None;
        }
        self.lost()
            .map(|replica| ReplicaChange::Remove(replica.identity))
    }

    /// A member that is given up for lost, or else one that leaves.
    fn lost(&self) -> Option<&Replica> {
        let replicas = self.set.replicas();
        let dead = replicas
            .iter()
            .find(|replica| self.missed.contains(&replica.identity));
        let leaving = replicas.iter().find(|replica| {
            self.coordinators
                .iter()
                .any(|known| known.is(replica.identity) && known.leaving)
        });
        dead.or(leaving)
    }

    /// Live coordinators that could become members of the set: those of zones without a member come
    /// first.
    fn standbys(&self, set: &ReplicaSet) -> Vec<Replica> {
        let zones: BTreeSet<&str> = set
            .replicas()
            .iter()
            .map(|replica| self.zone(replica))
            .collect();
        let is_free = |known: &&Coordinator| {
            let address = known.replica.address;
            let holds_address = self
                .set
                .replicas()
                .iter()
                .any(|replica| replica.address == address);
            known.is_live && !known.leaving && !holds_address
        };
        let mut standbys: Vec<Replica> = self
            .coordinators
            .iter()
            .filter(is_free)
            .map(|known| known.replica.clone())
            .collect();
        standbys.sort_by_key(|replica| (zones.contains(replica.zone.as_str()), replica.identity));
        standbys
    }

    /// The zone that the coordinator tells, or else the one in the replica set.
    fn zone<'a>(&'a self, replica: &'a Replica) -> &'a str {
        let told = self
            .coordinators
            .iter()
            .find(|known| known.is(replica.identity));
        told.map(|known| known.replica.zone.as_str())
            .filter(|zone| !zone.is_empty())
            .unwrap_or(&replica.zone)
    }

    fn is_live(&self, identity: Identity) -> bool {
        is_live(self.coordinators, identity)
    }

    /// Whether live members are a majority of the set before and after.
    fn is_bearable(&self, change: &ReplicaChange) -> bool {
        let has_majority = |set: &ReplicaSet| {
            let live = set
                .replicas()
                .iter()
                .filter(|replica| self.is_live(replica.identity))
                .count();
            live >= set.majority()
        };
        let next = change.apply_to(self.set);
        has_majority(self.set) && next.is_ok_and(|next| next.as_ref().is_some_and(has_majority))
    }
}

/// Whether the replica of this identity has been heard lately.
pub(super) fn is_live(coordinators: &[Coordinator], identity: Identity) -> bool {
    coordinators
        .iter()
        .any(|known| known.is(identity) && known.is_live)
}

fn swap(removed: &Replica, added: &Replica) -> ReplicaChange {
    ReplicaChange::Replace {
        removed: removed.identity,
        added: added.clone(),
    }
}
