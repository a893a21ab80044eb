//! The decision module's interface: its settings, the events it is told and the actions it asks
//! for.
//!
//! Nothing here decides anything. All times are whole microseconds; clock readings count from any
//! origin.

use thiserror::Error;

/// A duration or a clock reading, in microseconds.
pub type Micros = u64;
/// A request's number; never reused within the life of one balancer.
pub type RequestId = u64;
/// Position of a class in [`Settings::classes`].
pub type ClassId = usize;
/// Position of a tenant in [`Settings::tenants`].
pub type TenantId = usize;
/// A zone's number; those below [`Settings::zones`] are the configured ones.
pub type ZoneId = usize;

/// A server's identity: the same number at every agent and across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// Derives the identity from the server's name (FNV-1a), so that agents agree on it unasked.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat anywhere, any number of times.
    Idempotent,
    /// Repeats are dropped by one group of servers for a while.
    Deduplicated {
        /// The group that drops repeats.
        group: Group,
        /// For how long after the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The servers that drop repeats of a guarded request.
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
    /// Answers within this earn their worth.
    pub latency_target: Micros,
    /// The longest a client waits, over all its tries.
    pub deadline: Micros,
    /// Whether it may run again.
    pub effect: Effect,
    /// What one answer in time is worth.
    pub value: f64,
    /// Part of the worth that an answer past the aim still earns.
    pub late_value_share: f64,
    /// Answers arrive as streams that announce their start.
    pub streaming: bool,
}

impl Default for ClassSettings {
    fn default() -> Self {
        let effect = Effect::Idempotent;
        ClassSettings {
            latency_target: 500_000,
            deadline: 2_000_000,
            effect,
            value: 1.0,
            late_value_share: 0.0,
            streaming: false,
        }
    }
}

/// What one tenant may ask of the whole fleet.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Requests a second, over all agents, within its share.
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
    /// Changes arrive after [`Action::Subscribe`] only.
    Subscribed,
}

/// What discovery has to tell counts as told so long after it could be reached, whatever failed
/// meanwhile: the platform's figure, the same for every deployment.
pub const MAX_DISCOVERY_DELAY: Micros = 6_000_000;

/// Everything a balancer is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of agents sending to the same servers, this one included.
    pub balancers: u32,
    /// This agent's number among them.
    pub balancer_index: u32,
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_value: f64,
    /// Number of configured zones.
    pub zones: usize,
    /// The zone this agent lives in.
    pub zone: ZoneId,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// What [`Server::size`] means.
    pub sizes: SizeMeaning,
    /// Servers that met a key lately do less work for it.
    pub key_affinity: bool,
    /// Shortest time between two deliveries of events.
    pub tick: Micros,
    /// What the operator permits.
    pub limits: Limits,
    /// Figures of the safety rules.
    pub safety: Safety,
    /// Points taken off the result.
    pub penalties: Penalties,
}

/// What the operator permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub allow_hedging: bool,
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// [`Action::Probe`] is permitted.
    pub probes: bool,
    /// [`Action::SendToPeers`] is permitted.
    pub peers: bool,
    /// Clients are told how long to stay away after a refusal.
    pub retry_after: bool,
    /// The longest stay-away that clients honour.
    pub max_retry_after: Micros,
}

/// Figures of the safety rules.
#[derive(Clone, Debug)]
pub struct Safety {
    /// How long after a request's end a final answer still counts.
    pub answer_slack: Micros,
    /// Without a subscription, discovery must be asked at least this often.
    pub discovery_interval: Micros,
    /// A restarted server begins with at least this part of its capacity.
    pub initial_capacity: f64,
    /// It is warm no later than this after its start.
    pub warm_up: Micros,
    /// Sends to a draining server must stop within this.
    pub drain_grace: Micros,
    /// A cold server falls over when sent more than `overload_multiple` times its capacity for this
    /// long.
    pub overload_window: Micros,
    /// See `fall`.
    pub overload_multiple: f64,
}

/// Points taken off the result, as parts of the whole.
#[derive(Clone, Debug)]
pub struct Penalties {
    /// For every request crossing zones once.
    pub cross_zone: f64,
    /// For as much wasted work as was asked for.
    pub waste: f64,
    /// For all worth ending unserved after its aim.
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
            limits: Limits {
                max_attempts: 3,
                allow_hedging: false,
                cancel: true,
                probes: false,
                peers: false,
                retry_after: false,
                max_retry_after: 1_000_000,
            },
            safety: Safety {
                answer_slack: 20_000,
                discovery_interval: 10_000_000,
                initial_capacity: 0.2,
                warm_up: 20_000_000,
                drain_grace: 500_000,
                overload_window: 1_000_000,
                overload_multiple: 3.0,
            },
            penalties: Penalties {
                cross_zone: 0.0,
                waste: 0.0,
                late_fail: 0.0,
            },
        }
    }
}

