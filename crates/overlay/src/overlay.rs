//! One node of the overlay: events in, actions out.

mod choice;
mod flow;
mod links;
mod repair;
mod sampling;
mod tree;
mod upkeep;
mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::beats::Beats;
use crate::link::Link;
use crate::message::{Entry, Message, Position};
use crate::node::{Descriptor, NodeId};
use crate::settings::Settings;
use crate::store::{Held, Key, Store, Version};
use crate::view::View;

/// What happened to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Addresses to join through, as known to the caller now; they replace those of before.
    Seeds(Vec<SocketAddr>),
    /// There is a connection with the node that listens at this address, whoever opened it.
    Connected(SocketAddr),
    /// There is no connection with it any more, or none came about.
    Disconnected(SocketAddr),
    /// A message arrived.
    Message {
        /// Listening address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// An entry to distribute. Ignored unless it is newer than what is held of the key.
    Publish {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
        /// The content.
        payload: Arc<[u8]>,
    },
    /// A removal to distribute, itself a version of the key.
    Remove {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
    },
    /// Whether this coordinator is in contact with a majority of the coordinators; without this
    /// event it is. One that is not emits no beats, and agents take another source if there is one
    /// under a coordinator in contact.
    InContact(bool),
    /// The time asked for by [`Action::Timer`] has come. More often does no harm.
    Timer,
    /// The node is about to stop: its neighbours are told.
    Leave,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message, or drop it when there is no connection.
    Send {
        /// Listening address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Open a connection unless there is one, and answer [`Event::Connected`] or
    /// [`Event::Disconnected`].
    Connect(SocketAddr),
    /// Close the connection after what was sent on it; no [`Event::Disconnected`] is needed.
    Disconnect(SocketAddr),
    /// A newer version is held, of own publishing too.
    Changed {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
        /// The content, `None` for a removal.
        payload: Option<Arc<[u8]>>,
    },
    /// Give [`Event::Timer`] at this time; replaces the time asked for before.
    Timer(Duration),
}

/// Where an entry comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// Own publishing.
    Here,
    /// A neighbour that pushed it, or was asked for it after an announcement.
    News(SocketAddr),
    /// A neighbour, by a comparison of stores.
    Repair(SocketAddr),
}

impl Origin {
    fn sender(self) -> Option<SocketAddr> {
        match self {
            Origin::Here => None,
            Origin::News(from) | Origin::Repair(from) => Some(from),
        }
    }
}

/// A failure to connect, and until when no further attempt is made.
#[derive(Clone, Copy, Debug, Default)]
struct Failure {
    times: u32,
    until: Duration,
}

/// An announced version that has not arrived.
#[derive(Clone, Copy, Debug)]
struct Missing {
    version: Version,
    from: SocketAddr,
    due: Duration,
    tries: u32,
}

/// The source of an agent, and the change to another one.
#[derive(Debug, Default)]
struct Feed {
    source: Option<SocketAddr>,
    since: Duration,
    /// Source asked, and until when its answer is waited for.
    asked: Option<(SocketAddr, Duration)>,
    /// The source lost last, and until when paths over it are not taken.
    lost: Option<(NodeId, Duration)>,
    /// Since when there has been no live source.
    orphan_since: Option<Duration>,
    /// Last attempt to find a source in another region.
    left_region: Option<Duration>,
    /// Versions that had to be asked for elsewhere since the source last delivered.
    gaps: u32,
    /// The source asked this agent to stand in for it, as of its last heartbeat; kept when the
    /// source is lost.
    deputy: bool,
    position: Position,
}

/// Times of the periodic tasks.
#[derive(Debug)]
struct Schedule {
    beat: Duration,
    scrub: Duration,
    shuffle: Duration,
    maintain: Duration,
    timer: Option<Duration>,
}

/// A node of the overlay, coordinator or agent by its [`Descriptor`].
#[derive(Debug)]
pub struct Overlay {
    me: Descriptor,
    settings: Settings,
    random: Xoshiro256PlusPlus,
    store: Store,
    view: View,
    beats: Beats,
    in_contact: bool,
    started: Duration,
    /// When the last event was handled.
    handled: Duration,
    seeds: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, Link>,
    connecting: BTreeMap<SocketAddr, Duration>,
    failures: BTreeMap<SocketAddr, Failure>,
    missing: BTreeMap<Key, Missing>,
    feed: Feed,
    schedule: Schedule,
}

