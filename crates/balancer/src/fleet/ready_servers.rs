//! The ready servers of a locality: in order of their ids, and as a ring.

use crate::api::ServerId;
use crate::rng::mix;

/// The ready servers of a locality, in order of their ids and as a ring. The order of the ring is a
/// hash of the id and the rotation, so that it differs between balancers and between rotations.
#[derive(Default)]
pub(super) struct ReadyServers {
    by_id: Vec<ServerId>,
    ring: Vec<RingEntry>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RingEntry {
    position: u64,
    id: ServerId,
}

impl RingEntry {
    fn new(id: ServerId, rotation: u64) -> Self {
        RingEntry {
            position: mix(rotation ^ id.0),
            id,
        }
    }
}

impl ReadyServers {
    pub(super) fn insert(&mut self, id: ServerId, rotation: u64) {
        if let Err(index) = self.by_id.binary_search(&id) {
            self.by_id.insert(index, id);
        }
        let entry = RingEntry::new(id, rotation);
        if let Err(index) = self.ring.binary_search(&entry) {
            self.ring.insert(index, entry);
        }
    }

    pub(super) fn remove(&mut self, id: ServerId, rotation: u64) {
        if let Ok(index) = self.by_id.binary_search(&id) {
            self.by_id.remove(index);
        }
        if let Ok(index) = self.ring.binary_search(&RingEntry::new(id, rotation)) {
            self.ring.remove(index);
        }
    }

    /// Sorts the ring into the order of another rotation.
    pub(super) fn reorder(&mut self, rotation: u64) {
        let entry = |id: &ServerId| RingEntry::new(*id, rotation);
        self.ring = self.by_id.iter().map(entry).collect();
        self.ring.sort_unstable();
    }

    pub(super) fn by_id(&self) -> impl ExactSizeIterator<Item = ServerId> {
        self.by_id.iter().copied()
    }

    /// The servers of the ring from `offset` on, once around. An offset beyond the end of the ring
    /// wraps around.
    pub(super) fn ring_from(&self, offset: usize) -> impl Iterator<Item = ServerId> {
        let start = offset.checked_rem(self.ring.len()).unwrap_or(0);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).map(|entry| entry.id)
    }
}
