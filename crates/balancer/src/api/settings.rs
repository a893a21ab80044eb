//! The settings of a balancer.

use super::ids::{Micros, ZoneId};

/// What may be done with a request that may already have run: whether a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A retry is safe anywhere, any number of times.
    Idempotent,
    /// One group of servers drops duplicates for some time.
    Deduplicated {
        /// The group that drops duplicates.
        group: Group,
        /// For how long after the first attempt that may have run, in microseconds.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The servers that drop duplicates of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Responses within this time earn their value.
    pub latency_target: Micros,
    /// The longest that a client waits, over all attempts.
    pub deadline: Micros,
    /// Whether a retry is safe.
    pub effect: Effect,
    /// The value of one response in time.
    pub value: f64,
    /// The part of the value that a response past the latency target still earns.
    pub late_value_share: f64,
    /// Responses are streams whose start is reported. Read by no decision.
    pub streaming: bool,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            latency_target: 500_000,
            deadline: 2_000_000,
            effect: Effect::Idempotent,
            value: 1.0,
            late_value_share: 0.0,
            streaming: false,
        }
    }
}

/// What one tenant may request of all servers.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Requests per second, over all balancers, within its share.
    pub allowance_per_s: f64,
    /// Its share of service.
    pub share: f64,
}

/// What the size of a listed server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeMeaning {
    /// Nothing: all count alike.
    Unknown,
    /// Capacity, exactly or roughly.
    Capacity,
    /// Capacity mixed with momentary load.
    Live,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Pushed,
    /// Changes arrive after [`Action::Subscribe`](super::Action::Subscribe) only.
    Subscribed,
}

/// A change counts as delivered by discovery this long after it could be reached, whatever failed
/// meanwhile: a figure of the platform, the same for every deployment.
pub const MAX_DISCOVERY_DELAY: Micros = 6_000_000;

/// The settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancers sending to the same servers, this one included.
    pub balancers: u32,
    /// This balancer's index among them.
    pub balancer_index: u32,
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Value of a request beyond its tenant's share, as a part of its class's value. Read by no
    /// decision.
    pub over_share_value: f64,
    /// Number of configured zones.
    pub zones: usize,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// What [`Server::size`](super::Server::size) means.
    pub sizes: SizeMeaning,
    /// Servers that served a key recently do less work for it (warm caches).
    pub key_affinity: bool,
    /// Shortest time between two deliveries of events.
    pub tick: Micros,
    /// What the operator permits.
    pub limits: Limits,
    /// Figures of the safety rules.
    pub safety: Safety,
    /// Penalties in the score of the operators' simulator.
    pub penalties: Penalties,
}

/// What the operator permits.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent permissions of the operator"
)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Two attempts at one request may be in flight at once (hedging).
    pub allow_hedging: bool,
    /// [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub cancel: bool,
    /// [`Action::Probe`](super::Action::Probe) is permitted.
    pub probes: bool,
    /// [`Action::SendToPeers`](super::Action::SendToPeers) is permitted.
    pub peers: bool,
    /// Rejections carry a retry delay. Read by no decision: they always do.
    pub retry_after: bool,
    /// The longest retry delay that clients honour.
    pub max_retry_after: Micros,
}

/// Figures of the safety rules.
#[derive(Clone, Debug)]
pub struct Safety {
    /// How long after a request's deadline a final answer still counts. Read by no decision.
    pub answer_slack: Micros,
    /// Without a subscription, discovery must be asked at least this often.
    pub discovery_interval: Micros,
    /// A restarted server starts with at least this part of its capacity.
    pub initial_capacity: f64,
    /// It has its full capacity no later than this after its start.
    pub warm_up: Micros,
    /// Sends to a draining server must stop within this. Read by no decision: they stop at once.
    pub drain_grace: Micros,
    /// A warming server fails when it is sent more than `overload_multiple` times its capacity for this
    /// long.
    pub overload_window: Micros,
    /// See `overload_window`.
    pub overload_multiple: f64,
}

/// Penalties on the result, as fractions of it.
#[derive(Clone, Debug)]
pub struct Penalties {
    /// For every request crossing zones once.
    pub cross_zone: f64,
    /// For as much wasted work as was requested. Read by no decision.
    pub waste: f64,
    /// For all value that ends unserved after its latency target. Read by no decision.
    pub late_fail: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            balancer_index: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_value: 1.0,
            zones: 1,
            zone: 0,
            discovery: Discovery::Pushed,
            sizes: SizeMeaning::Unknown,
            key_affinity: false,
            tick: 5_000,
            limits: Limits::default(),
            safety: Safety::default(),
            penalties: Penalties::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            allow_hedging: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after: 1_000_000,
        }
    }
}

impl Default for Safety {
    fn default() -> Self {
        Safety {
            answer_slack: 20_000,
            discovery_interval: 10_000_000,
            initial_capacity: 0.2,
            warm_up: 20_000_000,
            drain_grace: 500_000,
            overload_window: 1_000_000,
            overload_multiple: 3.0,
        }
    }
}

impl Default for Penalties {
    fn default() -> Self {
        Penalties {
            cross_zone: 0.0,
            waste: 0.0,
            late_fail: 0.0,
        }
    }
}
