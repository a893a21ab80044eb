//! Replica sets, the membership of one or two of them, and its quorums.
//!
//! The replica set changes by joint consensus (Raft, Ongaro and Ousterhout 2014, section 6): a
//! membership of two sets decides by a majority of each, so that the old and the new set never
//! decide independently.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::Identity;
use crate::random::Random;

/// One replica of the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// Identity of the replica, bound to its disk.
    pub identity: Identity,
    /// Address at which the replica listens.
    pub address: SocketAddr,
    /// Zone of the replica's machine; empty if unknown.
    pub zone: String,
}

/// A set of replicas, ordered by identity, each identity at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaSet(Vec<Replica>);

impl ReplicaSet {
    /// Creates a set of replicas. Of several with the same identity only the first is kept.
    pub fn new(replicas: impl IntoIterator<Item = Replica>) -> Self {
        let mut list: Vec<Replica> = replicas.into_iter().collect();
        list.sort_by_key(|replica| replica.identity);
        list.dedup_by_key(|replica| replica.identity);
        Self(list)
    }

    /// Creates the set of initial members from their addresses, from which their identities
    /// follow; the zones are unknown.
    pub fn from_seed_addresses(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seed = |address| Replica {
            identity: Identity::from_seed_address(address),
            address,
            zone: String::new(),
        };
        Self::new(addresses.into_iter().map(seed))
    }

    /// The replicas, ordered by identity.
    #[must_use]
    pub fn replicas(&self) -> &[Replica] {
        &self.0
    }

    /// Number of replicas in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the set has no replica.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Size of a majority: the smallest number of replicas such that any two subsets of that size
    /// overlap.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether a replica of the set has this identity.
    #[must_use]
    pub fn contains(&self, identity: Identity) -> bool {
        self.0.iter().any(|replica| replica.identity == identity)
    }

    /// Whether both sets have the same identities; addresses and zones are ignored.
    #[must_use]
    pub fn has_same_identities(&self, other: &Self) -> bool {
        let identity = |replica: &Replica| replica.identity;
        self.0.iter().map(identity).eq(other.0.iter().map(identity))
    }

    /// Returns the set with a replica added; a replica of the same identity stays instead.
    #[must_use]
    pub fn with(&self, replica: Replica) -> Self {
        Self::new(self.0.iter().cloned().chain([replica]))
    }

    /// Returns the set without the replica of this identity.
    #[must_use]
    pub fn without(&self, identity: Identity) -> Self {
        Self(
            self.0
                .iter()
                .filter(|replica| replica.identity != identity)
                .cloned()
                .collect(),
        )
    }

    /// Whether the replicas for which `voted` holds are a majority of the set.
    fn has_majority(&self, voted: &impl Fn(Identity) -> bool) -> bool {
        let votes = self
            .0
            .iter()
            .filter(|replica| voted(replica.identity))
            .count();
        votes >= self.majority()
    }
}

/// The replicas that decide on the next state: one set, or two while the replica set changes (joint
/// membership).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// The current set; the old one in a joint membership.
    pub current: ReplicaSet,
    /// The next set in a joint membership; decisions then need a majority of each set.
    pub next: Option<ReplicaSet>,
}

impl Membership {
    /// Creates a membership of one set.
    #[must_use]
    pub fn single(current: ReplicaSet) -> Self {
        Self {
            current,
            next: None,
        }
    }

    /// Creates a joint membership of two sets.
    #[must_use]
    pub fn joint(current: ReplicaSet, next: ReplicaSet) -> Self {
        Self {
            current,
            next: Some(next),
        }
    }

    /// Whether the membership consists of two sets.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        self.next.is_some()
    }

    /// The next set of a joint membership, else the current set.
    #[must_use]
    pub fn latest(&self) -> &ReplicaSet {
        self.next.as_ref().unwrap_or(&self.current)
    }

    /// All replicas of the one or two sets, each identity once.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        let added = self.next.iter().flat_map(ReplicaSet::replicas);
        let added = added.filter(|replica| !self.current.contains(replica.identity));
        self.current.replicas().iter().chain(added)
    }

    /// Whether a replica of any set has this identity.
    #[must_use]
    pub fn contains(&self, identity: Identity) -> bool {
        self.replicas().any(|replica| replica.identity == identity)
    }

    /// Hash of the identities in each set. Nodes compare it with the one in a heartbeat response
    /// to detect another membership; equal hashes of different memberships are possible but rare.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let sets = [Some(&self.current), self.next.as_ref()]
            .into_iter()
            .flatten();
        let numbers = sets.flat_map(|set| {
            let size = set.len() as u64;
            std::iter::once(size).chain(set.replicas().iter().map(|replica| replica.identity.0))
        });
        numbers.fold(0, |mixed, number| Random::new(mixed ^ number).next())
    }

    /// Whether the replicas for which `voted` holds are a majority of each set.
    pub fn is_quorum(&self, voted: impl Fn(Identity) -> bool) -> bool {
        let next = self
            .next
            .as_ref()
            .is_none_or(|set| set.has_majority(&voted));
        next && self.current.has_majority(&voted)
    }

    /// Whether the replicas for which `voted` holds are a majority of the latest set alone. Unsafe;
    /// only mutation tests use it, to remove [`Guard::JointQuorum`](crate::guard::Guard).
    #[cfg(feature = "mutations")]
    pub(crate) fn is_quorum_of_latest(&self, voted: impl Fn(Identity) -> bool) -> bool {
        self.latest().has_majority(&voted)
    }
}
