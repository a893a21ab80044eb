//! A thread that owns a log, so that no caller waits for the disk.

mod queue;

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::DiskError;
use crate::log::{Log, LogError, LogState};
use queue::{Batch, Queue};

/// Whether a record makes an earlier one unneeded, so that only the newer one is written.
pub trait Supersedes {
    /// Whether `earlier` need not be written once `self` is.
    fn supersedes(&self, earlier: &Self) -> bool;
}

/// The outcome for one record handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion<T> {
    /// What the caller gave with the record.
    pub token: T,
    /// Whether the record, or one that supersedes it, is durable. After an error neither may be
    /// relied on.
    pub result: Result<(), LogError>,
}

/// What the thread does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Nothing is to be written.
    Idle,
    /// A batch is being written and synced.
    Busy {
        /// Start of the batch, on the clock given to [`Writer::spawn`].
        since: Duration,
    },
    /// The thread has ended.
    Stopped,
}

/// State of the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// What the thread does.
    pub activity: Activity,
    /// The failure that the log has not been reopened after; the next record handed in tries to.
    pub failure: Option<DiskError>,
    /// Records handed in that no batch has taken yet.
    pub queued: usize,
}

/// Owner of a log on a thread of its own.
///
/// Records are taken in batches: all that are queued are written, less those superseded, and synced
/// once. Completions come in the order in which records were handed in. While the disk stalls none
/// come. After a failure the next batch begins a new segment.
///
/// Dropping the writer lets the thread end after the records already handed in, without waiting for
/// it.
pub struct Writer<R, T> {
    queue: Arc<Queue<R, T>>,
    thread: Option<JoinHandle<()>>,
}

impl<R, T> Writer<R, T>
where
    R: Serialize + DeserializeOwned + Supersedes + Send + 'static,
    T: Send + 'static,
{
    /// Starts the thread. `clock` is a steady clock; `complete` is called on the thread and must
    /// not block.
    ///
    /// # Errors
    /// When the system refuses a thread.
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

    /// Hands a record in. Its completion comes with the token.
    pub fn submit(&self, record: R, token: T) {
        self.queue.push(record, token);
    }

    /// State of the writer.
    #[must_use]
    pub fn health(&self) -> Health {
        self.queue.health()
    }

    /// Writes what was handed in and waits for the thread to end.
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

/// The thread's side.
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

/// Notes the end of the thread, also after a panic.
struct StoppedOnDrop<R, T>(Arc<Queue<R, T>>);

impl<R, T> Drop for StoppedOnDrop<R, T> {
    fn drop(&mut self) {
        self.0.set_stopped();
    }
}

/// Writes the records and syncs once; after a failure the first begins a new segment.
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
