//! Peer sampling: shuffles of the passive view (Cyclon), and dissemination of joins (`HyParView`).

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use super::{Action, Overlay};
use crate::message::{AgedDescriptor, Message};
use crate::node::Descriptor;
use crate::passive_view::ViewUpdate;

/// Remaining hops of a random walk when an agent's join is first forwarded (`HyParView`'s active
/// random walk length).
const WALK_LENGTH: u8 = 3;

/// Number of random walks that are started for an agent's join.
const WALKS_PER_JOIN: usize = 2;

/// Time since the start of a node after which it floods coordinators that it learns of from
/// samples.
const WARM_UP: Duration = Duration::from_secs(5);

impl Overlay {
    /// Draws a sample of descriptors for `receiver`, with the descriptor of this node first. The
    /// age of a neighbour is the time since its last message.
    pub(super) fn sample_for(
        &mut self,
        now: Duration,
        receiver: &Descriptor,
    ) -> Vec<AgedDescriptor> {
        for link in self.links.values() {
            if let Some(node) = link.node {
                let age = now.saturating_sub(link.last_received);
                self.view.record(now, node, age);
            }
        }
        let mut sample = vec![AgedDescriptor {
            node: self.local_node,
            age_s: 0,
        }];
        let size = self.settings.shuffle_size - 1;
        sample.extend(self.view.sample(now, receiver, size, &mut self.random));
        sample
    }

    /// Merges a sample into the view. A coordinator that was not known is flooded, since the flood
    /// of its join ends at nodes that know it already and may miss others. A node that has just
    /// started does not flood, as it knows few nodes itself.
    pub(super) fn merge_sample(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[AgedDescriptor],
        out: &mut Vec<Action>,
    ) {
        let is_warm = self.started_at + WARM_UP <= now;
        for aged in sample {
            let age = Duration::from_secs(u64::from(aged.age_s));
            if self.view.record(now, aged.node, age) == ViewUpdate::Unchanged {
                continue;
            }
            let batch_end = now + self.settings.push_batch_interval;
            self.schedule.maintain_by(batch_end);
            if aged.node.is_coordinator() && is_warm {
                self.flood_join(now, from, aged.node, out);
            }
        }
    }

    /// Sends a sample of the view to a random neighbour, which replies with one of its own.
    pub(super) fn shuffle(&mut self, now: Duration, out: &mut Vec<Action>) {
        let peers = self.links.values().filter_map(|link| link.node);
        let Some(peer) = peers.choose(&mut self.random) else {
            return;
        };
        let message = Message::Shuffle {
            sample: self.sample_for(now, &peer),
            is_reply: false,
        };
        self.send(now, peer.address, message, out);
    }

    pub(super) fn on_shuffle(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[AgedDescriptor],
        is_reply: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self.links.get(&from).and_then(|link| link.node) else {
            return;
        };
        if !is_reply {
            let message = Message::Shuffle {
                sample: self.sample_for(now, &node),
                is_reply: true,
            };
            self.send(now, from, message, out);
        }
        self.merge_sample(now, from, sample, out);
    }

    /// Disseminates the join of a node: the join of a coordinator is flooded, the join of an agent
    /// is forwarded along [`WALKS_PER_JOIN`] random walks.
    pub(super) fn disseminate_join(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        out: &mut Vec<Action>,
    ) {
        if node.is_coordinator() {
            return self.flood_join(now, from, node, out);
        }
        for _ in 0..WALKS_PER_JOIN {
            self.forward_join(now, from, node, WALK_LENGTH, out);
        }
    }

    /// Sends the join of a coordinator to all neighbours except `from` and the coordinator.
    fn flood_join(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        out: &mut Vec<Action>,
    ) {
        let others: Vec<SocketAddr> = self
            .links
            .iter()
            .filter(|(peer, link)| **peer != from && link.node.is_some())
            .map(|(peer, _)| *peer)
            .filter(|peer| *peer != node.address)
            .collect();
        for peer in others {
            self.send(now, peer, Message::Joined { node, hops: 0 }, out);
        }
    }

    /// Forwards the join of an agent to a random neighbour, in the agent's region if there is one.
    fn forward_join(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        hops: u8,
        out: &mut Vec<Action>,
    ) {
        let mut others: Vec<Descriptor> = self
            .neighbours()
            .filter(|peer| peer.address != from && peer.address != node.address)
            .collect();
        let same_region = |peer: &Descriptor| peer.locality.same_region(node.locality);
        if others.iter().any(same_region) {
            others.retain(same_region);
        }
        let Some(peer) = others.into_iter().choose(&mut self.random) else {
            return;
        };
        self.send(now, peer.address, Message::Joined { node, hops }, out);
    }

    pub(super) fn on_joined(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        hops: u8,
        out: &mut Vec<Action>,
    ) {
        let update = self.view.record(now, node, Duration::ZERO);
        if update == ViewUpdate::Added {
            let batch_end = now + self.settings.push_batch_interval;
            self.schedule.maintain_by(batch_end);
        }
        match (node.is_coordinator(), update) {
            (true, ViewUpdate::Added) => self.flood_join(now, from, node, out),
            (false, _) if hops > 0 => self.forward_join(now, from, node, hops - 1, out),
            _ => {}
        }
    }
}
