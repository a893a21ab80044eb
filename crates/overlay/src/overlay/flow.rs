//! The way of entries: pushed along the tree, announced on all other links, asked for when they
//! don't arrive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Missing, Origin, Overlay};
use crate::link::Link;
use crate::message::{Entry, Message};
use crate::node::Descriptor;
use crate::settings::Settings;
use crate::store::{Key, Merged, Version};

/// Times a missing version is asked for before it is left to the comparison of stores.
const TRIES: u32 = 3;

/// Interval at which a missing version is asked for again.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Versions in a row that came only by asking, after which another source is taken.
const GAPS: u32 = 3;

/// How long a source that did not deliver is not taken again.
const AVOID_GAPS: Duration = Duration::from_secs(10);

impl Overlay {
    /// Takes an entry in, from a neighbour or of own publishing, and passes it on if it is newer.
    pub(super) fn accept(
        &mut self,
        now: Duration,
        origin: Origin,
        entry: &Entry,
        out: &mut Vec<Action>,
    ) -> Merged {
        let merged = self.store.merge(now, entry);
        match merged {
            Merged::Newer => self.pass_on(now, origin, entry, out),
            Merged::Same => self.settle(origin.sender(), entry.key),
            Merged::Older => self.tell_newer(now, origin.sender(), entry.key),
        }
        merged
    }

    fn pass_on(&mut self, now: Duration, origin: Origin, entry: &Entry, out: &mut Vec<Action>) {
        let payload = entry.payload.clone();
        out.push(Action::Changed {
            key: entry.key,
            version: entry.version,
            payload,
        });
        if self
            .missing
            .get(&entry.key)
            .is_some_and(|missing| missing.version <= entry.version)
        {
            self.missing.remove(&entry.key);
        }
        let from = origin.sender();
        let relays = self.relays(origin);
        let (me, settings) = (self.me, &self.settings);
        for (peer, link) in &mut self.links {
            if Some(*peer) == from || link.node.is_none() {
                continue;
            }
            if link.feeds || relays.contains(peer) {
                link.eager.insert(entry.key);
            } else {
                link.lazy.insert(entry.key);
                link.announce_at
                    .get_or_insert(now + announce_interval(&me, link, settings));
            }
        }
        self.settle(from, entry.key);
    }

    /// Neighbours besides the fed ones that an entry is pushed to. The origin pushes to the
    /// coordinators of its region and to one of each other region, which pushes to those of its
    /// own. An origin that nobody may be fed by, an agent or a coordinator out of contact, pushes
    /// to all.
    fn relays(&self, origin: Origin) -> Vec<SocketAddr> {
        let coordinator = self.me.is_coordinator();
        let sender = origin
            .sender()
            .and_then(|from| self.links.get(&from))
            .and_then(|link| link.node);
        let inside = |node: &Descriptor| node.place.same_region(self.me.place);
        match (origin, sender) {
            (Origin::Here, _) if coordinator && self.in_contact => self.one_of_each_region(),
            (Origin::Here, _) => self.links.keys().copied().collect(),
            (Origin::News(from), Some(node)) if !coordinator || !node.is_coordinator() => {
                self.relays_of_stray(from)
            }
            (_, Some(node)) if coordinator && !inside(&node) => self
                .coordinators()
                .filter(inside)
                .map(|node| node.address)
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Where news goes that did not come along the tree, so that the tree may lack it: a
    /// coordinator stands in for the origin, an agent pushes it to its source and to the neighbours
    /// of its region.
    fn relays_of_stray(&self, from: SocketAddr) -> Vec<SocketAddr> {
        if self.feed.source == Some(from) || !self.settings.guards.eager_relay {
            return Vec::new();
        }
        if self.me.is_coordinator() {
            return self.one_of_each_region();
        }
        let near = |link: &Link| {
            link.node
                .is_some_and(|node| node.place.same_region(self.me.place))
        };
        let chosen = self
            .links
            .iter()
            .filter(|(peer, link)| near(link) || self.feed.source == Some(**peer));
        chosen.map(|(peer, _)| *peer).collect()
    }

    fn coordinators(&self) -> impl Iterator<Item = Descriptor> {
        self.links
            .values()
            .filter_map(|link| link.node)
            .filter(super::super::node::Descriptor::is_coordinator)
    }

    /// The coordinators of the own region, and of each other region the one this node prefers.
    fn one_of_each_region(&self) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        let mut far: BTreeMap<u32, (u64, SocketAddr)> = BTreeMap::new();
        for node in self.coordinators() {
            if node.place.same_region(self.me.place) {
                chosen.push(node.address);
                continue;
            }
            let weight = (self.preference(&node), node.address);
            let best = far.entry(node.place.region).or_insert(weight);
            *best = weight.min(*best);
        }
        chosen.extend(far.into_values().map(|(_, address)| address));
        chosen
    }

    fn settle(&mut self, from: Option<SocketAddr>, key: Key) {
        if let Some(link) = from.and_then(|from| self.links.get_mut(&from)) {
            link.settle(key);
        }
    }

    /// The neighbour is behind: it is told what is held here.
    fn tell_newer(&mut self, now: Duration, from: Option<SocketAddr>, key: Key) {
        if let Some(link) = from.and_then(|from| self.links.get_mut(&from)) {
            link.lazy.insert(key);
            link.announce_at
                .get_or_insert(now + announce_interval(&self.me, link, &self.settings));
        }
    }

    pub(super) fn on_entries(
        &mut self,
        now: Duration,
        from: SocketAddr,
        entries: Vec<Entry>,
        pushed: bool,
        more: bool,
        out: &mut Vec<Action>,
    ) {
        let mut newer = 0;
        for entry in &entries {
            let awaited = self
                .missing
                .get(&entry.key)
                .is_some_and(|missing| missing.version <= entry.version);
            let origin = if pushed || awaited {
                Origin::News(from)
            } else {
                Origin::Repair(from)
            };
            newer += u32::from(self.accept(now, origin, entry, out) == Merged::Newer);
        }
        if pushed {
            self.on_pushed(now, from, newer == 0, out);
        } else if newer > 0 {
            self.on_gap(now, from, newer);
        }
        if more {
            self.compare_with(now, from, out);
        }
    }

    /// A push from another node than the source, with nothing new: the tree has an edge too many.
    fn on_pushed(
        &mut self,
        now: Duration,
        from: SocketAddr,
        nothing_new: bool,
        out: &mut Vec<Action>,
    ) {
        if self.feed.source == Some(from) {
            self.feed.gaps = 0;
            return;
        }
        let link = self.links.get(&from);
        let fed_by_us = link.is_some_and(|link| link.feeds);
        if nothing_new && !self.me.is_coordinator() && !fed_by_us {
            self.send(now, from, Message::Prune, out);
        }
    }

    /// Entries that the source should have pushed came by asking another node. Where all others
    /// depend on the same coordinator, that one lacks them, and no other source would be better.
    fn on_gap(&mut self, now: Duration, from: SocketAddr, newer: u32) {
        if self.feed.source == Some(from) || !self.feed.position.is_attached() {
            return;
        }
        if self.settings.guards.stable_standby && !self.has_other_root() {
            return;
        }
        self.feed.gaps += newer;
        if self.feed.gaps < GAPS {
            return;
        }
        self.feed.gaps = 0;
        if let Some(link) = self
            .feed
            .source
            .and_then(|source| self.links.get_mut(&source))
        {
            link.avoid_until = now + AVOID_GAPS;
        }
    }

    /// Whether a neighbour in the region is fed by another coordinator than this agent, or is one.
    fn has_other_root(&self) -> bool {
        let root = self.feed.position.root();
        let other = |link: &Link, node: Descriptor| {
            let their = if node.is_coordinator() {
                Some(node.id())
            } else {
                link.position.root()
            };
            node.place.same_region(self.me.place) && their.is_some() && their != root
        };
        self.links
            .values()
            .any(|link| link.node.is_some_and(|node| other(link, node)))
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
            let held = self.store.version(*key);
            if *version > held {
                self.expect(now, from, *key, *version);
            } else if *version == held {
                self.settle(Some(from), *key);
            } else {
                self.tell_newer(now, Some(from), *key);
            }
        }
    }

