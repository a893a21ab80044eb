//! The memory limit for the bodies that a process holds whole, shared by all connections.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

/// Bytes of each body that are taken from the budget of short bodies, so that long bodies do not keep
/// out short ones.
const SHORT_BODY_BYTES: usize = 64 * 1024;
/// Bodies may use the process's memory divided by this number, without what counts as short. A body
/// that is being sent is in memory twice, as the client copies it to its write buffer.
const LONG_BODIES_DIVISOR: usize = 3;
/// The first [`SHORT_BODY_BYTES`] of all bodies may use the process's memory divided by this number.
const SHORT_BODIES_DIVISOR: usize = 8;

/// Limits the memory of all bodies that are held whole. Clones share one limit.
#[derive(Clone, Debug)]
pub struct BodyBudget(Rc<Shares>);

#[derive(Debug)]
struct Shares {
    short: Share,
    long: Share,
}

#[derive(Debug)]
struct Share {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

/// The part of a [`BodyBudget`] that one body uses, released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

/// A complete body, which uses a part of a [`BodyBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    _reservation: BodyReservation,
}

impl BodyBudget {
    /// Creates the limit for a process with `memory_mb` MiB of memory.
    #[must_use]
    pub fn new(memory_mb: usize) -> Self {
        let memory = memory_mb << 20;
        BodyBudget(Rc::new(Shares {
            short: Share::new(memory / SHORT_BODIES_DIVISOR),
            long: Share::new(memory / LONG_BODIES_DIVISOR),
        }))
    }

    /// Begins a body of which nothing has been received.
    #[must_use]
    pub fn reservation(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes of all bodies that are held.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.short.used_bytes.get() + self.0.long.used_bytes.get()
    }
}

impl Share {
    fn new(max_bytes: usize) -> Self {
        Share {
            max_bytes,
            used_bytes: Cell::default(),
        }
    }

    fn has(&self, bytes: usize) -> bool {
        self.used_bytes.get() + bytes <= self.max_bytes
    }

    fn take(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() - bytes);
    }
}

impl BodyReservation {
    /// Reserves memory for `bytes` bytes of the body in all, no fewer than before. Returns false, and
    /// changes nothing, if the limit does not allow them.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let bytes = bytes.max(self.bytes);
        let (short, long) = short_and_long(bytes);
        let (held_short, held_long) = short_and_long(self.bytes);
        let (short, long) = (short - held_short, long - held_long);
        let shares = &self.budget.0;
        if !shares.short.has(short) || !shares.long.has(long) {
            return false;
        }
        shares.short.take(short);
        shares.long.take(long);
        self.bytes = bytes;
        true
    }

    /// The complete body, for whose bytes memory has been reserved.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> HeldBody {
        HeldBody {
            bytes,
            _reservation: self,
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let (short, long) = short_and_long(self.bytes);
        self.budget.0.short.release(short);
        self.budget.0.long.release(long);
    }
}

/// The bytes of a body that count as short, and the others.
fn short_and_long(bytes: usize) -> (usize, usize) {
    let short = bytes.min(SHORT_BODY_BYTES);
    (short, bytes - short)
}

#[cfg(test)]
mod tests;
