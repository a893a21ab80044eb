//! The emulator: the complete fleet in simulated time, without I/O.
//!
//! A [`Scenario`] is read from text, a [`Simulation`] plays it under a policy and a seed, and a
//! [`Report`] says what the judge found. The same scenario, policy and seed give the same digest on
//! any machine, with any number of threads, in debug or release builds. See
//! `docs/design/emulator.md` for what is modelled and why.
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
