//! Dissemination of entries: they are pushed along the tree, announced on all other links, and
//! requested where they do not arrive (Plumtree's eager push, lazy push and repair).

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::state::{MissingVersion, Origin};
use super::{Action, Overlay};
use crate::entry::{Entry, Key, Version};
use crate::link::Link;
use crate::message::Message;
use crate::node::Descriptor;
use crate::settings::Settings;
use crate::store::MergeOutcome;

/// Number of requests of a missing version after which one more is sent and the version is then
/// left to anti-entropy.
const MAX_REQUESTS: u32 = 3;

/// Interval at which a missing version is requested again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of newer entries in replies of other neighbours, without a push of the parent in between,
/// after which another parent is chosen.
const MAX_MISSED_PUSHES: u32 = 3;

/// Time for which a parent that missed pushes is not chosen again.
const AVOID_AFTER_MISSED_PUSHES: Duration = Duration::from_secs(10);

impl Overlay {
    /// Merges an entry into the store and disseminates it if it is newer.
    pub(super) fn accept(
        &mut self,
        now: Duration,
        origin: Origin,
        entry: &Entry,
        out: &mut Vec<Action>,
    ) -> MergeOutcome {
        let outcome = self.store.merge(now, entry);
        match outcome {
            MergeOutcome::Newer => self.disseminate(now, origin, entry, out),
            MergeOutcome::Same => self.mark_up_to_date(origin.sender(), entry.key),
            MergeOutcome::Older => self.announce_newer(now, origin.sender(), entry.key),
        }
        outcome
    }

    fn disseminate(&mut self, now: Duration, origin: Origin, entry: &Entry, out: &mut Vec<Action>) {
        let payload = entry.payload.clone();
        out.push(Action::Changed {
            key: entry.key,
            version: entry.version,
            payload,
        });
        if self.is_awaited(entry) {
            self.missing.remove(&entry.key);
        }
        let sender = origin.sender();
        let relay_targets = self.relay_targets(origin);
        let (local_node, settings) = (self.local_node, &self.settings);
        for (peer, link) in &mut self.links {
            if Some(*peer) == sender || link.node.is_none() {
                continue;
            }
            if link.is_child || relay_targets.contains(peer) {
                link.pending_push.insert(entry.key);
            } else {
                link.pending_announce.insert(entry.key);
                link.announce_at
                    .get_or_insert(now + announce_interval(&local_node, link, settings));
            }
        }
        self.mark_up_to_date(sender, entry.key);
    }

    /// Whether this version of the key, or an older one, was announced and has not arrived.
    fn is_awaited(&self, entry: &Entry) -> bool {
        self.missing
            .get(&entry.key)
            .is_some_and(|missing| missing.version <= entry.version)
    }

    /// Drops the pending push and announcement of `key` to `peer`, which stores the local version.
    fn mark_up_to_date(&mut self, peer: Option<SocketAddr>, key: Key) {
        if let Some(link) = peer.and_then(|peer| self.links.get_mut(&peer)) {
            link.mark_up_to_date(key);
        }
    }

    /// Announces the local version of `key` to `peer`, which has an older one.
    fn announce_newer(&mut self, now: Duration, peer: Option<SocketAddr>, key: Key) {
        if let Some(link) = peer.and_then(|peer| self.links.get_mut(&peer)) {
            link.pending_announce.insert(key);
            link.announce_at
                .get_or_insert(now + announce_interval(&self.local_node, link, &self.settings));
        }
    }

    pub(super) fn on_entries(
        &mut self,
        now: Duration,
        from: SocketAddr,
        entries: &[Entry],
        pushed: bool,
        out: &mut Vec<Action>,
    ) {
        let mut newer = 0;
        for entry in entries {
            let origin = if pushed || self.is_awaited(entry) {
                Origin::Dissemination(from)
            } else {
                Origin::AntiEntropy(from)
            };
            newer += u32::from(self.accept(now, origin, entry, out) == MergeOutcome::Newer);
        }
        if pushed {
            self.on_pushed(now, from, newer, out);
        } else if newer > 0 {
            self.record_missed_pushes(now, from, newer);
        }
    }

    /// Handles a push of which `newer` entries were stored. A push without newer entries from a
    /// node other than the parent shows that the tree has a redundant edge, which is pruned.
    fn on_pushed(&mut self, now: Duration, from: SocketAddr, newer: u32, out: &mut Vec<Action>) {
        if self.tree.parent == Some(from) {
            self.tree.missed_pushes = 0;
            return;
        }
        let is_child = self.links.get(&from).is_some_and(|link| link.is_child);
        if newer == 0 && !self.local_node.is_coordinator() && !is_child {
            self.send(now, from, Message::Prune, out);
        }
    }

