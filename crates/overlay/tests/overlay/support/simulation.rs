//! A deterministic network of nodes, in simulated time: its state, the life cycle of processes and
//! machines, and what tests read of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ironmast_overlay::{Descriptor, Event, Message, Overlay, Settings, Version};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::cuts::{CutEffect, CutPredicate};
use super::deployment::{Deployment, address, index};
use super::event_queue::EventQueue;
use super::node::Node;

pub(crate) const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A message that a cut delays.
pub(super) struct DelayedMessage {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) connection: u64,
    pub(super) message: Message,
}

/// The simulated network. Latency depends on the localities of two nodes.
pub(crate) struct Simulation {
    pub now: Duration,
    pub deployment: Deployment,
    pub settings: Settings,
    pub nodes: Vec<Node>,
    pub seeds: Vec<SocketAddr>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Times at which each version, by key and version, reached each node.
    pub arrivals: BTreeMap<(u64, u64), BTreeMap<usize, Duration>>,
    /// Number of versions that a node reported after a newer one.
    pub regressions: usize,
    pub(super) cut: CutPredicate,
    pub(super) cut_effect: CutEffect,
    /// Messages that wait for the end of a cut.
    pub(super) delayed: Vec<DelayedMessage>,
    pub(super) events: EventQueue,
    pub(super) connections: u64,
    /// Connections that only the opener has established so far, as (opener, peer).
    pub(super) half_open: BTreeSet<(usize, usize)>,
    pub(super) last_arrival: BTreeMap<(usize, usize), Duration>,
    pub(super) random: Xoshiro256PlusPlus,
}

impl Simulation {
    /// All nodes of `deployment` started within a second of each other, with up to three
    /// coordinators as seeds.
    pub(crate) fn start(deployment: Deployment, settings: Settings, seed: u64) -> Simulation {
        let mut sim = Simulation::new(deployment, settings, seed);
        for node in 0..deployment.len() {
            sim.start_node(node);
        }
        sim
    }

    /// The nodes of `deployment`, none of which runs.
    pub(crate) fn new(deployment: Deployment, settings: Settings, seed: u64) -> Simulation {
        let nodes = (0..deployment.len())
            .map(|at| Node::new(deployment.descriptor(at)))
            .collect();
        Simulation {
            now: Duration::ZERO,
            deployment,
            settings,
            nodes,
            seeds: (0..deployment.coordinators.min(3)).map(address).collect(),
            loss: 0.0,
            arrivals: BTreeMap::new(),
            regressions: 0,
            cut: Box::new(|_, _| false),
            cut_effect: CutEffect::Lost,
            delayed: Vec::new(),
            events: EventQueue::default(),
            connections: 0,
            half_open: BTreeSet::new(),
            last_arrival: BTreeMap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Starts the process of `node` with a new incarnation.
    pub(crate) fn start_node(&mut self, node: usize) {
        self.nodes[node].descriptor.incarnation += 1;
        let seed = self.random.random();
        let overlay = Overlay::new(
            self.nodes[node].descriptor,
            self.settings.clone(),
            seed,
            self.now,
        );
        self.nodes[node].overlay = Some(overlay);
        self.nodes[node].is_powered_off = false;
        self.nodes[node].versions.clear();
        let seeds = self.seeds.clone();
        self.dispatch(node, Event::Seeds(seeds));
    }

    /// Adds a node that was not part of the deployment.
    pub(crate) fn add(&mut self, descriptor: Descriptor) -> usize {
        self.add_stopped(descriptor);
        self.start_node(self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    /// Adds a node that does not run yet.
    pub(crate) fn add_stopped(&mut self, descriptor: Descriptor) {
        self.nodes.push(Node::new(descriptor));
    }

    /// Kills a process: its neighbours see closed connections.
    pub(crate) fn kill(&mut self, node: usize) {
        let peers: Vec<(usize, u64)> = self.nodes[node]
            .connections
            .iter()
            .map(|(peer, id)| (*peer, *id))
            .collect();
        for (peer, id) in peers {
            self.notify_closed(node, peer, id);
        }
        self.power_off(node);
        self.nodes[node].is_powered_off = false;
    }

    /// Powers off a machine: its neighbours see no closed connection, and new connections to it
    /// hang.
    pub(crate) fn power_off(&mut self, node: usize) {
        self.nodes[node].is_powered_off = true;
        self.nodes[node].overlay = None;
        self.nodes[node].unread = None;
        self.nodes[node].connections.clear();
        self.nodes[node].timer = None;
    }

    /// Pauses a process; its events are queued until [`Simulation::resume`].
    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].unread = Some(Vec::new());
    }

    /// Resumes a paused process, which handles the queued events at once.
    pub(crate) fn resume(&mut self, node: usize) {
        let unread = self.nodes[node].unread.take().unwrap_or_default();
        for event in unread {
            self.dispatch(node, event);
        }
    }

    /// Number of running agents without a parent.
    pub(crate) fn detached_agents(&self) -> usize {
        let running = self.nodes.iter().filter_map(|node| node.overlay.as_ref());
        running
            .filter(|overlay| !overlay.position().is_attached())
            .count()
    }

    /// The parent of `agent`.
    pub(crate) fn parent(&self, agent: usize) -> Option<usize> {
        self.nodes[agent].overlay.as_ref()?.parent().map(index)
    }

    /// Whether the parent of `agent` is in another region.
    pub(crate) fn has_remote_parent(&self, agent: usize) -> bool {
        let locality = self.nodes[agent].descriptor.locality;
        self.parent(agent)
            .is_some_and(|parent| !self.nodes[parent].descriptor.locality.same_region(locality))
    }

    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].overlay.is_some()
    }

    /// Whether both nodes run and messages pass in both directions.
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        self.is_running(from)
            && self.is_running(to)
            && !self.is_cut(from, to)
            && !self.is_cut(to, from)
    }

    /// Publishes a version of `size` bytes at a node and returns the current time.
    pub(crate) fn publish(&mut self, node: usize, key: u64, version: u64, size: usize) -> Duration {
        let payload: Arc<[u8]> = Arc::from(vec![(key ^ version) as u8; size]);
        self.dispatch(
            node,
            Event::Publish {
                key,
                version: Version(version),
                payload,
            },
        );
        self.now
    }
}
