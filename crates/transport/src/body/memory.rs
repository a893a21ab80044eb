//! The memory that streamed bodies may use, over all connections of a process.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Memory that is reserved for one streamed body, in bytes: what actix-http, awc and this crate
/// buffer of it together.
const BODY_WINDOW_BYTES: usize = 256 * 1024;
/// Streamed bodies may use one part in this many of a process's memory.
const MEMORY_DIVISOR: usize = 3;

/// Limits the memory of all streamed bodies together; it is the only counter of that memory.
/// Buffered bodies are not counted: the number of connections bounds them. Clones share one limit.
#[derive(Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    reserved_bytes: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl BodyMemory {
    /// The limit for a process with `memory_mb` MiB of memory; at least one body fits.
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
        // The next waiter checks whether its body fits, too.
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