impl Settings {
    /// Checks that the settings make sense together.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |name, fits: bool| {
            if fits {
                Ok(())
            } else {
                Err(SettingsError::OutOfRange { name })
            }
        };
        let part = |name, v: f64| check(name, (0.0..=1.0).contains(&v));
        let positive = |name, v: f64| check(name, v.is_finite() && v > 0.0);
        // Durations are kept below 30 years, so that sums with clock readings cannot overflow.
        let duration = |name, v: Micros| check(name, v < 1_000_000_000_000_000);
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for class in &self.classes {
            positive("aim", class.latency_target as f64)?;
            duration("aim", class.latency_target)?;
            duration("deadline", class.deadline)?;
            if let Effect::Deduplicated { window, .. } = class.effect {
                duration("window", window)?;
            }
            positive("deadline", class.deadline as f64)?;
            positive("worth", class.value + f64::MIN_POSITIVE)?;
            part("late_share", class.late_value_share)?;
        }
        for tenant in &self.tenants {
            positive(
                "allowance_per_s",
                tenant.allowance_per_s + f64::MIN_POSITIVE,
            )?;
            part("share", tenant.share)?;
        }
        if self.zone >= self.zones {
            return Err(SettingsError::UnknownZone);
        }
        positive("balancers", f64::from(self.balancers))?;
        positive("most_tries", f64::from(self.limits.max_attempts))?;
        positive("tick", self.tick as f64)?;
        duration("tick", self.tick)?;
        duration("ask_within", self.safety.discovery_interval)?;
        duration("cold", self.safety.warm_up)?;
        duration("fall", self.safety.overload_window)?;
        positive("fall_multiple", self.safety.overload_multiple)?;
        positive("fall", self.safety.overload_window as f64)?;
        positive("cold_share", self.safety.initial_capacity)?;
        part("cold_share", self.safety.initial_capacity)?;
        part("over_share_worth", self.over_share_value)?;
        positive("cross_zone", self.penalties.cross_zone + f64::MIN_POSITIVE)
    }
}

/// Why a balancer could not be built.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("no class of requests is configured")]
    NoClasses,
    /// The agent's own zone is not among the configured ones.
    #[error("the own zone is not among the configured zones")]
    UnknownZone,
    /// A figure is outside of what makes sense.
    #[error("the setting `{name}` is out of range")]
    OutOfRange {
        /// The setting's name.
        name: &'static str,
    },
}

/// A request that a client hands to this agent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// What it is about: requests sharing a key belong together.
    pub key: Option<u64>,
    /// Estimated work, where a hint came along.
    pub work_hint: Option<Micros>,
    /// The client says that it is trying again.
    pub client_retry: bool,
    /// Clock reading at which the client gives this try up.
    pub expires: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; may have run.
    ServerError,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; may have run or run still.
    Timeout,
    /// No connection: never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// An answer came that can't be read or is not whole; may have run. The server is up.
    MalformedResponse,
    /// The server finds fault with the request itself (4xx); nobody else would take it.
    ClientError,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent: the request was over, out of time or out of attempts.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }

    /// True where the outcome tells of the server's load: it is an answer, or none came.
    #[must_use]
    pub fn indicates_load(self) -> bool {
        use Outcome::{ConnectFailed, Ok, Overloaded, ServerError, Timeout};
        matches!(
            self,
            Ok | ServerError | Overloaded | Timeout | ConnectFailed
        )
    }
}

/// A server's own account of its load; any value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Part of its processor in use.
    pub cpu: Option<f64>,
    /// Requests in hand.
    pub active: Option<f64>,
}

/// A server's place in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Ready,
    /// Finishes what it has; gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its identity.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: servers that share what they remember of repeats.
    pub cell: u64,
    /// Its place in its life.
    pub phase: Phase,
    /// Its size against the others, see [`Settings::sizes`].
    pub size: f64,
    /// Clock reading of its latest start, unless that is long ago.
    pub started: Option<Micros>,
}

/// How a listing relates to the list held so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Changes,
    /// The whole list: whoever is missing is gone.
    Complete,
    /// The whole list as last held before a start; possibly stale.
    Cached,
    /// A call failed or the subscription broke; the list stays as it is.
    Failed,
}

/// PeerLoad from discovery.
#[derive(Clone, Debug)]
pub struct Listing {
    /// How to read the entries.
    pub scope: Scope,
    /// The entries.
    pub servers: Vec<Server>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The server that had the attempt.
    pub server: ServerId,
    /// The attempt's number: 0, 1, 2 ... in the order of the sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub latency: Micros,
    /// The client has its final answer, by this outcome or earlier.
    pub finished: bool,
    /// The server's load report, when one came along.
    pub load: Option<LoadReport>,
}

/// What a balancer can be told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived; it is owed exactly one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The answer of a streamed request began: the attempt now belongs to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// The last byte of a request has come that arrived while its body was still on the way: its
    /// client's time counts from now, and no attempt at it has run before.
    RequestComplete {
        /// The request.
        id: RequestId,
        /// Clock reading at which the client gives up.
        expires: Micros,
    },
    /// The client left; nothing more is owed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer asked for by [`Action::Timer`] is due.
    Timer {
        /// The token given with it.
        token: u64,
    },
    /// PeerLoad from discovery.
    Members(Listing),
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Micros,
        /// The server's load report, when one came along.
        load: Option<LoadReport>,
    },
    /// A message from another agent.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// What it said.
        data: Vec<u8>,
    },
}

/// What a balancer can ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to a server; sends of one request are numbered 0, 1, 2 ... in order.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out of the attempt; `None` lasts until the client gives up.
        timeout: Option<Micros>,
        /// Clock reading from which on it must not begin any more: a repeat of a keyed class, once
        /// its window is over. An attempt that has not written its first byte by then ends as
        /// [`Outcome::NotSent`].
        start_deadline: Option<Micros>,
    },
    /// Final answer: turned away; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client had better stay away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise about effects.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stops waiting for one attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Asks for [`Event::Timer`] after `delay`.
    Timer {
        /// How long from now.
        delay: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribes to discovery, or ends the subscription.
    Subscribe(bool),
    /// Asks discovery once for the whole list.
    FetchAll,
    /// Probes a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Tells one agent, or all others, something short.
    SendToPeers {
        /// The receiver; `None` for all.
        to: Option<u32>,
        /// The message.
        data: Vec<u8>,
    },
    /// Closes this agent's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// A line for the operator.
    Log(String),
}
