//! A deterministic simulation of gates, owners and witnesses under faults, and the judges of both
//! bounds.
#![allow(dead_code, reason = "the tests and the study each use a part")]

pub(crate) mod faults;
pub(crate) mod judge;
pub(crate) mod messages;
pub(crate) mod network;
pub(crate) mod node;
pub(crate) mod play;
pub(crate) mod requests;
pub(crate) mod views;
pub(crate) mod world;

/// Microseconds of simulated time.
pub(crate) type Micros = u64;

/// One millisecond.
pub(crate) const MS: Micros = 1_000;

/// A moment as the crate takes it.
pub(crate) fn at(now: Micros) -> std::time::Duration {
    std::time::Duration::from_micros(now)
}

/// A span or moment of the crate in microseconds, rounded up.
pub(crate) fn micros(span: std::time::Duration) -> Micros {
    span.as_nanos().div_ceil(1_000) as Micros
}
