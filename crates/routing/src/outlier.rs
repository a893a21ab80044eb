//! Outlier detection (compare Envoy's): servers are ejected for a while for failures or slowness
//! that the other servers of their group do not show.

use ironmast_balancer::Micros;

use crate::guards::Guard;
use crate::outcome::Outcome;
use crate::settings::DurationBounds;

/// Weight of an error response or a time-out in the short-term failure rate.
const WEIGHT_ERROR: f32 = 0.25;
/// Weight of a connection that could not be established: stronger evidence of a fault than an
/// error.
const WEIGHT_UNREACHABLE: f32 = 0.3;
/// Weight of a lost connection or a malformed response: weaker evidence of a fault than an error.
const WEIGHT_BROKEN: f32 = 0.15;
/// Weight of a sample in the long-term failure rate, which finds servers that fail a part of their
/// requests.
const WEIGHT_LONG_TERM: f32 = 0.04;
/// Excess of the short-term failure rate over the group's that ejects.
const SHORT_TERM_EXCESS: f32 = 0.5;
/// Excess of the long-term failure rate over the group's that ejects.
const LONG_TERM_EXCESS: f32 = 0.15;
/// The long-term failure rate must also be this multiple of the group's: where most servers fail,
/// the cause is not a single one.
const LONG_TERM_RATIO: f32 = 2.0;
/// Both rates must exceed the bound by this many standard deviations: where all servers fail at
/// times, some look worse by chance.
const DEVIATIONS: f32 = 2.5;
/// Number of attempts before the long-term failure rate ejects.
const LONG_TERM_SAMPLES: u32 = 15;
/// Number of consecutive failures that eject.
const CONSECUTIVE_FAILURES: u16 = 4;
/// Consecutive failures eject only while the group's long-term failure rate is below this.
const MAX_GROUP_FAILURES: f32 = 0.1;
/// Number of consecutive failed connects that eject even if most of the group is ejected.
const CONSECUTIVE_CONNECT_FAILURES: u16 = 2;
/// Weight of a sample in the averages of slowness and lateness.
const WEIGHT_FIRST_BYTE: f32 = 0.1;
/// Multiple of the group's slowness that ejects.
const SLOWNESS_RATIO: f32 = 3.0;
/// Number of first bytes before slowness ejects.
const FIRST_BYTE_SAMPLES: u32 = 8;
/// A server that returns to service starts with this fraction of the long-term excess that ejects,
/// so that a single failure soon afterwards ejects it again.
const PROBATION_SHARE: f32 = 0.8;
/// Number of first bytes before slowness ejects a server that returned to service.
const PROBATION_SAMPLES: u32 = 3;
/// Slowness matters only if the first bytes take at least this fraction of the latency objective.
const MIN_LATENESS: f32 = 0.35;
/// Slowness ejects only while the server's utilization is at most this.
const MAX_UTILIZATION_FOR_SLOWNESS: f64 = 0.4;
/// One first byte counts as at most this many times the average, and as this multiple of the
/// latency objective.
const MAX_SLOWNESS: f32 = 20.0;
/// Slowness from which the group's slowness has to be computed for a judgement.
const SUSPICIOUS_SLOWNESS: f32 = 1.5;
/// Short-term failure rate below which the next ejection starts from the first duration again.
const RECOVERED_FAILURES: f32 = 0.05;

/// Health of the other servers in a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupHealth {
    /// Number of listed servers, the one that is judged included.
    pub(crate) count: usize,
    /// Number of other servers that are ejected.
    pub(crate) ejected: usize,
    /// Median of the others' short-term failure rates.
    pub(crate) short_term_failures: f32,
    /// Median of the others' long-term failure rates.
    pub(crate) long_term_failures: f32,
    /// Median of the others' slowness; 0 if unknown.
    pub(crate) slowness: f32,
}

impl GroupHealth {
    /// True if another ejection leaves at most half of the group ejected.
    fn allows_ejection(&self) -> bool {
        2 * (self.ejected + 1) <= self.count || !Guard::MaxEjectedShare.on()
    }
}

/// The time that a first byte took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    /// As a multiple of the route's average.
    pub(crate) ratio: f64,
    /// As a fraction of the latency objective.
    pub(crate) lateness: f64,
    /// The server's utilization at that time.
    pub(crate) utilization: f64,
}

/// An ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ejection {
    pub(crate) since: Micros,
    pub(crate) until: Micros,
}

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its attempts fail more often than those of its group.
    Failing,
    /// No connection is established.
    Unreachable,
    /// Its first bytes are late compared with its group's.
    Slow,
    /// It owes responses, nothing is received from it, and its health check failed.
    Unresponsive,
}

