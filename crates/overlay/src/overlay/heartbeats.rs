//! Heartbeats on links, the root heartbeats that they carry down the tree, and the closing of dead
//! links.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Overlay};
use crate::link::Link;
use crate::message::{Heartbeat, Message, RootHeartbeat};

/// Minimum time between a heartbeat and the next one that reports a change of the local state.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(50);

impl Overlay {
    /// Emits the root heartbeat of this coordinator, if in contact, and relays those of others.
    pub(super) fn emit_root_heartbeat(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.in_contact {
            let elapsed = now.saturating_sub(self.started_at).as_millis();
            let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX).max(1);
            let heartbeat = RootHeartbeat {
                coordinator: self.local_node.incarnation_id(),
                elapsed_ms,
            };
            self.freshness.record(now, &heartbeat);
        }
        self.relay_root_heartbeats(now, out);
    }

    /// Sends the newest root heartbeats to the children and, from a coordinator, to the other
    /// coordinators of its region.
    fn relay_root_heartbeats(&mut self, now: Duration, out: &mut Vec<Action>) {
        let receivers: Vec<SocketAddr> = self
            .links
            .iter()
            .filter(|(_, link)| self.carries_root_heartbeats(link))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in receivers {
            self.send_heartbeat(now, peer, out);
        }
    }

    /// Whether new root heartbeats are sent on this link at once.
    fn carries_root_heartbeats(&self, link: &Link) -> bool {
        let connects_regional_coordinators = self.local_node.is_coordinator()
            && link
                .node
                .is_some_and(|node| node.is_coordinator() && self.is_in_region(&node));
        link.is_child || connects_regional_coordinators
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let mut has_newer = false;
        for root_heartbeat in &heartbeat.root_heartbeats {
            has_newer |= self.freshness.record(now, root_heartbeat);
        }
        if let Some(link) = self.links.get_mut(&from) {
            link.on_heartbeat(heartbeat);
        }
        self.check_root_hash(now, from, heartbeat.root_hash, out);
        if self.tree.parent != Some(from) {
            return;
        }
        self.tree.is_successor = heartbeat.is_successor;
        if has_newer {
            self.relay_root_heartbeats(now, out);
        }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<Action>) {
        let due: Vec<SocketAddr> = self
            .links
            .iter()
            .filter(|(_, link)| self.heartbeat_due(link).is_some_and(|due| due <= now))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in due {
            self.send_heartbeat(now, peer, out);
        }
    }

    /// Time at which the next heartbeat on the link is due; `None` before the neighbour's `Hello`.
    pub(super) fn heartbeat_due(&self, link: &Link) -> Option<Duration> {
        link.node?;
        if link.heartbeat_pending {
            return Some(link.last_heartbeat_sent() + MIN_STATUS_INTERVAL);
        }
        // The interval is an eighth longer than that of root heartbeats, so that no heartbeats are
        // sent besides these while they arrive.
        let interval = if self.carries_root_heartbeats(link) {
            self.settings.tree_heartbeat_interval + self.settings.tree_heartbeat_interval / 8
        } else {
            self.settings.lazy_heartbeat_interval
        };
        Some(link.heartbeat_due(interval))
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddr, out: &mut Vec<Action>) {
        let spare_capacity = self.spare_capacity();
        let is_successor = self.successor() == Some(to);
        let position = self.tree.position.clone();
        let root_hash = self.root_hash_prefix();
        let Some(link) = self.links.get_mut(&to) else {
            return;
        };
        link.heartbeat_pending = false;
        let root_heartbeats = self
            .freshness
            .take_unsent(self.settings.max_root_heartbeats, &mut link.sent_heartbeats);
        let numbers = link.next_heartbeat(now);
        let heartbeat = Heartbeat {
            sequence: numbers.sequence,
            echo: numbers.echo,
            position,
            spare_capacity,
            is_successor,
            root_hash,
            root_heartbeats,
        };
        self.send(now, to, Message::Heartbeat(heartbeat), out);
    }

    /// Closes links that have been silent for too long or that work in one direction only.
    pub(super) fn close_dead_links(&mut self, now: Duration, out: &mut Vec<Action>) {
        let dead: Vec<SocketAddr> = self
            .links
            .iter()
            .filter(|(peer, link)| link.node.is_some() && self.is_dead(now, **peer, link))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in dead {
            self.close(now, peer, out);
            self.record_failure(now, peer);
        }
    }

    fn is_dead(&self, now: Duration, peer: SocketAddr, link: &Link) -> bool {
        let timeout = if self.tree.parent == Some(peer) {
            self.settings.dead_timeout
        } else {
            self.settings.lazy_dead_timeout
        };
        let is_unacknowledged = link
            .unacknowledged_since()
            .is_some_and(|since| since + self.settings.lazy_dead_timeout <= now);
        link.last_received + timeout <= now || is_unacknowledged
    }
}
