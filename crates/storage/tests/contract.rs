//! All implementations of `Disk` fulfil its contract.

use std::sync::Arc;

use ironmast_storage::RealDisk;
use ironmast_storage::testing::{FaultyDisk, MemoryDisk, check_disk_contract};

#[test]
fn a_real_disk_fulfils_the_contract() {
    let mut folders = Vec::new();
    check_disk_contract(|| {
        folders.push(tempfile::tempdir().expect("folder"));
        let folder = folders.last().expect("folder");
        Arc::new(RealDisk::open(folder.path()).expect("open"))
    });
}

#[test]
fn a_memory_disk_fulfils_the_contract() {
    check_disk_contract(|| Arc::new(MemoryDisk::new(1 << 20)));
}

#[test]
fn a_faulty_disk_without_faults_fulfils_the_contract() {
    check_disk_contract(|| Arc::new(FaultyDisk::new(7)));
}
