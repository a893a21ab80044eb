//! A log, a writer and an identity on a real disk.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use ironmast_storage::{IdentityFile, Log, LogSettings, RealDisk, Recovered, Supersedes, Writer};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Register {
    ballot: u64,
    value: Vec<u8>,
}

impl Supersedes for Register {
    fn supersedes(&self, _earlier: &Self) -> bool {
        true
    }
}

fn settings() -> LogSettings {
    LogSettings::new("register", 128 << 20).expect("settings")
}

fn disk(folder: &tempfile::TempDir) -> Arc<RealDisk> {
    Arc::new(RealDisk::open(folder.path()).expect("folder"))
}

#[test]
fn submitted_records_are_recovered_and_completed_in_order() {
    let folder = tempfile::tempdir().expect("folder");
    let (log, found) = Log::<Register>::open(disk(&folder), settings()).expect("open");
    assert_eq!(found, Recovered::Empty);
    let (sender, completions) = mpsc::channel();
    let writer = Writer::spawn(
        log,
        || Duration::ZERO,
        move |completion| sender.send(completion).expect("receiver"),
    )
    .expect("thread");
    for ballot in 0..200 {
        writer.submit(
            Register {
                ballot,
                value: vec![7; 50_000],
            },
            ballot,
        );
    }
    writer.finish();
    let tokens: Vec<u64> = completions
        .iter()
        .map(|completion| {
            completion
                .result
                .map(|()| completion.token)
                .expect("durable")
        })
        .collect();
    assert_eq!(tokens, (0..200).collect::<Vec<_>>());
    let (_log, found) = Log::<Register>::open(disk(&folder), settings()).expect("open");
    let record = Register {
        ballot: 199,
        value: vec![7; 50_000],
    };
    assert_eq!(
        found,
        Recovered::Found {
            record,
            durable: true,
            dropped_bytes: 0
        }
    );
}

#[test]
fn the_identity_is_stored_once_beside_the_log() {
    let folder = tempfile::tempdir().expect("folder");
    let mut identity = IdentityFile::<u64>::open(disk(&folder)).expect("open");
    assert_eq!(identity.get(), None);
    identity.store(42).expect("store");
    assert!(identity.store(43).is_err());
    let identity = IdentityFile::<u64>::open(disk(&folder)).expect("open");
    assert_eq!((identity.get(), identity.is_durable()), (Some(&42), true));
}