/// What is known of one server's health. Rates and averages are exponentially weighted.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    short_term_failures: f32,
    long_term_failures: f32,
    attempts: u32,
    consecutive_failures: u16,
    consecutive_connect_failures: u16,
    /// Average time to the first byte, as a multiple of the routes' averages.
    slowness: f32,
    /// Average time to the first byte, as a fraction of the latency objective.
    lateness: f32,
    first_bytes: u32,
    ejection: Option<Ejection>,
    /// Duration of the latest ejection; 0 once the server has recovered.
    ejection_time: Micros,
    /// A trial request or a health check is in flight.
    pub(crate) has_trial: bool,
}

impl OutlierDetector {
    pub(crate) fn short_term_failures(&self) -> f32 {
        self.short_term_failures
    }

    pub(crate) fn long_term_failures(&self) -> f32 {
        self.long_term_failures
    }

    /// Average time to the first byte as a multiple of the routes' averages; `None` before there
    /// are enough samples.
    pub(crate) fn slowness(&self) -> Option<f32> {
        (self.first_bytes >= FIRST_BYTE_SAMPLES).then_some(self.slowness)
    }

    /// True if the group's slowness matters to the judgement of a first byte.
    pub(crate) fn may_be_slow(&self, ratio: f64) -> bool {
        self.ejection.is_some()
            || self.slowness > SUSPICIOUS_SLOWNESS
            || ratio > f64::from(SLOWNESS_RATIO)
    }

    /// The current ejection. It lasts beyond its end, until a trial succeeds.
    pub(crate) fn ejection(&self) -> Option<Ejection> {
        self.ejection
    }

    /// True if the ejection's time is over and no trial is in flight.
    pub(crate) fn is_trial_due(&self, now: Micros) -> bool {
        let is_over = |ejection: Ejection| ejection.until <= now;
        !self.has_trial && self.ejection.is_some_and(is_over)
    }

    /// Judges the server by the end of an attempt that was sent at `sent_at`. Returns the cause if
    /// this ejects the server.
    pub(crate) fn attempt_finished(
        &mut self,
        now: Micros,
        outcome: &Outcome,
        sent_at: Micros,
        group: GroupHealth,
        ejection_time: DurationBounds,
    ) -> Option<EjectionCause> {
        match outcome {
            Outcome::Success | Outcome::ClientError => self.record_success(sent_at),
            Outcome::ServerError | Outcome::Timeout => self.record_failure(WEIGHT_ERROR),
            Outcome::ConnectFailed => self.record_connect_failure(),
            Outcome::Reset | Outcome::MalformedResponse | Outcome::Truncated { .. } => {
                self.record_failure(WEIGHT_BROKEN);
            }
            // Rejections for lack of capacity are load, not a fault. What else is left is the
            // gate's or the client's doing.
            Outcome::NotExecuted { .. } if !Guard::OverloadIsNoFailure.on() => {
                self.record_failure(WEIGHT_ERROR);
            }
            Outcome::NotExecuted { .. }
            | Outcome::WrongInstance
            | Outcome::WrongVersion
            | Outcome::NotSent
            | Outcome::Cancelled => return None,
        }
        let cause = self.cause(group)?;
        // An attempt from before the ejection does not prolong it while it lasts.
        let is_relevant = |ejection: Ejection| sent_at >= ejection.until || ejection.until <= now;
        if self.ejection.is_none_or(is_relevant) {
            self.eject(now, ejection_time);
            Some(cause)
        } else {
            None
        }
    }

    /// Judges the server by a first byte. Returns the cause if this ejects the server.
    pub(crate) fn first_byte_received(
        &mut self,
        now: Micros,
        first_byte: FirstByte,
        group: GroupHealth,
        ejection_time: DurationBounds,
    ) -> Option<EjectionCause> {
        let ratio = (first_byte.ratio as f32).min(MAX_SLOWNESS);
        let lateness = first_byte.lateness as f32;
        self.first_bytes = self.first_bytes.saturating_add(1);
        let weight = WEIGHT_FIRST_BYTE.max(1.0 / self.first_bytes as f32);
        self.slowness += weight * (ratio - self.slowness);
        self.lateness += weight * (lateness.min(MAX_SLOWNESS) - self.lateness);
        if group.slowness <= 0.0 {
            return None;
        }
        let max_slowness = SLOWNESS_RATIO * group.slowness;
        let ejects = if self.ejection.is_some() {
            // A slow trial prolongs the ejection, so that no response to a request sent before now
            // ends it.
            ratio > max_slowness && lateness > MIN_LATENESS
        } else {
            let is_slow = self.slowness > max_slowness
                && self.lateness > MIN_LATENESS
                && self.first_bytes >= FIRST_BYTE_SAMPLES;
            // A loaded server is slow because of its load, and ejecting it would overload others.
            let is_loaded = first_byte.utilization > MAX_UTILIZATION_FOR_SLOWNESS
                && Guard::LoadedIsNotSlow.on();
            is_slow && !is_loaded && group.allows_ejection()
        };
        if ejects {
            self.eject(now, ejection_time);
        }
        ejects.then_some(EjectionCause::Slow)
    }

