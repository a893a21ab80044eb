//! A disk that loses power, fills up, stalls and fails to sync.

mod names;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::errors::{full, not_found};
use super::inode::Inode;
use super::stall::StallGate;
use crate::disk::{Disk, DiskError, DiskOperation, FailureKind};
use names::Names;

/// A disk in memory with injected faults; their random details are determined by a seed.
///
/// A power loss keeps the synced content of each file. Each later write is independently present,
/// missing or torn, or all are lost. Each name created, renamed or removed since the last sync of
/// the folder is kept or lost independently; a rename is two changes, so that a file may reappear
/// under both names or none.
#[derive(Debug)]
pub struct FaultyDisk {
    gate: StallGate,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    random: Xoshiro256PlusPlus,
    inodes: BTreeMap<u64, Inode>,
    names: Names,
    full: bool,
    powered: bool,
    operations_left: Option<u64>,
    failing_file_syncs: u32,
    failing_folder_syncs: u32,
    counts: HashMap<DiskOperation, u64>,
}

impl FaultyDisk {
    /// Creates an empty disk without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let state = State {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            inodes: BTreeMap::new(),
            names: Names::default(),
            full: false,
            powered: true,
            operations_left: None,
            failing_file_syncs: 0,
            failing_folder_syncs: 0,
            counts: HashMap::new(),
        };
        Self {
            gate: StallGate::default(),
            state: Mutex::new(state),
        }
    }

    /// Simulates a power loss and a restart; ends all injected faults.
    pub fn lose_power(&self) {
        self.lock().lose_power();
    }

    /// Stops the disk after `operations` more operations: the next one is interrupted midway and
    /// all later ones fail, until [`FaultyDisk::lose_power`] or [`FaultyDisk::clear_faults`].
    pub fn stop_after(&self, operations: u64) {
        self.lock().operations_left = Some(operations);
    }

    /// Makes the disk full or not. A full disk creates no files, and each append fails after a
    /// random part of the bytes.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Makes the next `count` syncs of files fail. Each marks the file's pages as clean, whether or
    /// not they are on the disk.
    pub fn fail_file_syncs(&self, count: u32) {
        self.lock().failing_file_syncs = count;
    }

    /// Makes the next `count` syncs of the folder fail. Each marks the names as synced, whether or
    /// not they are on the disk.
    pub fn fail_folder_syncs(&self, count: u32) {
        self.lock().failing_folder_syncs = count;
    }

    /// Ends all injected faults. The cached content stays, as after a kill of the process.
    pub fn clear_faults(&self) {
        self.lock().clear_faults();
    }

    /// Blocks every operation until [`FaultyDisk::release`].
    pub fn stall(&self) {
        self.gate.set_closed(true);
    }

    /// Ends a stall: blocked operations continue.
    pub fn release(&self) {
        self.gate.set_closed(false);
    }

    /// Waits until [`FaultyDisk::stall`] blocks an operation.
    pub fn wait_for_stalled_operation(&self) {
        self.gate.wait_for_operation();
    }

    /// Number of operations of a kind so far, including failed ones.
    pub fn count(&self, operation: DiskOperation) -> u64 {
        self.lock()
            .counts
            .get(&operation)
            .copied()
            .unwrap_or_default()
    }

    /// Total size of all visible files, in bytes.
    pub fn used_bytes(&self) -> u64 {
        let state = self.lock();
        let numbers = state.names.visible().values();
        numbers
            .map(|number| {
                state
                    .inodes
                    .get(number)
                    .map_or(0, |inode| inode.cached.len() as u64)
            })
            .sum()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the end of a stall, counts the operation and fails if there is no power.
    fn begin(
        &self,
        file: &str,
        operation: DiskOperation,
    ) -> Result<(MutexGuard<'_, State>, Interruption), DiskError> {
        self.gate.pass();
        let mut state = self.lock();
        *state.counts.entry(operation).or_default() += 1;
        let interruption = state.begin(file, operation)?;
        Ok((state, interruption))
    }
}

