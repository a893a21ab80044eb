//! Outlier detection, similar to Envoy's: a server is ejected for a limited time for failures or
//! slowness that the other servers of its group do not show.

use ironmast_balancer::Micros;

use crate::guards::Guard;
use crate::outcome::Outcome;
use crate::settings::DurationBounds;
use failures::FailureStatistics;
use slowness::SlownessStatistics;

pub use cause::EjectionCause;
pub(crate) use group_health::GroupHealth;
pub(crate) use slowness::FirstByte;

mod cause;
mod failures;
mod group_health;
mod slowness;

/// The period of an ejection, in microseconds of the decider's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ejection {
    pub(crate) since: Micros,
    pub(crate) until: Micros,
}

/// Outlier-detection state of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: FailureStatistics,
    slowness: SlownessStatistics,
    ejection: Option<Ejection>,
    /// Duration of the latest ejection in microseconds; 0 once the server has recovered.
    ejection_time: Micros,
    /// Whether a trial request or a health check is in flight.
    pub(crate) has_trial: bool,
}

impl OutlierDetector {
    pub(crate) fn short_term_failures(&self) -> f32 {
        self.failures.short_term_rate()
    }

    pub(crate) fn long_term_failures(&self) -> f32 {
        self.failures.long_term_rate()
    }

    /// Average time to the first byte as a multiple of the routes' averages; `None` before there
    /// are enough samples.
    pub(crate) fn slowness(&self) -> Option<f32> {
        self.slowness.average()
    }

    /// True if a first byte that took `ratio` times the route's average has to be compared with the
    /// group's slowness.
    pub(crate) fn may_be_slow(&self, ratio: f64) -> bool {
        self.ejection.is_some() || self.slowness.is_suspicious(ratio)
    }

    /// The current ejection. After its time is over, it stays in place until a trial succeeds.
    pub(crate) fn ejection(&self) -> Option<Ejection> {
        self.ejection
    }

    /// True if the ejection's time is over and no trial is in flight.
    pub(crate) fn is_trial_due(&self, now: Micros) -> bool {
        let is_over = |ejection: Ejection| ejection.until <= now;
        !self.has_trial && self.ejection.is_some_and(is_over)
    }

    /// Records the outcome of an attempt that was sent at `sent_at`. Returns the cause if this
    /// ejects the server.
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
            Outcome::ServerError | Outcome::Timeout => self.failures.record_error(),
            Outcome::ConnectFailed => self.failures.record_connect_failure(),
            Outcome::Reset | Outcome::MalformedResponse | Outcome::Truncated { .. } => {
                self.failures.record_broken_response();
            }
            // Rejections for lack of capacity show load, not a fault of the server. The other
            // outcomes are caused by the gate or the client.
            Outcome::NotExecuted { .. } if !Guard::OverloadIsNoFailure.on() => {
                self.failures.record_error();
            }
            Outcome::NotExecuted { .. }
            | Outcome::WrongInstance
            | Outcome::WrongVersion
            | Outcome::NotSent
            | Outcome::Cancelled => return None,
        }
        let cause = self.failures.ejection_cause(group)?;
        // An attempt that was sent before the end of the ejection does not prolong it.
        let is_relevant = |ejection: Ejection| sent_at >= ejection.until || ejection.until <= now;
        if self.ejection.is_none_or(is_relevant) {
            self.eject(now, ejection_time);
            Some(cause)
        } else {
            None
        }
    }

    /// Records the time to a first byte. Returns the cause if this ejects the server.
    pub(crate) fn first_byte_received(
        &mut self,
        now: Micros,
        first_byte: FirstByte,
        group: GroupHealth,
        ejection_time: DurationBounds,
    ) -> Option<EjectionCause> {
        self.slowness.record(first_byte);
        if group.slowness <= 0.0 {
            return None;
        }
        let ejects = if self.ejection.is_some() {
            // A slow trial prolongs the ejection from now on, so that no response to a request sent
            // earlier, the trial included, ends it.
            first_byte.is_slow(group)
        } else {
            self.slowness.ejects(first_byte, group)
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

    /// Ejects a server that has responses outstanding, sent nothing for a long time and failed its
    /// health check. Returns the cause if this ejects the server.
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
        self.failures.record_success();
        // A response to a request that was sent before the ejection does not show that the fault is
        // over.
        if self
            .ejection
            .is_some_and(|ejection| sent_at >= ejection.since)
        {
            self.restore();
        }
        if self.ejection.is_none() && self.failures.has_recovered() {
            self.ejection_time = 0;
        }
    }

    fn eject(&mut self, now: Micros, bounds: DurationBounds) {
        self.ejection_time = (self.ejection_time * 2).clamp(bounds.min, bounds.max);
        self.ejection = Some(Ejection {
            since: now,
            until: now + self.ejection_time,
        });
    }

    /// Returns the server to service on probation.
    fn restore(&mut self) {
        self.ejection = None;
        self.failures.start_probation();
        self.slowness.start_probation();
    }
}

#[cfg(test)]
mod tests;
