//! A deterministic simulation of gates, owners and acceptors under faults, and the checks of
//! both bounds.
#![allow(dead_code, reason = "the tests and the study each use a part of it")]

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

/// Microseconds of simulated time.
pub(crate) type Micros = u64;

/// One millisecond.
pub(crate) const MS: Micros = 1_000;

/// A simulated moment as the crate represents it.
pub(crate) fn at(now: Micros) -> std::time::Duration {
    std::time::Duration::from_micros(now)
}

/// A duration or moment of the crate in microseconds, rounded up.
pub(crate) fn to_micros(duration: std::time::Duration) -> Micros {
    duration.as_nanos().div_ceil(1_000) as Micros
}
