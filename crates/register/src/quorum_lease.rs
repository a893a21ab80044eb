//! The quorum lease: whether a majority of the replicas has recently acknowledged a heartbeat of
//! this node. Compare raft-rs's `check_quorum` and Gray and Cheriton's leases (1989).
//!
//! A node sends heartbeats to all coordinators that it knows, at regular intervals. Its lease
//! begins at the *sending* of the newest heartbeat that a majority has acknowledged, measured by
//! the node's own monotonic clock. Time during which a response was in transit, or waited because
//! the process was paused, therefore shortens the lease, and clocks of different machines are never
//! compared.
//!
//! A response counts only if its sender has no newer replica set than this node; otherwise a node
//! could hold a lease from a quorum of an outdated set. Any newer set is accepted by a majority of
//! the set before it, so at least one of the responding replicas would report it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ballot::Identity;
use crate::replicas::{Membership, ReplicaSet};

#[cfg(test)]
mod tests;

/// Identifies a heartbeat. Identifiers are unique within one incarnation of a node, and the first
/// one is random so that incarnations don't share identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatId(pub u64);

/// Number of heartbeats sent per lease length.
const HEARTBEATS_PER_LEASE: u32 = 4;
/// Age, in lease lengths, after which acknowledgements are dropped to bound the memory used.
const ACK_RETENTION_LEASES: u32 = 64;

/// A heartbeat that may still be acknowledged.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    id: HeartbeatId,
    sent_at: Duration,
}

/// The quorum lease of one node: the heartbeats that it has sent and the replicas that have
/// acknowledged them.
#[derive(Clone, Debug)]
pub struct QuorumLease {
    length: Duration,
    next_id: HeartbeatId,
    next_heartbeat_at: Duration,
    /// Heartbeats that may still be acknowledged, oldest first.
    in_flight: VecDeque<Heartbeat>,
    /// For each replica, when the newest heartbeat that it has acknowledged was sent.
    acknowledged: BTreeMap<Identity, Duration>,
}

impl QuorumLease {
    /// Creates a quorum lease that no replica has granted yet. `first_id` is the identifier of the
    /// first heartbeat and must differ at each start of the node.
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

    /// When the next heartbeat is due, by the node's monotonic clock.
    #[must_use]
    pub fn next_heartbeat_at(&self) -> Duration {
        self.next_heartbeat_at
    }

    /// Makes the next heartbeat due at once.
    pub fn expedite_heartbeat(&mut self) {
        self.next_heartbeat_at = Duration::ZERO;
    }

    /// Begins the heartbeat that is due, if any, and returns the identifier to send.
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

    /// Records that a replica has acknowledged a heartbeat. The acknowledgement of a heartbeat that
    /// was never sent, or that has expired since, has no effect.
    pub fn acknowledge(&mut self, from: Identity, id: HeartbeatId) {
        let heartbeat = self.in_flight.iter().find(|heartbeat| heartbeat.id == id);
        if let Some(&Heartbeat { sent_at, .. }) = heartbeat {
            let newest = self.acknowledged.entry(from).or_insert(sent_at);
            *newest = (*newest).max(sent_at);
        }
    }

    /// When the newest heartbeat was sent that a majority of each replica set has acknowledged;
    /// `None` if there is none. The node's own replica, `own`, counts as having acknowledged at
    /// `now`.
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

    /// Whether the node holds a lease that has not expired at `now`.
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

    /// Drops heartbeats and acknowledgements that are too old to count, which bounds the memory
    /// used.
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
