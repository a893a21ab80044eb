//! Settings of one gate's decisions.

use std::ops::RangeInclusive;

use ironmast_balancer::Micros;
use thiserror::Error;

/// A lower and an upper bound of a duration, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationBounds {
    /// The lower bound.
    pub min: Micros,
    /// The upper bound.
    pub max: Micros,
}

/// Settings of one gate's decisions. [`Settings::new`] has the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The gate's own region.
    pub region: Box<str>,
    /// The gate's own zone.
    pub zone: Box<str>,
    /// Prefix affinity: fraction by which a server's utilization may exceed the mean of the
    /// candidates before a key moves on to its next server.
    pub affinity_load_excess: f64,
    /// Prefix affinity: a key stays with its first server while the prefill wait there exceeds the
    /// shortest one by at most this multiple of the prefill time of the key's shared parts.
    pub affinity_wait_factor: f64,
    /// Prefix affinity: below this utilization a key never moves on, however idle other servers
    /// are.
    pub affinity_load_floor: f64,
    /// Utilization up to which requests are sent to a server.
    pub max_load: f64,
    /// Range of utilization below the limit (`max_load`, plus the permitted queue, less the
    /// priority steps) in which a growing part of the requests is rejected at random, so that no
    /// kind of request is excluded.
    pub rejection_ramp: f64,
    /// Beyond `max_load`, as many requests may wait in a server's queue as get a slot within this
    /// fraction of the latency objective.
    pub max_queue_time_share: f64,
    /// Maximum number of requests that wait in a server's queue, as a fraction of its slots.
    pub max_queue_share: f64,
    /// Amount by which that limit is lowered for each rank of priority.
    pub priority_step: f64,
    /// Another region is used for lack of capacity only up to this utilization of its servers.
    pub spillover_max_load: f64,
    /// Another region is used because of the prefill wait only if the wait in the own region
    /// exceeds this fraction of the latency objective.
    pub spillover_min_wait: f64,
    /// Longest delay before a first attempt, as a fraction of the latency objective.
    pub max_delay_share: f64,
    /// Bounds of the retry delay that rejected clients are given.
    pub retry_after: DurationBounds,
    /// First and longest ejection of a server. Each ejection is twice as long as the one before.
    pub ejection: DurationBounds,
    /// Time after the end of an ejection at which the server is sent a health check if no request
    /// has tried it.
    pub health_check_after: Micros,
    /// A server that owes a response and was silent for this long, or for twice the average time to
    /// the first byte if that is longer, is used only if no other is left.
    pub unresponsive_after: Micros,
    /// Age at which a load report no longer counts. Its weight falls linearly until then.
    pub load_report_max_age: Micros,
}

/// Why a decider was not built.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// A setting is out of range.
    #[error("the setting `{name}` is out of range")]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
    },
}

impl Settings {
    /// The default settings of a gate in that region and zone.
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
