//! The quorum lease: when this node sent the newest heartbeat that a majority of the replicas has
//! acknowledged. Compare raft-rs's `check_quorum` and Gray and Cheriton's leases (1989).
//!
//! A node sends heartbeats to all coordinators that it knows, at regular intervals. Its lease
//! counts from the *sending* of the newest heartbeat that a majority has acknowledged, by the
//! node's own steady clock: time in which a response was in transit, or waited while this process
//! was paused, shortens the lease. No two clocks are compared.
//!
//! A response counts only if its sender has no newer replica set than this node. This guards
//! against a lease by the quorum of an outdated set: any newer set is accepted by a majority of the
//! one before it, so one of the replicas that respond would report it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ballot::Identity;
use crate::replicas::{Membership, ReplicaSet};

#[cfg(test)]
mod tests;

/// Identifies a heartbeat; unique within one incarnation of a node, and seeded so that incarnations
/// don't share identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatId(pub u64);

/// Heartbeats sent within the length of a lease.
const HEARTBEATS_PER_LEASE: u32 = 4;
/// Acknowledgements older than this many lengths of a lease are dropped.
const ACK_RETENTION_LEASES: u32 = 64;

/// A heartbeat that may still be acknowledged.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    id: HeartbeatId,
    sent_at: Duration,
}

/// The heartbeats of one node and which replicas have acknowledged them.
#[derive(Clone, Debug)]
pub struct QuorumLease {
    length: Duration,
    next_id: HeartbeatId,
    next_heartbeat_at: Duration,
    /// Heartbeats that may still be acknowledged, oldest first.
    in_flight: VecDeque<Heartbeat>,
    /// When the newest heartbeat that a replica has acknowledged was sent.
    acknowledged: BTreeMap<Identity, Duration>,
}

impl QuorumLease {
    /// No lease yet. `first_id` is the identifier of the first heartbeat; it must differ at each
    /// start.
    #[must_use]
    pub fn new(length: Duration, first_id: HeartbeatId) -> Self {
        Self {
            length,
            next_id: first_id,
            next_heartbeat_at: Duration::ZERO,
            in_flight: VecDeque::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// When the next heartbeat is due.
    #[must_use]
    pub fn next_heartbeat_at(&self) -> Duration {
        self.next_heartbeat_at
    }

    /// Makes a heartbeat due at once.
    pub fn expedite_heartbeat(&mut self) {
        self.next_heartbeat_at = Duration::ZERO;
    }

    /// The heartbeat to send now, if one is due.
    pub fn next_heartbeat(&mut self, now: Duration) -> Option<HeartbeatId> {
        if now < self.next_heartbeat_at {
            return None;
        }
        self.next_heartbeat_at = now + self.length / HEARTBEATS_PER_LEASE;
        self.drop_expired(now);
        let id = self.next_id;
        self.next_id = HeartbeatId(id.0.wrapping_add(1));
        self.in_flight.push_back(Heartbeat { id, sent_at: now });
        Some(id)
    }

    /// A replica has acknowledged a heartbeat. Responses to heartbeats that were never sent, or too
    /// long ago, don't count.
    pub fn acknowledge(&mut self, from: Identity, id: HeartbeatId) {
        let heartbeat = self.in_flight.iter().find(|heartbeat| heartbeat.id == id);
        if let Some(&Heartbeat { sent_at, .. }) = heartbeat {
            let newest = self.acknowledged.entry(from).or_insert(sent_at);
            *newest = (*newest).max(sent_at);
        }
    }

    /// When the newest heartbeat was sent that a majority of each replica set has acknowledged; the
    /// replica `own` has, at every moment.
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

    /// Whether the lease has not expired.
    #[must_use]
    pub fn is_valid(&self, now: Duration, own: Identity, members: &Membership) -> bool {
        self.confirmed_at(now, own, members)
            .is_some_and(|confirmed_at| now < confirmed_at + self.length)
    }

    fn majority_confirmed_at(
        &self,
        now: Duration,
        own: Identity,
        set: &ReplicaSet,
    ) -> Option<Duration> {
        let acknowledged = |identity| {
            if identity == own {
                Some(now)
            } else {
                self.acknowledged.get(&identity).copied()
            }
        };
        let mut times: Vec<Duration> = set
            .replicas()
            .iter()
            .filter_map(|replica| acknowledged(replica.identity))
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        times.get(set.majority() - 1).copied()
    }

    /// Keeps the memory bounded.
    fn drop_expired(&mut self, now: Duration) {
        let length = self.length;
        let is_expired = |heartbeat: &Heartbeat| now >= heartbeat.sent_at + length;
        while self.in_flight.front().is_some_and(is_expired) {
            self.in_flight.pop_front();
        }
        self.acknowledged
            .retain(|_, sent_at| now < *sent_at + length * ACK_RETENTION_LEASES);
    }
}
