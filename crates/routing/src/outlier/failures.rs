//! How often the attempts at one server fail, compared with its group: two exponentially weighted
//! rates and two counts of consecutive failures.

use super::cause::EjectionCause;
use super::group_health::GroupHealth;

/// Weight of an error response or a time-out in the short-term failure rate.
const WEIGHT_ERROR: f32 = 0.25;
/// Weight of a connection that could not be established, which is stronger evidence of a fault than
/// an error response.
const WEIGHT_UNREACHABLE: f32 = 0.3;
/// Weight of a lost connection or a malformed response, which is weaker evidence of a fault than an
/// error response.
const WEIGHT_BROKEN: f32 = 0.15;
/// Weight of a sample in the long-term failure rate, which detects servers that fail only a part of
/// their requests.
const WEIGHT_LONG_TERM: f32 = 0.04;
/// Excess of the short-term failure rate over the group's at which a server is ejected.
const SHORT_TERM_EXCESS: f32 = 0.5;
/// Excess of the long-term failure rate over the group's at which a server is ejected.
const LONG_TERM_EXCESS: f32 = 0.15;
/// Multiple of the group's long-term failure rate that the server's must also reach: where most
/// servers fail, the cause is not a single server.
const LONG_TERM_RATIO: f32 = 2.0;
/// Number of standard deviations by which both rates must exceed their bounds: where all servers
/// fail at times, some look worse by chance.
const DEVIATIONS: f32 = 2.5;
/// Minimum number of attempts before the long-term failure rate ejects a server.
const LONG_TERM_SAMPLES: u32 = 15;
/// Number of consecutive failures at which a server is ejected.
const CONSECUTIVE_FAILURES: u16 = 4;
/// Consecutive failures eject only while the group's long-term failure rate is below this.
const MAX_GROUP_FAILURES: f32 = 0.1;
/// Number of consecutive failed connection attempts at which a server is ejected, even if most of
/// the group is ejected.
const CONSECUTIVE_CONNECT_FAILURES: u16 = 2;
/// Fraction of `LONG_TERM_EXCESS` to which the long-term failure rate of a server is lowered when it
/// returns to service, so that a single failure soon afterwards ejects it again.
const PROBATION_SHARE: f32 = 0.8;
/// Short-term failure rate below which the next ejection has the minimum duration again.
const RECOVERED_FAILURES: f32 = 0.05;

/// Failure statistics of the attempts at one server.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureStatistics {
    short_term_rate: f32,
    long_term_rate: f32,
    attempts: u32,
    consecutive: u16,
    consecutive_connects: u16,
}

impl FailureStatistics {
    pub(super) fn short_term_rate(&self) -> f32 {
        self.short_term_rate
    }

    pub(super) fn long_term_rate(&self) -> f32 {
        self.long_term_rate
    }

    /// True if the next ejection has the minimum duration again.
    pub(super) fn has_recovered(&self) -> bool {
        self.short_term_rate < RECOVERED_FAILURES
    }

    /// Records an attempt that succeeded.
    pub(super) fn record_success(&mut self) {
        self.record_sample(0.0, WEIGHT_ERROR);
        self.consecutive = 0;
        self.consecutive_connects = 0;
    }

    /// Records an error response or a time-out.
    pub(super) fn record_error(&mut self) {
        self.record_failure(WEIGHT_ERROR);
    }

    /// Records a lost connection or a malformed response.
    pub(super) fn record_broken_response(&mut self) {
        self.record_failure(WEIGHT_BROKEN);
    }

    /// Records a connection that could not be established.
    pub(super) fn record_connect_failure(&mut self) {
        self.record_sample(1.0, WEIGHT_UNREACHABLE);
        self.consecutive = self.consecutive.saturating_add(1);
        self.consecutive_connects = self.consecutive_connects.saturating_add(1);
    }

    /// Records a failure after a connection was established.
    fn record_failure(&mut self, weight: f32) {
        self.record_sample(1.0, weight);
        self.consecutive = self.consecutive.saturating_add(1);
        self.consecutive_connects = 0;
    }

    /// Adds a sample to the failure rates: 1 for a failure, 0 for a success.
    fn record_sample(&mut self, failed: f32, weight: f32) {
        self.attempts = self.attempts.saturating_add(1);
        self.short_term_rate += weight * (failed - self.short_term_rate);
        let weight = WEIGHT_LONG_TERM.max(1.0 / self.attempts as f32);
        self.long_term_rate += weight * (failed - self.long_term_rate);
    }

    /// Puts the server on probation: the failure rates are lowered only so far that fewer failures
    /// than at first eject it again.
    pub(super) fn start_probation(&mut self) {
        self.short_term_rate = self.short_term_rate.min(SHORT_TERM_EXCESS / 2.0);
        let probation = LONG_TERM_EXCESS * PROBATION_SHARE;
        self.long_term_rate = self.long_term_rate.min(probation);
        self.consecutive = 0;
        self.consecutive_connects = 0;
    }

    /// Why the server is an outlier at present, if it is one.
    pub(super) fn ejection_cause(&self, group: GroupHealth) -> Option<EjectionCause> {
        if self.consecutive_connects >= CONSECUTIVE_CONNECT_FAILURES {
            return Some(EjectionCause::Unreachable);
        }
        let is_outlier = self.fails_short_term(group)
            || self.fails_long_term(group)
            || self.fails_consecutively(group);
        let ejects = is_outlier && self.consecutive > 0 && group.allows_ejection();
        ejects.then_some(EjectionCause::Failing)
    }

    fn fails_short_term(&self, group: GroupHealth) -> bool {
        let group_rate = group.short_term_failures.max(group.long_term_failures);
        let noise = noise(group.long_term_failures, WEIGHT_ERROR);
        self.short_term_rate >= SHORT_TERM_EXCESS + group_rate + noise
    }

    fn fails_long_term(&self, group: GroupHealth) -> bool {
        let group_rate = group.long_term_failures;
        let bound = LONG_TERM_EXCESS + group_rate + noise(group_rate, WEIGHT_LONG_TERM);
        let bound = bound.max(LONG_TERM_RATIO * group_rate);
        self.attempts >= LONG_TERM_SAMPLES && self.long_term_rate >= bound
    }

    fn fails_consecutively(&self, group: GroupHealth) -> bool {
        self.consecutive >= CONSECUTIVE_FAILURES && group.long_term_failures < MAX_GROUP_FAILURES
    }
}

/// Deviation that an exponentially weighted average with the sample weight `weight` shows by chance
/// if failures occur at `rate`.
fn noise(rate: f32, weight: f32) -> f32 {
    DEVIATIONS * (rate * (1.0 - rate) * weight / (2.0 - weight)).sqrt()
}
