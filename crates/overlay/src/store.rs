//! The store of versioned entries: the newest version of a key wins, in whatever order versions
//! arrive.
//!
//! [`Store::merge`] is commutative, associative and idempotent, so stores that have merged the same
//! entries are equal. A publisher never publishes different payloads under one version; should they
//! appear, a tombstone wins over a payload and the greater payload over the lesser, so that all
//! stores still agree.

mod comparison;
#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use comparison::{Collected, Comparison};

use crate::digest::Digest;
use crate::entry::{Entry, Key, Version};
use crate::hash;

/// The newest version of one key, as held by a [`Store`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Stored version.
    pub version: Version,
    /// Opaque payload; `None` for a tombstone.
    pub payload: Option<Arc<[u8]>>,
    /// For a tombstone, the time of the removal on the local clock.
    removed_at: Duration,
    hash: u64,
    /// Whether the entry is part of the digest; a tombstone leaves the digest before the store.
    in_digest: bool,
}

/// Result of [`Store::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry is newer than the stored one, or the first of its key, and has been stored.
    Newer,
    /// The entry equals the stored one.
    Same,
    /// The stored entry is newer.
    Older,
}

/// Entries by key, with a digest that is updated at each change.
#[derive(Clone, Debug)]
pub struct Store {
    entries: BTreeMap<Key, StoredEntry>,
    digest: Digest,
    tombstone_retention: Duration,
    tombstones: usize,
    next_expiry: Option<Duration>,
    check_versions: bool,
}

impl Store {
    /// Creates an empty store that keeps tombstones for `tombstone_retention`.
    #[must_use]
    pub fn new(tombstone_retention: Duration) -> Store {
        Store {
            entries: BTreeMap::new(),
            digest: Digest::new(),
            tombstone_retention,
            tombstones: 0,
            next_expiry: None,
            check_versions: true,
        }
    }

    /// Disables the version check for a test: an older version replaces a newer one.
    #[doc(hidden)]
    #[must_use]
    pub fn without_version_check(mut self) -> Store {
        self.check_versions = false;
        self
    }

    /// Stores `entry` if it is newer than the stored one.
    pub fn merge(&mut self, now: Duration, entry: &Entry) -> MergeOutcome {
        let order = self.order(entry);
        if order == Ordering::Equal {
            return MergeOutcome::Same;
        }
        if order == Ordering::Less && self.check_versions {
            return MergeOutcome::Older;
        }
        self.put(now, entry);
        MergeOutcome::Newer
    }

    /// Compares `entry` with the stored entry of its key; greater if there is none.
    fn order(&self, entry: &Entry) -> Ordering {
        let Some(stored) = self.entries.get(&entry.key) else {
            return Ordering::Greater;
        };
        let removed = entry.payload.is_none().cmp(&stored.payload.is_none());
        entry
            .version
            .cmp(&stored.version)
            .then(removed)
            .then_with(|| entry.payload.cmp(&stored.payload))
    }

    fn put(&mut self, now: Duration, entry: &Entry) {
        let age = Duration::from_secs(u64::from(entry.removed_s));
        let stored = StoredEntry {
            version: entry.version,
            payload: entry.payload.clone(),
            removed_at: now.saturating_sub(age),
            hash: content_hash(entry),
            in_digest: true,
        };
        if stored.payload.is_none() {
            self.tombstones += 1;
            self.schedule_expiry(stored.removed_at + self.tombstone_retention / 2);
        }
        self.digest.add(entry.key, stored.hash);
        if let Some(replaced) = self.entries.insert(entry.key, stored) {
            self.subtract_from_totals(entry.key, &replaced);
        }
    }

    /// Removes an entry that is no longer stored from the digest and from the tombstone count.
    fn subtract_from_totals(&mut self, key: Key, dropped: &StoredEntry) {
        if dropped.in_digest {
            self.digest.remove(key, dropped.hash);
        }
        if dropped.payload.is_none() {
            self.tombstones -= 1;
        }
    }

    fn schedule_expiry(&mut self, at: Duration) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }

    /// Drops expired tombstones. A tombstone leaves the digest after half of the retention time and
    /// the store at the end of it, so that stores that received it at different times do not send
    /// it to each other again.
    pub fn expire(&mut self, now: Duration) {
        if self.next_expiry.is_none_or(|next| next > now) {
            return;
        }
        self.next_expiry = None;
        let tombstones: Vec<Key> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.payload.is_none())
            .map(|(key, _)| *key)
            .collect();
        for key in tombstones {
            self.expire_tombstone(now, key);
        }
    }

    fn expire_tombstone(&mut self, now: Duration, key: Key) {
        let Some(stored) = self.entries.get_mut(&key) else {
            return;
        };
        let leaves_digest_at = stored.removed_at + self.tombstone_retention / 2;
        let expires_at = stored.removed_at + self.tombstone_retention;
        if now >= expires_at {
            let expired = self.entries.remove(&key).expect("key is stored");
            self.subtract_from_totals(key, &expired);
        } else if now >= leaves_digest_at {
            if stored.in_digest {
                stored.in_digest = false;
                self.digest.remove(key, stored.hash);
            }
            self.schedule_expiry(expires_at);
        } else {
            self.schedule_expiry(leaves_digest_at);
        }
    }

    /// Time at which [`Store::expire`] next has tombstones to process; `None` if
    /// nothing is scheduled.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.next_expiry
    }

    /// The stored entry of `key`, possibly a tombstone.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&StoredEntry> {
        self.entries.get(&key)
    }

    /// The stored version of `key`, 0 if there is none.
    #[must_use]
    pub fn version(&self, key: Key) -> Version {
        self.entries
            .get(&key)
            .map_or(Version::default(), |stored| stored.version)
    }

    /// The stored entry of `key`, in the form in which it is sent.
    #[must_use]
    pub fn entry(&self, now: Duration, key: Key) -> Option<Entry> {
        self.entries.get(&key).map(|stored| stored.entry(now, key))
    }

    /// All stored entries in the order of their keys, tombstones included.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &StoredEntry)> {
        self.entries.iter().map(|(key, stored)| (*key, stored))
    }

    /// Number of entries that are not tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() - self.tombstones
    }

    /// Whether the store has no entries except tombstones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of tombstones.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones
    }

    /// Total payload size in bytes.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        self.entries
            .values()
            .filter_map(|stored| stored.payload.as_ref())
            .map(|payload| payload.len())
            .sum()
    }
}

impl StoredEntry {
    fn entry(&self, now: Duration, key: Key) -> Entry {
        let removed_s = match self.payload {
            Some(_) => 0,
            None => {
                u32::try_from(now.saturating_sub(self.removed_at).as_secs()).unwrap_or(u32::MAX)
            }
        };
        Entry {
            key,
            version: self.version,
            removed_s,
            payload: self.payload.clone(),
        }
    }
}

fn content_hash(entry: &Entry) -> u64 {
    let content = entry
        .payload
        .as_ref()
        .map_or(0, |payload| hash::bytes(payload));
    hash::pair(hash::pair(entry.key, entry.version.0), content)
}
