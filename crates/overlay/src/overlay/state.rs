//! Parts of a node's state.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::entry::Version;
use crate::node::NodeId;
use crate::position::TreePosition;
use crate::settings::Settings;

/// Origin of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// Published by this node.
    Local,
    /// Pushed by a neighbour, or requested from it after its announcement.
    Dissemination(SocketAddr),
    /// Sent by a neighbour after a comparison of stores.
    AntiEntropy(SocketAddr),
}

impl Origin {
    /// The neighbour that sent the entry.
    pub(super) fn sender(self) -> Option<SocketAddr> {
        match self {
            Origin::Local => None,
            Origin::Dissemination(from) | Origin::AntiEntropy(from) => Some(from),
        }
    }
}

/// Consecutive failures to connect to a node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConnectFailure {
    pub(super) count: u32,
    /// The next attempt is made no earlier than this.
    pub(super) retry_at: Duration,
}

/// An announced version that has not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingVersion {
    pub(super) version: Version,
    /// The neighbour that announced it last.
    pub(super) from: SocketAddr,
    pub(super) next_request_at: Duration,
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
    /// Until when paths through the node are not taken.
    pub(super) avoid_until: Duration,
}

/// The parent of an agent, and the change to another one.
#[derive(Debug, Default)]
pub(super) struct TreeState {
    pub(super) parent: Option<SocketAddr>,
    pub(super) parent_since: Duration,
    pub(super) pending_graft: Option<PendingGraft>,
    /// The parent that was lost last.
    pub(super) lost_parent: Option<LostParent>,
    /// Since when the node has not been attached below a coordinator in contact.
    pub(super) orphaned_since: Option<Duration>,
    /// Last attempt to find a parent in another region.
    pub(super) last_remote_attempt: Option<Duration>,
    /// Versions that had to be requested elsewhere since the parent last pushed.
    pub(super) missed_pushes: u32,
    /// Whether the parent has designated this agent as its successor, as of its last heartbeat;
    /// kept when the parent is lost.
    pub(super) is_successor: bool,
    pub(super) position: TreePosition,
}

/// Times of the periodic tasks, and of the timer.
#[derive(Debug)]
pub(super) struct Schedule {
    pub(super) root_heartbeat: Duration,
    pub(super) anti_entropy: Duration,
    pub(super) shuffle: Duration,
    pub(super) maintenance: Duration,
    pub(super) timer: Option<Duration>,
}

impl Schedule {
    /// A schedule whose first times are random, so that nodes started together do not act together.
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

    /// Brings maintenance forward to `at` unless it is due earlier.
    pub(super) fn maintain_by(&mut self, at: Duration) {
        self.maintenance = self.maintenance.min(at);
    }
}
