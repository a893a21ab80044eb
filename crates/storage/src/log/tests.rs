//! Random histories of appends, syncs, power losses, kills and disk failures: the recovered record
//! never contradicts what was reported as durable.

mod failures;
mod history;
mod quarantine;

use std::sync::Arc;

use crate::disk::Disk;
use crate::scan::Checksums;
use crate::settings::{AfterFailure, Guards, LogSettings, OnOpen};
use crate::testing::{FaultyDisk, Safeguard, UnsafeDisk};
use history::{Setup, Violation, run_history};

/// Number of histories per test.
const HISTORIES: u64 = 4_000;

fn settings() -> LogSettings {
    LogSettings::new_unchecked("history", 4096)
}

fn unchanged(disk: Arc<FaultyDisk>) -> Arc<dyn Disk> {
    disk
}

fn guards(change: impl Fn(&mut Guards)) -> LogSettings {
    let mut settings = settings();
    change(&mut settings.guards);
    settings
}

/// The first violation among all histories, with its seed.
fn first_violation(setup: &Setup) -> Option<(u64, Violation)> {
    (0..HISTORIES).find_map(|seed| {
        run_history(seed, setup)
            .err()
            .map(|violation| (seed, violation))
    })
}

fn without_safeguard(omitted: Safeguard) -> Setup {
    Setup {
        settings: settings(),
        wrap_disk: Box::new(move |disk| Arc::new(UnsafeDisk::new(disk, omitted))),
    }
}

fn assert_detected(setup: &Setup) {
    let violation = first_violation(setup);
    assert!(
        violation.is_some(),
        "no history detects the missing safeguard"
    );
}

#[test]
fn durable_records_are_recovered_and_no_others() {
    let setup = Setup {
        settings: settings(),
        wrap_disk: Box::new(unchanged),
    };
    assert_eq!(first_violation(&setup), None);
}

#[test]
fn histories_detect_a_folder_that_is_not_synced() {
    assert_detected(&without_safeguard(Safeguard::FolderSync));
}

#[test]
fn histories_detect_files_that_are_not_synced() {
    assert_detected(&without_safeguard(Safeguard::FileSync));
}

#[test]
fn histories_detect_a_failed_sync_that_is_retried() {
    assert_detected(&without_safeguard(Safeguard::StopAfterFailedSync));
}

#[test]
fn histories_detect_a_log_that_continues_after_a_failure() {
    let settings = guards(|guards| guards.after_failure = AfterFailure::ContinueWriting);
    assert_detected(&Setup {
        settings,
        wrap_disk: Box::new(unchanged),
    });
}

#[test]
fn histories_detect_frames_that_are_not_checked() {
    let settings = guards(|guards| guards.checksums = Checksums::Ignore);
    assert_detected(&Setup {
        settings,
        wrap_disk: Box::new(unchanged),
    });
}

#[test]
fn histories_detect_records_appended_after_a_torn_end() {
    let settings = guards(|guards| guards.on_open = OnOpen::AppendAfterTornEnd);
    assert_detected(&Setup {
        settings,
        wrap_disk: Box::new(unchanged),
    });
}

#[test]
fn histories_detect_a_record_trusted_as_read_from_the_page_cache() {
    let settings = guards(|guards| guards.on_open = OnOpen::Trust);
    assert_detected(&Setup {
        settings,
        wrap_disk: Box::new(unchanged),
    });
}
