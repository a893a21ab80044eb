//! The settings of a balancer.

use super::ids::{Micros, ZoneId};

/// Whether and where a retry is safe for a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A retry is safe anywhere, any number of times.
    Idempotent,
    /// A retry is safe within a group of servers that drops duplicates for some time.
    Deduplicated {
        /// Servers that drop duplicates of the request.
        group: Group,
        /// Time after the first attempt that may have run, in microseconds, in which a retry is safe.
        window: Micros,
    },
    /// The request must never run twice: no retry is safe.
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

/// The settings of one class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Latency within which a response earns its full value, in microseconds.
    pub latency_target: Micros,
    /// Longest time that a client waits over all attempts, in microseconds.
    pub deadline: Micros,
    /// Whether and where a retry is safe.
    pub effect: Effect,
    /// Value of one response within the latency target; queued requests are sent in order of value.
    pub value: f64,
    /// Fraction of the value, 0 to 1, that a response past the latency target still earns.
    pub late_value_share: f64,
    /// Whether responses are streams whose start is reported. Read by no decision.
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

/// The quota of one tenant over all servers.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Requests per second, over all balancers, within its share.
    pub allowance_per_s: f64,
    /// Share of service, 0 to 1.
    pub share: f64,
}

/// The meaning of the size of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeMeaning {
    /// Sizes are not used: all servers have the same weight.
    Unknown,
    /// Exact or approximate capacity, used as weight.
    Capacity,
    /// Capacity mixed with momentary load; not used as weight.
    Live,
}

/// The way in which the balancer receives the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive without a subscription.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`](super::Action::Subscribe).
    Subscribed,
}

/// Longest time, in microseconds, from the return of discovery after a failure to the delivery of a
/// change. A constant of the platform, the same for every deployment.
pub const MAX_DISCOVERY_DELAY: Micros = 6_000_000;

/// The settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancers that send to the same servers, this one included.
    pub balancers: u32,
    /// Index of this balancer among them, from 0.
    pub balancer_index: u32,
    /// Classes of requests, at least one.
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Value of a request beyond its tenant's share, as a fraction of the class's value, 0 to 1. Read
    /// by no decision.
    pub over_share_value: f64,
    /// Number of configured zones.
    pub zones: usize,
    /// Index of this balancer's own zone, below `zones`.
    pub zone: ZoneId,
    /// Way in which the list of servers arrives.
    pub discovery: Discovery,
    /// Meaning of [`Server::size`](super::Server::size).
    pub sizes: SizeMeaning,
    /// Whether requests with the same key prefer the same server, which does less work for a key that
    /// it served recently (warm caches).
    pub key_affinity: bool,
    /// Shortest time between two deliveries of events, in microseconds. Requests are ended this long
    /// before their clients give up.
    pub tick: Micros,
    /// Permissions given by the operator.
    pub limits: Limits,
    /// Parameters of the safety rules.
    pub safety: Safety,
    /// Penalties in the score of the operators' simulator.
    pub penalties: Penalties,
}

/// Permissions given by the operator.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent permissions of the operator"
)]
pub struct Limits {
    /// Maximum number of attempts at one request, at least 1.
    pub max_attempts: u32,
    /// Whether two attempts at one request may be in flight at once (hedging).
    pub allow_hedging: bool,
    /// Whether [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub cancel: bool,
    /// Whether [`Action::Probe`](super::Action::Probe) is permitted.
    pub probes: bool,
    /// Whether [`Action::SendToPeers`](super::Action::SendToPeers) is permitted.
    pub peers: bool,
    /// Whether rejections carry a retry delay. Read by no decision: they always do.
    pub retry_after: bool,
    /// Longest retry delay that clients honour, in microseconds; longer delays are cut to it.
    pub max_retry_after: Micros,
}

/// Parameters of the safety rules; times are in microseconds.
#[derive(Clone, Debug)]
pub struct Safety {
    /// Time after a request's deadline in which a final answer still counts. Read by no decision.
    pub answer_slack: Micros,
    /// Longest interval between calls to discovery without a subscription.
    pub discovery_interval: Micros,
    /// Minimum capacity of a restarted server, as a fraction of its full capacity, above 0 and at
    /// most 1.
    pub initial_capacity: f64,
    /// Time after its start in which a server reaches its full capacity.
    pub warm_up: Micros,
    /// Time within which sends to a draining server must stop. Read by no decision: they stop at once.
    pub drain_grace: Micros,
    /// Time for which a warming server may be sent more than `overload_multiple` times its capacity
    /// before it fails.
    pub overload_window: Micros,
    /// Multiple of its capacity that makes a warming server fail; see `overload_window`.
    pub overload_multiple: f64,
}

/// Penalties in the score of the operators' simulator, as fractions of the score.
#[derive(Clone, Debug)]
pub struct Penalties {
    /// Penalty if every request crosses zones once. Sets how long requests wait in the own zone.
    pub cross_zone: f64,
    /// Penalty if as much work is wasted as was requested. Read by no decision.
    pub waste: f64,
    /// Penalty if all value ends unserved after its latency target. Read by no decision.
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
