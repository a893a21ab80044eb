//! A disk used as by a program that leaves a safeguard out.

use std::sync::Arc;

use crate::disk::{Disk, DiskError};

/// The safeguard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// The folder is never synced.
    FolderSync,
    /// Files are never synced.
    FileSync,
    /// A failed sync is tried again and then believed.
    StopAfterFailedSync,
}

/// Passes everything on but the safeguard left out. A check that passes on it is too weak.
pub struct UnsafeDisk {
    disk: Arc<dyn Disk>,
    omitted: Safeguard,
}

impl UnsafeDisk {
    /// Leaves a safeguard out of what `disk` is asked for.
    pub fn new(disk: Arc<dyn Disk>, omitted: Safeguard) -> Self {
        Self { disk, omitted }
    }

    fn sync(
        &self,
        left_out: Safeguard,
        sync: impl Fn() -> Result<(), DiskError>,
    ) -> Result<(), DiskError> {
        if self.omitted == left_out {
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