    /// Records a health check that passed: an ejected server returns to service.
    pub(crate) fn health_check_passed(&mut self) {
        self.has_trial = false;
        if self.ejection.is_some() {
            self.restore();
        }
    }

    /// Records a health check that failed: the ejection of an ejected server is prolonged.
    pub(crate) fn health_check_failed(&mut self, now: Micros, ejection_time: DurationBounds) {
        self.has_trial = false;
        if self.ejection.is_some() {
            self.eject(now, ejection_time);
        }
    }

    /// Ejects a server that owes a response, from which nothing was received for long, and whose
    /// health check failed. Returns the cause if this ejects the server.
    pub(crate) fn eject_unresponsive(
        &mut self,
        now: Micros,
        group: GroupHealth,
        ejection_time: DurationBounds,
    ) -> Option<EjectionCause> {
        let ejects = self.ejection.is_none() && group.allows_ejection();
        if ejects {
            self.eject(now, ejection_time);
        }
        ejects.then_some(EjectionCause::Unresponsive)
    }

    fn record_success(&mut self, sent_at: Micros) {
        self.record_sample(0.0, WEIGHT_ERROR);
        self.consecutive_failures = 0;
        self.consecutive_connect_failures = 0;
        // A response to a request from before the ejection does not show that the fault is over.
        if self
            .ejection
            .is_some_and(|ejection| sent_at >= ejection.since)
        {
            self.restore();
        }
        if self.ejection.is_none() && self.short_term_failures < RECOVERED_FAILURES {
            self.ejection_time = 0;
        }
    }

    /// Records a failure after a connection was established.
    fn record_failure(&mut self, weight: f32) {
        self.record_sample(1.0, weight);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_connect_failures = 0;
    }

    fn record_connect_failure(&mut self) {
        self.record_sample(1.0, WEIGHT_UNREACHABLE);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_connect_failures = self.consecutive_connect_failures.saturating_add(1);
    }

    /// Records a sample of the failure rates: 1 for a failure, 0 for a success.
    fn record_sample(&mut self, failed: f32, weight: f32) {
        self.attempts = self.attempts.saturating_add(1);
        self.short_term_failures += weight * (failed - self.short_term_failures);
        let weight = WEIGHT_LONG_TERM.max(1.0 / self.attempts as f32);
        self.long_term_failures += weight * (failed - self.long_term_failures);
    }

    /// Why the server is an outlier at present, if it is one.
    fn cause(&self, group: GroupHealth) -> Option<EjectionCause> {
        if self.consecutive_connect_failures >= CONSECUTIVE_CONNECT_FAILURES {
            return Some(EjectionCause::Unreachable);
        }
        let is_outlier = self.fails_short_term(group)
            || self.fails_long_term(group)
            || self.fails_consecutively(group);
        let ejects = is_outlier && self.consecutive_failures > 0 && group.allows_ejection();
        ejects.then_some(EjectionCause::Failing)
    }

    fn fails_short_term(&self, group: GroupHealth) -> bool {
        let group_rate = group.short_term_failures.max(group.long_term_failures);
        let noise = noise(group.long_term_failures, WEIGHT_ERROR);
        self.short_term_failures >= SHORT_TERM_EXCESS + group_rate + noise
    }

    fn fails_long_term(&self, group: GroupHealth) -> bool {
        let group_rate = group.long_term_failures;
        let bound = LONG_TERM_EXCESS + group_rate + noise(group_rate, WEIGHT_LONG_TERM);
        let bound = bound.max(LONG_TERM_RATIO * group_rate);
        self.attempts >= LONG_TERM_SAMPLES && self.long_term_failures >= bound
    }

    fn fails_consecutively(&self, group: GroupHealth) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES
            && group.long_term_failures < MAX_GROUP_FAILURES
    }

    fn eject(&mut self, now: Micros, bounds: DurationBounds) {
        self.ejection_time = (self.ejection_time * 2).clamp(bounds.min, bounds.max);
        self.ejection = Some(Ejection {
            since: now,
            until: now + self.ejection_time,
        });
    }

    /// Returns the server to service on probation: its next failure counts for more than a first
    /// one.
    fn restore(&mut self) {
        self.ejection = None;
        self.short_term_failures = self.short_term_failures.min(SHORT_TERM_EXCESS / 2.0);
        let probation = LONG_TERM_EXCESS * PROBATION_SHARE;
        self.long_term_failures = self.long_term_failures.min(probation);
        self.consecutive_failures = 0;
        self.consecutive_connect_failures = 0;
        self.slowness = 1.0;
        self.lateness = 0.0;
        self.first_bytes = FIRST_BYTE_SAMPLES - PROBATION_SAMPLES;
    }
}

/// Deviation that a moving average with that sample weight shows by chance if failures occur at
/// that rate.
fn noise(rate: f32, weight: f32) -> f32 {
    DEVIATIONS * (rate * (1.0 - rate) * weight / (2.0 - weight)).sqrt()
}

#[cfg(test)]
mod tests;
