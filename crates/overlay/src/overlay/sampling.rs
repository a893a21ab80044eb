//! Exchange of views, and news of nodes that join.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use super::{Action, Overlay};
use crate::message::{Aged, Message};
use crate::node::Descriptor;
use crate::view::Learned;

/// Links over which news of an agent travels at random.
const WALK: u8 = 3;

/// Walks started for an agent that joins.
const WALKS: usize = 2;

/// Time after its start from which a node tells of coordinators that it learns of from samples.
const SETTLED: Duration = Duration::from_secs(5);

impl Overlay {
    /// Descriptors for `receiver`, this node's own first. Neighbours count as alive when last
    /// heard.
    pub(super) fn sample_for(&mut self, now: Duration, receiver: &Descriptor) -> Vec<Aged> {
        for link in self.links.values() {
            if let Some(node) = link.node {
                self.view.learn(now, node, now.saturating_sub(link.heard));
            }
        }
        let mut sample = vec![Aged {
            node: self.me,
            age_s: 0,
        }];
        let size = self.settings.shuffle_size - 1;
        sample.extend(self.view.sample(now, receiver, size, &mut self.random));
        sample
    }

    /// Learns the nodes of a sample. A coordinator among them that was not known is told to the
    /// others, as the flood of its joining ends at nodes that know it already; not by a node that
    /// has just joined and knows nobody.
    pub(super) fn learn_all(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[Aged],
        out: &mut Vec<Action>,
    ) {
        let settled = self.started + SETTLED <= now;
        for aged in sample {
            let learned =
                self.view
                    .learn(now, aged.node, Duration::from_secs(u64::from(aged.age_s)));
            if learned == Learned::Known {
                continue;
            }
            self.schedule.maintain = self.schedule.maintain.min(now + self.settings.batch);
            if aged.node.is_coordinator() && settled {
                self.flood_joined(now, from, aged.node, out);
            }
        }
    }

    /// Sends part of the view to a random neighbour, which answers with part of its own.
    pub(super) fn shuffle(&mut self, now: Duration, out: &mut Vec<Action>) {
        let peers = self.links.values().filter_map(|link| link.node);
        let Some(peer) = peers.choose(&mut self.random) else {
            return;
        };
        let sample = self.sample_for(now, &peer);
        self.send(
            now,
            peer.address,
            Message::Shuffle {
                sample,
                answer: false,
            },
            out,
        );
    }

    pub(super) fn on_shuffle(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[Aged],
        answer: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self.links.get(&from).and_then(|link| link.node) else {
            return;
        };
        if !answer {
            let sample = self.sample_for(now, &node);
            self.send(
                now,
                from,
                Message::Shuffle {
                    sample,
                    answer: true,
                },
                out,
            );
        }
        self.learn_all(now, from, sample, out);
    }

    /// Tells others of a node that has joined: of a coordinator all, of an agent a few.
    pub(super) fn spread_joined(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        out: &mut Vec<Action>,
    ) {
        if node.is_coordinator() {
            return self.flood_joined(now, from, node, out);
        }
        for _ in 0..WALKS {
            self.walk_joined(now, from, node, WALK, out);
        }
    }

    fn flood_joined(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        out: &mut Vec<Action>,
    ) {
        let others = self
            .links
            .iter()
            .filter(|(peer, link)| **peer != from && link.node.is_some());
        let others: Vec<SocketAddr> = others
            .map(|(peer, _)| *peer)
            .filter(|peer| *peer != node.address)
            .collect();
        for peer in others {
            self.send(now, peer, Message::Joined { node, hops: 0 }, out);
        }
    }

    fn walk_joined(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        hops: u8,
        out: &mut Vec<Action>,
    ) {
        let others = self
            .links
            .iter()
            .filter(|(peer, link)| **peer != from && **peer != node.address && link.node.is_some());
        let near = others.map(|(peer, link)| {
            (
                *peer,
                link.node.expect("filtered").place.same_region(node.place),
            )
        });
        let mut others: Vec<(SocketAddr, bool)> = near.collect();
        if others.iter().any(|(_, near)| *near) {
            others.retain(|(_, near)| *near);
        }
        let Some((peer, _)) = others.into_iter().choose(&mut self.random) else {
            return;
        };
        self.send(now, peer, Message::Joined { node, hops }, out);
    }

    pub(super) fn on_joined(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: Descriptor,
        hops: u8,
        out: &mut Vec<Action>,
    ) {
        let learned = self.view.learn(now, node, Duration::ZERO);
        if learned == Learned::New {
            self.schedule.maintain = self.schedule.maintain.min(now + self.settings.batch);
        }
        match (node.is_coordinator(), learned) {
            (true, Learned::New) => self.flood_joined(now, from, node, out),
            (false, _) if hops > 0 => self.walk_joined(now, from, node, hops - 1, out),
            _ => {}
        }
    }
}
