//! The replica's record on disk: opened at the start, written by a thread of its own.

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

/// The name of the log in the folder.
const LOG_NAME: &str = "register";
/// What a coordinator without a limit in its settings may use, in MB.
const DEFAULT_DISK_MB: u64 = 128;

/// A record as it stands on disk; each holds the whole state of the replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LogRecord(pub Record<ControlValue>);

impl Supersedes for LogRecord {
    fn supersedes(&self, _earlier: &Self) -> bool {
        true
    }
}

/// What the folder holds at the start.
#[derive(Debug)]
pub(crate) enum RecoveredRecord {
    /// No record.
    Missing,
    /// A record that is durable.
    Durable(Record<ControlValue>),
    /// A record that could be read but not written again (the disk is full, say), and may stand in
    /// the page cache only: no vote may rest on it before it is durable.
    NotDurable(Record<ControlValue>),
    /// A damaged record, now or before: the replica can't go on as the one that it was.
    Corrupted,
}

/// Told when a record is durable, or that it isn't.
pub(crate) type Persisted = Completion<PersistToken>;

/// The open log.
pub(crate) struct RegisterLog {
    writer: Writer<LogRecord, PersistToken>,
}

impl RegisterLog {
    /// Opens the log in a folder and tells what was found. Damage is treated like a lost disk, but
    /// the damaged file is kept under another name.
    ///
    /// # Errors
    /// The file and the step that failed.
    pub(crate) fn open(
        folder: &Path,
        disk_mb: u64,
        log: &Logger,
    ) -> Result<(Self, RecoveredRecord, mpsc::UnboundedReceiver<Persisted>)> {
        let disk: Arc<dyn Disk> = Arc::new(
            RealDisk::open(folder).wrap_err_with(|| format!("opening {}", folder.display()))?,
        );
        let megabytes = if disk_mb == 0 {
            DEFAULT_DISK_MB
        } else {
            disk_mb
        };
        let settings = LogSettings::new(LOG_NAME, megabytes << 20)
            .wrap_err("sizing the log of the register")?;
        let open = || Log::<LogRecord>::open(Arc::clone(&disk), settings.clone());
        let (file, recovered) = match open() {
            Err(OpenError::Corrupted {
                file,
                offset,
                reason,
            }) => {
                let kept = Log::<LogRecord>::set_aside(disk.as_ref(), &settings)
                    .wrap_err_with(|| format!("setting the damaged {file} aside"))?;
                warn!(log, "the register's log is damaged and begun anew";
                    "file" => file, "offset" => offset, "reason" => %reason,
                    "kept_as" => kept.map(|kept| folder.join(kept).display().to_string()));
                let (file, _) = open().wrap_err("opening the log of the register anew")?;
                (file, None)
            }
            opened => {
                let (file, recovered) = opened.wrap_err("opening the log of the register")?;
                (file, Some(recovered))
            }
        };
        let was_damaged = !Log::<LogRecord>::files_set_aside(disk.as_ref(), &settings)
            .wrap_err("looking for damaged logs")?
            .is_empty();
        let found = match recovered {
            None => RecoveredRecord::Corrupted,
            Some(Recovered::Empty) if was_damaged => RecoveredRecord::Corrupted,
            Some(Recovered::Empty) => RecoveredRecord::Missing,
            Some(Recovered::Found {
                record,
                durable: true,
                ..
            }) => RecoveredRecord::Durable(record.0),
            Some(Recovered::Found { record, .. }) => {
                warn!(log, "the register's record can't be made durable yet"; "state" => ?file.state());
                RecoveredRecord::NotDurable(record.0)
            }
        };
        let (to, completions) = mpsc::unbounded_channel();
        let clock = Instant::now();
        let complete = move |completion| drop(to.send(completion));
        let writer = Writer::spawn(file, move || clock.elapsed(), complete)
            .wrap_err("starting the log's thread")?;
        Ok((RegisterLog { writer }, found, completions))
    }

    /// Writes a record; it is told when that is durable.
    pub(crate) fn write(&self, record: Record<ControlValue>, token: PersistToken) {
        self.writer.submit(LogRecord(record), token);
    }
}

#[cfg(test)]
mod tests;
