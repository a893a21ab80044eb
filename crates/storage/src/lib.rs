//! Durable storage of a process's control state on a small disk: a write-ahead log of whole
//! records, of which only the newest counts. A record is durable once [`Log::sync`] has returned:
//! it is then found after a kill and after a loss of power.
//!
//! [`Log`] appends records to checksummed segments and makes them durable. When a log is opened,
//! the module `recovery` lists the files and reads the newest segment; `scan` finds its newest
//! record and tells a torn end from corruption; `format` defines the bytes and `names` the file
//! names. [`Writer`] owns a log on a thread of its own and syncs once for each batch of queued
//! records (group commit). [`IdentityFile`] stores a record that is written once, as a log of its
//! own. All of them access files through [`Disk`], which [`RealDisk`] implements on a folder of the
//! file system and [`testing`] by simulated disks with faults.
//!
//! Three rules follow from "Can Applications Recover from fsync Failures?" (Rebello et al., ATC
//! 2020) and "Protocol-Aware Recovery for Consensus-Based Storage" (Alagappan et al., FAST 2018):
//!
//! - After a failed write or sync nothing is written to the same file again; [`Log::reopen`] starts
//!   a new one.
//! - What recovery reads may exist in the page cache only, so the record is rewritten and synced
//!   before it counts as durable.
//! - Corruption of synced data is an error, and never mistaken for the torn end that a power loss
//!   leaves. [`Log::quarantine`] keeps the corrupted file under another name, as it may be
//!   the only copy.
//!
//! A replica that stores its votes here may survive a failed write or sync, as long as it sends no
//! answer that relies on the record before [`Log::reopen`] has succeeded with it. Until then the
//! failure is like a crash in the middle of the write: the failed file may or may not hold the
//! record, so a later start recovers it or the previous one, and rewrites what it recovered before
//! relying on it; neither contradicts an answer. The new file doesn't share a page with the one
//! that failed, its sync covers all of its bytes, and its sequence number is the highest, so that
//! it supersedes the failed one in any state. `tests/failed_sync.rs` kills the process or cuts the
//! power after each operation of this sequence.
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
mod real_disk;
mod recovery;
mod scan;
mod settings;
pub mod testing;
mod writer;

pub use disk::{Disk, DiskError, DiskOperation, FailureKind};
pub use format::CorruptionReason;
pub use identity::{IdentityError, IdentityFile};
pub use log::{Log, LogError, LogState, MAX_QUARANTINED_SEGMENTS};
pub use real_disk::RealDisk;
pub use recovery::{OpenError, Recovered};
pub use settings::{LogSettings, SettingsError};
pub use writer::{Activity, Completion, Health, Supersedes, Writer};
