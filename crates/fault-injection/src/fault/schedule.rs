//! The faults of a run, and what a relay must do at a moment of it.

use std::time::Duration;

use super::{Fault, FaultError, FaultKind, link_matches};

/// What a relay must do with a chunk or a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Forward the chunk.
    Pass,
    /// Forward nothing, without an error at either end.
    Blackhole,
    /// Forward the chunk after this delay.
    Delay(Duration),
    /// Reset the connection.
    Reset,
    /// Refuse a new connection; forward chunks on open ones.
    Refuse,
    /// Forward at most this many bytes per second.
    Rate(f64),
}

/// What a datagram relay must do with one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DatagramAction {
    /// Forward the datagram.
    Pass,
    /// Drop the datagram.
    Drop,
    /// Forward the datagram twice.
    Duplicate,
    /// Hold the datagram back until the next one has been forwarded.
    Reorder,
    /// Forward the datagram after this delay.
    Delay(Duration),
}

/// The faults of a run. Where several are active on one link, the one that began last applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// In ascending order of `at_s`.
    faults: Vec<Fault>,
}

impl Schedule {
    /// Checks the faults and sorts them by their start.
    ///
    /// # Errors
    /// The first fault that is invalid.
    pub fn new(mut faults: Vec<Fault>) -> Result<Schedule, FaultError> {
        for (index, fault) in faults.iter().enumerate() {
            fault.check(index)?;
        }
        faults.sort_by(|first, second| first.at_s.total_cmp(&second.at_s));
        Ok(Schedule { faults })
    }

    /// The faults in ascending order of their start.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Adds a fault.
    ///
    /// # Errors
    /// As for [`Schedule::new`]; the schedule is as before.
    pub fn push(&mut self, fault: Fault) -> Result<(), FaultError> {
        let mut faults = self.faults.clone();
        faults.push(fault);
        *self = Schedule::new(faults)?;
        Ok(())
    }

    /// The fault that applies at `elapsed` to bytes from `from` to `to`, if any.
    #[must_use]
    pub fn fault(&self, from: &str, to: &str, elapsed: Duration) -> Option<&Fault> {
        let now_s = elapsed.as_secs_f64();
        self.faults
            .iter()
            .rev()
            .find(|fault| fault.is_active_at(now_s) && link_matches(&fault.link, from, to))
    }

    /// As [`Schedule::fault`], but a cut of the opposite direction, which affects both, comes first.
    fn fault_either_way(&self, from: &str, to: &str, elapsed: Duration) -> Option<&Fault> {
        self.fault(to, from, elapsed)
            .filter(|fault| fault.kind == FaultKind::Cut)
            .or_else(|| self.fault(from, to, elapsed))
    }

    /// What to do at `elapsed` with a chunk from `from` to `to`; `jitter` is a random number in
    /// [0, 1) that scales the fault's jitter.
    ///
    /// A `cut` of either direction blocks both; a `cut-one-way` only its own.
    #[must_use]
    pub fn action(&self, from: &str, to: &str, elapsed: Duration, jitter: f64) -> Action {
        let Some(fault) = self.fault_either_way(from, to, elapsed) else {
            return Action::Pass;
        };
        match fault.kind {
            FaultKind::Cut | FaultKind::CutOneWay => Action::Blackhole,
            FaultKind::Delay => Action::Delay(delay(fault, jitter)),
            FaultKind::Reset => Action::Reset,
            FaultKind::Refuse => Action::Refuse,
            FaultKind::Rate => Action::Rate(fault.bytes_per_s),
            FaultKind::Pass | FaultKind::Drop | FaultKind::Duplicate | FaultKind::Reorder => {
                Action::Pass
            }
        }
    }

    /// What to do at `elapsed` with a datagram from `from` to `to`; `jitter` and `chance` are
    /// random numbers in [0, 1), one for the fault's jitter and one for its probability.
    ///
    /// A cut loses datagrams, as nothing retransmits them; a reset, a refusal and a rate do not
    /// affect them.
    #[must_use]
    pub fn datagram(
        &self,
        from: &str,
        to: &str,
        elapsed: Duration,
        jitter: f64,
        chance: f64,
    ) -> DatagramAction {
        let Some(fault) = self.fault_either_way(from, to, elapsed) else {
            return DatagramAction::Pass;
        };
        match fault.kind {
            FaultKind::Cut | FaultKind::CutOneWay => DatagramAction::Drop,
            FaultKind::Drop if chance < fault.share => DatagramAction::Drop,
            FaultKind::Duplicate if chance < fault.share => DatagramAction::Duplicate,
            FaultKind::Reorder if chance < fault.share => DatagramAction::Reorder,
            FaultKind::Delay => DatagramAction::Delay(delay(fault, jitter)),
            _ => DatagramAction::Pass,
        }
    }
}

fn delay(fault: &Fault, jitter: f64) -> Duration {
    Duration::from_secs_f64((fault.delay_ms + jitter * fault.jitter_ms) / 1e3)
}
