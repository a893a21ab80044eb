//! A node of the overlay: a state machine without I/O that turns events into actions.
//!
//! Each submodule implements the methods of [`Overlay`] for one concern.

mod admission;
mod anti_entropy;
mod connections;
mod dissemination;
mod event;
mod graft;
mod heartbeats;
mod maintenance;
mod parent_selection;
mod peer_sampling;
mod relay_targets;
mod remote_attach;
mod standby;
mod state;
mod timers;
mod tree;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

pub use event::{Action, Event};
use state::{ConnectFailure, MissingVersion, Origin, Schedule, TreeState};

use crate::entry::{Entry, Key, Version};
use crate::freshness::FreshnessTable;
use crate::link::Link;
use crate::message::Message;
use crate::node::{Descriptor, NodeId};
use crate::passive_view::PassiveView;
use crate::position::TreePosition;
use crate::settings::Settings;
use crate::store::{Store, StoredEntry};

/// A node of the overlay; its [`Descriptor`] says whether it is a coordinator or an agent.
#[derive(Debug)]
pub struct Overlay {
    local_node: Descriptor,
    settings: Settings,
    random: Xoshiro256PlusPlus,
    store: Store,
    view: PassiveView,
    freshness: FreshnessTable,
    /// Whether this node, if a coordinator, can reach a majority of the coordinators.
    in_contact: bool,
    started_at: Duration,
    /// Time at which the last event was handled.
    last_handled: Duration,
    seeds: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, Link>,
    /// Connections being opened, with the time at which each attempt is abandoned.
    connecting: BTreeMap<SocketAddr, Duration>,
    connect_failures: BTreeMap<SocketAddr, ConnectFailure>,
    /// Announced versions that have not arrived.
    missing: BTreeMap<Key, MissingVersion>,
    tree: TreeState,
    schedule: Schedule,
}

impl Overlay {
    /// Creates a node that knows no other node yet. `now` is the time on a monotonic clock of this
    /// machine; `seed` seeds the random choices and should differ between nodes.
    #[must_use]
    pub fn new(local_node: Descriptor, settings: Settings, seed: u64, now: Duration) -> Overlay {
        let mut store = Store::new(settings.tombstone_retention);
        if !settings.guards.version_check {
            store = store.without_version_check();
        }
        let position = if local_node.is_coordinator() {
            TreePosition::Root { in_contact: true }
        } else {
            TreePosition::Detached
        };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Overlay {
            view: PassiveView::new(local_node, &settings),
            schedule: Schedule::new(now, &settings, &mut random),
            tree: TreeState {
                position,
                orphaned_since: Some(now),
                ..TreeState::default()
            },
            local_node,
            settings,
            random,
            store,
            freshness: FreshnessTable::default(),
            in_contact: true,
            started_at: now,
            last_handled: now,
            seeds: Vec::new(),
            links: BTreeMap::new(),
            connecting: BTreeMap::new(),
            connect_failures: BTreeMap::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Handles an event, runs the periodic tasks that are due, and appends the resulting actions to
    /// `out` in the order in which the caller carries them out.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.compensate_pause(now);
        match event {
            Event::Seeds(seeds) => self.set_seeds(now, seeds),
            Event::Connected(peer) => self.on_connected(now, peer, out),
            Event::Disconnected(peer) => self.on_disconnected(now, peer),
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::Publish {
                key,
                version,
                payload,
            } => self.publish(now, key, version, Some(payload), out),
            Event::Remove { key, version } => self.publish(now, key, version, None, out),
            Event::InContact(in_contact) => self.set_in_contact(now, in_contact),
            Event::Timer => {}
            Event::Leave => return self.leave(out),
        }
        self.run_due_tasks(now, out);
        self.set_timer(now, out);
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if !self.on_receive(now, from, &message) {
            return;
        }
        match message {
            Message::Hello { node } => self.on_hello(now, from, node, out),
            Message::Nodes { sample } => self.merge_sample(now, from, &sample, out),
            Message::LinkRejected { sample } => self.on_link_rejected(now, from, &sample, out),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, out),
            Message::Graft { root_hash } => self.on_graft(now, from, root_hash, out),
            Message::GraftAccepted => self.on_graft_accepted(now, from, out),
            Message::GraftRejected { sample } => self.on_graft_rejected(now, from, &sample, out),
            Message::Prune => self.on_prune(from),
            Message::Entries {
                entries,
                pushed,
                more,
            } => {
                self.on_entries(now, from, &entries, pushed, out);
                if more {
                    self.compare_with(now, from, out);
                }
            }
            Message::Announce { versions } => self.on_announce(now, from, &versions),
            Message::Request { keys } => self.send_requested(now, from, &keys, out),
            Message::Digest { root_hash } => self.on_digest(now, from, root_hash, out),
            Message::Buckets(buckets) => self.on_buckets(now, from, &buckets, out),
            Message::VersionList { mask, versions } => {
                self.on_version_list(now, from, mask, &versions, out);
            }
            Message::Shuffle { sample, is_reply } => {
                self.on_shuffle(now, from, &sample, is_reply, out);
            }
            Message::Joined { node, hops } => self.on_joined(now, from, node, hops, out),
            Message::Leave => self.on_leave(now, from, out),
        }
    }

    fn publish(
        &mut self,
        now: Duration,
        key: Key,
        version: Version,
        payload: Option<Arc<[u8]>>,
        out: &mut Vec<Action>,
    ) {
        let entry = Entry {
            key,
            version,
            removed_s: 0,
            payload,
        };
        self.accept(now, Origin::Local, &entry, out);
    }

    /// The stored entry of `key`, possibly a tombstone.
    #[must_use]
    pub fn entry(&self, key: Key) -> Option<&StoredEntry> {
        self.store.get(key)
    }

    /// The local store, tombstones included.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The descriptor of this node.
    #[must_use]
    pub fn node(&self) -> &Descriptor {
        &self.local_node
    }

    /// Age of the local state: the time since the newest root heartbeat received from any
    /// coordinator was sent, less the shortest transit time; `None` before the first. Zero on a
    /// coordinator.
    #[must_use]
    pub fn freshness(&self, now: Duration) -> Option<Duration> {
        if self.local_node.is_coordinator() {
            Some(Duration::ZERO)
        } else {
            self.freshness.age(now)
        }
    }

    /// Time since the newest root heartbeat of each coordinator was sent, by
    /// [`Descriptor::incarnation_id`].
    pub fn root_ages(&self, now: Duration) -> impl Iterator<Item = (NodeId, Duration)> {
        self.freshness.ages(now)
    }

    /// The position of this node in the tree.
    #[must_use]
    pub fn position(&self) -> &TreePosition {
        &self.tree.position
    }

    /// The neighbour that pushes entries to this agent; `None` on a coordinator and on an agent
    /// without a parent.
    #[must_use]
    pub fn parent(&self) -> Option<SocketAddr> {
        self.tree.parent
    }

    /// The neighbours whose `Hello` has arrived (`HyParView`'s active view).
    pub fn neighbours(&self) -> impl Iterator<Item = Descriptor> {
        self.links.values().filter_map(|link| link.node)
    }

    /// The neighbours to which this node pushes entries.
    pub fn children(&self) -> impl Iterator<Item = Descriptor> {
        self.links
            .values()
            .filter(|link| link.is_child)
            .filter_map(|link| link.node)
    }

    /// The nodes to which this node may open links.
    #[must_use]
    pub fn view(&self) -> &PassiveView {
        &self.view
    }
}
