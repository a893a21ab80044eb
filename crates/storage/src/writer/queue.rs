//! The queue of submitted records that haven't been written yet.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::disk::DiskError;

use super::health::{Activity, Health};

/// A record that can make earlier ones obsolete, so that only the newer one is written.
pub trait Supersedes {
    /// Whether `earlier` need not be written if `self` is.
    fn supersedes(&self, earlier: &Self) -> bool;
}

/// Records that are written and synced together, with the tokens of these and of the records that
/// they superseded.
pub(super) struct Batch<R, T> {
    pub(super) records: Vec<R>,
    pub(super) tokens: Vec<T>,
}

/// The queue between the callers and the writer's thread.
///
/// A superseded record is dropped at once, so that while the disk stalls, records that supersede
/// each other take the memory of one only.
pub(super) struct Queue<R, T> {
    state: Mutex<State<R, T>>,
    changed: Condvar,
}

struct State<R, T> {
    batch: Batch<R, T>,
    closed: bool,
    activity: Activity,
    failure: Option<DiskError>,
}

impl<R, T> Queue<R, T> {
    pub(super) fn new(failure: Option<DiskError>) -> Self {
        let batch = Batch {
            records: Vec::new(),
            tokens: Vec::new(),
        };
        let state = State {
            batch,
            closed: false,
            activity: Activity::Idle,
            failure,
        };
        Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_all();
    }

    pub(super) fn health(&self) -> Health {
        let state = self.lock();
        let queued = state.batch.tokens.len();
        Health {
            activity: state.activity,
            failure: state.failure.clone(),
            queued,
        }
    }

    /// Waits for records; `None` once the queue is closed and empty.
    pub(super) fn take(&self, clock: &impl Fn() -> Duration) -> Option<Batch<R, T>> {
        let mut state = self.lock();
        while state.batch.tokens.is_empty() && !state.closed {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if state.batch.tokens.is_empty() {
            return None;
        }
        state.activity = Activity::Busy { since: clock() };
        let records = std::mem::take(&mut state.batch.records);
        let tokens = std::mem::take(&mut state.batch.tokens);
        Some(Batch { records, tokens })
    }

    pub(super) fn finish_batch(&self, failure: Option<DiskError>) {
        let mut state = self.lock();
        state.activity = Activity::Idle;
        state.failure = failure;
    }

    pub(super) fn set_stopped(&self) {
        self.lock().activity = Activity::Stopped;
    }

    fn lock(&self) -> MutexGuard<'_, State<R, T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<R: Supersedes, T> Queue<R, T> {
    pub(super) fn push(&self, record: R, token: T) {
        let mut state = self.lock();
        while state
            .batch
            .records
            .last()
            .is_some_and(|last| record.supersedes(last))
        {
            state.batch.records.pop();
        }
        state.batch.records.push(record);
        state.batch.tokens.push(token);
        drop(state);
        self.changed.notify_one();
    }
}