impl Overlay {
    /// A node that knows nobody yet. `now` is the time of a steady clock of this machine, `seed`
    /// starts its random choices and should differ between nodes.
    #[must_use]
    pub fn new(me: Descriptor, settings: Settings, seed: u64, now: Duration) -> Overlay {
        let mut store = Store::new(settings.tombstone);
        if !settings.guards.version_check {
            store = store.without_version_check();
        }
        let position = if me.is_coordinator() {
            Position::Root { in_contact: true }
        } else {
            Position::Detached
        };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Overlay {
            view: View::new(me, &settings),
            schedule: Schedule::new(now, &settings, &mut random),
            feed: Feed {
                position,
                orphan_since: Some(now),
                ..Feed::default()
            },
            me,
            settings,
            random,
            store,
            beats: Beats::default(),
            in_contact: true,
            started: now,
            handled: now,
            seeds: Vec::new(),
            links: BTreeMap::new(),
            connecting: BTreeMap::new(),
            failures: BTreeMap::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Takes an event in and appends what must be done for it to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.forgive_stall(now);
        match event {
            Event::Seeds(seeds) => self.set_seeds(now, seeds),
            Event::Connected(peer) => self.connected(now, peer, out),
            Event::Disconnected(peer) => self.disconnected(now, peer),
            Event::Message { from, message } => self.message(now, from, message, out),
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
        self.run_due(now, out);
        self.set_timer(now, out);
    }

    fn message(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if !self.heard(now, from, &message) {
            return;
        }
        match message {
            Message::Hello { node } => self.on_hello(now, from, node, out),
            Message::Nodes { sample } => self.learn_all(now, from, &sample, out),
            Message::Full { sample } => self.on_full(now, from, &sample, out),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, out),
            Message::Graft { root } => self.on_graft(now, from, root, out),
            Message::Grafted => self.on_grafted(now, from, out),
            Message::Refused { sample } => self.on_refused(now, from, &sample, out),
            Message::Prune => self.on_prune(from),
            Message::Entries {
                entries,
                pushed,
                more,
            } => self.on_entries(now, from, entries, pushed, more, out),
            Message::Announce { versions } => self.on_announce(now, from, &versions),
            Message::Want { keys } => self.send_entries(now, from, &keys, out),
            Message::Digest { root } => self.on_digest(now, from, root, out),
            Message::Buckets(buckets) => self.on_buckets(now, from, &buckets, out),
            Message::Listing { mask, versions } => self.on_listing(now, from, mask, &versions, out),
            Message::Shuffle { sample, answer } => self.on_shuffle(now, from, &sample, answer, out),
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
        self.accept(now, Origin::Here, &entry, out);
    }

    /// What is held of `key`: version and content.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Held> {
        self.store.get(key)
    }

    /// The entries held.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// This node.
    #[must_use]
    pub fn node(&self) -> &Descriptor {
        &self.me
    }

    /// Time since the newest beat of any coordinator left it, less the shortest time one was on its
    /// way; `None` before the first. Zero at a coordinator.
    #[must_use]
    pub fn freshness(&self, now: Duration) -> Option<Duration> {
        if self.me.is_coordinator() {
            Some(Duration::ZERO)
        } else {
            self.beats.age(now)
        }
    }

    /// Time since the newest beat of each coordinator, by [`Descriptor::beat_source`].
    pub fn sources(&self, now: Duration) -> impl Iterator<Item = (NodeId, Duration)> {
        self.beats.ages(now)
    }

    /// Where the node stands in the tree.
    #[must_use]
    pub fn position(&self) -> &Position {
        &self.feed.position
    }

    /// The node that pushes changes to this agent.
    #[must_use]
    pub fn source(&self) -> Option<SocketAddr> {
        self.feed.source
    }

    /// The neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = Descriptor> {
        self.links.values().filter_map(|link| link.node)
    }

    /// The neighbours this node pushes changes to.
    pub fn fed(&self) -> impl Iterator<Item = Descriptor> {
        self.links
            .values()
            .filter(|link| link.feeds)
            .filter_map(|link| link.node)
    }

    /// The nodes known besides the neighbours.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }
}
