//! A deterministic simulation of gates, owners and witnesses under faults, and the judges of both
//! bounds.
#![allow(dead_code, reason = "the tests and the study each use a part")]

pub mod faults;
pub mod judge;
pub mod messages;
pub mod network;
pub mod node;
pub mod play;
pub mod requests;
pub mod views;
pub mod world;

/// Microseconds of simulated time.
pub type Micros = u64;

/// One millisecond.
pub const MS: Micros = 1_000;

/// A moment as the crate takes it.
pub fn at(now: Micros) -> std::time::Duration {
    std::time::Duration::from_micros(now)
}

/// A span or moment of the crate in microseconds, rounded up.
pub fn micros(span: std::time::Duration) -> Micros {
    span.as_nanos().div_ceil(1_000) as Micros
}
