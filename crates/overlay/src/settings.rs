//! The figures of the overlay, with defaults for a few to 2,000 agents.

use std::time::Duration;

/// Intervals, bounds and sizes. All nodes of a deployment use the same ones.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval of a coordinator's beats, and of a source's heartbeat to those fed by it.
    pub beat: Duration,
    /// Interval of heartbeats on all other links.
    pub lazy_beat: Duration,
    /// Silence of the source after which another one is asked.
    pub suspect: Duration,
    /// Silence of the source after which its link is closed; also the longest wait for a heartbeat
    /// to be confirmed.
    pub dead: Duration,
    /// Silence of any other link after which it is no longer considered as a source.
    pub lazy_suspect: Duration,
    /// Silence of any other link after which it is closed.
    pub lazy_dead: Duration,
    /// Changes closer together than this leave in one message.
    pub batch: Duration,
    /// Interval at which changes are announced on links that don't push them.
    pub announce: Duration,
    /// Interval at which changes are announced on an agent's link out of its region that doesn't
    /// push them.
    pub announce_far: Duration,
    /// How long an announced version may take to arrive by the tree before it is asked for.
    pub graft_delay: Duration,
    /// Interval of digest exchanges with a random neighbour.
    pub scrub: Duration,
    /// Interval of view shuffles.
    pub shuffle: Duration,
    /// Interval at which missing links are looked for.
    pub maintain: Duration,
    /// Longest wait for a connection, and for the first message on it.
    pub connect: Duration,
    /// First wait after a failed connection; doubled by each further one up to `backoff_limit`.
    pub backoff: Duration,
    /// Longest wait after failed connections.
    pub backoff_limit: Duration,
    /// Wait before an unfed agent turns to another region, so that one of its own region may appear
    /// first.
    pub leave_region: Duration,
    /// Added to `leave_region` for each known agent of the region with a better score.
    pub leave_region_step: Duration,
    /// How long a removed entry is remembered, so that older versions of it are refused.
    pub tombstone: Duration,
    /// Links an agent keeps inside its region.
    pub active: usize,
    /// Nodes an agent remembers of its own region; of the other regions together it remembers half
    /// as many.
    pub passive: usize,
    /// Nodes a coordinator remembers of each region.
    pub passive_region: usize,
    /// Descriptors in a shuffle.
    pub shuffle_size: usize,
    /// Agents fed by one agent.
    pub fanout: usize,
    /// Agents linked to one coordinator.
    pub coordinator_fanout: usize,
    /// Beats of different coordinators in one message.
    pub beat_sources: usize,
    /// Longest path from a coordinator to an agent, in hops.
    pub depth: usize,
    /// Bytes of payload in one message of entries, unless a single entry is longer.
    pub message_bytes: usize,
    /// Bytes of payload sent in one round of repair.
    pub sync_bytes: usize,
    /// Mechanisms that a test can take out to show that it would notice.
    #[doc(hidden)]
    pub guards: Guards,
}

/// Mechanisms whose absence tests must catch. All on in service.
#[doc(hidden)]
#[derive(Clone, Debug)]
pub struct Guards {
    pub lazy_repair: bool,
    pub anti_entropy: bool,
    pub version_check: bool,
    pub fanout_bound: bool,
    pub region_heads: bool,
    pub suspicion: bool,
    pub contact: bool,
    pub quick_announce: bool,
    pub eager_relay: bool,
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
            beat: Duration::from_millis(400),
            lazy_beat: Duration::from_secs(1),
            suspect: Duration::from_secs(1),
            dead: Duration::from_millis(2_500),
            lazy_suspect: Duration::from_millis(1_500),
            lazy_dead: Duration::from_secs(5),
            batch: Duration::from_millis(20),
            announce: Duration::from_millis(500),
            announce_far: Duration::from_millis(100),
            graft_delay: Duration::from_millis(150),
            scrub: Duration::from_secs(2),
            shuffle: Duration::from_secs(5),
            maintain: Duration::from_millis(500),
            connect: Duration::from_millis(1_500),
            backoff: Duration::from_millis(250),
            backoff_limit: Duration::from_secs(4),
            leave_region: Duration::from_millis(250),
            leave_region_step: Duration::from_millis(150),
            tombstone: Duration::from_secs(4 * 3_600),
            active: 5,
            passive: 30,
            passive_region: 8,
            shuffle_size: 8,
            fanout: 6,
            coordinator_fanout: 12,
            beat_sources: 6,
            depth: 16,
            message_bytes: 32 * 1_024,
            sync_bytes: 256 * 1_024,
            guards: Guards::default(),
        }
    }
}
