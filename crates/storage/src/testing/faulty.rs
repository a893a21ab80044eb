//! A disk that loses power, fills up, stalls and fails to sync.

mod names;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::inode::Inode;
use super::stall::StallGate;
use super::{full, not_found};
use crate::disk::{Disk, DiskError, DiskOperation, FailureKind};
use names::Names;

/// A disk in memory that misbehaves as told, at random from a seed.
///
/// A loss of power keeps what the last sync of a file covered. Each later write is present, missing
/// or torn on its own, or all are gone. Of names made, renamed and removed since the last sync of
/// the folder each is kept or lost on its own; a rename is two changes, so that a file may come
/// back under both names or none.
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
    /// An empty disk without faults so far.
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

    /// Loses power and starts again, without armed faults.
    pub fn lose_power(&self) {
        self.lock().lose_power();
    }

    /// Stops in the midst of the operation that follows the next `operations`; from then on every
    /// one fails until [`FaultyDisk::lose_power`] or [`FaultyDisk::clear_faults`].
    pub fn stop_after(&self, operations: u64) {
        self.lock().operations_left = Some(operations);
    }

    /// Refuses every write, of which a part may have been written, or takes writes again.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// The next syncs of files fail. The pages are then marked as synced, whether or not they are
    /// on the disk.
    pub fn fail_file_syncs(&self, count: u32) {
        self.lock().failing_file_syncs = count;
    }

    /// The next syncs of the folder fail. The names are then marked as synced, whether or not they
    /// are on the disk.
    pub fn fail_folder_syncs(&self, count: u32) {
        self.lock().failing_folder_syncs = count;
    }

    /// Ends all faults. What programs see stays, as after a kill.
    pub fn clear_faults(&self) {
        self.lock().clear_faults();
    }

    /// Holds every operation back until [`FaultyDisk::release`].
    pub fn stall(&self) {
        self.gate.set_closed(true);
    }

    /// Lets operations go on.
    pub fn release(&self) {
        self.gate.set_closed(false);
    }

    /// Waits until an operation is held back by [`FaultyDisk::stall`].
    pub fn wait_for_stalled_operation(&self) {
        self.gate.wait_for_operation();
    }

    /// Operations of a kind so far, failed ones included.
    pub fn count(&self, operation: DiskOperation) -> u64 {
        self.lock()
            .counts
            .get(&operation)
            .copied()
            .unwrap_or_default()
    }

    /// Bytes of all files that programs see.
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

    /// Passes the gate and takes part in the count of operations.
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

/// Whether the disk stops in the midst of the operation.
struct Interruption(Option<DiskError>);

impl Interruption {
    fn is_due(&self) -> bool {
        self.0.is_some()
    }

    fn end(self) -> Result<(), DiskError> {
        self.0.map_or(Ok(()), Err)
    }
}

impl State {
    fn begin(&mut self, file: &str, operation: DiskOperation) -> Result<Interruption, DiskError> {
        let stopped = DiskError::new(file, operation, FailureKind::Other, "no power");
        if !self.powered {
            return Err(stopped);
        }
        match &mut self.operations_left {
            None => Ok(Interruption(None)),
            Some(0) => {
                self.powered = false;
                Ok(Interruption(Some(stopped)))
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
        interruption.end()?;
        Ok(state.names.visible().keys().cloned().collect())
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Read)?;
        interruption.end()?;
        Ok(state.inode(file, DiskOperation::Read)?.cached.clone())
    }

    fn create(&self, file: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Create)?;
        if state.full {
            return Err(full(file, DiskOperation::Create));
        }
        let number = state.names.create(file)?;
        state.inodes.insert(number, Inode::default());
        interruption.end()
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Append)?;
        let refused = state.full;
        let written = if refused {
            state.random.random_range(0..=bytes.len())
        } else {
            bytes.len()
        };
        state
            .inode(file, DiskOperation::Append)?
            .append(&bytes[..written]);
        if refused {
            return Err(full(file, DiskOperation::Append));
        }
        interruption.end()
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
        if !interruption.is_due() || state.random.random_bool(0.5) {
            state.inode(file, DiskOperation::SyncFile)?.sync();
        }
        interruption.end()
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(from, DiskOperation::Rename)?;
        state.names.rename(from, to)?;
        interruption.end()
    }

    fn remove(&self, file: &str) -> Result<(), DiskError> {
        let (mut state, interruption) = self.begin(file, DiskOperation::Remove)?;
        state.names.remove(file)?;
        interruption.end()
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
        if !interruption.is_due() || state.random.random_bool(0.5) {
            state.names.sync();
        }
        interruption.end()
    }
}
