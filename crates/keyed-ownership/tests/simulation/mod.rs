//! A deterministic simulation of gates, owners and acceptors under faults, with checks of the
//! slow-start bound and the retry budget.
#![allow(
    dead_code,
    reason = "each test and the example use only a part of the module"
)]

pub(crate) mod acceptors;
pub(crate) mod checks;
pub(crate) mod confirmations;
pub(crate) mod coordinator;
pub(crate) mod fault;
pub(crate) mod faults;
pub(crate) mod gate;
pub(crate) mod messages;
pub(crate) mod network;
pub(crate) mod requests;
pub(crate) mod run;
pub(crate) mod scenario;
pub(crate) mod trace;
pub(crate) mod views;
pub(crate) mod world;

/// A duration or a time of the simulation, in microseconds.
pub(crate) type Micros = u64;

/// One millisecond.
pub(crate) const MS: Micros = 1_000;

/// Converts a simulated time to the type that the crate uses.
pub(crate) fn at(now: Micros) -> std::time::Duration {
    std::time::Duration::from_micros(now)
}

/// Converts a duration or a time of the crate to microseconds, rounded up.
pub(crate) fn to_micros(duration: std::time::Duration) -> Micros {
    duration.as_nanos().div_ceil(1_000) as Micros
}
