//! Admission of links: a node limits the number of agents linked to it, and refers rejected nodes
//! to others.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Overlay};
use crate::message::{AgedDescriptor, Message};
use crate::node::Descriptor;

/// Number of links that an agent accepts beyond `active_view_size` and `fanout`.
const SPARE_LINKS: usize = 2;

/// Backoff after the first rejection by a node; doubled after each further one.
const REJECTION_BACKOFF: Duration = Duration::from_secs(10);

/// Maximum backoff after rejections by a node.
const MAX_REJECTION_BACKOFF: Duration = Duration::from_secs(320);

/// Backoff after any rejection of an agent that is detached or needs a standby link.
const URGENT_REJECTION_BACKOFF: Duration = Duration::from_secs(2);

impl Overlay {
    /// Whether a link with `node` is accepted. A full coordinator closes a link to an agent of its
    /// region to accept one of another region, as agents of its region have other nodes to connect
    /// to, but only while more than half of `coordinator_fanout` are agents of its region.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        node: &Descriptor,
        out: &mut Vec<Action>,
    ) -> bool {
        if node.is_coordinator() || !self.settings.guards.fanout_bound {
            return true;
        }
        let linked_agents = self
            .links
            .iter()
            .filter(|(address, link)| **address != node.address && link.node.is_some())
            .filter(|(_, link)| !link.is_coordinator())
            .count();
        if !self.local_node.is_coordinator() {
            let limit = self.settings.active_view_size + self.settings.fanout + SPARE_LINKS;
            return linked_agents < limit;
        }
        linked_agents < self.settings.coordinator_fanout || self.evict_for(now, node, out)
    }

    /// Closes the link to one agent of the region to make capacity for `node` of another region.
    /// Returns whether a link was closed.
    fn evict_for(&mut self, now: Duration, node: &Descriptor, out: &mut Vec<Action>) -> bool {
        let regional: Vec<(bool, Descriptor)> = self
            .links
            .values()
            .filter_map(|link| link.node.map(|node| (link.is_child, node)))
            .filter(|(_, agent)| !agent.is_coordinator() && self.is_in_region(agent))
            .collect();
        if self.is_in_region(node) || regional.len() * 2 <= self.settings.coordinator_fanout {
            return false;
        }
        let evicted = regional
            .into_iter()
            .min_by_key(|(is_child, agent)| (*is_child, Reverse(agent.score())));
        let Some((_, agent)) = evicted else {
            return false;
        };
        self.reject_link(now, &agent, out);
        true
    }

    /// Closes the link to `node` and sends a sample of nodes to which it may connect instead.
    pub(super) fn reject_link(&mut self, now: Duration, node: &Descriptor, out: &mut Vec<Action>) {
        let sample = self.sample_for(now, node);
        self.send(now, node.address, Message::LinkRejected { sample }, out);
        self.close(now, node.address, out);
    }

    pub(super) fn on_link_rejected(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[AgedDescriptor],
        out: &mut Vec<Action>,
    ) {
        self.merge_sample(now, from, sample, out);
        self.close(now, from, out);
        let is_urgent = self.needs_standby() || !self.tree.position.is_attached();
        let failure = self.connect_failures.entry(from).or_default();
        failure.count += 1;
        let backoff = if is_urgent {
            URGENT_REJECTION_BACKOFF
        } else {
            let backoff = REJECTION_BACKOFF.saturating_mul(1 << failure.count.min(6)) / 2;
            backoff.min(MAX_REJECTION_BACKOFF)
        };
        failure.retry_at = now + backoff;
        self.schedule.maintenance = now;
    }
}
