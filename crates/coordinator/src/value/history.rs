//! Outcomes of earlier configuration changes, so that a change that is submitted again gets the
//! same outcome.
//!
//! A change is identified by its complete content and its base. It is applied only if its base is
//! the current generation and its own generation is above that. So base < generation holds for
//! every applied change, and generations increase from one applied change to the next.
//!
//! The history is part of the register's value: postcard encodes its fields by position, so their
//! order must not change.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::document::ConfigurationDocument;

/// Maximum number of applied changes in the history. An operator resubmits a change until it is
/// acknowledged; at the target of 7,400 changes a day, the history covers more than six hours of
/// other operators' changes. Each adds at most `MAX_APPLIED_BYTES` bytes to the value, which is
/// always written as a whole.
pub(super) const MAX_APPLIED: usize = 2_048;
/// Maximum encoded size of an applied change, in bytes: a generation below 2^28 and a digest.
#[cfg(test)]
pub(super) const MAX_APPLIED_BYTES: usize = 4 + size_of::<Digest>();
/// Maximum number of rejected changes in the history, which are kept because their base may still
/// become the current generation. Each operator has at most eight changes in flight at once.
pub(super) const MAX_REJECTED: usize = 64;

/// Digest of a change's content and base. Only digests of changes of the same generation are
/// compared, so any two of them collide with a probability of 2^-64. The digest does not resist
/// operators who search for collisions.
type Digest = [u8; 8];

/// Identity of a configuration change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangeId {
    pub(super) generation: u64,
    pub(super) base: u64,
    digest: Digest,
}

impl ChangeId {
    /// The identity of the change that replaces the configuration of generation `base` by
    /// `document`.
    pub(super) fn new(document: &ConfigurationDocument, base: u64) -> Self {
        let digest = xxh3_64_with_seed(&document.body, base).to_le_bytes();
        ChangeId {
            generation: document.generation,
            base,
            digest,
        }
    }

    /// Whether the change could be applied if its base were the current generation.
    pub(super) fn is_consistent(&self) -> bool {
        self.generation > self.base
    }
}

/// An applied change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Applied {
    generation: u64,
    digest: Digest,
}

/// A change that was rejected although its base may still become the current generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Rejected {
    base: u64,
    generation: u64,
    digest: Digest,
}

impl Rejected {
    fn matches(&self, change: &ChangeId) -> bool {
        (self.base, self.generation, self.digest) == (change.base, change.generation, change.digest)
    }
}

/// Outcome of an earlier submission of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PriorOutcome {
    /// The change was applied.
    Applied,
    /// The change was rejected, and its base is or may still become the current generation.
    Rejected,
    /// The change is so old that, if it was applied, its record was evicted.
    Evicted,
    /// The change was not applied.
    NotApplied,
}

/// Error: the history has no room for another rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{MAX_REJECTED} rejected changes are remembered already")]
pub(super) struct RejectionsFull;

/// The recorded outcomes of configuration changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct History {
    /// Applied changes, in ascending order of generation.
    applied: VecDeque<Applied>,
    /// Generation of the newest applied change that was evicted; 0 if none was.
    evicted_up_to: u64,
    rejected: Vec<Rejected>,
}

impl History {
    /// The outcome of an earlier submission of a change.
    pub(super) fn outcome_of(&self, change: &ChangeId) -> PriorOutcome {
        if !change.is_consistent() {
            return PriorOutcome::NotApplied;
        }
        if change.generation <= self.evicted_up_to {
            return PriorOutcome::Evicted;
        }
        if self.was_applied(change) {
            return PriorOutcome::Applied;
        }
        if self
            .rejected
            .iter()
            .any(|rejected| rejected.matches(change))
        {
            PriorOutcome::Rejected
        } else {
            PriorOutcome::NotApplied
        }
    }

    fn was_applied(&self, change: &ChangeId) -> bool {
        let position = self
            .applied
            .binary_search_by_key(&change.generation, |applied| applied.generation);
        position.is_ok_and(|index| self.applied[index].digest == change.digest)
    }

    /// Records a change as applied, and evicts the oldest record if there are more than
    /// [`MAX_APPLIED`].
    pub(super) fn record_applied(&mut self, change: &ChangeId) {
        self.applied.push_back(Applied {
            generation: change.generation,
            digest: change.digest,
        });
        if self.applied.len() > MAX_APPLIED {
            self.evicted_up_to = self
                .applied
                .pop_front()
                .map_or(self.evicted_up_to, |applied| applied.generation);
        }
        // Generations only increase, so a change with an earlier base is rejected without a record.
        self.rejected
            .retain(|rejected| rejected.base >= change.generation);
    }

    /// Records a change as rejected.
    ///
    /// # Errors
    /// Fails if the history already holds [`MAX_REJECTED`] rejected changes.
    pub(super) fn record_rejected(&mut self, change: &ChangeId) -> Result<(), RejectionsFull> {
        if self.rejected.len() >= MAX_REJECTED {
            return Err(RejectionsFull);
        }
        let ChangeId {
            generation,
            base,
            digest,
        } = *change;
        self.rejected.push(Rejected {
            base,
            generation,
            digest,
        });
        Ok(())
    }

    /// Number of applied changes in the history.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.applied.len()
    }

    /// Replaces the applied changes by `length` generated ones, regardless of [`MAX_APPLIED`].
    #[cfg(test)]
    pub(super) fn fill_unbounded(&mut self, length: u64) {
        let change = |number: u64| Applied {
            generation: 2 * number,
            digest: number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes(),
        };
        self.applied = (1..=length).map(change).collect();
    }
}
