//! Simulated disks for tests, and the contract that every disk must fulfil. Public, for the tests of
//! other crates that store data.

mod contract;
mod faulty;
mod inode;
mod memory;
mod stall;
mod unsafe_disk;

pub use contract::check_disk_contract;
pub use faulty::FaultyDisk;
pub use memory::MemoryDisk;
pub use unsafe_disk::{Safeguard, UnsafeDisk};

use crate::disk::{DiskError, DiskOperation, FailureKind};

fn not_found(file: &str, operation: DiskOperation) -> DiskError {
    DiskError::new(file, operation, FailureKind::NotFound, "no such file")
}

fn name_exists(file: &str, operation: DiskOperation) -> DiskError {
    DiskError::new(file, operation, FailureKind::Exists, "the name is taken")
}

fn full(file: &str, operation: DiskOperation) -> DiskError {
    DiskError::new(file, operation, FailureKind::Full, "no room")
}
