//! Versioned entries by key: the newest version wins, whatever the order in which versions arrive.
//!
//! [`Store::merge`] is commutative, associative and idempotent, so stores that have seen the same
//! entries are equal. Equal versions with different contents can't come from one publisher; should
//! they come, a removal wins over a payload and the greater payload over the lesser, so that all
//! stores still agree.

mod digest;
#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use digest::{BUCKETS, Buckets};

use crate::hash;
use crate::message::Entry;

/// A key, chosen by the user of the overlay.
pub type Key = u64;

/// A version of a key: higher is newer.
pub type Version = u64;

/// What the store holds of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its version.
    pub version: Version,
    /// Its content; `None` when it was removed.
    pub payload: Option<Arc<[u8]>>,
    removed_at: Duration,
    hash: u64,
    counted: bool,
}

/// What became of an entry given to [`Store::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It is newer than what was held and took its place.
    Newer,
    /// It is what was held.
    Same,
    /// What was held is newer.
    Older,
}

/// Entries by key, with a digest kept up to date at each change.
#[derive(Clone, Debug)]
pub struct Store {
    entries: BTreeMap<Key, Held>,
    buckets: [u64; BUCKETS],
    tombstone: Duration,
    tombstones: usize,
    next_expiry: Option<Duration>,
    check_versions: bool,
}

impl Store {
    /// An empty store that remembers removals for `tombstone`.
    #[must_use]
    pub fn new(tombstone: Duration) -> Store {
        Store {
            entries: BTreeMap::new(),
            buckets: [0; BUCKETS],
            tombstone,
            tombstones: 0,
            next_expiry: None,
            check_versions: true,
        }
    }

    /// Test-only: takes every version as newer.
    #[doc(hidden)]
    #[must_use]
    pub fn without_version_check(mut self) -> Store {
        self.check_versions = false;
        self
    }

    /// Takes `entry` in if it is newer than what is held.
    pub fn merge(&mut self, now: Duration, entry: &Entry) -> Merged {
        let order = self.order(entry);
        if order == Ordering::Equal {
            return Merged::Same;
        }
        if order == Ordering::Less && self.check_versions {
            return Merged::Older;
        }
        self.put(now, entry);
        Merged::Newer
    }

    /// How `entry` compares with what is held.
    fn order(&self, entry: &Entry) -> Ordering {
        let Some(held) = self.entries.get(&entry.key) else {
            return Ordering::Greater;
        };
        let removed = entry.payload.is_none().cmp(&held.payload.is_none());
        entry
            .version
            .cmp(&held.version)
            .then(removed)
            .then_with(|| entry.payload.cmp(&held.payload))
    }

    fn put(&mut self, now: Duration, entry: &Entry) {
        let age = Duration::from_secs(u64::from(entry.removed_s));
        let held = Held {
            version: entry.version,
            payload: entry.payload.clone(),
            removed_at: now.saturating_sub(age),
            hash: content_hash(entry),
            counted: true,
        };
        if held.payload.is_none() {
            self.tombstones += 1;
            self.expect_expiry(held.removed_at + self.tombstone / 2);
        }
        let bucket = digest::bucket(entry.key);
        self.buckets[bucket] = self.buckets[bucket].wrapping_add(held.hash);
        if let Some(old) = self.entries.insert(entry.key, held) {
            self.forget(bucket, &old);
        }
    }

    /// Takes what `old` added out of the digest and the count of removals.
    fn forget(&mut self, bucket: usize, old: &Held) {
        if old.counted {
            self.buckets[bucket] = self.buckets[bucket].wrapping_sub(old.hash);
        }
        if old.payload.is_none() {
            self.tombstones -= 1;
        }
    }

    fn expect_expiry(&mut self, at: Duration) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }

    /// Drops removals whose time is over. A removal leaves the digest after half of its time and
    /// the store at the end, so that stores that learned of it at different moments don't send it
    /// to each other again.
    pub fn expire(&mut self, now: Duration) {
        if self.next_expiry.is_none_or(|next| next > now) {
            return;
        }
        self.next_expiry = None;
        let gone: Vec<Key> = self
            .entries
            .iter()
            .filter(|(_, held)| held.payload.is_none())
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.expire_one(now, key);
        }
    }

    fn expire_one(&mut self, now: Duration, key: Key) {
        let bucket = digest::bucket(key);
        let Some(held) = self.entries.get_mut(&key) else {
            return;
        };
        let half = held.removed_at + self.tombstone / 2;
        let end = held.removed_at + self.tombstone;
        if now >= end {
            let held = self.entries.remove(&key).expect("present");
            self.forget(bucket, &held);
        } else if now >= half {
            if held.counted {
                held.counted = false;
                self.buckets[bucket] = self.buckets[bucket].wrapping_sub(held.hash);
            }
            self.expect_expiry(end);
        } else {
            self.expect_expiry(half);
        }
    }

    /// When [`Store::expire`] has work next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.next_expiry
    }

    /// What is held of `key`, removals included.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Held> {
        self.entries.get(&key)
    }

    /// The version held of `key`, 0 for none.
    #[must_use]
    pub fn version(&self, key: Key) -> Version {
        self.entries.get(&key).map_or(0, |held| held.version)
    }

    /// What is held of `key`, in the form in which it is sent.
    #[must_use]
    pub fn entry(&self, now: Duration, key: Key) -> Option<Entry> {
        self.entries.get(&key).map(|held| held.entry(now, key))
    }

    /// All that is held in order of the keys, removals included.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Held)> {
        self.entries.iter().map(|(key, held)| (*key, held))
    }

    /// Number of entries that are not removed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() - self.tombstones
    }

    /// Whether nothing is held but removals.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of removals remembered.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones
    }

    /// Bytes of payload held.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        self.entries
            .values()
            .filter_map(|held| held.payload.as_ref())
            .map(|payload| payload.len())
            .sum()
    }
}

impl Held {
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
    hash::pair(hash::pair(entry.key, entry.version), content)
}