/// The error with which an operation is interrupted midway, if it is.
struct Interruption(Option<DiskError>);

impl Interruption {
    fn is_pending(&self) -> bool {
        self.0.is_some()
    }

    fn into_result(self) -> Result<(), DiskError> {
        self.0.map_or(Ok(()), Err)
    }
}

impl State {
    fn begin(&mut self, file: &str, operation: DiskOperation) -> Result<Interruption, DiskError> {
        let no_power = DiskError::new(file, operation, FailureKind::Other, "no power");
        if !self.powered {
            return Err(no_power);
        }
        match &mut self.operations_left {
            None => Ok(Interruption(None)),
            Some(0) => {
                self.powered = false;
                Ok(Interruption(Some(no_power)))
            }
            Some(left) => {
                *left -= 1;
                Ok(Interruption(None))
            }
        }
    }

    fn lose_power(&mut self) {
        for inode in self.inodes.values_mut() {
            inode.lose_power(&mut self.random);
        }
        self.names.lose_power(&mut self.random);
        let names = &self.names;
        self.inodes
            .retain(|number, _| names.visible().values().any(|kept| kept == number));
        self.clear_faults();
    }

    fn clear_faults(&mut self) {
        self.full = false;
        self.powered = true;
        self.operations_left = None;
        self.failing_file_syncs = 0;
        self.failing_folder_syncs = 0;
    }

    fn inode(&mut self, file: &str, operation: DiskOperation) -> Result<&mut Inode, DiskError> {
        let number = self.names.find(file, operation)?;
        self.inodes
            .get_mut(&number)
            .ok_or_else(|| not_found(file, operation))
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        let (state, interruption) = self.begin("", DiskOperation::List)?;
        interruption.into_result()?;
        Ok(state.names.visible().keys().cloned().collect())
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Read)?;
        interruption.into_result()?;
        Ok(state.inode(file, DiskOperation::Read)?.cached.clone())
    }

    fn create(&self, file: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Create)?;
        if state.full {
            return Err(full(file, DiskOperation::Create));
        }
        let number = state.names.create(file)?;
        state.inodes.insert(number, Inode::default());
        interruption.into_result()
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Append)?;
        let is_full = state.full;
        let written = if is_full {
            state.random.random_range(0..=bytes.len())
        } else {
            bytes.len()
        };
        state
            .inode(file, DiskOperation::Append)?
            .append(&bytes[..written]);
        if is_full {
            return Err(full(file, DiskOperation::Append));
        }
        interruption.into_result()
    }

    fn sync_file(&self, file: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::SyncFile)?;
        if state.failing_file_syncs > 0 {
            state.failing_file_syncs -= 1;
            let mut random = state.random.clone();
            state
                .inode(file, DiskOperation::SyncFile)?
                .fail_sync(&mut random);
            state.random = random;
            return Err(DiskError::new(
                file,
                DiskOperation::SyncFile,
                FailureKind::Other,
                "input/output error",
            ));
        }
        if !interruption.is_pending() || state.random.random_bool(0.5) {
            state.inode(file, DiskOperation::SyncFile)?.sync();
        }
        interruption.into_result()
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(from, DiskOperation::Rename)?;
        state.names.rename(from, to)?;
        interruption.into_result()
    }

    fn remove(&self, file: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Remove)?;
        state.names.remove(file)?;
        interruption.into_result()
    }

    fn sync_folder(&self) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin("", DiskOperation::SyncFolder)?;
        if state.failing_folder_syncs > 0 {
            state.failing_folder_syncs -= 1;
            let mut random = state.random.clone();
            state.names.fail_sync(&mut random);
            state.random = random;
            return Err(DiskError::new(
                "",
                DiskOperation::SyncFolder,
                FailureKind::Other,
                "input/output error",
            ));
        }
        if !interruption.is_pending() || state.random.random_bool(0.5) {
            state.names.sync();
        }
        interruption.into_result()
    }
}
