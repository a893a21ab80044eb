//! Plan of the next replica change, as a pure function of the replica set and the coordinators.

use std::collections::BTreeSet;

use crate::ballot::Identity;
use crate::operation::ReplicaChange;
use crate::replicas::{Replica, ReplicaSet};

/// A coordinator as seen from one node.
#[derive(Clone, Debug)]
pub(super) struct Coordinator {
    pub(super) replica: Replica,
    /// Whether a message from the coordinator arrived within the timeout.
    pub(super) is_live: bool,
    /// Whether the coordinator gives up its membership.
    pub(super) leaving: bool,
}

impl Coordinator {
    fn has_identity(&self, identity: Identity) -> bool {
        self.replica.identity == identity
    }
}

/// Inputs of the plan: a replica set, the known coordinators, and the members that are lost.
pub(super) struct Plan<'a> {
    pub(super) set: &'a ReplicaSet,
    pub(super) coordinators: &'a [Coordinator],
    /// Members that count as lost, since a majority can't reach them.
    pub(super) lost: &'a BTreeSet<Identity>,
    /// Target number of replicas.
    pub(super) target: usize,
}

impl Plan<'_> {
    /// Returns the most urgent change that leaves live members in the majority.
    pub(super) fn most_urgent_change(&self) -> Option<ReplicaChange> {
        let candidates = [
            self.replace_wiped_member(),
            self.shrink(),
            self.replace_lost(),
            self.grow(),
            self.shrink_to_odd_size(),
        ];
        candidates
            .into_iter()
            .flatten()
            .find(|change| self.keeps_live_majority(change))
    }

    /// Replaces a member whose disk was lost: its address now has another identity.
    fn replace_wiped_member(&self) -> Option<ReplicaChange> {
        let replacement = |member: &Replica| {
            let has_same_address = |known: &&Coordinator| known.replica.address == member.address;
            let known = self.coordinators.iter().find(has_same_address)?;
            let is_new = known.is_live
                && !known.has_identity(member.identity)
                && !self.set.contains(known.replica.identity);
            is_new.then(|| replace(member, &known.replica))
        };
        self.set.replicas().iter().find_map(replacement)
    }

    /// Removes a member that is lost or leaves, if the set is above its target size.
    fn shrink(&self) -> Option<ReplicaChange> {
        if self.set.len() <= self.target {
            return None;
        }
        self.lost_or_leaving()
            .map(|replica| ReplicaChange::Remove(replica.identity))
    }

    /// Replaces a member that is lost or leaves by a standby.
    fn replace_lost(&self) -> Option<ReplicaChange> {
        let lost = self.lost_or_leaving()?;
        let remaining = self.set.without(lost.identity);
        let standby = self.standbys(&remaining).into_iter().next()?;
        Some(replace(lost, &standby))
    }

    /// Adds a standby, if the set is below its target size. A set of odd size grows only if the
    /// next odd size can be reached, since an even size tolerates no more losses.
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

    /// Removes a member that is lost or leaves from a set of even size if no standby can replace
    /// it: the set tolerates as many losses without it.
    fn shrink_to_odd_size(&self) -> Option<ReplicaChange> {
        if !self.set.len().is_multiple_of(2) || self.set.len() <= 2 {
            return None;
        }
        self.lost_or_leaving()
            .map(|replica| ReplicaChange::Remove(replica.identity))
    }

    /// Returns a member that counts as lost, or else one that leaves.
    fn lost_or_leaving(&self) -> Option<&Replica> {
        let replicas = self.set.replicas();
        let lost = replicas
            .iter()
            .find(|replica| self.lost.contains(&replica.identity));
        let leaving = replicas.iter().find(|replica| {
            self.coordinators
                .iter()
                .any(|known| known.has_identity(replica.identity) && known.leaving)
        });
        lost.or(leaving)
    }

    /// Live coordinators that could become members: first those in zones without a member of `set`,
    /// then by identity.
    fn standbys(&self, set: &ReplicaSet) -> Vec<Replica> {
        let zones: BTreeSet<&str> = set
            .replicas()
            .iter()
            .map(|replica| self.zone(replica))
            .collect();
        let is_standby = |known: &&Coordinator| {
            let address = known.replica.address;
            let is_member_address = self
                .set
                .replicas()
                .iter()
                .any(|replica| replica.address == address);
            known.is_live && !known.leaving && !is_member_address
        };
        let mut standbys: Vec<Replica> = self
            .coordinators
            .iter()
            .filter(is_standby)
            .map(|known| known.replica.clone())
            .collect();
        standbys.sort_by_key(|replica| (zones.contains(replica.zone.as_str()), replica.identity));
        standbys
    }

    /// Zone of a replica: the one that its coordinator reports, or else the one in the replica set.
    fn zone<'a>(&'a self, replica: &'a Replica) -> &'a str {
        let reported = self
            .coordinators
            .iter()
            .find(|known| known.has_identity(replica.identity));
        reported
            .map(|known| known.replica.zone.as_str())
            .filter(|zone| !zone.is_empty())
            .unwrap_or(&replica.zone)
    }

    /// Whether live members are a majority of the set before and after the change.
    fn keeps_live_majority(&self, change: &ReplicaChange) -> bool {
        let has_live_majority = |set: &ReplicaSet| {
            let live = set
                .replicas()
                .iter()
                .filter(|replica| is_live(self.coordinators, replica.identity))
                .count();
            live >= set.majority()
        };
        let next = change.apply_to(self.set);
        has_live_majority(self.set)
            && next.is_ok_and(|next| next.as_ref().is_some_and(has_live_majority))
    }
}

/// Whether the coordinator with this identity is live.
pub(super) fn is_live(coordinators: &[Coordinator], identity: Identity) -> bool {
    coordinators
        .iter()
        .any(|known| known.has_identity(identity) && known.is_live)
}

fn replace(removed: &Replica, added: &Replica) -> ReplicaChange {
    ReplicaChange::Replace {
        removed: removed.identity,
        added: added.clone(),
    }
}
