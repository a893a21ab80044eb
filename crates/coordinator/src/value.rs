//! The value that the register holds: the operator's state; and the changes that can be made to it,
//! as pure functions.

use std::collections::BTreeSet;

use ironmast_register::Decision;
use serde::{Deserialize, Serialize};

use history::{ChangeId, History, PriorOutcome};

mod history;

/// The operator's state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ControlValue {
    /// The configuration in force.
    pub configuration: Option<ConfigurationDocument>,
    /// Zones that get nothing.
    pub evacuated: BTreeSet<String>,
    /// The configurations taken before, and those refused that could still fit.
    history: History,
}

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationDocument {
    /// Its number.
    pub generation: u64,
    /// The body, byte for byte.
    pub body: Vec<u8>,
}

/// Why a change is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    /// It builds on another version.
    #[error("another version is in place")]
    VersionMismatch,
    /// Its number is not above the current one.
    #[error("the generation is not above the current one")]
    StaleGeneration,
}

impl Rejection {
    /// The status that tells the operator.
    pub(crate) fn status(self) -> u16 {
        match self {
            Rejection::VersionMismatch => 412,
            Rejection::StaleGeneration => 400,
        }
    }

    /// The refusal whose text this is.
    pub(crate) fn of(reason: &str) -> Self {
        if reason == Rejection::StaleGeneration.to_string() {
            Rejection::StaleGeneration
        } else {
            Rejection::VersionMismatch
        }
    }
}

impl ControlValue {
    /// The number of the configuration in force; 0 before the first.
    pub(crate) fn generation(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |document| document.generation)
    }

    /// Puts a configuration that builds on version `base` in force. One that was taken before, the
    /// same byte for byte and on the same base, is acknowledged again, whatever has come since. One
    /// that is refused never comes into force later. Where neither can be promised, there is no
    /// answer.
    pub(crate) fn configure(
        &self,
        document: &ConfigurationDocument,
        base: u64,
    ) -> Decision<ControlValue> {
        let change = ChangeId::new(document, base);
        match self.history.outcome_of(&change) {
            PriorOutcome::Applied => Decision::Unchanged,
            PriorOutcome::Rejected => reject(Rejection::VersionMismatch),
            PriorOutcome::Evicted => Decision::Unknown,
            PriorOutcome::NotApplied if base == self.generation() => {
                self.configure_next(document, &change)
            }
            PriorOutcome::NotApplied if base > self.generation() && change.is_consistent() => {
                self.reject_permanently(&change)
            }
            PriorOutcome::NotApplied => reject(Rejection::VersionMismatch),
        }
    }

    /// Takes an order that builds on the current version.
    fn configure_next(
        &self,
        document: &ConfigurationDocument,
        change: &ChangeId,
    ) -> Decision<ControlValue> {
        if document.generation <= self.generation() {
            return reject(Rejection::StaleGeneration);
        }
        let mut next = self.clone();
        next.configuration = Some(document.clone());
        next.history.record_applied(change);
        Decision::Write(next)
    }

    /// Refuses an order that builds on a version which may yet come, and remembers that it did.
    fn reject_permanently(&self, change: &ChangeId) -> Decision<ControlValue> {
        let mut next = self.clone();
        if next.history.record_rejected(change) {
            Decision::RejectAndWrite {
                value: next,
                reason: Rejection::VersionMismatch.to_string(),
            }
        } else {
            Decision::Unknown
        }
    }

    /// Empties a zone, or takes that back.
    pub(crate) fn evacuate(&self, zone: &str, out: bool) -> Decision<ControlValue> {
        if self.evacuated.contains(zone) == out {
            return Decision::Unchanged;
        }
        let mut next = self.clone();
        if out {
            next.evacuated.insert(zone.to_string());
        } else {
            next.evacuated.remove(zone);
        }
        Decision::Write(next)
    }
}

fn reject(rejection: Rejection) -> Decision<ControlValue> {
    Decision::Reject(rejection.to_string())
}

#[cfg(test)]
mod tests;
