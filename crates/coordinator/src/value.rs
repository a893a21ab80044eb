//! The replicated value of the register: the control state that operators set, and its changes as
//! pure functions.
//!
//! Values are stored on disk and sent between coordinators in postcard encoding, which identifies
//! fields and variants by position: their order must not change.

use std::collections::BTreeSet;

use ironmast_register::{Decision, RegisterValue};
use serde::{Deserialize, Serialize};

use history::{ChangeId, History, PriorOutcome};

pub(crate) use document::ConfigurationDocument;

mod document;
mod history;

/// The control state that operators set, with the history of its changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ControlValue {
    /// The current configuration; `None` before the first.
    pub configuration: Option<ConfigurationDocument>,
    /// Names of the evacuated zones, which receive no traffic.
    pub evacuated: BTreeSet<String>,
    /// Outcomes of earlier configuration changes, for changes that are submitted again.
    history: History,
}

/// Whether a zone receives traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneState {
    /// The zone receives traffic.
    InService,
    /// The zone receives no traffic.
    Evacuated,
}

/// Reason why a change is rejected. The texts are sent to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    /// The base of the change is not the current generation.
    #[error("another version is in place")]
    VersionMismatch,
    /// The generation of the new configuration is not above the current one.
    #[error("the generation is not above the current one")]
    StaleGeneration,
    /// The caller no longer waits, so this may be a late copy of an order that was sent again
    /// elsewhere. Nobody receives this text.
    #[error("the caller has closed the connection")]
    CallerGone,
}

impl RegisterValue for ControlValue {
    type Rejection = Rejection;
}

impl ControlValue {
    /// Generation of the current configuration; 0 before the first.
    pub(crate) fn generation(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |document| document.generation)
    }

    /// Replaces the configuration of generation `base`.
    ///
    /// A change that was applied before, with the same bytes and the same base, is acknowledged
    /// again, whatever was applied since. A rejected change is never applied later. If neither can
    /// be guaranteed, the decision is [`Decision::Unknown`].
    pub(crate) fn configure(
        &self,
        document: &ConfigurationDocument,
        base: u64,
    ) -> Decision<ControlValue> {
        let change = ChangeId::new(document, base);
        match self.history.outcome_of(&change) {
            PriorOutcome::Applied => Decision::Unchanged,
            PriorOutcome::Evicted => Decision::Unknown,
            PriorOutcome::NotApplied if base == self.generation() => {
                self.apply_configuration(document, &change)
            }
            PriorOutcome::NotApplied if base > self.generation() && change.is_consistent() => {
                self.reject_permanently(&change)
            }
            PriorOutcome::Rejected | PriorOutcome::NotApplied => {
                Decision::Reject(Rejection::VersionMismatch)
            }
        }
    }

    /// Applies a change whose base is the current generation.
    fn apply_configuration(
        &self,
        document: &ConfigurationDocument,
        change: &ChangeId,
    ) -> Decision<ControlValue> {
        if document.generation <= self.generation() {
            return Decision::Reject(Rejection::StaleGeneration);
        }
        let mut next = self.clone();
        next.configuration = Some(document.clone());
        next.history.record_applied(change);
        Decision::Write(next)
    }

    /// Rejects a change whose base may still become the current generation, and records the
    /// rejection, so that the change stays rejected when that happens.
    fn reject_permanently(&self, change: &ChangeId) -> Decision<ControlValue> {
        let mut next = self.clone();
        match next.history.record_rejected(change) {
            Ok(()) => Decision::RejectAndWrite {
                value: next,
                reason: Rejection::VersionMismatch,
            },
            Err(history::RejectionsFull) => Decision::Unknown,
        }
    }

    /// Evacuates a zone, or puts it back in service.
    pub(crate) fn set_zone_state(&self, zone: &str, state: ZoneState) -> Decision<ControlValue> {
        let is_evacuated = self.evacuated.contains(zone);
        if is_evacuated == (state == ZoneState::Evacuated) {
            return Decision::Unchanged;
        }
        let mut next = self.clone();
        match state {
            ZoneState::Evacuated => next.evacuated.insert(zone.to_string()),
            ZoneState::InService => next.evacuated.remove(zone),
        };
        Decision::Write(next)
    }
}

#[cfg(test)]
mod tests;
