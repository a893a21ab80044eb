//! The decision module of a gate: candidates, load balancing, retries, rejections and outlier
//! detection, without I/O.
//!
//! For every request the [`Decider`] picks a server of the route's service, as KEP-4444's
//! `PreferClose` does with the region as the unit of locality: the candidates are the eligible
//! servers of the gate's own region or, if it has none, those of every region that the route
//! allows. The gate passes it events: routing tables (immutable [`Table`]s, each of which replaces
//! the previous one as a whole), requests, the ends of attempts, and load reports. The decider
//! reads no clock, does no I/O and has no global state. All times are microseconds of one monotonic
//! clock.
//!
//! The modules by task:
//!
//! - Interface: `request` and `prompt` (requests), `outcome` (ends of attempts), `decision` (the
//!   gate's next step), `limits` (permits and retry budget), `load` and `peer_report`
//!   (reports of servers and of other gates), `settings`, and `table` (routes, services, servers).
//! - State of servers: `endpoints` and `endpoint`, with `occupancy`, `prefill`, `outlier` and
//!   `suspicion`; `reachability` of whole regions; `latency` and `prefill_rate` of services.
//! - Decisions: `decider` runs the search for a server. `candidates` filters the servers,
//!   `traffic_split` selects the service, `affinity` and `round_robin` pick the server, `admission`
//!   and `priority` limit its load, `retry` decides on another attempt, and `rejection` computes
//!   `Retry-After`.
//!
//! An eligible server is ready, not in an evacuated zone, not ejected by outlier detection, not
//! missing its heartbeats and not displaced by another instance (421); it has slots and KV cache
//! left, and a permit if it is warming up. If every server that is ready, in a zone that is not
//! evacuated and not displaced is ejected, is missing its heartbeats or was already tried, ejected
//! servers are used, then those whose heartbeats are missing. A lack of slots, KV cache or permits
//! does not cause this fallback. Among the candidates a prompt goes to the server that rendezvous
//! hashing with bounded loads assigns its shared prefix to, and every other request is balanced by
//! shuffled round robin.
//!
//! Conditions of the form `Guard::X.on()` mark protections that unit tests switch off; in other
//! builds each is always true. The clock unit, the random numbers and the hashes are those of
//! `ironmast-balancer`; the client proxy's decisions there are not used.
//!
//! ```
//! use std::sync::Arc;
//! use ironmast_routing::{
//!     Decider, Decision, Outcome, Request, RouteKind, RouteSpec, ServerSpec, ServerState,
//!     ServiceSpec, Settings, Table, TableSpec, Unlimited, WeightedBackend,
//! };
//!
//! let route = RouteSpec {
//!     name: "answers".into(),
//!     host: "desk.example".into(),
//!     prefix: "/answers/".into(),
//!     kind: RouteKind::Idempotent,
//!     backends: vec![WeightedBackend { service: "desk".into(), weight: 1 }],
//!     max_attempts: 2,
//!     timeout_ms: 10_000,
//!     target_latency_ms: 800,
//!     max_event_gap_ms: None,
//!     priority: 0,
//!     affinity: false,
//!     allowed_regions: Vec::new(),
//! };
//! let service = ServiceSpec {
//!     name: "desk".into(),
//!     health_check: "/healthz".into(),
//!     slots: 8,
//!     kv_cache_tokens: 0,
//!     max_connections: 100,
//!     warmup_per_s: 0.0,
//! };
//! let server = |instance: &str, address: &str| ServerSpec {
//!     instance: instance.into(),
//!     service: "desk".into(),
//!     address: address.parse().unwrap(),
//!     zone: "north-0".into(),
//!     region: "north".into(),
//!     capacity: 8,
//!     state: ServerState::Ready,
//!     evacuated: false,
//!     warming_up: false,
//!     heartbeats_missing_since: None,
//!     models: Vec::new(),
//!     sequence: 1,
//! };
//! let servers = vec![server("i-1", "10.0.0.1:80"), server("i-2", "10.0.0.2:80")];
//! let (routes, services) = (vec![route], vec![service]);
//! let table = Table::build(TableSpec { gates: 1, routes, services, servers })?;
//! let mut decider = Decider::new(Settings::new("north", "north-0"), 7)?;
//! decider.update_table(0, Arc::new(table));
//!
//! let router = decider.table().router();
//! let route = router.route("Desk.example:8080", "/answers/7").expect("a route").clone();
//! let (mut call, first) = decider.begin(1_000, Request::new(route), &mut Unlimited);
//! let Decision::Send(first) = first else { panic!("{first:?}") };
//! // The connection broke: an idempotent request goes to the other server.
//! let second = decider.attempt_finished(2_000, &mut call, Outcome::Reset, &mut Unlimited);
//! let Decision::Send(second) = second else { panic!("{second:?}") };
//! assert_ne!(first.expect_instance, second.expect_instance);
//! let last = decider.attempt_finished(3_000, &mut call, Outcome::Success, &mut Unlimited);
//! assert_eq!(last, Decision::Finished);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]

mod admission;
mod affinity;
mod candidates;
mod decider;
mod decision;
mod endpoint;
mod endpoints;
mod guards;
mod latency;
mod limits;
mod load;
mod occupancy;
mod outcome;
mod outlier;
mod peer_report;
mod prefill;
mod prefill_rate;
mod priority;
mod prompt;
mod reachability;
mod rejection;
mod request;
mod retry;
mod round_robin;
mod settings;
mod suspicion;
mod table;
#[cfg(test)]
mod test_support;
mod traffic_split;

pub use decider::Decider;
pub use decision::{
    Decision, Dispatch, EjectionChange, HealthCheck, HealthCheckOutcome, ProgressCheck, Rejection,
    RejectionStatus, ServerHandle,
};
pub use ironmast_balancer::Micros;
pub use limits::{Permits, RetryAfter, RetryBudget, Unlimited};
pub use load::{KvCacheUsage, LoadReport};
pub use outcome::Outcome;
pub use outlier::EjectionCause;
pub use peer_report::{PeerReport, PendingPrefill};
pub use prompt::PromptPart;
pub use request::{Call, Request};
pub use settings::{DurationBounds, Settings, SettingsError};
pub use table::{
    Route, RouteKind, RouteSpec, Router, ServerSpec, ServerState, ServiceSpec, Table, TableError,
    TableSpec, WeightedBackend,
};
