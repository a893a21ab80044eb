//! The faults of one run and its clock, shared by all relays.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use crate::fault::{Action, DatagramAction, Fault, FaultError, Schedule};

/// The faults of one run and the moment at which the run began.
#[derive(Debug)]
pub struct Faults {
    start: RwLock<Instant>,
    schedule: RwLock<Schedule>,
}

impl Faults {
    /// A run that begins now.
    #[must_use]
    pub fn new(schedule: Schedule) -> Arc<Faults> {
        Arc::new(Faults {
            start: RwLock::new(Instant::now()),
            schedule: RwLock::new(schedule),
        })
    }

    /// Sets the start of the run, from which the times of the faults count. The load and the record
    /// of executions on the servers must use the same start.
    pub fn begin(&self, start: Instant) {
        *self.start.write().expect("not poisoned") = start;
    }

    /// The time since the run began, or since the set-up if it has not begun.
    pub fn elapsed(&self) -> Duration {
        self.start.read().expect("not poisoned").elapsed()
    }

    /// Adds a fault that begins now; its `at_s` is ignored.
    ///
    /// # Errors
    /// As for [`Schedule::push`].
    pub fn set(&self, mut fault: Fault) -> Result<(), FaultError> {
        fault.at_s = self.elapsed().as_secs_f64();
        self.schedule.write().expect("not poisoned").push(fault)
    }

    /// The faults that are active at `elapsed`, on any link.
    pub fn active_at(&self, elapsed: Duration) -> Vec<Fault> {
        let now_s = elapsed.as_secs_f64();
        let schedule = self.schedule.read().expect("not poisoned");
        schedule
            .faults()
            .iter()
            .filter(|fault| fault.is_active_at(now_s))
            .cloned()
            .collect()
    }

    /// What to do now with a datagram from `from` to `to`; `jitter` and `chance` are random numbers
    /// in [0, 1). See [`Schedule::datagram`].
    pub fn datagram(&self, from: &str, to: &str, jitter: f64, chance: f64) -> DatagramAction {
        let schedule = self.schedule.read().expect("not poisoned");
        schedule.datagram(from, to, self.elapsed(), jitter, chance)
    }

    /// What to do now with bytes from `from` to `to`; see [`Schedule::action`].
    pub(super) fn action(&self, from: &str, to: &str, jitter: f64) -> Action {
        let schedule = self.schedule.read().expect("not poisoned");
        schedule.action(from, to, self.elapsed(), jitter)
    }
}
