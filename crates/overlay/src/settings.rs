//! Settings of the overlay, with defaults for a few to 2,000 agents.

use std::time::Duration;

/// Intervals, timeouts and limits. All nodes of a deployment use the same ones.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval of a coordinator's root heartbeats, and of heartbeats on tree edges.
    pub tree_heartbeat_interval: Duration,
    /// Interval of heartbeats on all other links.
    pub lazy_heartbeat_interval: Duration,
    /// Time without a message from the parent after which another node is grafted.
    pub suspect_timeout: Duration,
    /// Time without a message from the parent after which its link is closed.
    pub dead_timeout: Duration,
    /// Time without a message on any other link after which its neighbour is not considered as a
    /// parent.
    pub lazy_suspect_timeout: Duration,
    /// Time without a message on any other link after which it is closed; also the timeout of the
    /// acknowledgement of a heartbeat on every link.
    pub lazy_dead_timeout: Duration,
    /// Changes within this interval are pushed in one message.
    pub push_batch_interval: Duration,
    /// Interval of announcements on links over which changes are not pushed.
    pub announce_interval: Duration,
    /// The same on an agent's link to another region.
    pub remote_announce_interval: Duration,
    /// Time that an announced version may take to arrive over the tree before it is requested.
    pub missing_timeout: Duration,
    /// Interval of digest exchanges with a random neighbour.
    pub anti_entropy_interval: Duration,
    /// Interval of view shuffles.
    pub shuffle_interval: Duration,
    /// Interval at which missing links are opened and surplus ones closed.
    pub maintenance_interval: Duration,
    /// Timeout of connecting, and of the first message on a connection.
    pub connect_timeout: Duration,
    /// Backoff after the first failed connection; doubled for each further one.
    pub initial_backoff: Duration,
    /// Longest backoff after failed connections.
    pub max_backoff: Duration,
    /// Delay before a detached agent takes a parent in another region, so that one in its own may
    /// appear first.
    pub remote_parent_delay: Duration,
    /// Added to `remote_parent_delay` for each known agent of the region with a lower score.
    pub remote_parent_delay_step: Duration,
    /// Time for which a tombstone is kept, so that older versions of the entry are rejected.
    pub tombstone_retention: Duration,
    /// Links that an agent keeps inside its region (`HyParView`'s active view).
    pub active_view_size: usize,
    /// Nodes of its own region that an agent keeps in its passive view; of all other regions
    /// together it keeps half as many.
    pub passive_view_size: usize,
    /// Nodes of each region that a coordinator keeps in its passive view.
    pub region_passive_view_size: usize,
    /// Descriptors in a shuffle.
    pub shuffle_size: usize,
    /// Maximum number of children of an agent.
    pub fanout: usize,
    /// Maximum number of agents linked to a coordinator.
    pub coordinator_fanout: usize,
    /// Maximum number of root heartbeats in one message.
    pub max_root_heartbeats: usize,
    /// Maximum number of hops from a coordinator to an agent.
    pub max_depth: usize,
    /// Maximum payload bytes in one message of entries, unless a single entry is larger.
    pub max_message_bytes: usize,
    /// Maximum payload bytes sent in reply to one request.
    pub max_repair_bytes: usize,
    /// Mechanisms that a test can disable to show that it detects their absence.
    #[doc(hidden)]
    pub guards: Guards,
}

/// Mechanisms whose absence the tests must detect. All are enabled in production.
#[doc(hidden)]
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each mechanism is disabled independently"
)]
pub struct Guards {
    /// Announced versions that do not arrive are requested.
    pub lazy_repair: bool,
    /// Stores are compared by digest.
    pub anti_entropy: bool,
    /// A store keeps the newest version of an entry, not the last one that arrived.
    pub version_check: bool,
    /// The number of children of a node is limited.
    pub fanout_bound: bool,
    /// One agent of a region, its head, has a parent outside; the others have parents inside.
    pub region_heads: bool,
    /// A parent that is silent for longer than `suspect_timeout` is replaced.
    pub suspicion: bool,
    /// A coordinator out of contact with the majority is no root of the relay tree.
    pub contact: bool,
    /// Announcements on an agent's link to another region use `remote_announce_interval`.
    pub quick_announce: bool,
    /// An entry that did not arrive along the tree is pushed to further neighbours.
    pub eager_relay: bool,
    /// Agents chosen by score alone keep a standby link to a coordinator of another region.
    pub stable_standby: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            lazy_repair: true,
            anti_entropy: true,
            version_check: true,
            fanout_bound: true,
            region_heads: true,
            suspicion: true,
            contact: true,
            quick_announce: true,
            eager_relay: true,
            stable_standby: true,
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            tree_heartbeat_interval: Duration::from_millis(400),
            lazy_heartbeat_interval: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(1),
            dead_timeout: Duration::from_millis(2_500),
            lazy_suspect_timeout: Duration::from_millis(1_500),
            lazy_dead_timeout: Duration::from_secs(5),
            push_batch_interval: Duration::from_millis(20),
            announce_interval: Duration::from_millis(500),
            remote_announce_interval: Duration::from_millis(100),
            missing_timeout: Duration::from_millis(150),
            anti_entropy_interval: Duration::from_secs(2),
            shuffle_interval: Duration::from_secs(5),
            maintenance_interval: Duration::from_millis(500),
            connect_timeout: Duration::from_millis(1_500),
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(4),
            remote_parent_delay: Duration::from_millis(250),
            remote_parent_delay_step: Duration::from_millis(150),
            tombstone_retention: Duration::from_secs(4 * 3_600),
            active_view_size: 5,
            passive_view_size: 30,
            region_passive_view_size: 8,
            shuffle_size: 8,
            fanout: 6,
            coordinator_fanout: 12,
            max_root_heartbeats: 6,
            max_depth: 16,
            max_message_bytes: 32 * 1_024,
            max_repair_bytes: 256 * 1_024,
            guards: Guards::default(),
        }
    }
}
