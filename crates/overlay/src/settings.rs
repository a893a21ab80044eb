//! Settings of the overlay, with defaults for a few to 2,000 agents.

use std::time::Duration;

/// Intervals, timeouts and limits. All nodes of a deployment use the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval of a coordinator's root heartbeats, and of heartbeats on tree edges.
    pub tree_heartbeat_interval: Duration,
    /// Interval of heartbeats on all other links.
    pub lazy_heartbeat_interval: Duration,
    /// Time without a message from the parent after which another neighbour is grafted.
    pub suspect_timeout: Duration,
    /// Time without a message from the parent after which its link is closed.
    pub dead_timeout: Duration,
    /// Time without a message on any other link after which the neighbour is not eligible as a
    /// parent.
    pub lazy_suspect_timeout: Duration,
    /// Time without a message on any other link after which it is closed; also the time within
    /// which a heartbeat on any link must be acknowledged.
    pub lazy_dead_timeout: Duration,
    /// Minimum interval between pushes on a link; changes within it are pushed together.
    pub push_batch_interval: Duration,
    /// Delay of announcements on links over which changes are not pushed; changes within it are
    /// announced together.
    pub announce_interval: Duration,
    /// Delay of announcements on an agent's link to another region.
    pub remote_announce_interval: Duration,
    /// Time within which an announced version must arrive over the tree; after it, the version is
    /// requested.
    pub missing_timeout: Duration,
    /// Mean interval of digest exchanges with a random neighbour.
    pub anti_entropy_interval: Duration,
    /// Mean interval of view shuffles.
    pub shuffle_interval: Duration,
    /// Interval of maintenance, which opens missing links and closes surplus ones.
    pub maintenance_interval: Duration,
    /// Timeout of opening a connection, and of the `Hello` of the neighbour on it.
    pub connect_timeout: Duration,
    /// Backoff after the first failed connection to a node; doubled after each further failure.
    pub initial_backoff: Duration,
    /// Maximum backoff after failed connections.
    pub max_backoff: Duration,
    /// Delay before a detached agent grafts a neighbour in another region, which leaves time for a
    /// parent in its own region to appear.
    pub remote_parent_delay: Duration,
    /// Extension of `remote_parent_delay` for each live neighbour that is an agent of the region
    /// with a lower score.
    pub remote_parent_delay_step: Duration,
    /// Time for which a tombstone is kept, so that older versions of the key are rejected.
    pub tombstone_retention: Duration,
    /// Number of links to other agents of its region that an agent keeps (`HyParView`'s active
    /// view).
    pub active_view_size: usize,
    /// Maximum number of agents of the own region in a passive view. The passive view of an agent
    /// holds half as many of all other regions together.
    pub passive_view_size: usize,
    /// Maximum number of agents of each other region in the passive view of a coordinator.
    pub region_passive_view_size: usize,
    /// Maximum number of descriptors in a shuffle, the sender's own included; at least 1.
    pub shuffle_size: usize,
    /// Maximum number of children of an agent.
    pub fanout: usize,
    /// Maximum number of agents linked to a coordinator, and of its children.
    pub coordinator_fanout: usize,
    /// Maximum number of root heartbeats in one message.
    pub max_root_heartbeats: usize,
    /// Maximum number of hops from a coordinator to an agent.
    pub max_depth: usize,
    /// Maximum estimated bytes ([`crate::Entry::size`]) of the entries in one message; a larger
    /// entry is sent in a message of its own.
    pub max_message_bytes: usize,
    /// Maximum estimated bytes of the entries sent in reply to one request; at least one entry is
    /// sent.
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
    /// The numbers of children and of links of a node are limited.
    pub fanout_bound: bool,
    /// One agent of a region, the region head, has a parent outside; the others have parents
    /// inside.
    pub region_heads: bool,
    /// A parent that is silent for longer than `suspect_timeout` is replaced.
    pub suspicion: bool,
    /// A coordinator that loses contact with the majority stops being a root of the relay tree.
    pub contact: bool,
    /// Announcements on an agent's link to another region use `remote_announce_interval`.
    pub quick_announce: bool,
    /// An entry that did not arrive over the tree is pushed to further neighbours.
    pub eager_relay: bool,
    /// Agents that are chosen by score alone keep a standby link to a coordinator of another
    /// region.
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
