//! The memory limit for streamed bodies, shared by all connections of a process.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Memory reserved for one streamed body, in bytes: the sum of what actix-http, awc and this crate
/// buffer of it.
const BODY_WINDOW_BYTES: usize = 256 * 1024;
/// Streamed bodies may use the process's memory divided by this number.
const MEMORY_DIVISOR: usize = 3;

/// Limits the memory of all streamed bodies together. Buffered bodies are not counted, as the number of connections bounds them. Clones share one
/// limit.
#[derive(Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    reserved_bytes: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl BodyMemory {
    /// Creates the limit for a process with `memory_mb` MiB of memory. At least one body fits.
    #[must_use]
    pub fn new(memory_mb: usize) -> Self {
        BodyMemory {
            max_bytes: ((memory_mb << 20) / MEMORY_DIVISOR).max(BODY_WINDOW_BYTES),
            reserved_bytes: Rc::default(),
            released: Rc::default(),
        }
    }

    /// Reserves the memory of one streamed body; waits until it is available.
    pub async fn reserve(&self) -> BodyMemoryPermit {
        while self.reserved_bytes.get() + BODY_WINDOW_BYTES > self.max_bytes {
            self.released.notified().await;
        }
        self.reserved_bytes
            .set(self.reserved_bytes.get() + BODY_WINDOW_BYTES);
        // Memory for more than one body may be free: the next waiter checks, too.
        self.released.notify_one();
        BodyMemoryPermit(self.clone())
    }
}

/// The reserved memory of one streamed body, released on drop.
pub struct BodyMemoryPermit(BodyMemory);

impl Drop for BodyMemoryPermit {
    fn drop(&mut self) {
        let memory = &self.0;
        memory
            .reserved_bytes
            .set(memory.reserved_bytes.get() - BODY_WINDOW_BYTES);
        memory.released.notify_one();
    }
}

#[cfg(test)]
mod tests;