    /// Counts the entries that the parent should have pushed but that another neighbour had to
    /// send, and avoids the parent after too many of them. Where all neighbours depend on the same
    /// coordinator, the coordinator lacks the entries and another parent would be no better.
    fn record_missed_pushes(&mut self, now: Duration, from: SocketAddr, newer: u32) {
        if self.tree.parent == Some(from) || !self.tree.position.is_attached() {
            return;
        }
        if self.settings.guards.stable_standby && !self.has_alternative_root() {
            return;
        }
        self.tree.missed_pushes += newer;
        if self.tree.missed_pushes < MAX_MISSED_PUSHES {
            return;
        }
        self.tree.missed_pushes = 0;
        let parent = self.tree.parent;
        if let Some(link) = parent.and_then(|parent| self.links.get_mut(&parent)) {
            link.avoid_as_parent_until = now + AVOID_AFTER_MISSED_PUSHES;
        }
    }

    /// Whether a neighbour in the region is a coordinator other than the root of this agent, or is
    /// below another root.
    fn has_alternative_root(&self) -> bool {
        let root = self.tree.position.root();
        let has_other_root = |link: &Link, node: Descriptor| {
            let other = if node.is_coordinator() {
                Some(node.id())
            } else {
                link.position.root()
            };
            self.is_in_region(&node) && other.is_some() && other != root
        };
        self.links
            .values()
            .any(|link| link.node.is_some_and(|node| has_other_root(link, node)))
    }

    pub(super) fn on_announce(
        &mut self,
        now: Duration,
        from: SocketAddr,
        versions: &[(Key, Version)],
    ) {
        if !self.settings.guards.lazy_repair {
            return;
        }
        for (key, version) in versions {
            match version.cmp(&self.store.version(*key)) {
                Ordering::Greater => self.await_version(now, from, *key, *version),
                Ordering::Equal => self.mark_up_to_date(Some(from), *key),
                Ordering::Less => self.announce_newer(now, Some(from), *key),
            }
        }
    }

    /// Records an announced version, which is requested if it does not arrive in time.
    fn await_version(&mut self, now: Duration, from: SocketAddr, key: Key, version: Version) {
        if let Some(missing) = self
            .missing
            .get_mut(&key)
            .filter(|missing| missing.version >= version)
        {
            // The next request goes to the neighbour that announced last, as the one before may not
            // answer.
            missing.from = from;
            return;
        }
        let missing = MissingVersion {
            version,
            from,
            next_request_at: now + self.settings.missing_timeout,
            requests: 0,
        };
        self.missing.insert(key, missing);
    }

    /// Requests the versions that have not arrived in time.
    pub(super) fn request_missing(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut requests: BTreeMap<SocketAddr, Vec<Key>> = BTreeMap::new();
        for (key, missing) in &mut self.missing {
            if missing.next_request_at > now {
                continue;
            }
            missing.requests += 1;
            missing.next_request_at = now + REQUEST_INTERVAL;
            requests.entry(missing.from).or_default().push(*key);
        }
        self.missing
            .retain(|_, missing| missing.requests <= MAX_REQUESTS);
        for (peer, keys) in requests {
            self.send(now, peer, Message::Request { keys }, out);
        }
    }

    /// Sends the pushes and announcements that are due.
    pub(super) fn flush(&mut self, now: Duration, out: &mut Vec<Action>) {
        let batch_interval = self.settings.push_batch_interval;
        let peers: Vec<SocketAddr> = self.links.keys().copied().collect();
        for peer in peers {
            let Some(link) = self.links.get_mut(&peer) else {
                continue;
            };
            if link.push_due(batch_interval).is_some_and(|due| due <= now) {
                link.last_push = now;
                let keys: Vec<Key> = std::mem::take(&mut link.pending_push).into_iter().collect();
                self.push(now, peer, &keys, out);
            }
            self.announce(now, peer, out);
        }
    }

    fn push(&mut self, now: Duration, peer: SocketAddr, keys: &[Key], out: &mut Vec<Action>) {
        let entries = self.store.collect(now, keys, usize::MAX).entries;
        self.send_push(now, peer, entries, out);
    }

    fn announce(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        let Some(link) = self.links.get_mut(&peer) else {
            return;
        };
        if link.announce_at.is_none_or(|at| at > now) {
            return;
        }
        link.announce_at = None;
        let keys = std::mem::take(&mut link.pending_announce);
        let stored_version = |key: &Key| {
            let stored = self.store.get(*key)?;
            Some((*key, stored.version))
        };
        let versions: Vec<(Key, Version)> = keys.iter().filter_map(stored_version).collect();
        if !versions.is_empty() {
            self.send(now, peer, Message::Announce { versions }, out);
        }
    }

    /// Sends a message if there is a link.
    pub(super) fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if let Some(link) = self.links.get_mut(&to) {
            link.last_sent = now;
            out.push(Action::Send { to, message });
        }
    }
}

/// Time for which changes are collected before they are announced on a link of `local_node`. It is
/// short on an agent's link to another region, over which changes arrive that the parents in its
/// own region may lack.
fn announce_interval(local_node: &Descriptor, link: &Link, settings: &Settings) -> Duration {
    let is_remote = |node: Descriptor| !node.locality.same_region(local_node.locality);
    let includes_agent = |node: Descriptor| !local_node.is_coordinator() || !node.is_coordinator();
    let is_standby = link
        .node
        .is_some_and(|node| is_remote(node) && includes_agent(node));
    if is_standby && settings.guards.quick_announce {
        settings.remote_announce_interval
    } else {
        settings.announce_interval
    }
}
