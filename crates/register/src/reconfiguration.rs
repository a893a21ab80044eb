//! Replica-set reconfiguration: decides which change of the replica set is due, based on the
//! messages received from the coordinators and on their status reports.
//!
//! Safety never depends on this module: a replica change is decided like any other, by the
//! majorities of a joint membership. The module restores fault tolerance by replacing lost
//! replicas, and avoids needless changes when only one node can't reach a healthy member. The rules
//! are here and in `plan`; `node::reconfiguration` connects them to the node.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Identity;
use crate::guard::{Guard, Guards};
use crate::message::NodeStatus;
use crate::operation::ReplicaChange;
use crate::reconfiguration::plan::{Coordinator, Plan, is_live};
use crate::replicas::{Membership, Replica, ReplicaSet};
use crate::settings::Settings;

mod plan;
#[cfg(test)]
mod tests;

/// The coordinator at one address, as known from its messages.
#[derive(Clone, Debug)]
struct Peer {
    identity: Identity,
    zone: String,
    last_heard: Duration,
    leaving: bool,
    /// Members that the coordinator reports as unreachable.
    unreachable: Vec<Identity>,
    /// Earlier identities of this address, which delayed messages may still carry.
    retired: BTreeSet<Identity>,
}

impl Peer {
    fn new(identity: Identity, last_heard: Duration) -> Self {
        Self {
            identity,
            zone: String::new(),
            last_heard,
            leaving: false,
            unreachable: Vec::new(),
            retired: BTreeSet::new(),
        }
    }

    /// Records that the address has another identity from now on, and retires the current one.
    fn set_identity(&mut self, identity: Identity) {
        self.retired.insert(self.identity);
        self.identity = identity;
        self.leaving = false;
        self.unreachable.clear();
    }
}

/// A replica change that is due to be proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueChange {
    /// The replica set that the change is made for.
    pub expected: ReplicaSet,
    /// The replica to add, remove or replace.
    pub change: ReplicaChange,
}

/// A needed replica change, and the time since which it has been needed.
#[derive(Clone, Debug)]
struct NeededChange {
    change: ReplicaChange,
    since: Duration,
}

/// Tracks the liveness and status of all coordinators and decides which replica change is due.
#[derive(Clone, Debug)]
pub struct ReplicaSetController {
    own: Replica,
    started_at: Duration,
    target: usize,
    unreachable_timeout: Duration,
    stagger: Duration,
    proposal_interval: Duration,
    peers: BTreeMap<SocketAddr, Peer>,
    leaving: bool,
    needed: Option<NeededChange>,
    next_proposal_at: Duration,
    guards: Guards,
}

impl ReplicaSetController {
    /// Creates the controller of the node whose replica is `own`.
    #[must_use]
    pub fn new(own: Replica, settings: &Settings) -> Self {
        Self {
            own,
            started_at: Duration::ZERO,
            target: settings.target_replicas,
            unreachable_timeout: settings.unreachable_timeout,
            stagger: settings.reconfiguration_stagger,
            proposal_interval: settings.round_timeout,
            peers: BTreeMap::new(),
            leaving: false,
            needed: None,
            next_proposal_at: Duration::ZERO,
            guards: settings.guards,
        }
    }

    /// Changes the identity of the node's own replica.
    pub fn set_identity(&mut self, identity: Identity) {
        self.own.identity = identity;
    }

