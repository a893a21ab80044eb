//! What is remembered of the configurations that were sent, so that one sent again gets the answer
//! that it had.
//!
//! An order is known by its whole content and its base. It is taken only if its number is above the
//! current one and its base is the current one, so base < number for every order taken, and numbers
//! rise from one to the next.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ConfigurationDocument;

/// Orders taken that are remembered. An operator sends an order again until it is answered; at the
/// 7,400 changes a day that are aimed at, this many are over six hours of other operators' changes.
/// Each adds at most [`MAX_APPLIED_BYTES`] bytes to the value, which is written whole.
pub(super) const MAX_APPLIED: usize = 2_048;
/// Largest size of an order taken in the encoded value: a number below 2^28 and a digest.
#[cfg(test)]
pub(super) const MAX_APPLIED_BYTES: usize = 4 + size_of::<Digest>();
/// Orders refused that could still fit later. Each operator has at most eight orders under way at
/// once.
pub(super) const MAX_REJECTED: usize = 64;

/// Digest of an order's content and base. Only compared where the numbers are equal too, so that
/// two orders are mistaken for one another with a chance of 2^-64 for each pair of one number. Not
/// meant to resist operators that look for collisions.
type Digest = [u8; 8];

/// A configuration as an operator sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangeId {
    pub(super) generation: u64,
    pub(super) base: u64,
    digest: Digest,
}

impl ChangeId {
    /// The order to put a configuration in force on top of the version `base`.
    pub(super) fn new(document: &ConfigurationDocument, base: u64) -> Self {
        let digest = xxh3_64_with_seed(&document.body, base).to_le_bytes();
        ChangeId {
            generation: document.generation,
            base,
            digest,
        }
    }

    /// Whether it could be taken if its base were the current version.
    pub(super) fn is_consistent(&self) -> bool {
        self.generation > self.base
    }
}

/// An order taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Applied {
    generation: u64,
    digest: Digest,
}

/// An order refused though its base may yet become the current version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Rejected {
    base: u64,
    generation: u64,
    digest: Digest,
}

/// What became of an order that was sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PriorOutcome {
    /// It was taken.
    Applied,
    /// It was refused, and could be taken now or later.
    Rejected,
    /// It may have been taken, too long ago to tell.
    Evicted,
    /// It was not taken.
    NotApplied,
}

/// The orders remembered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct History {
    /// Orders taken, the latest last.
    applied: VecDeque<Applied>,
    /// Number of the latest order taken that isn't remembered any more; 0 if all are.
    evicted_up_to: u64,
    rejected: Vec<Rejected>,
}

impl History {
    /// What became of an order.
    pub(super) fn outcome_of(&self, change: &ChangeId) -> PriorOutcome {
        if !change.is_consistent() {
            return PriorOutcome::NotApplied;
        }
        if change.generation <= self.evicted_up_to {
            return PriorOutcome::Evicted;
        }
        let found = self
            .applied
            .binary_search_by_key(&change.generation, |applied| applied.generation);
        if found.is_ok_and(|index| self.applied[index].digest == change.digest) {
            return PriorOutcome::Applied;
        }
        let same = |rejected: &Rejected| {
            (rejected.base, rejected.generation, rejected.digest)
                == (change.base, change.generation, change.digest)
        };
        if self.rejected.iter().any(same) {
            PriorOutcome::Rejected
        } else {
            PriorOutcome::NotApplied
        }
    }

    /// Remembers an order as taken.
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
        // Versions only rise: what builds on an earlier one is refused for good.
        self.rejected
            .retain(|rejected| rejected.base >= change.generation);
    }

    /// Remembers an order as refused; false if there is no room.
    pub(super) fn record_rejected(&mut self, change: &ChangeId) -> bool {
        if self.rejected.len() >= MAX_REJECTED {
            return false;
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
        true
    }

    /// Number of orders taken that are remembered.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.applied.len()
    }

    /// Lets the memory hold that many orders taken, whatever its bound.
    #[cfg(test)]
    pub(super) fn fill_unbounded(&mut self, length: u64) {
        let change = |number: u64| Applied {
            generation: 2 * number,
            digest: number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes(),
        };
        self.applied = (1..=length).map(change).collect();
    }
}
