//! The steward: which replica change is due, by what is heard of the coordinators. Safety never
//! depends on it.

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

/// What is known of the coordinator at one address.
#[derive(Clone, Debug)]
struct Entry {
    identity: Identity,
    zone: String,
    last_heard: Duration,
    leaving: bool,
    /// Members that it has not heard.
    unreachable: Vec<Identity>,
    /// Identities that this address had before; late messages may still name them.
    retired: BTreeSet<Identity>,
}

/// Follows the coordinators and tells which replica change is due.
#[derive(Clone, Debug)]
pub struct ReplicaSetController {
    own: Replica,
    started: Duration,
    target: usize,
    unreachable: Duration,
    stagger: Duration,
    pause: Duration,
    entries: BTreeMap<SocketAddr, Entry>,
    leaving: bool,
    wish: Option<(ReplicaChange, Duration)>,
    paused_until: Duration,
    guards: Guards,
}

impl ReplicaSetController {
    /// A steward for this node's coordinator.
    #[must_use]
    pub fn new(own: Replica, settings: &Settings) -> Self {
        Self {
            own,
            started: Duration::ZERO,
            target: settings.target_replicas,
            unreachable: settings.unreachable_timeout,
            stagger: settings.reconfiguration_stagger,
            pause: settings.round_timeout,
            entries: BTreeMap::new(),
            leaving: false,
            wish: None,
            paused_until: Duration::ZERO,
            guards: settings.guards,
        }
    }

    /// The own replica goes on under another identity.
    pub fn set_identity(&mut self, identity: Identity) {
        self.own.identity = identity;
    }

    /// The node starts to listen: members that are never heard count as silent from here on.
    pub fn start(&mut self, now: Duration) {
        self.started = now;
    }

    /// Whether this coordinator gives its place up: it is about to stop for good, or can't vote any
    /// more.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// A message of a coordinator has arrived.
    pub fn message_received(&mut self, now: Duration, identity: Identity, address: SocketAddr) {
        let entry = self.entries.entry(address).or_insert_with(|| Entry {
            identity,
            zone: String::new(),
            last_heard: now,
            leaving: false,
            unreachable: Vec::new(),
            retired: BTreeSet::new(),
        });
        if entry.retired.contains(&identity) {
            return;
        }
        if entry.identity != identity {
            entry.retired.insert(entry.identity);
            entry.identity = identity;
            entry.leaving = false;
            entry.unreachable.clear();
        }
        entry.last_heard = now;
    }

    /// A coordinator tells of itself.
    pub fn status_received(
        &mut self,
        identity: Identity,
        address: SocketAddr,
        status: &NodeStatus,
    ) {
        if let Some(entry) = self
            .entries
            .get_mut(&address)
            .filter(|entry| entry.identity == identity)
        {
            status.zone.clone_into(&mut entry.zone);
            entry.leaving = status.leaving;
            status.unreachable.clone_into(&mut entry.unreachable);
        }
    }

    /// The own process stood still for that time, in which the others could not be heard.
    pub fn discount_process_pause(&mut self, pause: Duration) {
        self.started += pause;
        for entry in self.entries.values_mut() {
            entry.last_heard += pause;
        }
    }

    /// The members that this node has not heard for a while.
    #[must_use]
    pub fn unreachable_members(&self, now: Duration, members: &Membership) -> Vec<Identity> {
        let coordinators = self.coordinators(now, &members.current);
        let identities = members.replicas().map(|replica| replica.identity);
        identities
            .filter(|&identity| !is_live(&coordinators, identity))
            .collect()
    }

    /// The change to be proposed now, with the replica set that it changes. One at a time; after
    /// each a pause.
    pub fn due(
        &mut self,
        now: Duration,
        members: &Membership,
    ) -> Option<(ReplicaSet, ReplicaChange)> {
        let change = self.wished(now, members);
        let Some(change) = change else {
            self.wish = None;
            return None;
        };
        let since = match &self.wish {
            Some((wish, since)) if *wish == change => *since,
            _ => now,
        };
        self.wish = Some((change.clone(), since));
        let delay = self.delay(now, &members.current, &change);
        if now < since + delay || now < self.paused_until {
            return None;
        }
        self.paused_until = now + self.pause;
        Some((members.current.clone(), change))
    }

    fn wished(&self, now: Duration, members: &Membership) -> Option<ReplicaChange> {
        if members.is_joint() {
            return None;
        }
        let set = &members.current;
        let coordinators = self.coordinators(now, set);
        let missed = self.missed(now, members);
        Plan {
            set,
            coordinators: &coordinators,
            missed: &missed,
            target: self.target,
        }
        .change()
    }

    /// Members that a majority of the members has not heard. What a single node doesn't hear may be
    /// well, behind a link that fails in one direction.
    fn missed(&self, now: Duration, members: &Membership) -> BTreeSet<Identity> {
        let set = &members.current;
        let told = self
            .entries
            .values()
            .filter(|entry| set.contains(entry.identity));
        let live = told.filter(|entry| now < entry.last_heard + self.unreachable);
        let mut reports: Vec<Vec<Identity>> = live.map(|entry| entry.unreachable.clone()).collect();
        let own = self.unreachable_members(now, members);
        if set.contains(self.own.identity) {
            reports.push(own.clone());
        }
        let needed = if self.guards.keeps(Guard::UnreachableByMajority) {
            set.majority()
        } else {
            0
        };
        let is_missed = |member: &Identity| {
            reports
                .iter()
                .filter(|report| report.contains(member))
                .count()
                >= needed
        };
        own.into_iter().filter(is_missed).collect()
    }

    /// What is heard at each address, and the members that were never heard.
    fn coordinators(&self, now: Duration, set: &ReplicaSet) -> Vec<Coordinator> {
        let heard = self.entries.iter().map(|(&address, entry)| Coordinator {
            replica: Replica {
                identity: entry.identity,
                address,
                zone: entry.zone.clone(),
            },
            is_live: now < entry.last_heard + self.unreachable,
            leaving: entry.leaving,
        });
        let own = Coordinator {
            replica: self.own.clone(),
            is_live: true,
            leaving: self.leaving,
        };
        let is_new = now < self.started + self.unreachable;
        let unheard = set.replicas().iter().filter(|replica| {
            replica.address != self.own.address && !self.entries.contains_key(&replica.address)
        });
        let unheard = unheard.map(|replica| Coordinator {
            replica: replica.clone(),
            is_live: is_new,
            leaving: false,
        });
        heard.chain([own]).chain(unheard).collect()
    }

    /// The live member of the smallest identity proposes at once, each further one later, a standby
    /// last. A coordinator that leaves proposes its own replacement at once.
    fn delay(&self, now: Duration, set: &ReplicaSet, change: &ReplicaChange) -> Duration {
        let own = self.own.identity;
        if self.leaving && change.removed() == Some(own) {
            return Duration::ZERO;
        }
        let coordinators = self.coordinators(now, set);
        let live = set
            .replicas()
            .iter()
            .filter(|replica| is_live(&coordinators, replica.identity));
        let before = live
            .filter(|replica| !set.contains(own) || replica.identity < own)
            .count();
        self.stagger * u32::try_from(before).unwrap_or(u32::MAX)
    }
}
