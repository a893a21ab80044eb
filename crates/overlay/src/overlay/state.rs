//! Types of the state of a node.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::entry::Version;
use crate::node::NodeId;
use crate::position::TreePosition;
use crate::settings::Settings;

/// The origin of an entry, which decides where the entry is pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// Published by this node.
    Local,
    /// Pushed by a neighbour, or requested from it after an announcement.
    Dissemination(SocketAddr),
    /// Sent by a neighbour after a comparison of stores.
    AntiEntropy(SocketAddr),
}

impl Origin {
    /// The neighbour that sent the entry; `None` for an entry of this node.
    pub(super) fn sender(self) -> Option<SocketAddr> {
        match self {
            Origin::Local => None,
            Origin::Dissemination(from) | Origin::AntiEntropy(from) => Some(from),
        }
    }
}

/// Consecutive failed connections to a node, or links that it rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConnectFailure {
    pub(super) count: u32,
    /// Earliest time of the next attempt.
    pub(super) retry_at: Duration,
}

/// An announced version that has not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingVersion {
    pub(super) version: Version,
    /// Neighbour that announced the version last.
    pub(super) from: SocketAddr,
    pub(super) next_request_at: Duration,
    /// Number of requests sent.
    pub(super) requests: u32,
}

/// A graft that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingGraft {
    pub(super) peer: SocketAddr,
    pub(super) deadline: Duration,
}

/// A parent that has been lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostParent {
    pub(super) node: NodeId,
    /// Time until which paths through the node are not taken.
    pub(super) avoid_until: Duration,
}

/// The state of a node in the relay tree: its parent, the change to another one, and its position.
#[derive(Debug, Default)]
pub(super) struct TreeState {
    pub(super) parent: Option<SocketAddr>,
    pub(super) parent_since: Duration,
    pub(super) pending_graft: Option<PendingGraft>,
    /// Parent that was lost last.
    pub(super) lost_parent: Option<LostParent>,
    /// Time since which the agent has not been attached below a coordinator in contact.
    pub(super) orphaned_since: Option<Duration>,
    /// Time of the last attempt to find a parent in another region.
    pub(super) last_remote_attempt: Option<Duration>,
    /// Number of newer entries that other neighbours sent in replies since the parent last pushed.
    pub(super) missed_pushes: u32,
    /// Whether the last heartbeat of the parent designated this agent as its successor; kept when
    /// the parent is lost.
    pub(super) is_successor: bool,
    pub(super) position: TreePosition,
}

/// Times at which the periodic tasks are next due, and the time of the timer.
#[derive(Debug)]
pub(super) struct Schedule {
    pub(super) root_heartbeat: Duration,
    pub(super) anti_entropy: Duration,
    pub(super) shuffle: Duration,
    pub(super) maintenance: Duration,
    /// Time that was last requested of the caller.
    pub(super) timer: Option<Duration>,
}

impl Schedule {
    /// Creates a schedule with random first times, so that nodes started at the same time do not
    /// run their tasks at the same time.
    pub(super) fn new(
        now: Duration,
        settings: &Settings,
        random: &mut Xoshiro256PlusPlus,
    ) -> Schedule {
        let mut first = |interval: Duration| now + interval.mul_f64(random.random_range(0.0..1.0));
        Schedule {
            root_heartbeat: first(settings.tree_heartbeat_interval),
            anti_entropy: first(settings.anti_entropy_interval),
            shuffle: first(settings.shuffle_interval / 4),
            maintenance: first(settings.maintenance_interval / 4),
            timer: None,
        }
    }

    /// Moves the next maintenance forward to `at` unless it is due earlier.
    pub(super) fn maintain_by(&mut self, at: Duration) {
        self.maintenance = self.maintenance.min(at);
    }
}
