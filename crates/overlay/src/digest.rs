//! The digest of a store: one hash for each bucket of keys, and a root hash over them.
//!
//! The hash of a bucket is the wrapping sum of the hashes of its entries, so that entries are added
//! and removed in constant time and in any order.

use serde::{Deserialize, Serialize};

use crate::entry::Key;
use crate::hash;

/// Number of buckets of a digest. With 2,000 keys a bucket holds about 31 of them.
pub const BUCKETS: usize = 64;

/// The digest on the wire: the upper 4 bytes of the hash of each bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Buckets(Vec<[u8; 4]>);

/// The bucket of `key`.
fn bucket(key: Key) -> usize {
    (hash::mix(key ^ 0x5bd1_e995) % BUCKETS as u64) as usize
}

/// Whether `key` is in one of the buckets of `mask`, which has one bit for each bucket.
pub(crate) fn is_in_mask(key: Key, mask: u64) -> bool {
    mask >> bucket(key) & 1 == 1
}

/// The digest of a store, with the full hashes of all buckets.
#[derive(Clone, Debug)]
pub(crate) struct Digest {
    hashes: [u64; BUCKETS],
}

impl Digest {
    /// The digest of an empty store.
    pub(crate) fn new() -> Digest {
        Digest {
            hashes: [0; BUCKETS],
        }
    }

    /// Adds an entry of `key` with the hash `entry_hash`.
    pub(crate) fn add(&mut self, key: Key, entry_hash: u64) {
        let hash = &mut self.hashes[bucket(key)];
        *hash = hash.wrapping_add(entry_hash);
    }

    /// Removes an entry of `key` that was added with the hash `entry_hash`.
    pub(crate) fn remove(&mut self, key: Key, entry_hash: u64) {
        let hash = &mut self.hashes[bucket(key)];
        *hash = hash.wrapping_sub(entry_hash);
    }

    /// One hash over all buckets.
    pub(crate) fn root_hash(&self) -> u64 {
        self.hashes
            .iter()
            .fold(0, |root, bucket| hash::pair(root, *bucket))
    }

    /// The digest in the form that is sent.
    pub(crate) fn buckets(&self) -> Buckets {
        let upper_half = |hash: &u64| ((hash >> 32) as u32).to_le_bytes();
        Buckets(self.hashes.iter().map(upper_half).collect())
    }

    /// A mask of the buckets that differ from `other`, one bit each. All bits are set if `other` is
    /// malformed, or if no bucket differs: digests are compared when the root hashes differ, so
    /// that the difference is then in the halves of the hashes that are not sent.
    pub(crate) fn difference(&self, other: &Buckets) -> u64 {
        let own = self.buckets();
        let pairs = own.0.iter().zip(other.0.iter()).enumerate();
        let mask = pairs
            .filter(|(_, (own, other))| own != other)
            .fold(0, |mask, (index, _)| mask | 1 << index);
        if mask == 0 || other.0.len() != BUCKETS {
            u64::MAX
        } else {
            mask
        }
    }
}
