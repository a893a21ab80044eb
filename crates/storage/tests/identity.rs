//! A stored identity is kept through power losses, full disks and restarts.

use std::sync::Arc;

use assert_matches::assert_matches;
use ironmast_storage::testing::FaultyDisk;
use ironmast_storage::{Disk, IdentityError, IdentityFile, LogError};

fn open(disk: &Arc<FaultyDisk>) -> IdentityFile<(u64, String)> {
    let disk: Arc<dyn Disk> = disk.clone();
    IdentityFile::open(disk).expect("open")
}

fn identity(number: u64) -> (u64, String) {
    (number, "127.0.0.1:8146".to_owned())
}

#[test]
fn a_stored_identity_survives_power_loss_at_any_operation() {
    for seed in 0..200 {
        let disk = Arc::new(FaultyDisk::new(seed));
        disk.stop_after(seed % 20);
        let stored = IdentityFile::open(disk.clone() as Arc<dyn Disk>)
            .map(|mut file| file.store(identity(1)));
        disk.lose_power();
        let mut file = open(&disk);
        if matches!(stored, Ok(Ok(()))) {
            assert_eq!(file.get(), Some(&identity(1)));
        }
        if file.get().is_none() {
            file.store(identity(2)).expect("store");
        }
        let kept = file.get().cloned();
        disk.lose_power();
        assert_eq!(open(&disk).get(), kept.as_ref());
    }
}

#[test]
fn an_identity_read_on_a_full_disk_becomes_durable_once_there_is_space() {
    let disk = Arc::new(FaultyDisk::new(1));
    open(&disk).store(identity(1)).expect("store");
    disk.set_full(true);
    let mut file = open(&disk);
    assert_eq!((file.get(), file.is_durable()), (Some(&identity(1)), false));
    assert_matches!(
        file.make_durable(),
        Err(IdentityError::Log(LogError::Full(_)))
    );
    disk.set_full(false);
    file.make_durable().expect("make durable");
    assert!(file.is_durable());
}

#[test]
fn an_identity_is_only_replaced_after_erasure() {
    let disk = Arc::new(FaultyDisk::new(1));
    let mut file = open(&disk);
    assert_eq!(file.make_durable(), Err(IdentityError::NotStored));
    file.store(identity(1)).expect("store");
    assert_eq!(file.store(identity(2)), Err(IdentityError::AlreadyStored));
    IdentityFile::<(u64, String)>::erase(disk.as_ref()).expect("erase");
    disk.lose_power();
    assert_eq!(open(&disk).get(), None);
}
