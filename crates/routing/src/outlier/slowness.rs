//! Time to the first byte of one server, compared with its group. Slowness is the time as a
//! multiple of the route's average; lateness is the time as a fraction of the latency objective.

use super::group_health::GroupHealth;
use crate::guards::Guard;

/// Minimum weight of a sample in the averages of slowness and lateness.
const WEIGHT_FIRST_BYTE: f32 = 0.1;
/// Multiple of the group's slowness above which a server is ejected.
const SLOWNESS_RATIO: f32 = 3.0;
/// Minimum number of first bytes before slowness ejects a server.
const FIRST_BYTE_SAMPLES: u32 = 8;
/// Minimum number of first bytes before slowness ejects a server that returned to service.
const PROBATION_SAMPLES: u32 = 3;
/// Lateness above which slowness matters.
const MIN_LATENESS: f32 = 0.35;
/// Maximum utilization at which slowness ejects a server.
const MAX_UTILIZATION_FOR_SLOWNESS: f64 = 0.4;
/// Upper bound of the slowness and of the lateness of a single first byte.
const MAX_SLOWNESS: f32 = 20.0;
/// Average slowness above which a server is compared with its group.
const SUSPICIOUS_SLOWNESS: f32 = 1.5;

/// The time that a first byte took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    /// Time as a multiple of the route's average.
    pub(crate) ratio: f64,
    /// Time as a fraction of the latency objective.
    pub(crate) lateness: f64,
    /// Utilization of the server when the first byte arrived.
    pub(crate) utilization: f64,
}

/// Exponentially weighted averages of the time to the first byte.
#[derive(Clone, Debug, Default)]
pub(super) struct SlownessStatistics {
    /// Average time as a multiple of the routes' averages.
    slowness: f32,
    /// Average time as a fraction of the latency objective.
    lateness: f32,
    samples: u32,
}

impl SlownessStatistics {
    /// Average time to the first byte as a multiple of the routes' averages; `None` before there
    /// are enough samples.
    pub(super) fn average(&self) -> Option<f32> {
        (self.samples >= FIRST_BYTE_SAMPLES).then_some(self.slowness)
    }

    /// True if a first byte that took `ratio` times the route's average may show slowness.
    pub(super) fn is_suspicious(&self, ratio: f64) -> bool {
        self.slowness > SUSPICIOUS_SLOWNESS || ratio > f64::from(SLOWNESS_RATIO)
    }

    /// Adds a first byte to the averages.
    pub(super) fn record(&mut self, first_byte: FirstByte) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT_FIRST_BYTE.max(1.0 / self.samples as f32);
        self.slowness += weight * (first_byte.bounded_ratio() - self.slowness);
        let lateness = first_byte.lateness as f32;
        self.lateness += weight * (lateness.min(MAX_SLOWNESS) - self.lateness);
    }

    /// Whether the averages eject the server. The group's slowness must be known.
    pub(super) fn ejects(&self, first_byte: FirstByte, group: GroupHealth) -> bool {
        let is_slow = self.slowness > SLOWNESS_RATIO * group.slowness
            && self.lateness > MIN_LATENESS
            && self.samples >= FIRST_BYTE_SAMPLES;
        // A loaded server is slow because of its load, and ejecting it would overload the others.
        let is_loaded =
            first_byte.utilization > MAX_UTILIZATION_FOR_SLOWNESS && Guard::LoadedIsNotSlow.on();
        is_slow && !is_loaded && group.allows_ejection()
    }

    /// Puts the server on probation: a few slow first bytes eject it again.
    pub(super) fn start_probation(&mut self) {
        self.slowness = 1.0;
        self.lateness = 0.0;
        self.samples = FIRST_BYTE_SAMPLES - PROBATION_SAMPLES;
    }
}

impl FirstByte {
    /// Whether this first byte alone is slow. The group's slowness must be known.
    pub(super) fn is_slow(self, group: GroupHealth) -> bool {
        self.bounded_ratio() > SLOWNESS_RATIO * group.slowness
            && self.lateness as f32 > MIN_LATENESS
    }

    /// The ratio, limited to `MAX_SLOWNESS`.
    fn bounded_ratio(self) -> f32 {
        (self.ratio as f32).min(MAX_SLOWNESS)
    }
}
