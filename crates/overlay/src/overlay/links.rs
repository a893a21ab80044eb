//! Connections: which are opened, accepted, refused and closed.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Failure, Overlay};
use crate::link::Link;
use crate::message::{Aged, Message};
use crate::node::Descriptor;
use crate::view::Learned;

/// Links an agent accepts beyond those it opens and those it feeds.
const SPARE_LINKS: usize = 2;

/// First wait before a node that had no room is tried again; doubled up to [`FULL_LIMIT`].
const FULL_BACKOFF: Duration = Duration::from_secs(10);

/// Longest wait before a node that had no room is tried again.
const FULL_LIMIT: Duration = Duration::from_secs(320);

/// Wait before such a node is tried again by one that has no source, or has to keep another one
/// ready.
const FULL_NEEDED: Duration = Duration::from_secs(2);

/// Part of the longest wait that holds for nodes that must find others.
const PRESSED: u32 = 4;

/// Failures after which an agent is taken out of the view.
const FORGET_AFTER: u32 = 3;

/// Failures remembered before old ones are cleared.
const FAILURES: usize = 256;

impl Overlay {
    pub(super) fn set_seeds(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.me.address);
        self.schedule.maintain = now;
    }

    pub(super) fn connected(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        if peer == self.me.address {
            return out.push(Action::Disconnect(peer));
        }
        self.drop_link(now, peer);
        let opened = self.connecting.remove(&peer).is_some();
        let mut link = Link::new(now);
        link.opened_here = opened;
        self.links.insert(peer, link);
        self.send(now, peer, Message::Hello { node: self.me }, out);
    }

    pub(super) fn disconnected(&mut self, now: Duration, peer: SocketAddr) {
        let unanswered = self
            .links
            .get(&peer)
            .is_some_and(|link| link.node.is_none());
        if self.connecting.remove(&peer).is_some() || unanswered {
            self.fail(now, peer);
        }
        self.drop_link(now, peer);
    }

    /// Notes a sign of life; whether the message may be handled. Nothing is taken before the first
    /// `Hello`.
    pub(super) fn heard(&mut self, now: Duration, from: SocketAddr, message: &Message) -> bool {
        let Some(link) = self.links.get_mut(&from) else {
            return false;
        };
        link.heard = now;
        link.node.is_some()
            || matches!(
                message,
                Message::Hello { .. } | Message::Full { .. } | Message::Leave
            )
    }

    pub(super) fn on_hello(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        out: &mut Vec<Action>,
    ) {
        if node.address != from {
            return self.close(now, from, out);
        }
        let learned = self.view.learn(now, node, Duration::ZERO);
        if !self.has_room(&node, out, now) {
            let sample = self.sample_for(now, &node);
            self.send(now, from, Message::Full { sample }, out);
            return self.close(now, from, out);
        }
        self.failures.remove(&from);
        let Some(link) = self.links.get_mut(&from) else {
            return;
        };
        let fresh = link
            .node
            .is_none_or(|old| old.incarnation != node.incarnation);
        link.node = Some(node);
        link.tell = true;
        if fresh && !link.opened_here {
            let sample = self.sample_for(now, &node);
            self.send(now, from, Message::Nodes { sample }, out);
        }
        if fresh && self.me.is_coordinator() && node.is_coordinator() {
            self.compare_with(now, from, out);
        }
        if learned == Learned::New {
            self.spread_joined(now, from, node, out);
        }
    }

    /// Whether a link with `node` is accepted. A coordinator closes one inside its region to take
    /// one from outside, as agents inside have others to turn to, but only for half of its links.
    fn has_room(&mut self, node: &Descriptor, out: &mut Vec<Action>, now: Duration) -> bool {
        if node.is_coordinator() || !self.settings.guards.fanout_bound {
            return true;
        }
        let others = self
            .links
            .iter()
            .filter(|(address, link)| **address != node.address && link.node.is_some());
        let others = others.filter(|(_, link)| !link.is_coordinator()).count();
        if !self.me.is_coordinator() {
            return others < self.settings.active + self.settings.fanout + SPARE_LINKS;
        }
        others < self.settings.coordinator_fanout || self.make_room(node, out, now)
    }

    fn make_room(&mut self, node: &Descriptor, out: &mut Vec<Action>, now: Duration) -> bool {
        let inside = |place: &Descriptor| place.place.same_region(self.me.place);
        let agents = || {
            self.links
                .values()
                .filter_map(|link| link.node.map(|node| (link.feeds, node)))
        };
        let near: Vec<_> = agents()
            .filter(|(_, agent)| !agent.is_coordinator() && inside(agent))
            .collect();
        if inside(node) || near.len() * 2 <= self.settings.coordinator_fanout {
            return false;
        }
        let given_up = near
            .into_iter()
            .min_by_key(|(feeds, agent)| (*feeds, Reverse(agent.score())));
        let Some((_, agent)) = given_up else {
            return false;
        };
        let sample = self.sample_for(now, &agent);
        self.send(now, agent.address, Message::Full { sample }, out);
        self.close(now, agent.address, out);
        true
    }

    pub(super) fn on_full(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[Aged],
        out: &mut Vec<Action>,
    ) {
        self.learn_all(now, from, sample, out);
        self.close(now, from, out);
        let needed = self.needs_standby() || !self.feed.position.is_attached();
        let failure = self.failures.entry(from).or_default();
        failure.times += 1;
        let wait = FULL_BACKOFF.saturating_mul(1 << failure.times.min(6)) / 2;
        failure.until = now
            + if needed {
                FULL_NEEDED
            } else {
                wait.min(FULL_LIMIT)
            };
        self.schedule.maintain = now;
    }

    pub(super) fn on_leave(&mut self, now: Duration, from: SocketAddr, out: &mut Vec<Action>) {
        self.close(now, from, out);
        self.view.forget(from, true);
    }

    pub(super) fn leave(&mut self, out: &mut Vec<Action>) {
        let peers: Vec<SocketAddr> = self.links.keys().copied().collect();
        for peer in peers {
            out.push(Action::Send {
                to: peer,
                message: Message::Leave,
            });
            out.push(Action::Disconnect(peer));
        }
        self.links.clear();
        self.connecting.clear();
    }

    /// Closes the link with `peer`, if any.
    pub(super) fn close(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        if self.drop_link(now, peer) {
            out.push(Action::Disconnect(peer));
        }
    }

    fn drop_link(&mut self, now: Duration, peer: SocketAddr) -> bool {
        let Some(link) = self.links.remove(&peer) else {
            return false;
        };
        self.lost_source(now, peer, link.node);
        self.schedule.maintain = self.schedule.maintain.min(now + self.settings.batch);
        true
    }

    /// Notes that `peer` does not answer. A coordinator, and an agent without a source, try again
    /// sooner.
    pub(super) fn fail(&mut self, now: Duration, peer: SocketAddr) {
        let pressed = self.me.is_coordinator() || !self.feed.position.is_attached();
        let limit = self.settings.backoff_limit / if pressed { PRESSED } else { 1 };
        let failure = self.failures.entry(peer).or_default();
        failure.times += 1;
        let wait = self
            .settings
            .backoff
            .saturating_mul(1 << failure.times.min(8))
            / 2;
        failure.until = now + wait.min(limit);
        if failure.times >= FORGET_AFTER {
            self.view.forget(peer, false);
        }
        if self.failures.len() > FAILURES {
            self.failures.retain(|_, failure| failure.until > now);
        }
    }

    /// Opens a connection to `peer` unless there is one, or it failed a moment ago.
    pub(super) fn open(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) -> bool {
        if !self.can_open(now, peer) {
            return false;
        }
        self.connecting.insert(peer, now + self.settings.connect);
        out.push(Action::Connect(peer));
        true
    }

    pub(super) fn can_open(&self, now: Duration, peer: SocketAddr) -> bool {
        let waiting = self
            .failures
            .get(&peer)
            .is_some_and(|failure: &Failure| failure.until > now);
        peer != self.me.address
            && !waiting
            && !self.links.contains_key(&peer)
            && !self.connecting.contains_key(&peer)
    }

    /// Gives up connections that take too long, and links whose other end has not said who it is.
    pub(super) fn time_out_connections(&mut self, now: Duration, out: &mut Vec<Action>) {
        let late = |at: &Duration| *at <= now;
        let opened: Vec<SocketAddr> = self
            .connecting
            .iter()
            .filter(|(_, at)| late(at))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in opened {
            self.connecting.remove(&peer);
            out.push(Action::Disconnect(peer));
            self.fail(now, peer);
        }
        let limit = self.settings.connect;
        let silent = self
            .links
            .iter()
            .filter(|(_, link)| link.node.is_none() && link.opened + limit <= now);
        let silent: Vec<SocketAddr> = silent.map(|(peer, _)| *peer).collect();
        for peer in silent {
            self.close(now, peer, out);
            self.fail(now, peer);
        }
    }
}
