//! Storage for the identity of a replica, a record that is written once.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::{Disk, DiskError};
use crate::log::{Log, LogError, LogState};
use crate::recovery::{OpenError, Recovered};
use crate::settings::LogSettings;

/// Name of the identity's log.
const NAME: &str = "identity";
/// Space of the identity's log, in bytes.
const SPACE_BYTES: u64 = 64 * 1024;

/// A small record that is written once, with the guarantees of a [`Log`].
pub struct IdentityFile<I> {
    log: Log<I>,
    stored: Option<I>,
}

/// Why an identity was not stored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdentityError {
    /// An identity is already stored; it is never replaced.
    #[error(
        "an identity is already stored and is never replaced; empty the data directory to start as a new replica"
    )]
    AlreadyStored,
    /// No identity is stored.
    #[error("no identity is stored yet")]
    NotStored,
    /// The identity could not be made durable; a retry may succeed.
    #[error(transparent)]
    Log(#[from] LogError),
}

impl<I: Serialize + DeserializeOwned> IdentityFile<I> {
    /// Reads the identity in a folder, if one is stored, and rewrites it, since the stored one may
    /// not have reached the disk.
    ///
    /// # Errors
    /// As [`Log::open`].
    pub fn open(disk: Arc<dyn Disk>) -> Result<Self, OpenError> {
        let (log, recovered) = Log::open(disk, settings())?;
        let stored = match recovered {
            Recovered::Empty => None,
            Recovered::Found { record, .. } => Some(record),
        };
        Ok(Self { log, stored })
    }

    /// The stored identity, if there is one. It may not be durable; see
    /// [`IdentityFile::is_durable`].
    pub fn get(&self) -> Option<&I> {
        self.stored.as_ref()
    }

    /// Whether an identity is stored and durable. It must not be used before it is durable.
    pub fn is_durable(&self) -> bool {
        self.stored.is_some() && self.log.state() == LogState::Ready
    }

    /// Stores the identity, durably.
    ///
    /// # Errors
    /// [`IdentityError::AlreadyStored`] when there is one, [`IdentityError::Log`] when the disk
    /// failed.
    pub fn store(&mut self, identity: I) -> Result<(), IdentityError> {
        if self.stored.is_some() {
            return Err(IdentityError::AlreadyStored);
        }
        self.log.reopen(&identity)?;
        self.stored = Some(identity);
        Ok(())
    }

    /// Makes the stored identity durable if [`IdentityFile::open`] could not.
    ///
    /// # Errors
    /// [`IdentityError::NotStored`] when there is none, [`IdentityError::Log`] when the disk
    /// failed.
    pub fn make_durable(&mut self) -> Result<(), IdentityError> {
        let identity = self.stored.as_ref().ok_or(IdentityError::NotStored)?;
        if self.log.state() != LogState::Ready {
            self.log.reopen(identity)?;
        }
        Ok(())
    }

    /// Removes the identity, also a corrupted one. Callers do this before they erase the logs, as
    /// [`Log::erase`] explains.
    ///
    /// # Errors
    /// As [`Log::erase`].
    pub fn erase(disk: &dyn Disk) -> Result<(), DiskError> {
        Log::<I>::erase(disk, &settings())
    }
}

fn settings() -> LogSettings {
    LogSettings::new_unchecked(NAME, SPACE_BYTES)
}
