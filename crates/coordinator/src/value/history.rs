//! What is remembered of the configurations that were sent, so that one sent again gets the answer
//! that it had.
//!
//! An order is known by its whole content and its base. It is taken only if its number is above the
//! current one and its base is the current one, so base < number for every order taken, and numbers
//! rise from one to the next.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Document;

/// Orders taken that are remembered. An operator sends an order again until it is answered; at the
/// 7,400 changes a day that are aimed at, this many are over six hours of other operators' changes.
/// Each adds at most [`TAKEN_BYTES`] bytes to the value, which is written whole.
pub(super) const TAKEN_MOST: usize = 2_048;
/// Largest size of an order taken in the encoded value: a number below 2^28 and a digest.
#[cfg(test)]
pub(super) const TAKEN_BYTES: usize = 4 + size_of::<Digest>();
/// Orders refused that could still fit later. Each operator has at most eight orders under way at
/// once.
pub(super) const REFUSED_MOST: usize = 64;

/// Digest of an order's content and base. Only compared where the numbers are equal too, so that
/// two orders are mistaken for one another with a chance of 2^-64 for each pair of one number. Not
/// meant to resist operators that look for collisions.
type Digest = [u8; 8];

/// A configuration as an operator sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Order {
    pub(super) generation: u64,
    pub(super) base: u64,
    digest: Digest,
}

impl Order {
    /// The order to put a configuration in force on top of the version `base`.
    pub(super) fn new(document: &Document, base: u64) -> Self {
        let digest = xxh3_64_with_seed(&document.body, base).to_le_bytes();
        Order {
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
struct Taken {
    generation: u64,
    digest: Digest,
}

/// An order refused though its base may yet become the current version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Refused {
    base: u64,
    generation: u64,
    digest: Digest,
}

/// What became of an order that was sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Past {
    /// It was taken.
    Taken,
    /// It was refused, and could be taken now or later.
    Refused,
    /// It may have been taken, too long ago to tell.
    Forgotten,
    /// It was not taken.
    Unknown,
}

/// The orders remembered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct History {
    /// Orders taken, the latest last.
    taken: VecDeque<Taken>,
    /// Number of the latest order taken that isn't remembered any more; 0 if all are.
    forgotten: u64,
    refused: Vec<Refused>,
}

impl History {
    /// What became of an order.
    pub(super) fn past(&self, order: &Order) -> Past {
        if !order.is_consistent() {
            return Past::Unknown;
        }
        if order.generation <= self.forgotten {
            return Past::Forgotten;
        }
        let found = self
            .taken
            .binary_search_by_key(&order.generation, |taken| taken.generation);
        if found.is_ok_and(|index| self.taken[index].digest == order.digest) {
            return Past::Taken;
        }
        let same = |refused: &Refused| {
            (refused.base, refused.generation, refused.digest)
                == (order.base, order.generation, order.digest)
        };
        if self.refused.iter().any(same) {
            Past::Refused
        } else {
            Past::Unknown
        }
    }

    /// Remembers an order as taken.
    pub(super) fn take(&mut self, order: &Order) {
        self.taken.push_back(Taken {
            generation: order.generation,
            digest: order.digest,
        });
        if self.taken.len() > TAKEN_MOST {
            self.forgotten = self
                .taken
                .pop_front()
                .map_or(self.forgotten, |taken| taken.generation);
        }
        // Versions only rise: what builds on an earlier one is refused for good.
        self.refused
            .retain(|refused| refused.base >= order.generation);
    }

    /// Remembers an order as refused; false if there is no room.
    pub(super) fn refuse(&mut self, order: &Order) -> bool {
        if self.refused.len() >= REFUSED_MOST {
            return false;
        }
        let Order {
            generation,
            base,
            digest,
        } = *order;
        self.refused.push(Refused {
            base,
            generation,
            digest,
        });
        true
    }

    /// Number of orders taken that are remembered.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.taken.len()
    }

    /// Lets the memory hold that many orders taken, whatever its bound.
    #[cfg(test)]
    pub(super) fn pad(&mut self, length: u64) {
        let order = |number: u64| Taken {
            generation: 2 * number,
            digest: number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes(),
        };
        self.taken = (1..=length).map(order).collect();
    }
}
