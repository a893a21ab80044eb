//! Groups of tasks that are aborted when their owner is dropped, and whose panics are logged.
//!
//! A panic ends only its task; the process continues without the task's work. A task without which
//! the process cannot work is therefore *essential*: its panic is logged and reported by
//! [`Tasks::failed`], upon which the owner ends the process and the platform restarts it. A task of a
//! single connection or request may fail alone; its panic is only logged.
//!
//! A task must not hold a strong reference to its owner, since then neither is ever dropped; a
//! [`Weak`](std::rc::Weak) reference is safe.

use std::cell::RefCell;
use std::panic::AssertUnwindSafe;

use futures_util::FutureExt as _;
use slog::{Logger, crit, error};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The panic of an essential task, upon which the process must end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the essential task '{task}' has panicked")]
pub struct TaskFailed {
    /// The name of the task.
    pub task: &'static str,
}

/// The tasks of one owner, on its thread; dropping it aborts those that still run.
pub struct Tasks {
    log: Logger,
    set: RefCell<JoinSet<()>>,
    failure: watch::Sender<Option<TaskFailed>>,
}

impl Tasks {
    /// Creates an empty group, whose panics are logged to `log`.
    #[must_use]
    pub fn new(log: &Logger) -> Self {
        Tasks {
            log: log.clone(),
            set: RefCell::default(),
            failure: watch::Sender::new(None),
        }
    }

    /// Spawns the task of a single connection or request. A panic in it is logged; the other tasks
    /// continue.
    pub fn spawn(&self, task: &'static str, future: impl Future<Output = ()> + 'static) {
        let log = self.log.clone();
        self.spawn_watched(future, move || {
            error!(log, "a task has panicked"; "task" => task);
        });
    }

    /// Spawns a task without which the owner cannot do its work. A panic in it is logged and reported
    /// by [`Tasks::failed`].
    pub fn spawn_essential(&self, task: &'static str, future: impl Future<Output = ()> + 'static) {
        let (log, failure) = (self.log.clone(), self.failure.clone());
        self.spawn_watched(future, move || {
            crit!(log, "an essential task has panicked, the process ends"; "task" => task);
            failure.send_replace(Some(TaskFailed { task }));
        });
    }

    /// Completes once an essential task has panicked; never otherwise.
    pub async fn failed(&self) -> TaskFailed {
        let mut failure = self.failure.subscribe();
        let failed = failure.wait_for(Option::is_some).await;
        match failed.ok().and_then(|failed| failed.clone()) {
            Some(failed) => failed,
            // The sender lives as long as `self`.
            None => std::future::pending().await,
        }
    }

    /// Number of tasks that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.reap();
        self.set.borrow().len()
    }

    fn spawn_watched(
        &self,
        future: impl Future<Output = ()> + 'static,
        on_panic: impl FnOnce() + 'static,
    ) {
        self.reap();
        // State that a panic leaves inconsistent is not used again: the connection of the task ends,
        // or the process.
        let future = AssertUnwindSafe(future).catch_unwind();
        self.set.borrow_mut().spawn_local(async move {
            if future.await.is_err() {
                on_panic();
            }
        });
    }

    /// Removes the tasks that have ended from the set.
    fn reap(&self) {
        let mut set = self.set.borrow_mut();
        while set.try_join_next().is_some() {}
    }
}

#[cfg(test)]
mod tests;