    /// Records that the node starts to receive messages: the timeout of members never heard from
    /// begins.
    pub fn start(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// Sets whether this coordinator gives up its membership: it is about to stop for good, or its
    /// disk is stalled.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Records a message from a coordinator. Delayed messages under a retired identity are ignored.
    pub fn message_received(&mut self, now: Duration, identity: Identity, address: SocketAddr) {
        let peer = self
            .peers
            .entry(address)
            .or_insert_with(|| Peer::new(identity, now));
        if peer.retired.contains(&identity) {
            return;
        }
        if peer.identity != identity {
            peer.set_identity(identity);
        }
        peer.last_heard = now;
    }

    /// Records the status that a coordinator reports. A status under an identity other than the
    /// current one of the address is ignored.
    pub fn status_received(
        &mut self,
        identity: Identity,
        address: SocketAddr,
        status: &NodeStatus,
    ) {
        let peer = self.peers.get_mut(&address);
        if let Some(peer) = peer.filter(|peer| peer.identity == identity) {
            status.zone.clone_into(&mut peer.zone);
            peer.leaving = status.leaving;
            status.unreachable.clone_into(&mut peer.unreachable);
        }
    }

    /// Extends all timeouts by a pause of the node's own process, during which it received nothing.
    pub fn discount_process_pause(&mut self, pause: Duration) {
        self.started_at += pause;
        for peer in self.peers.values_mut() {
            peer.last_heard += pause;
        }
    }

    /// Members from which this node has received nothing within the timeout.
    #[must_use]
    pub fn unreachable_members(&self, now: Duration, members: &Membership) -> Vec<Identity> {
        let coordinators = self.coordinators(now, &members.current);
        let identities = members.replicas().map(|replica| replica.identity);
        identities
            .filter(|&identity| !is_live(&coordinators, identity))
            .collect()
    }

    /// Returns the change to propose now, if any. Proposals are at least the proposal interval
    /// (`Settings::round_timeout`) apart.
    pub fn due_change(&mut self, now: Duration, members: &Membership) -> Option<DueChange> {
        let Some(change) = self.needed_change(now, members) else {
            self.needed = None;
            return None;
        };
        let since = match &self.needed {
            Some(needed) if needed.change == change => needed.since,
            _ => now,
        };
        self.needed = Some(NeededChange {
            change: change.clone(),
            since,
        });
        let delay = self.proposal_delay(now, &members.current, &change);
        if now < since + delay || now < self.next_proposal_at {
            return None;
        }
        self.next_proposal_at = now + self.proposal_interval;
        Some(DueChange {
            expected: members.current.clone(),
            change,
        })
    }

    /// Returns the change that the replica set needs; `None` while the membership is joint.
    fn needed_change(&self, now: Duration, members: &Membership) -> Option<ReplicaChange> {
        if members.is_joint() {
            return None;
        }
        let set = &members.current;
        let coordinators = self.coordinators(now, set);
        let lost = self.lost_members(now, members);
        Plan {
            set,
            coordinators: &coordinators,
            lost: &lost,
            target: self.target,
        }
        .most_urgent_change()
    }

    /// Members that count as lost: a majority of the members can't reach them. A member that only
    /// one node can't reach may be healthy, behind a link that fails in one direction.
    fn lost_members(&self, now: Duration, members: &Membership) -> BTreeSet<Identity> {
        let set = &members.current;
        let mut reports: Vec<Vec<Identity>> = self
            .peers
            .values()
            .filter(|peer| set.contains(peer.identity) && self.is_reachable(now, peer))
            .map(|peer| peer.unreachable.clone())
            .collect();
        let unreachable_from_here = self.unreachable_members(now, members);
        if set.contains(self.own.identity) {
            reports.push(unreachable_from_here.clone());
        }
        let required_reports = if self.guards.enforces(Guard::UnreachableByMajority) {
            set.majority()
        } else {
            0
        };
        let is_lost = |member: &Identity| {
            let count = reports
                .iter()
                .filter(|report| report.contains(member))
                .count();
            count >= required_reports
        };
        unreachable_from_here.into_iter().filter(is_lost).collect()
    }

    fn is_reachable(&self, now: Duration, peer: &Peer) -> bool {
        now < peer.last_heard + self.unreachable_timeout
    }

    /// The coordinators heard from, this one, and the members never heard from. The latter count as
    /// live until the timeout since the start has passed.
    fn coordinators(&self, now: Duration, set: &ReplicaSet) -> Vec<Coordinator> {
        let heard = self.peers.iter().map(|(&address, peer)| Coordinator {
            replica: Replica {
                identity: peer.identity,
                address,
                zone: peer.zone.clone(),
            },
            is_live: self.is_reachable(now, peer),
            leaving: peer.leaving,
        });
        let own = Coordinator {
            replica: self.own.clone(),
            is_live: true,
            leaving: self.leaving,
        };
        let has_just_started = now < self.started_at + self.unreachable_timeout;
        let unheard = set.replicas().iter().filter(|replica| {
            replica.address != self.own.address && !self.peers.contains_key(&replica.address)
        });
        let unheard = unheard.map(|replica| Coordinator {
            replica: replica.clone(),
            is_live: has_just_started,
            leaving: false,
        });
        heard.chain([own]).chain(unheard).collect()
    }

    /// Delay before this node proposes a change: zero for the live member with the smallest
    /// identity, one stagger more for each further one, and the longest for a standby. A
    /// coordinator that leaves proposes its own replacement at once.
    fn proposal_delay(&self, now: Duration, set: &ReplicaSet, change: &ReplicaChange) -> Duration {
        let own = self.own.identity;
        if self.leaving && change.removed() == Some(own) {
            return Duration::ZERO;
        }
        let coordinators = self.coordinators(now, set);
        let earlier_proposers = set
            .replicas()
            .iter()
            .filter(|replica| is_live(&coordinators, replica.identity))
            .filter(|replica| !set.contains(own) || replica.identity < own)
            .count();
        self.stagger * u32::try_from(earlier_proposers).unwrap_or(u32::MAX)
    }
}
