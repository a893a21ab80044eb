//! Comparison of stores, which exchanges the versions in buckets that differ instead of all
//! versions.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Store;
use crate::digest::{self, Buckets};
use crate::entry::{Entry, Key, Version};

/// Result of [`Store::compare`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Keys of which the local store has newer versions.
    pub newer: Vec<Key>,
    /// Keys of which the other store has newer versions.
    pub missing: Vec<Key>,
}

impl Store {
    /// One hash over the whole store: equal for equal stores.
    #[must_use]
    pub fn root_hash(&self) -> u64 {
        self.digest.root_hash()
    }

    /// The hashes of all buckets: 256 bytes and their count.
    #[must_use]
    pub fn digest(&self) -> Buckets {
        self.digest.buckets()
    }

    /// The buckets that differ from `other`, one bit each; all if the root hashes differ although
    /// no bucket does.
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

    /// Compares the buckets of `mask` with the versions that another store has `listed` of them.
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

    /// Entries of `keys` up to `limit` estimated bytes, at least one, and whether some were left
    /// out.
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
    /// The entries.
    pub entries: Vec<Entry>,
    /// Whether entries were left out because of the limit.
    pub truncated: bool,
}