    fn expect(&mut self, now: Duration, from: SocketAddr, key: Key, version: Version) {
        if let Some(missing) = self
            .missing
            .get_mut(&key)
            .filter(|missing| missing.version >= version)
        {
            // Asked again elsewhere if the first neighbour does not answer.
            missing.from = from;
            return;
        }
        let due = now + self.settings.graft_delay;
        self.missing.insert(
            key,
            Missing {
                version,
                from,
                due,
                tries: 0,
            },
        );
    }

    /// Asks for the versions that have not arrived in time.
    pub(super) fn ask_missing(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut wanted: BTreeMap<SocketAddr, Vec<Key>> = BTreeMap::new();
        for (key, missing) in &mut self.missing {
            if missing.due > now {
                continue;
            }
            missing.tries += 1;
            missing.due = now + ASK_AGAIN;
            wanted.entry(missing.from).or_default().push(*key);
        }
        self.missing.retain(|_, missing| missing.tries <= TRIES);
        for (peer, keys) in wanted {
            self.send(now, peer, Message::Want { keys }, out);
        }
    }

    /// Sends what is due: changes to those that are fed, announcements to the others.
    pub(super) fn flush(&mut self, now: Duration, out: &mut Vec<Action>) {
        let batch = self.settings.batch;
        let peers: Vec<SocketAddr> = self.links.keys().copied().collect();
        for peer in peers {
            let Some(link) = self.links.get_mut(&peer) else {
                continue;
            };
            if link.push_due(batch).is_some_and(|due| due <= now) {
                link.pushed = now;
                let keys = std::mem::take(&mut link.eager);
                self.push(now, peer, keys.into_iter().collect(), out);
            }
            self.announce(now, peer, out);
        }
    }

    fn push(&mut self, now: Duration, peer: SocketAddr, keys: Vec<Key>, out: &mut Vec<Action>) {
        let (entries, _) = self.store.collect(now, &keys, usize::MAX);
        self.send_split(now, peer, entries, true, false, out);
    }

    fn announce(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        let Some(link) = self.links.get_mut(&peer) else {
            return;
        };
        if link.announce_at.is_none_or(|at| at > now) {
            return;
        }
        link.announce_at = None;
        let keys = std::mem::take(&mut link.lazy);
        let held = |key: &Key| self.store.get(*key).map(|held| (*key, held.version));
        let versions: Vec<(Key, Version)> = keys.iter().filter_map(held).collect();
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
            link.sent = now;
            out.push(Action::Send { to, message });
        }
    }
}

/// How long changes wait for others before they are announced together on this link of `me`. Over
/// an agent's link out of its region news comes of which the region's own source may know nothing,
/// so there it is short.
fn announce_interval(me: &Descriptor, link: &Link, settings: &Settings) -> Duration {
    let apart = |node: Descriptor| !node.place.same_region(me.place);
    let agents = |node: Descriptor| !me.is_coordinator() || !node.is_coordinator();
    let standby = link.node.is_some_and(|node| apart(node) && agents(node));
    if standby && settings.guards.quick_announce {
        settings.announce_far
    } else {
        settings.announce
    }
}
