//! The life cycle of connections: opening, the `Hello`, failures and closing.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, ConnectFailure, Overlay};
use crate::link::Link;
use crate::message::Message;
use crate::node::Descriptor;
use crate::passive_view::ViewUpdate;

/// Divisor of the maximum backoff on coordinators and detached agents, which need links urgently.
const URGENT_BACKOFF_DIVISOR: u32 = 4;

/// Number of consecutive failures after which an agent is removed from the view.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Number of failure records above which those whose backoff has ended are dropped.
const MAX_FAILURE_RECORDS: usize = 256;

impl Overlay {
    pub(super) fn set_seeds(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.local_node.address);
        self.schedule.maintenance = now;
    }

    pub(super) fn on_connected(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        if peer == self.local_node.address {
            return out.push(Action::Disconnect(peer));
        }
        self.drop_link(now, peer);
        let mut link = Link::new(now);
        link.is_outbound = self.connecting.remove(&peer).is_some();
        self.links.insert(peer, link);
        let node = self.local_node;
        self.send(now, peer, Message::Hello { node }, out);
    }

    pub(super) fn on_disconnected(&mut self, now: Duration, peer: SocketAddr) {
        let lacks_hello = self
            .links
            .get(&peer)
            .is_some_and(|link| link.node.is_none());
        if self.connecting.remove(&peer).is_some() || lacks_hello {
            self.record_failure(now, peer);
        }
        self.drop_link(now, peer);
    }

    /// Records that a message has arrived. Returns whether it may be handled: before the first
    /// `Hello`, only messages that establish or close the link may.
    pub(super) fn on_receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: &Message,
    ) -> bool {
        let Some(link) = self.links.get_mut(&from) else {
            return false;
        };
        link.last_received = now;
        link.node.is_some()
            || matches!(
                message,
                Message::Hello { .. } | Message::LinkRejected { .. } | Message::Leave
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
        let update = self.view.record(now, node, Duration::ZERO);
        if !self.admit(now, &node, out) {
            return self.reject_link(now, &node, out);
        }
        self.connect_failures.remove(&from);
        let Some(link) = self.links.get_mut(&from) else {
            return;
        };
        let is_new_incarnation = link
            .node
            .is_none_or(|previous| previous.incarnation != node.incarnation);
        link.node = Some(node);
        link.heartbeat_pending = true;
        if is_new_incarnation && !link.is_outbound {
            let sample = self.sample_for(now, &node);
            self.send(now, from, Message::Nodes { sample }, out);
        }
        let both_coordinators = self.local_node.is_coordinator() && node.is_coordinator();
        if is_new_incarnation && both_coordinators {
            self.compare_with(now, from, out);
        }
        if update == ViewUpdate::Added {
            self.disseminate_join(now, from, node, out);
        }
    }

    pub(super) fn on_leave(&mut self, now: Duration, from: SocketAddr, out: &mut Vec<Action>) {
        self.close(now, from, out);
        self.view.remove_departed(from);
    }

    /// Notifies all neighbours that this node leaves, and closes all links.
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

    /// Drops the state of the link with `peer`. Returns whether there was one.
    fn drop_link(&mut self, now: Duration, peer: SocketAddr) -> bool {
        let Some(link) = self.links.remove(&peer) else {
            return false;
        };
        self.on_link_lost(now, peer, link.node);
        let batch_end = now + self.settings.push_batch_interval;
        self.schedule.maintain_by(batch_end);
        true
    }

    /// Records that `peer` does not respond, and backs off. The maximum backoff is shorter on a
    /// coordinator and on a detached agent.
    pub(super) fn record_failure(&mut self, now: Duration, peer: SocketAddr) {
        let is_urgent = self.local_node.is_coordinator() || !self.tree.position.is_attached();
        let divisor = if is_urgent { URGENT_BACKOFF_DIVISOR } else { 1 };
        let max_backoff = self.settings.max_backoff / divisor;
        let failure = self.connect_failures.entry(peer).or_default();
        failure.count += 1;
        let factor = 1 << failure.count.min(8);
        let backoff = self.settings.initial_backoff.saturating_mul(factor) / 2;
        failure.retry_at = now + backoff.min(max_backoff);
        if failure.count >= MAX_CONNECT_FAILURES {
            self.view.remove_unresponsive(peer);
        }
        if self.connect_failures.len() > MAX_FAILURE_RECORDS {
            self.connect_failures
                .retain(|_, failure| failure.retry_at > now);
        }
    }

    /// Opens a connection to `peer` if [`Self::can_open`] permits it. Returns whether it does.
    pub(super) fn open(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) -> bool {
        if !self.can_open(now, peer) {
            return false;
        }
        self.connecting
            .insert(peer, now + self.settings.connect_timeout);
        out.push(Action::Connect(peer));
        true
    }

    /// Whether a connection to `peer` can be opened: `peer` is another node, there is no connection
    /// yet, none is being opened, and the backoff has ended.
    pub(super) fn can_open(&self, now: Duration, peer: SocketAddr) -> bool {
        let is_backing_off = self
            .connect_failures
            .get(&peer)
            .is_some_and(|failure: &ConnectFailure| failure.retry_at > now);
        peer != self.local_node.address
            && !is_backing_off
            && !self.links.contains_key(&peer)
            && !self.connecting.contains_key(&peer)
    }

    /// Abandons the connections that are not open, and the links without a `Hello`, after
    /// `connect_timeout`.
    pub(super) fn expire_connections(&mut self, now: Duration, out: &mut Vec<Action>) {
        let expired: Vec<SocketAddr> = self
            .connecting
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            self.connecting.remove(&peer);
            out.push(Action::Disconnect(peer));
            self.record_failure(now, peer);
        }
        let timeout = self.settings.connect_timeout;
        let without_hello: Vec<SocketAddr> = self
            .links
            .iter()
            .filter(|(_, link)| link.node.is_none() && link.opened_at + timeout <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in without_hello {
            self.close(now, peer, out);
            self.record_failure(now, peer);
        }
    }
}
