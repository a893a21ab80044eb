//! Client-side load balancing of a sidecar proxy for service-to-service calls: which server a request
//! is sent to, and when it is retried, hedged, queued or rejected.
//!
//! [`Balancer`] is a sans-I/O state machine. It is built from [`Settings`] and a seed, receives one
//! [`Event`] at a time with the current clock reading, and appends the [`Action`]s to carry out. It
//! reads no clock, does no I/O and keeps no state outside itself.
//!
//! [`api`] is the interface. `balance` holds the state and makes the decisions; it asks
//! `class_ejection` which servers do not answer a class, and `failure_detector` which zones are
//! unreachable. `fleet` keeps the listed servers (`node`) with aggregates by zone, and `open_request`
//! the requests that are being served. `peer_load` exchanges request rates between balancers, `latency`
//! estimates quantiles, `locality` tells the own zone from the others, and `rng` generates
//! deterministic random numbers.
//!
//! Comments refer to four safety rules, which hold over all client proxies together:
//!
//! 1. Each accepted request gets exactly one final answer before its client gives up.
//! 2. A request that may have run is not repeated unless its class permits it.
//! 3. A server that is draining or removed is sent no new request 300 ms after the notification.
//! 4. No server that is warming up is overloaded.
//!
//! ```
//! use ironmast_balancer::{Action, Balancer, ClassSettings, Event, Listing, Phase, Scope, Server, ServerId, Settings};
//!
//! let settings = Settings {
//!     classes: vec![ClassSettings { latency_target: 200_000, deadline: 1_000_000, ..ClassSettings::default() }],
//!     zones: 2,
//!     zone: 0,
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 7).expect("valid settings");
//! let near = ServerId::from_name("10.0.0.1:80");
//! let far = ServerId::from_name("10.0.1.1:80");
//! let server = |id, zone| Server { id, zone, cell: 0, phase: Phase::Ready, size: 1.0, started: None };
//! let mut actions = Vec::new();
//! let listing = Listing { scope: Scope::Complete, servers: vec![server(near, 0), server(far, 1)] };
//! balancer.handle(1_000, Event::Members(listing), &mut actions);
//! let request = ironmast_balancer::Request {
//!     id: 1, class: 0, tenant: None, key: None, work_hint: None, client_retry: false, expires: 900_000,
//! };
//! balancer.handle(1_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, server, .. } if *server == near)));
//! ```
#![forbid(unsafe_code)]

pub mod api;
mod balance;
mod class_ejection;
mod failure_detector;
mod fleet;
mod latency;
mod locality;
mod node;
mod open_request;
mod peer_load;
mod rng;

pub use api::*;
pub use balance::Balancer;
pub use rng::{Rng, mix, unit};
