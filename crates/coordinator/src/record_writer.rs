//! Writes the replica's record to disk: one write at a time, retried until the record is durable.
//!
//! A failed write is retried with the complete record in a new file, and the replica accepts
//! nothing until the record is durable. [`ironmast_storage`] explains why this is safe after a
//! failed sync.

use std::time::Duration;

use ironmast_register::{PersistToken, Record};
use slog::{Logger, warn};

use crate::register_log::{RegisterLog, WriteCompletion};
use crate::value::ControlValue;

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A write whose record is not durable yet, kept for retries.
struct PendingWrite {
    token: PersistToken,
    record: Record<ControlValue>,
}

/// The register's log and the write in flight.
pub(crate) struct RecordWriter {
    register_log: RegisterLog,
    pending: Option<PendingWrite>,
    /// When to retry the pending write, by the coordinator's clock.
    retry_at: Option<Duration>,
    log: Logger,
}

impl RecordWriter {
    /// Creates a writer for an open log, with no write in flight.
    pub(crate) fn new(register_log: RegisterLog, log: Logger) -> Self {
        RecordWriter {
            register_log,
            pending: None,
            retry_at: None,
            log,
        }
    }

    /// Whether a write is in flight.
    #[cfg(test)]
    pub(crate) fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Writes a record; it supersedes the pending one.
    pub(crate) fn write(&mut self, token: PersistToken, record: Record<ControlValue>) {
        self.register_log.write(record.clone(), token);
        self.pending = Some(PendingWrite { token, record });
    }

    /// Time of the next call to [`RecordWriter::retry_if_due`] that is due; `None` if no write has
    /// failed.
    pub(crate) fn retry_at(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Retries a failed write whose delay has passed.
    pub(crate) fn retry_if_due(&mut self, now: Duration) {
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        if let Some(write) = &self.pending {
            self.register_log.write(write.record.clone(), write.token);
        }
    }

    /// Handles the completion of a write; returns its token if the record is now durable.
    /// Completions of superseded writes are ignored.
    #[must_use]
    pub(crate) fn completed(
        &mut self,
        now: Duration,
        completion: WriteCompletion,
    ) -> Option<PersistToken> {
        self.pending
            .as_ref()
            .filter(|write| write.token == completion.token)?;
        match completion.result {
            Ok(()) => {
                self.pending = None;
                Some(completion.token)
            }
            Err(error) => {
                warn!(self.log, "cannot write the register's record; retrying until it is durable"; "error" => %error);
                self.retry_at = Some(now + WRITE_RETRY_DELAY);
                None
            }
        }
    }
}
