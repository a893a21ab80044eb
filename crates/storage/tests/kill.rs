//! A process that is killed while it writes recovers the records that it reported as durable, on a
//! real disk.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use ironmast_storage::{Log, LogSettings, RealDisk, Recovered};

/// The environment variable with the child's folder.
const FOLDER_VARIABLE: &str = "IRONMAST_STORAGE_TEST_FOLDER";
/// Prefix of the lines in which the child reports a durable number.
const DURABLE_PREFIX: &str = "durable ";
/// Number of kills in a row, on one folder.
const KILLS: u64 = 8;

type Record = (u64, String);

fn open(folder: &Path) -> (Log<Record>, Recovered<Record>) {
    let disk = Arc::new(RealDisk::open(folder).expect("folder"));
    Log::open(
        disk,
        LogSettings::with_space("kill", 1 << 20).expect("settings"),
    )
    .expect("open")
}

/// The child process: writes and reports until it is killed.
#[test]
#[ignore = "child process of a_killed_process_recovers_the_records_it_reported"]
fn writes_until_killed() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else {
        return;
    };
    let (mut log, recovered) = open(Path::new(&folder));
    let first = match recovered {
        Recovered::Empty => 0,
        Recovered::Found { record, .. } => record.0 + 1,
    };
    for number in first.. {
        log.append(&(number, "x".repeat(20_000))).expect("append");
        log.sync().expect("sync");
        println!("\n{DURABLE_PREFIX}{number}");
    }
}

fn start(folder: &Path) -> Child {
    Command::new(std::env::current_exe().expect("program"))
        .args(["--ignored", "--exact", "writes_until_killed", "--nocapture"])
        .env(FOLDER_VARIABLE, folder)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("child")
}

/// Kills the child after some reports and returns the last one.
fn kill_after(mut child: Child, reports: usize) -> u64 {
    let lines = BufReader::new(child.stdout.take().expect("output"))
        .lines()
        .map_while(Result::ok);
    let mut durable = lines.filter_map(|line| line.strip_prefix(DURABLE_PREFIX)?.parse().ok());
    let read = durable.nth(reports);
    child.kill().expect("kill");
    let last = durable.last().or(read);
    child.wait().expect("wait");
    last.expect("the child reports")
}

#[test]
fn a_killed_process_recovers_the_records_it_reported() {
    let folder = tempfile::tempdir().expect("folder");
    for kill in 0..KILLS {
        let reported = kill_after(start(folder.path()), 3 + 7 * kill as usize);
        let (_, recovered) = open(folder.path());
        let Recovered::Found {
            record, durable, ..
        } = recovered
        else {
            panic!("nothing found")
        };
        assert!(durable);
        assert!(
            record.0 == reported || record.0 == reported + 1,
            "{} after {reported}",
            record.0
        );
        assert_eq!(record.1.len(), 20_000);
    }
}
