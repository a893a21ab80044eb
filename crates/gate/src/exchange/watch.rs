//! Monitors an attempt in progress, and interrupts it when the client disconnects, when the attempt
//! times out, or when the request fails over to another server.

use std::time::Instant;

use ironmast_routing::{Call, Dispatch, Micros, ProgressCheck};

use super::downstream::Downstream;
use crate::gate::Gate;

/// The shortest time between two progress checks of an attempt.
const MIN_CHECK_INTERVAL: Micros = 1_000;

/// Why an attempt is interrupted.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Interruption {
    /// The client has disconnected.
    Disconnected,
    /// The attempt has timed out.
    TimedOut,
    /// The request fails over from a silent server to another one.
    FailedOver(Box<Dispatch>),
}

/// The deadline and the next progress check of an attempt.
pub(super) struct AttemptWatch {
    /// When the attempt times out.
    pub deadline: Micros,
    /// When the decider checks the progress of the attempt next, if it does.
    pub check_at: Option<Micros>,
}

impl AttemptWatch {
    /// Runs one step of an attempt until it completes or is interrupted.
    ///
    /// # Errors
    /// The reason for the interruption; the step has been dropped.
    pub(super) async fn guard<T>(
        &mut self,
        gate: &Gate,
        call: &mut Call,
        downstream: &mut Downstream,
        step: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        tokio::pin!(step);
        loop {
            let wake_at: Instant = gate.clock.at(self.next_wake());
            tokio::select! {
                biased;
                done = &mut step => return Ok(done),
                () = downstream.disconnected() => return Err(Interruption::Disconnected),
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            self.check(gate, call)?;
        }
    }

    fn next_wake(&self) -> Micros {
        self.check_at
            .map_or(self.deadline, |at| at.min(self.deadline))
    }

    fn check(&mut self, gate: &Gate, call: &mut Call) -> Result<(), Interruption> {
        let now = gate.clock.now();
        if now >= self.deadline {
            return Err(Interruption::TimedOut);
        }
        if self.check_at.is_some_and(|at| at <= now) {
            let mut limits = gate.limits.borrow_mut();
            let mut decider = gate.decider.borrow_mut();
            self.check_at = match decider.check_progress(now, call, &mut *limits) {
                ProgressCheck::FailOver(dispatch) => {
                    return Err(Interruption::FailedOver(Box::new(dispatch)));
                }
                ProgressCheck::Wait { until } => Some(until.max(now + MIN_CHECK_INTERVAL)),
                ProgressCheck::Ignore => None,
            };
        }
        Ok(())
    }
}
