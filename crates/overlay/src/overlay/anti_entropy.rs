//! Anti-entropy: comparison of stores by digest, periodically, when an agent grafts a parent, when
//! coordinators connect, and when root hashes in heartbeats keep differing.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use super::{Action, Overlay};
use crate::digest::Buckets;
use crate::entry::{Entry, Key, Version};
use crate::message::Message;
use crate::node::Descriptor;
use crate::store::Collected;

/// Maximum number of keys in one request.
const MAX_KEYS_PER_REQUEST: usize = 1_024;

/// Number of consecutive heartbeats with a different root hash after which stores are compared.
const MAX_DIGEST_MISMATCHES: u32 = 2;

/// The reason for which entries are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntriesReason {
    /// Changes pushed to a child or relay target.
    Push,
    /// Reply to a request, or result of a comparison of stores.
    Reply,
}

impl Overlay {
    /// Starts a comparison with a random neighbour among those of the own region, the parent and,
    /// on a coordinator, other coordinators. Regions are thus compared with each other as well, but
    /// only over links that carry entries anyway.
    pub(super) fn start_anti_entropy(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.settings.guards.anti_entropy {
            return;
        }
        let (local_node, parent) = (self.local_node, self.tree.parent);
        let is_partner = |node: &Descriptor| {
            let same_region = node.locality.same_region(local_node.locality);
            let both_coordinators = local_node.is_coordinator() && node.is_coordinator();
            same_region || both_coordinators || parent == Some(node.address)
        };
        let nodes = self.links.values().filter_map(|link| link.node);
        let Some(peer) = nodes.filter(is_partner).choose(&mut self.random) else {
            return;
        };
        self.compare_with(now, peer.address, out);
    }

    /// The upper 32 bits of the root hash, which heartbeats carry.
    pub(super) fn root_hash_prefix(&self) -> u32 {
        (self.store.root_hash() >> 32) as u32
    }

    /// Compares stores with the parent, or between coordinators, when the root hash in
    /// [`MAX_DIGEST_MISMATCHES`] consecutive heartbeats of the neighbour differs from the local
    /// one: a change that is being pushed causes one mismatch at most.
    pub(super) fn check_root_hash(
        &mut self,
        now: Duration,
        from: SocketAddr,
        root_hash: u32,
        out: &mut Vec<Action>,
    ) {
        let is_same = root_hash == self.root_hash_prefix();
        let is_parent = self.tree.parent == Some(from);
        let is_coordinator = self.local_node.is_coordinator();
        let Some(link) = self.links.get_mut(&from) else {
            return;
        };
        let is_compared = is_parent || is_coordinator && link.is_coordinator();
        if is_same || !is_compared || !self.settings.guards.anti_entropy {
            link.digest_mismatches = 0;
            return;
        }
        link.digest_mismatches += 1;
        if link.digest_mismatches >= MAX_DIGEST_MISMATCHES {
            link.digest_mismatches = 0;
            self.compare_with(now, from, out);
        }
    }

    /// Starts a comparison of stores with `peer`.
    pub(super) fn compare_with(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        let root_hash = self.store.root_hash();
        self.send(now, peer, Message::Digest { root_hash }, out);
    }

    pub(super) fn on_digest(
        &mut self,
        now: Duration,
        from: SocketAddr,
        root_hash: u64,
        out: &mut Vec<Action>,
    ) {
        if root_hash != self.store.root_hash() {
            self.send(now, from, Message::Buckets(self.store.digest()), out);
        }
    }

    pub(super) fn on_buckets(
        &mut self,
        now: Duration,
        from: SocketAddr,
        buckets: &Buckets,
        out: &mut Vec<Action>,
    ) {
        let mask = self.store.difference(buckets);
        let versions = self.store.list(mask);
        self.send(now, from, Message::VersionList { mask, versions }, out);
    }

    pub(super) fn on_version_list(
        &mut self,
        now: Duration,
        from: SocketAddr,
        mask: u64,
        versions: &[(Key, Version)],
        out: &mut Vec<Action>,
    ) {
        let mut comparison = self.store.compare(mask, versions);
        if !comparison.newer.is_empty() {
            self.send_requested(now, from, &comparison.newer, out);
        }
        comparison.missing.truncate(MAX_KEYS_PER_REQUEST);
        if !comparison.missing.is_empty() {
            let keys = comparison.missing;
            self.send(now, from, Message::Request { keys }, out);
        }
    }

    /// Sends the entries of `keys`, up to `max_repair_bytes`.
    pub(super) fn send_requested(
        &mut self,
        now: Duration,
        to: SocketAddr,
        keys: &[Key],
        out: &mut Vec<Action>,
    ) {
        let collected = self
            .store
            .collect(now, keys, self.settings.max_repair_bytes);
        self.send_chunked(now, to, collected, EntriesReason::Reply, out);
    }

    /// Pushes entries to a child or relay target.
    pub(super) fn send_push(
        &mut self,
        now: Duration,
        to: SocketAddr,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let collected = Collected {
            entries,
            truncated: false,
        };
        self.send_chunked(now, to, collected, EntriesReason::Push, out);
    }

    /// Sends entries in messages of bounded size, the last of which tells whether entries were
    /// omitted.
    fn send_chunked(
        &mut self,
        now: Duration,
        to: SocketAddr,
        collected: Collected,
        reason: EntriesReason,
        out: &mut Vec<Action>,
    ) {
        let pushed = reason == EntriesReason::Push;
        let mut chunks = self.chunks(collected.entries).into_iter().peekable();
        while let Some(entries) = chunks.next() {
            let message = Message::Entries {
                entries,
                pushed,
                more: collected.truncated && chunks.peek().is_none(),
            };
            self.send(now, to, message, out);
        }
    }

    /// Splits entries into chunks of at most `max_message_bytes`; a larger entry is a chunk of its
    /// own.
    fn chunks(&self, entries: Vec<Entry>) -> Vec<Vec<Entry>> {
        let mut chunks = Vec::new();
        let mut chunk = Vec::new();
        let mut size = 0;
        for entry in entries {
            size += entry.size();
            if size > self.settings.max_message_bytes && !chunk.is_empty() {
                chunks.push(std::mem::take(&mut chunk));
                size = entry.size();
            }
            chunk.push(entry);
        }
        if !chunk.is_empty() {
            chunks.push(chunk);
        }
        chunks
    }
}
