//! The unit of time.

/// Microseconds of a monotonic clock.
pub type Micros = u64;
