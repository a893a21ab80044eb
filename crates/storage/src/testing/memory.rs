//! A disk in memory without faults, of limited size.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::errors::{full, name_exists, not_found};
use crate::disk::{Disk, DiskError, DiskOperation};

/// A disk in memory. Nothing is ever lost; writes that don't fit are rejected.
#[derive(Debug)]
pub struct MemoryDisk {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    capacity: u64,
    used: u64,
    peak: u64,
}

impl MemoryDisk {
    /// Creates an empty disk of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            state: Mutex::new(State {
                files: BTreeMap::new(),
                capacity,
                used: 0,
                peak: 0,
            }),
        }
    }

    /// Changes the capacity, in bytes. Files stay even if they no longer fit.
    pub fn set_capacity(&self, capacity: u64) {
        self.lock().capacity = capacity;
    }

    /// The largest total size of all files so far, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        self.lock().peak
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        self.lock()
            .files
            .get(file)
            .cloned()
            .ok_or_else(|| not_found(file, DiskOperation::Read))
    }

    fn create(&self, file: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        if state.files.contains_key(file) {
            return Err(name_exists(file, DiskOperation::Create));
        }
        state.files.insert(file.to_owned(), Vec::new());
        Ok(())
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut state = self.lock();
        let used = state.used + bytes.len() as u64;
        if used > state.capacity {
            return Err(full(file, DiskOperation::Append));
        }
        state
            .files
            .get_mut(file)
            .ok_or_else(|| not_found(file, DiskOperation::Append))?
            .extend_from_slice(bytes);
        state.used = used;
        state.peak = state.peak.max(used);
        Ok(())
    }

    fn sync_file(&self, file: &str) -> Result<(), DiskError> {
        if self.lock().files.contains_key(file) {
            Ok(())
        } else {
            Err(not_found(file, DiskOperation::SyncFile))
        }
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        if state.files.contains_key(to) {
            return Err(name_exists(to, DiskOperation::Rename));
        }
        let bytes = state
            .files
            .remove(from)
            .ok_or_else(|| not_found(from, DiskOperation::Rename))?;
        state.files.insert(to.to_owned(), bytes);
        Ok(())
    }

    fn remove(&self, file: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        let bytes = state
            .files
            .remove(file)
            .ok_or_else(|| not_found(file, DiskOperation::Remove))?;
        state.used -= bytes.len() as u64;
        Ok(())
    }

    fn sync_folder(&self) -> Result<(), DiskError> {
        Ok(())
    }
}
