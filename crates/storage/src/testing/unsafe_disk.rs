//! A disk that omits one safeguard, as a faulty program would, to show that tests detect it.

use std::sync::Arc;

use crate::disk::{Disk, DiskError};

/// A safeguard that an [`UnsafeDisk`] omits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Syncs of the folder: they succeed without doing anything.
    FolderSync,
    /// Syncs of files: they succeed without doing anything.
    FileSync,
    /// Giving up a file after a failed sync: the sync is retried once instead, and the result of
    /// the retry is returned.
    StopAfterFailedSync,
}

/// A [`Disk`] that forwards all operations except for the omitted safeguard. A test of durability
/// that passes on it is too weak.
pub struct UnsafeDisk {
    disk: Arc<dyn Disk>,
    omitted: Safeguard,
}

impl UnsafeDisk {
    /// Wraps a disk and omits a safeguard.
    pub fn new(disk: Arc<dyn Disk>, omitted: Safeguard) -> Self {
        Self { disk, omitted }
    }

    fn sync(
        &self,
        safeguard: Safeguard,
        sync: impl Fn() -> Result<(), DiskError>,
    ) -> Result<(), DiskError> {
        if self.omitted == safeguard {
            return Ok(());
        }
        match sync() {
            Err(_) if self.omitted == Safeguard::StopAfterFailedSync => sync(),
            outcome => outcome,
        }
    }
}

impl Disk for UnsafeDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        self.disk.list()
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        self.disk.read(file)
    }

    fn create(&self, file: &str) -> Result<(), DiskError> {
        self.disk.create(file)
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.disk.append(file, bytes)
    }

    fn sync_file(&self, file: &str) -> Result<(), DiskError> {
        self.sync(Safeguard::FileSync, || self.disk.sync_file(file))
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), DiskError> {
        self.disk.rename(from, to)
    }

    fn remove(&self, file: &str) -> Result<(), DiskError> {
        self.disk.remove(file)
    }

    fn sync_folder(&self) -> Result<(), DiskError> {
        self.sync(Safeguard::FolderSync, || self.disk.sync_folder())
    }
}
