//! The register's log on disk: recovered when the coordinator starts, written by its own thread.

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use eyre::{Result, WrapErr as _};
use ironmast_register::{PersistToken, Record};
use ironmast_storage::{
    Completion, Disk, Log, LogSettings, OpenError, RealDisk, Recovered, Supersedes, Writer,
};
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};
use tokio::sync::mpsc;

use crate::value::ControlValue;

/// Name of the log in the data directory; the names of its files begin with it.
const LOG_NAME: &str = "register";
/// Disk size in MB assumed if the settings give none; [`LogSettings::new`] limits the log to a
/// fraction of it.
const DEFAULT_DISK_MB: u64 = 128;

/// A record of the log; each holds the complete state of the replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LogRecord(pub Record<ControlValue>);

impl Supersedes for LogRecord {
    fn supersedes(&self, _earlier: &Self) -> bool {
        true
    }
}

/// What was recovered from the data directory at start.
#[derive(Debug)]
pub(crate) enum RecoveredRecord {
    /// The data directory has never held a record.
    Missing,
    /// A durable record.
    Durable(Record<ControlValue>),
    /// A record that was read but could not be written again (for example because the disk is
    /// full). It may exist only in the page cache, so the replica must not accept anything on the
    /// basis of it before it is durable.
    NotDurable(Record<ControlValue>),
    /// The record is corrupted, or was at an earlier start and no record has been written since.
    /// The replica cannot keep its identity.
    Corrupted,
}

/// Completion of a write: the record is durable, or writing it has failed.
pub(crate) type WriteCompletion = Completion<PersistToken>;

/// An open log and the record recovered from it.
pub(crate) struct OpenedLog {
    /// The log, ready to write records.
    pub register_log: RegisterLog,
    /// The newest record.
    pub recovered: RecoveredRecord,
    /// Completions of the log's writes, in order.
    pub completions: mpsc::UnboundedReceiver<WriteCompletion>,
}

/// The open log of the register; records are written by its own thread.
pub(crate) struct RegisterLog {
    writer: Writer<LogRecord, PersistToken>,
}

impl RegisterLog {
    /// Opens the log in a folder and recovers its newest record. A corrupted log is handled like a
    /// lost disk, except that the corrupted file is kept under another name. `disk_mb` is the disk
    /// size in MB; 0 selects the default.
    ///
    /// # Errors
    /// The folder or the log cannot be opened; the error names the file and the step.
    pub(crate) fn open(folder: &Path, disk_mb: u64, log: &Logger) -> Result<OpenedLog> {
        let disk: Arc<dyn Disk> = Arc::new(
            RealDisk::open(folder)
                .wrap_err_with(|| format!("opening the data directory {}", folder.display()))?,
        );
        let megabytes = if disk_mb == 0 {
            DEFAULT_DISK_MB
        } else {
            disk_mb
        };
        let settings = LogSettings::new(LOG_NAME, megabytes << 20)
            .wrap_err("limiting the size of the register's log")?;
        let (file, recovered) = recover(folder, &disk, &settings, log)?;
        let (queue, completions) = mpsc::unbounded_channel();
        let clock = Instant::now();
        // Sending fails only after the event loop, which owns the receiver, has ended.
        let complete = move |completion| drop(queue.send(completion));
        let writer = Writer::spawn(file, move || clock.elapsed(), complete)
            .wrap_err("starting the writer thread of the register's log")?;
        Ok(OpenedLog {
            register_log: RegisterLog { writer },
            recovered,
            completions,
        })
    }

    /// Starts to write a record; its completion carries `token`.
    pub(crate) fn write(&self, record: Record<ControlValue>, token: PersistToken) {
        self.writer.submit(LogRecord(record), token);
    }
}

/// Opens the log's files and classifies the newest record.
fn recover(
    folder: &Path,
    disk: &Arc<dyn Disk>,
    settings: &LogSettings,
    log: &Logger,
) -> Result<(Log<LogRecord>, RecoveredRecord)> {
    let (file, recovered) = open_or_replace(folder, disk, settings, log)?;
    let was_corrupted = !Log::<LogRecord>::quarantined_files(disk.as_ref(), settings)
        .wrap_err("looking for corrupted log files of earlier starts")?
        .is_empty();
    let record = match recovered {
        None => RecoveredRecord::Corrupted,
        // The log was replaced by an empty one after an earlier corruption.
        Some(Recovered::Empty) if was_corrupted => RecoveredRecord::Corrupted,
        Some(Recovered::Empty) => RecoveredRecord::Missing,
        Some(Recovered::Found {
            record,
            durable: true,
            ..
        }) => RecoveredRecord::Durable(record.0),
        Some(Recovered::Found { record, .. }) => {
            warn!(log, "cannot sync the recovered register record; accepting nothing until it is durable"; "state" => ?file.state());
            RecoveredRecord::NotDurable(record.0)
        }
    };
    Ok((file, record))
}

/// Opens the log's files. Replaces a corrupted log by an empty one and returns `None` for its
/// record.
fn open_or_replace(
    folder: &Path,
    disk: &Arc<dyn Disk>,
    settings: &LogSettings,
    log: &Logger,
) -> Result<(Log<LogRecord>, Option<Recovered<LogRecord>>)> {
    let open = || Log::<LogRecord>::open(Arc::clone(disk), settings.clone());
    match open() {
        Err(OpenError::Corrupted {
            file,
            offset,
            reason,
        }) => {
            let kept = Log::<LogRecord>::quarantine(disk.as_ref(), settings)
                .wrap_err_with(|| format!("renaming the corrupted {file}"))?;
            warn!(log, "the register's log is corrupted; keeping it under another name and starting with an empty one";
                "file" => file, "offset" => offset, "reason" => %reason,
                "kept_as" => kept.map(|kept| folder.join(kept).display().to_string()));
            let (file, _) = open().wrap_err("opening an empty log of the register")?;
            Ok((file, None))
        }
        opened => {
            let (file, recovered) = opened.wrap_err("opening the log of the register")?;
            Ok((file, Some(recovered)))
        }
    }
}

#[cfg(test)]
mod tests;
