//! Recovery of the record at start.

use std::fs;
use std::path::PathBuf;

use assert_matches::assert_matches;
use ironmast_register::Identity;
use slog::{Discard, o};

use super::*;

mod stored_format;

const DISK_MB: u64 = 8;

fn open(folder: &Path) -> OpenedLog {
    RegisterLog::open(folder, DISK_MB, &Logger::root(Discard, o!())).expect("open")
}

/// Opens the log and writes a record durably.
fn write(folder: &Path, identity: u64) {
    let OpenedLog {
        register_log,
        mut completions,
        ..
    } = open(folder);
    register_log.write(Record::empty(Identity(identity)), 1);
    let completion = completions.blocking_recv().expect("a completion");
    assert_eq!((completion.token, completion.result), (1, Ok(())));
}

fn files(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .expect("folder")
        .map(|entry| entry.expect("entry").path());
    entries
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == ending)
        })
        .collect()
}

#[test]
fn a_written_record_is_recovered_as_durable() {
    let folder = tempfile::tempdir().expect("folder");
    assert_matches!(open(folder.path()).recovered, RecoveredRecord::Missing);
    write(folder.path(), 5);
    assert_matches!(open(folder.path()).recovered, RecoveredRecord::Durable(record) if record.identity == Identity(5));
}

/// Later starts must not treat the folder as one that has never held a record: with `bootstrap`
/// set, the replica would start as an initial member although its earlier votes are lost.
#[test]
fn a_corrupted_record_is_kept_under_another_name_and_reported_at_later_starts() {
    let folder = tempfile::tempdir().expect("folder");
    write(folder.path(), 5);
    let segment = files(folder.path(), "segment").remove(0);
    let mut bytes = fs::read(&segment).expect("read");
    bytes[30] ^= 1;
    fs::write(&segment, &bytes).expect("written");
    assert_matches!(open(folder.path()).recovered, RecoveredRecord::Corrupted);
    let kept = files(folder.path(), "damaged");
    assert_eq!(kept.len(), 1);
    assert_eq!(fs::read(&kept[0]).expect("read"), bytes);
    assert_matches!(
        open(folder.path()).recovered,
        RecoveredRecord::Corrupted,
        "before anything else was written"
    );
    write(folder.path(), 6);
    assert_matches!(open(folder.path()).recovered, RecoveredRecord::Durable(record) if record.identity == Identity(6));
}
