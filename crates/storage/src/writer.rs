//! A thread that owns a log, so that no caller blocks on the disk.

mod health;
mod queue;

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::DiskError;
use crate::log::{Log, LogError, LogState};
pub use health::{Activity, Health};
pub use queue::Supersedes;
use queue::{Batch, Queue};

/// The outcome of one submitted record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion<T> {
    /// The token that the caller submitted with the record.
    pub token: T,
    /// `Ok` if the record, or one that supersedes it, is durable. After an error the caller may
    /// rely on neither.
    pub result: Result<(), LogError>,
}

/// Owns a log on a thread of its own, with group commit.
///
/// Each batch takes all queued records, writes those that aren't superseded, and syncs once.
/// Completions arrive in the order of submission, and none while the disk stalls. After a failure
/// the next batch starts a new segment.
///
/// Dropping the writer ends the thread once it has written the records submitted so far, without
/// waiting for it.
pub struct Writer<R, T> {
    queue: Arc<Queue<R, T>>,
    thread: Option<JoinHandle<()>>,
}

impl<R, T> Writer<R, T>
where
    R: Serialize + DeserializeOwned + Supersedes + Send + 'static,
    T: Send + 'static,
{
    /// Starts the thread. `clock` is a monotonic clock, read at the start of each batch for
    /// [`Activity::Busy`]; `complete` is called on the thread and must not block.
    ///
    /// # Errors
    /// When the system cannot start a thread.
    pub fn spawn(
        log: Log<R>,
        clock: impl Fn() -> Duration + Send + 'static,
        complete: impl FnMut(Completion<T>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let queue = Arc::new(Queue::new(failure(&log)));
        let worker = Worker {
            log,
            queue: Arc::clone(&queue),
            clock,
            complete,
        };
        let thread = thread::Builder::new()
            .name("storage-writer".to_owned())
            .spawn(move || worker.run())?;
        Ok(Self {
            queue,
            thread: Some(thread),
        })
    }

    /// Queues a record without waiting for the disk; its completion carries `token`.
    pub fn submit(&self, record: R, token: T) {
        self.queue.push(record, token);
    }

    /// What the thread is doing, the last failure and the length of the queue.
    #[must_use]
    pub fn health(&self) -> Health {
        self.queue.health()
    }

    /// Waits until the submitted records have completed, with success or an error, and the thread
    /// has ended.
    pub fn finish(mut self) {
        self.queue.close();
        if let Some(thread) = self.thread.take() {
            let _panicked = thread.join();
        }
    }
}

impl<R, T> Drop for Writer<R, T> {
    fn drop(&mut self) {
        self.queue.close();
    }
}

/// What the thread owns.
struct Worker<R, T, Clock, Complete> {
    log: Log<R>,
    queue: Arc<Queue<R, T>>,
    clock: Clock,
    complete: Complete,
}

impl<R, T, Clock, Complete> Worker<R, T, Clock, Complete>
where
    R: Serialize + DeserializeOwned + Supersedes,
    Clock: Fn() -> Duration,
    Complete: FnMut(Completion<T>),
{
    fn run(mut self) {
        let _stopped = StoppedOnDrop(Arc::clone(&self.queue));
        while let Some(batch) = self.queue.take(&self.clock) {
            let result = write(&mut self.log, &batch.records);
            self.queue.finish_batch(failure(&self.log));
            self.report(batch, &result);
        }
    }

    fn report(&mut self, batch: Batch<R, T>, result: &Result<(), LogError>) {
        for token in batch.tokens {
            (self.complete)(Completion {
                token,
                result: result.clone(),
            });
        }
    }
}

/// Sets [`Activity::Stopped`] when the thread ends, also by a panic.
struct StoppedOnDrop<R, T>(Arc<Queue<R, T>>);

impl<R, T> Drop for StoppedOnDrop<R, T> {
    fn drop(&mut self) {
        self.0.set_stopped();
    }
}

/// Writes the records and syncs once; after a failure the first record starts a new segment.
fn write<R: Serialize + DeserializeOwned>(log: &mut Log<R>, records: &[R]) -> Result<(), LogError> {
    let mut rest = records.iter();
    if log.state() != LogState::Ready {
        rest.next().map_or(Ok(()), |first| log.reopen(first))?;
    }
    rest.try_for_each(|record| log.append(record))?;
    log.sync()
}

fn failure<R: Serialize + DeserializeOwned>(log: &Log<R>) -> Option<DiskError> {
    match log.state() {
        LogState::Ready => None,
        LogState::Failed(failure) => Some(failure),
    }
}
