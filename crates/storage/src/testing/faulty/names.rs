//! The file names in a simulated folder, in the cache and on the disk.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::disk::{DiskError, DiskOperation};
use crate::testing::errors::{name_exists, not_found};

/// File names with their inode numbers.
#[derive(Debug, Default)]
pub(super) struct Names {
    visible: BTreeMap<String, u64>,
    durable: BTreeMap<String, u64>,
    changes: Vec<Change>,
    next_number: u64,
}

/// A change since the last sync.
#[derive(Clone, Debug)]
enum Change {
    Add(String, u64),
    Remove(String),
}

impl Names {
    /// The names that programs see.
    pub(super) fn visible(&self) -> &BTreeMap<String, u64> {
        &self.visible
    }

    pub(super) fn find(&self, file: &str, operation: DiskOperation) -> Result<u64, DiskError> {
        self.visible
            .get(file)
            .copied()
            .ok_or_else(|| not_found(file, operation))
    }

    /// Adds a name with a new inode number.
    pub(super) fn create(&mut self, file: &str) -> Result<u64, DiskError> {
        self.check_is_free(file, DiskOperation::Create)?;
        let number = self.next_number;
        self.next_number += 1;
        self.change(Change::Add(file.to_owned(), number));
        Ok(number)
    }

    pub(super) fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.check_is_free(to, DiskOperation::Rename)?;
        let number = self.find(from, DiskOperation::Rename)?;
        self.change(Change::Remove(from.to_owned()));
        self.change(Change::Add(to.to_owned(), number));
        Ok(())
    }

    pub(super) fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.find(file, DiskOperation::Remove)?;
        self.change(Change::Remove(file.to_owned()));
        Ok(())
    }

    /// Makes all unsynced changes durable.
    pub(super) fn sync(&mut self) {
        for change in std::mem::take(&mut self.changes) {
            apply(&mut self.durable, change);
        }
    }

    /// Simulates a failed sync: each change reaches the disk or not, and all are marked as synced.
    pub(super) fn fail_sync(&mut self, random: &mut Xoshiro256PlusPlus) {
        for change in std::mem::take(&mut self.changes) {
            if random.random_bool(0.5) {
                apply(&mut self.durable, change);
            }
        }
    }

    /// Simulates a power loss: each unsynced change is kept or lost, or all are lost.
    pub(super) fn lose_power(&mut self, random: &mut Xoshiro256PlusPlus) {
        if random.random_bool(0.25) {
            self.changes.clear();
        }
        self.fail_sync(random);
        self.visible = self.durable.clone();
    }

    fn check_is_free(&self, file: &str, operation: DiskOperation) -> Result<(), DiskError> {
        if self.visible.contains_key(file) {
            Err(name_exists(file, operation))
        } else {
            Ok(())
        }
    }

    fn change(&mut self, change: Change) {
        apply(&mut self.visible, change.clone());
        self.changes.push(change);
    }
}

fn apply(names: &mut BTreeMap<String, u64>, change: Change) {
    match change {
        Change::Add(file, number) => names.insert(file, number),
        Change::Remove(file) => names.remove(&file),
    };
}
