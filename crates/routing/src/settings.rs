//! Settings of the decisions of one gate.

use std::ops::RangeInclusive;

use ironmast_balancer::Micros;
use thiserror::Error;

/// A lower and an upper bound of a duration, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationBounds {
    /// Lower bound, greater than 0.
    pub min: Micros,
    /// Upper bound, at least `min`.
    pub max: Micros,
}

/// Settings of the decisions of one gate. [`Settings::new`] has the defaults, and
/// [`Settings::validate`] checks the ranges. Utilization is the used fraction of a server's slots
/// or of its KV cache, whichever is higher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Region of the gate.
    pub region: Box<str>,
    /// Zone of the gate.
    pub zone: Box<str>,
    /// Prefix affinity: fraction by which a server's utilization may exceed the mean of the
    /// candidates before a key moves on to its next server. Range: 0.01 to 10.
    pub affinity_load_excess: f64,
    /// Prefix affinity: a key stays with its first server while the prefill wait there exceeds the
    /// shortest one by at most this multiple of the prefill time of the key's shared parts. Range:
    /// 0 to 1,000,000.
    pub affinity_wait_factor: f64,
    /// Prefix affinity: utilization up to which a server keeps its keys, however idle other servers
    /// are. Range: 0 to 1.
    pub affinity_load_floor: f64,
    /// Utilization up to which requests are sent to a server, apart from the permitted queue.
    /// Range: 0.5 to 4.
    pub max_load: f64,
    /// Width of the range of utilization below the admission limit (`max_load`, plus the permitted
    /// queue, less the priority steps) in which a growing part of the requests is rejected at
    /// random, so that no kind of request is excluded. Range: 0 to 1.
    pub rejection_ramp: f64,
    /// Fraction of the latency objective that limits the queue: beyond `max_load`, as many requests
    /// may wait in a server's queue as get a slot within it. Range: 0 to 1.
    pub max_queue_time_share: f64,
    /// Maximum number of requests that wait in a server's queue, as a fraction of its slots. Range:
    /// 0 to 4.
    pub max_queue_share: f64,
    /// Utilization by which the admission limit is lowered for each rank of priority. Range: 0 to
    /// 0.5.
    pub priority_step: f64,
    /// Utilization up to which servers of another region are used for lack of capacity or because
    /// of the prefill wait in the own region. Range: 0 to 1.
    pub spillover_max_load: f64,
    /// Fraction of the latency objective that the prefill wait in the own region must exceed for
    /// another region to be used because of it. Range: 0 to 10.
    pub spillover_min_wait: f64,
    /// Longest delay of a request that waits for a permit, from its start, as a fraction of the
    /// latency objective. Range: 0 to 0.25.
    pub max_delay_share: f64,
    /// Bounds of the retry delay that rejected clients are given, before jitter.
    pub retry_after: DurationBounds,
    /// Shortest and longest ejection of a server. Each ejection is twice as long as the previous
    /// one, up to the longest.
    pub ejection: DurationBounds,
    /// Time after the end of an ejection at which the server is sent a health check if no request
    /// has tried it, in microseconds.
    pub health_check_after: Micros,
    /// Time after which a server that owes a response and from which nothing was received is used
    /// only if no other is left, in microseconds. Twice the average time to the first byte applies
    /// instead if that is longer. Range: 1 to 10^12.
    pub unresponsive_after: Micros,
    /// Age at which a load report no longer counts, in microseconds. Its weight falls linearly
    /// until then. Range: 1 to 10^12.
    pub load_report_max_age: Micros,
}

/// The error of [`Settings::validate`] and of [`Decider::new`](crate::Decider::new).
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// A setting is out of range.
    #[error("the setting `{name}` is out of range")]
    OutOfRange {
        /// Name of the field of [`Settings`].
        name: &'static str,
    },
}

impl Settings {
    /// The default settings of a gate in a region and zone.
    #[must_use]
    pub fn new(region: &str, zone: &str) -> Self {
        Settings {
            region: region.into(),
            zone: zone.into(),
            affinity_load_excess: 0.5,
            affinity_wait_factor: 8.0,
            affinity_load_floor: 0.4,
            max_load: 1.0,
            rejection_ramp: 0.15,
            max_queue_time_share: 0.25,
            max_queue_share: 0.5,
            priority_step: 0.01,
            spillover_max_load: 0.8,
            spillover_min_wait: 0.3,
            max_delay_share: 0.2,
            retry_after: DurationBounds {
                min: 50_000,
                max: 2_000_000,
            },
            ejection: DurationBounds {
                min: 1_000_000,
                max: 8_000_000,
            },
            health_check_after: 200_000,
            unresponsive_after: 600_000,
            load_report_max_age: 4_000_000,
        }
    }

    /// Checks the range of every setting.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let unresponsive_after = self.unresponsive_after as f64;
        let load_report_max_age = self.load_report_max_age as f64;
        let fractions = [
            (
                "affinity_load_excess",
                self.affinity_load_excess,
                0.01..=10.0,
            ),
            ("affinity_wait_factor", self.affinity_wait_factor, 0.0..=1e6),
            ("affinity_load_floor", self.affinity_load_floor, 0.0..=1.0),
            ("max_load", self.max_load, 0.5..=4.0),
            ("max_queue_time_share", self.max_queue_time_share, 0.0..=1.0),
            ("max_queue_share", self.max_queue_share, 0.0..=4.0),
            ("rejection_ramp", self.rejection_ramp, 0.0..=1.0),
            ("priority_step", self.priority_step, 0.0..=0.5),
            ("spillover_max_load", self.spillover_max_load, 0.0..=1.0),
            ("spillover_min_wait", self.spillover_min_wait, 0.0..=10.0),
            ("max_delay_share", self.max_delay_share, 0.0..=0.25),
        ];
        let durations = [
            ("unresponsive_after", unresponsive_after, 1.0..=1e12),
            ("load_report_max_age", load_report_max_age, 1.0..=1e12),
        ];
        check_ranges(&fractions)?;
        check_order("retry_after", self.retry_after)?;
        check_order("ejection", self.ejection)?;
        check_ranges(&durations)
    }
}

/// Checks that each named value is in its range.
fn check_ranges(
    settings: &[(&'static str, f64, RangeInclusive<f64>)],
) -> Result<(), SettingsError> {
    let mut settings = settings.iter();
    match settings.find(|(_, value, range)| !range.contains(value)) {
        Some((name, ..)) => Err(SettingsError::OutOfRange { name }),
        None => Ok(()),
    }
}

fn check_order(name: &'static str, bounds: DurationBounds) -> Result<(), SettingsError> {
    if bounds.min > 0 && bounds.min <= bounds.max {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { name })
    }
}

#[cfg(test)]
mod tests;
