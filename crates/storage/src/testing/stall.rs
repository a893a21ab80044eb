//! Simulates a stalled disk: blocks operations until they are released.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// A gate that blocks every operation while it is closed.
#[derive(Debug, Default)]
pub(super) struct StallGate {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    waiting: usize,
}

impl StallGate {
    /// Opens or closes the gate.
    pub(super) fn set_closed(&self, closed: bool) {
        self.lock().closed = closed;
        self.changed.notify_all();
    }

    /// Waits until the gate is open.
    pub(super) fn pass(&self) {
        let mut state = self.lock();
        if !state.closed {
            return;
        }
        state.waiting += 1;
        self.changed.notify_all();
        while state.closed {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
    }

    /// Waits until an operation is blocked.
    pub(super) fn wait_for_operation(&self) {
        let mut state = self.lock();
        while state.waiting == 0 {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
