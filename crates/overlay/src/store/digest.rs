//! The digest of a store: a hash per bucket of keys, and the lists of versions in buckets that
//! differ.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Key, Store, Version};
use crate::hash;
use crate::message::Entry;

/// Buckets of the digest. With 2,000 keys a bucket lists about 31 versions.
pub const BUCKETS: usize = 64;

/// Upper half of the hash of each bucket, 4 bytes each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Buckets(Vec<[u8; 4]>);

/// The bucket of `key`.
pub(super) fn bucket(key: Key) -> usize {
    (hash::mix(key ^ 0x5bd1_e995) % BUCKETS as u64) as usize
}

impl Store {
    /// One number for the whole content: equal for equal stores.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |root, bucket| hash::pair(root, *bucket))
    }

    /// The hashes of all buckets: 256 bytes and their count.
    #[must_use]
    pub fn digest(&self) -> Buckets {
        Buckets(
            self.buckets
                .iter()
                .map(|bucket| ((bucket >> 32) as u32).to_le_bytes())
                .collect(),
        )
    }

    /// The buckets that differ from `other`, one bit each. All, if the roots differ though no
    /// bucket seems to.
    #[must_use]
    pub fn difference(&self, other: &Buckets) -> u64 {
        let mine = self.digest();
        let pairs = mine.0.iter().zip(other.0.iter()).enumerate();
        let mask = pairs
            .filter(|(_, (mine, other))| mine != other)
            .fold(0, |mask, (at, _)| mask | 1 << at);
        if mask == 0 || other.0.len() != BUCKETS {
            u64::MAX
        } else {
            mask
        }
    }

    /// The versions held in the buckets of `mask`, without removals that have left the digest.
    #[must_use]
    pub fn list(&self, mask: u64) -> Vec<(Key, Version)> {
        let chosen = self
            .entries
            .iter()
            .filter(|(key, held)| held.counted && mask >> bucket(**key) & 1 == 1);
        chosen.map(|(key, held)| (*key, held.version)).collect()
    }

    /// Compares the buckets of `mask` with the versions `listed` by another store: keys of which
    /// this one has newer entries, and keys of which the other has.
    #[must_use]
    pub fn compare(&self, mask: u64, listed: &[(Key, Version)]) -> (Vec<Key>, Vec<Key>) {
        let theirs: std::collections::BTreeMap<Key, Version> = listed.iter().copied().collect();
        let newer =
            |key: &Key, version: Version| theirs.get(key).is_none_or(|their| version > *their);
        let mine = self
            .list(mask)
            .into_iter()
            .filter(|(key, version)| newer(key, *version))
            .map(|(key, _)| key);
        let lacking = theirs
            .iter()
            .filter(|(key, version)| **version > self.version(**key))
            .map(|(key, _)| *key);
        (mine.collect(), lacking.collect())
    }

    /// Entries of `keys` up to `limit` bytes of payload, at least one, and whether some were left
    /// out.
    #[must_use]
    pub fn collect(&self, now: Duration, keys: &[Key], limit: usize) -> (Vec<Entry>, bool) {
        let mut entries = Vec::new();
        let mut size = 0;
        for key in keys {
            let Some(entry) = self.entry(now, *key) else {
                continue;
            };
            size += entry.size();
            if size > limit && !entries.is_empty() {
                return (entries, true);
            }
            entries.push(entry);
        }
        (entries, false)
    }
}
