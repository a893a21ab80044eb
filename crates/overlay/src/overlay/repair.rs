//! Comparison of stores by digest, in the background and when a source is taken.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use super::{Action, Overlay};
use crate::message::{Entry, Message};
use crate::node::Descriptor;
use crate::store::{Buckets, Key, Version};

/// Keys asked for in one message.
const WANTED_AT_ONCE: usize = 1_024;

/// Heartbeats in a row with another digest after which stores are compared.
const DIFFERING: u32 = 2;

impl Overlay {
    /// Starts a comparison with a random neighbour: one of the own region, the source, for a
    /// coordinator another one. So regions are compared with each other too, but over the links
    /// that entries cross on.
    pub(super) fn scrub(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.settings.guards.anti_entropy {
            return;
        }
        let partner = |node: &Descriptor| {
            let near = node.place.same_region(self.me.place);
            let mesh = self.me.is_coordinator() && node.is_coordinator();
            near || mesh || self.feed.source == Some(node.address)
        };
        let nodes = self.links.values().filter_map(|link| link.node);
        let Some(peer) = nodes.filter(partner).choose(&mut self.random) else {
            return;
        };
        self.compare_with(now, peer.address, out);
    }

    /// The part of the digest that heartbeats carry.
    pub(super) fn short_root(&self) -> u32 {
        (self.store.root() >> 32) as u32
    }

    /// Compares with the source, or among coordinators, when the neighbour's digest differs in
    /// heartbeats one after the other: a change on its way differs in one at most.
    pub(super) fn check_root(
        &mut self,
        now: Duration,
        from: SocketAddr,
        root: u32,
        out: &mut Vec<Action>,
    ) {
        let same = root == self.short_root();
        let source = self.feed.source == Some(from);
        let coordinator = self.me.is_coordinator();
        let Some(link) = self.links.get_mut(&from) else {
            return;
        };
        let compared = source || coordinator && link.is_coordinator();
        if same || !compared || !self.settings.guards.anti_entropy {
            link.differing = 0;
            return;
        }
        link.differing += 1;
        if link.differing >= DIFFERING {
            link.differing = 0;
            self.compare_with(now, from, out);
        }
    }

    /// Starts a comparison with a neighbour.
    pub(super) fn compare_with(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        let root = self.store.root();
        self.send(now, peer, Message::Digest { root }, out);
    }

    pub(super) fn on_digest(
        &mut self,
        now: Duration,
        from: SocketAddr,
        root: u64,
        out: &mut Vec<Action>,
    ) {
        if root != self.store.root() {
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
        self.send(now, from, Message::Listing { mask, versions }, out);
    }

    pub(super) fn on_listing(
        &mut self,
        now: Duration,
        from: SocketAddr,
        mask: u64,
        versions: &[(Key, Version)],
        out: &mut Vec<Action>,
    ) {
        let (newer, mut lacking) = self.store.compare(mask, versions);
        if !newer.is_empty() {
            self.send_entries(now, from, &newer, out);
        }
        lacking.truncate(WANTED_AT_ONCE);
        if !lacking.is_empty() {
            self.send(now, from, Message::Want { keys: lacking }, out);
        }
    }

    /// Answers with the entries of `keys`, up to the bound of a round of repair.
    pub(super) fn send_entries(
        &mut self,
        now: Duration,
        to: SocketAddr,
        keys: &[Key],
        out: &mut Vec<Action>,
    ) {
        let (entries, more) = self.store.collect(now, keys, self.settings.sync_bytes);
        self.send_split(now, to, entries, false, more, out);
    }

    /// Sends entries in messages of bounded size.
    pub(super) fn send_split(
        &mut self,
        now: Duration,
        to: SocketAddr,
        entries: Vec<Entry>,
        pushed: bool,
        more: bool,
        out: &mut Vec<Action>,
    ) {
        let mut part = Vec::new();
        let mut size = 0;
        for entry in entries {
            size += entry.size();
            if size > self.settings.message_bytes && !part.is_empty() {
                let entries = std::mem::take(&mut part);
                self.send(
                    now,
                    to,
                    Message::Entries {
                        entries,
                        pushed,
                        more: false,
                    },
                    out,
                );
                size = entry.size();
            }
            part.push(entry);
        }
        if !part.is_empty() {
            self.send(
                now,
                to,
                Message::Entries {
                    entries: part,
                    pushed,
                    more,
                },
                out,
            );
        }
    }
}
