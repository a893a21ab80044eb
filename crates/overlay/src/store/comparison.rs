//! Comparison of two stores, which exchanges only the versions in buckets whose hashes differ.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Store;
use crate::digest::{self, Buckets};
use crate::entry::{Entry, Key, Version};

/// Result of [`Store::compare`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Keys of which the local store has a newer version, or the only one.
    pub newer: Vec<Key>,
    /// Keys of which the other store has a newer version, or the only one.
    pub missing: Vec<Key>,
}

impl Store {
    /// One hash over all entries in the digest: equal for equal stores.
    #[must_use]
    pub fn root_hash(&self) -> u64 {
        self.digest.root_hash()
    }

    /// The hashes of all buckets, as sent to another store: 4 bytes for each of 64 buckets.
    #[must_use]
    pub fn digest(&self) -> Buckets {
        self.digest.buckets()
    }

    /// A mask of the buckets that differ from `other`, one bit each. All bits are set if no bucket
    /// differs, so that a difference of the root hashes is always followed by a comparison, or if
    /// `other` is malformed.
    #[must_use]
    pub fn difference(&self, other: &Buckets) -> u64 {
        self.digest.difference(other)
    }

    /// The stored versions in the buckets of `mask`, without tombstones that have left the digest.
    #[must_use]
    pub fn list(&self, mask: u64) -> Vec<(Key, Version)> {
        self.entries
            .iter()
            .filter(|(key, stored)| stored.in_digest && digest::is_in_mask(**key, mask))
            .map(|(key, stored)| (*key, stored.version))
            .collect()
    }

    /// Compares the buckets of `mask` with the versions in them that another store has `listed`.
    #[must_use]
    pub fn compare(&self, mask: u64, listed: &[(Key, Version)]) -> Comparison {
        let remote: BTreeMap<Key, Version> = listed.iter().copied().collect();
        let is_newer =
            |key: &Key, version: Version| remote.get(key).is_none_or(|remote| version > *remote);
        let newer = self
            .list(mask)
            .into_iter()
            .filter(|(key, version)| is_newer(key, *version))
            .map(|(key, _)| key);
        let missing = remote
            .iter()
            .filter(|(key, version)| **version > self.version(**key))
            .map(|(key, _)| *key);
        Comparison {
            newer: newer.collect(),
            missing: missing.collect(),
        }
    }

    /// Collects stored entries of `keys` up to `limit` estimated bytes ([`Entry::size`]), at least
    /// one entry whatever its size. Keys without an entry are skipped.
    #[must_use]
    pub fn collect(&self, now: Duration, keys: &[Key], limit: usize) -> Collected {
        let mut entries = Vec::new();
        let mut size = 0;
        for key in keys {
            let Some(entry) = self.entry(now, *key) else {
                continue;
            };
            size += entry.size();
            if size > limit && !entries.is_empty() {
                return Collected {
                    entries,
                    truncated: true,
                };
            }
            entries.push(entry);
        }
        Collected {
            entries,
            truncated: false,
        }
    }
}

/// Result of [`Store::collect`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Collected {
    /// Entries in the order of the keys that were passed.
    pub entries: Vec<Entry>,
    /// Whether entries were omitted because of the limit.
    pub truncated: bool,
}
