//! A discrete-event simulation of a complete fleet: clients, proxies, network, discovery and
//! servers, in simulated time and without I/O. Each proxy hosts a load-balancing policy, which is
//! the decision module of `ironmast-balancer` or a reference policy to compare it with.
//!
//! `scenario` parses a [`Scenario`] from text, and `fault_schedule` turns its faults into timed
//! steps. `simulation` runs it as a [`Simulation`] under a policy and a seed, on the models in
//! `server`, `network` and `discovery`, with the draws of `random` and the order of `event_queue`.
//! `policy` holds the policies, and `proxy_settings` the settings that they are built with. `judge`
//! checks the rules and collects the results, which `report` summarizes as a [`Report`].
//!
//! The same scenario, policy and seed give the same digest on any machine, with any number of
//! threads, in debug and release builds. `docs/design/emulator.md` describes what is modelled and
//! why.
//!
//! ```
//! use ironmast_emulator::{PolicyName, Scenario, Simulation};
//!
//! let text = r#"
//!     name = "two"
//!     length_s = 2.0
//!     zones = ["a"]
//!     clients = { rate = 50.0 }
//!     proxies = { count = 1 }
//!     [[class]]
//!     name = "read"
//!     effect = "free"
//!     work_ms = 5.0
//!     aim_ms = 200.0
//!     deadline_ms = 1000.0
//!     [[pool]]
//!     kind = "std"
//!     servers = 2
//!     cores = 2
//! "#;
//! let scenario = Scenario::parse(text).expect("a valid scenario");
//! let report = Simulation::new(&scenario, PolicyName::Module, 1).run();
//! assert!(report.violations.is_empty() && report.service > 0.9);
//! assert_eq!(report.digest, Simulation::new(&scenario, PolicyName::Module, 1).run().digest);
//! ```
#![forbid(unsafe_code)]

mod discovery;
mod event_queue;
mod fault_schedule;
mod judge;
mod network;
mod policy;
mod proxy_settings;
mod random;
mod report;
mod scenario;
mod server;
mod simulation;

pub use judge::{COLUMNS, Counts, Rule, Violation};
pub use policy::{GroundTruth, Policy, PolicyName, UnknownPolicy};
pub use proxy_settings::proxy_settings;
pub use random::{Purpose, Stream};
pub use report::{ClassReport, Latency, Load, Report, ServerReport, Traffic};
pub use scenario::*;
pub use server::{Estimate, ServerStatistics};
pub use simulation::{ORIGIN, PolicyBuilder, Simulation};
