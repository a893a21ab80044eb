//! Durable storage of a process's control state on a small disk.
//!
//! [`Log`] keeps the newest of a row of records in checksummed segments. A record is durable once
//! [`Log::sync`] has returned: it is then found after a kill and after a loss of power. [`Writer`]
//! owns a log on a thread of its own and syncs once for all that is queued. [`IdentityFile`] keeps
//! the one record that is written once.
//!
//! Three rules follow from «Can Applications Recover from fsync Failures?» (Rebello et al., ATC
//! 2020) and «Protocol-Aware Recovery for Consensus-Based Storage» (Alagappan et al., FAST 2018):
//!
//! - After a failed write or sync nothing is written to the same file again; [`Log::reopen`] begins
//!   a new one.
//! - What recovery reads may come from the page cache only, so it is written again and synced
//!   before it counts.
//! - Damage in what had been synced is an error and never taken for the torn end that a loss of
//!   power leaves. [`Log::quarantine`] keeps the damaged file under another name, for it may be the
//!   only copy.
//!
//! A write or sync that fails needs no end of the replica whose votes the records are, as long as
//! no answer rests on the record before [`Log::reopen`] has succeeded with it. Until then the
//! failure is like a crash in the midst of the write: the file that failed may hold the record or
//! not, so that a later start finds it or the one before it, and writes it again before it counts;
//! neither contradicts an answer. The new file doesn't share a page with the one that failed, its
//! sync covers all of its bytes, and its number is the highest, so that it wins over whatever
//! became of the other. `tests/failed_sync.rs` ends the process or the power at each step of that.
//!
//! ```
//! use std::sync::Arc;
//! use ironmast_storage::{Log, LogSettings, Recovered, testing::MemoryDisk};
//!
//! let disk = Arc::new(MemoryDisk::new(1 << 20));
//! let settings = LogSettings::new("register", 1 << 20)?;
//! let (mut log, recovered) = Log::<(u64, String)>::open(disk.clone(), settings.clone())?;
//! assert_eq!(recovered, Recovered::Empty);
//! log.append(&(1, "first".to_owned()))?;
//! log.sync()?; // Durable from here on.
//!
//! let (_, recovered) = Log::<(u64, String)>::open(disk, settings)?;
//! let record = (1, "first".to_owned());
//! assert_eq!(recovered, Recovered::Found { record, durable: true, dropped_bytes: 0 });
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]

mod disk;
mod encode;
mod format;
mod identity;
mod log;
mod names;
mod recovery;
mod settings;
pub mod testing;
mod writer;

pub use disk::{Disk, DiskError, DiskOperation, FailureKind, RealDisk};
pub use format::CorruptionReason;
pub use identity::{IdentityError, IdentityFile};
pub use log::{Log, LogError, LogState, MAX_QUARANTINED_SEGMENTS};
pub use recovery::{OpenError, Recovered};
pub use settings::{LogSettings, SettingsError};
pub use writer::{Activity, Completion, Health, Supersedes, Writer};
