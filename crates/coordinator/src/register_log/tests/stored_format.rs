//! Data written by an earlier release stays readable: opens a copy of a folder that the coordinator
//! of commit 7495a81 wrote, and compares every value read (see the README beside the fixture).
//!
//! The expected values are those that the earlier release itself read from the same folder. Records
//! are encoded by position, so these tests must fail when a field moves or a type changes.

use std::net::SocketAddr;

use ironmast_register::{Ballot, Decision, Replica, State};

use super::*;
use crate::value::ConfigurationDocument;

/// Disk size in MB in the settings with which the earlier release wrote the fixture.
const FIXTURE_DISK_MB: u64 = 1;
/// Identities of the three replicas, by the last byte of their address.
const IDENTITIES: [Identity; 3] = [
    Identity(15_115_110_861_393_512_761),
    Identity(1_966_442_572_633_425_088),
    Identity(8_243_545_976_706_508_931),
];
/// Generation of the first configuration, and the step from each to the next.
const GENERATION_STEP: u64 = 3;
const LAST_GENERATION: u64 = 186;

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/register-log-7495a81")
}

/// A copy of the fixture's segments in a folder of its own: opening a log writes to its folder.
fn copy_of_fixture() -> tempfile::TempDir {
    let copy = tempfile::tempdir().expect("folder");
    for segment in files(&fixture(), "segment") {
        let name = segment.file_name().expect("file name");
        fs::copy(&segment, copy.path().join(name)).expect("copied");
    }
    copy
}

fn read_record(folder: &Path) -> RecoveredRecord {
    let log = Logger::root(Discard, o!());
    RegisterLog::open(folder, FIXTURE_DISK_MB, &log)
        .expect("open")
        .recovered
}

fn durable_record() -> Record<ControlValue> {
    match read_record(copy_of_fixture().path()) {
        RecoveredRecord::Durable(record) => record,
        other => panic!("not durable: {other:?}"),
    }
}

fn accepted_state() -> Arc<State<ControlValue>> {
    let accepted = durable_record().accepted;
    accepted.expect("an accepted proposal").state
}

fn last_document() -> ConfigurationDocument {
    ConfigurationDocument {
        generation: LAST_GENERATION,
        body: fs::read(fixture().join("configuration.json")).expect("configuration"),
    }
}

/// The configuration with this generation as it was sent. All configurations of the fixture differ
/// only in the generation, which occurs twice in each.
fn document(generation: u64) -> ConfigurationDocument {
    let last = String::from_utf8(last_document().body).expect("UTF-8");
    let body = last.replace(&LAST_GENERATION.to_string(), &generation.to_string());
    ConfigurationDocument {
        generation,
        body: body.into_bytes(),
    }
}

#[test]
fn identity_ballots_and_reservation_of_an_earlier_release_are_read() {
    let record = durable_record();
    let own = IDENTITIES[0];
    let ballot = |counter| Ballot {
        counter,
        identity: own,
    };
    assert_eq!(record.identity, own);
    assert_eq!(record.promised, ballot(68));
    assert_eq!(
        record.accepted.expect("an accepted proposal").ballot,
        ballot(67)
    );
    assert_eq!(record.reserved, 1_025);
}

#[test]
fn members_of_an_earlier_release_are_read() {
    let members = &accepted_state().members;
    let replica = |number: u8| Replica {
        identity: IDENTITIES[usize::from(number) - 1],
        address: SocketAddr::from(([127, 7, 4, number], 23_810)),
        zone: String::new(),
    };
    assert_eq!(
        members.current.replicas(),
        [replica(2), replica(3), replica(1)]
    );
    assert_eq!(members.next, None);
}

#[test]
fn sequence_and_ballot_history_of_an_earlier_release_are_read() {
    let state = accepted_state();
    assert_eq!(state.sequence, 67);
    // The coordinators took turns, five changes each.
    let proposer = |counter| match counter {
        36..=40 | 51..=55 => IDENTITIES[1],
        41..=45 | 56..=60 => IDENTITIES[2],
        _ => IDENTITIES[0],
    };
    let expected: Vec<Ballot> = (36..=67)
        .map(|counter| Ballot {
            counter,
            identity: proposer(counter),
        })
        .collect();
    assert_eq!(state.history, expected);
}

#[test]
fn configuration_and_evacuated_zones_of_an_earlier_release_are_read() {
    let value = &accepted_state().value;
    assert_eq!(value.configuration, Some(last_document()));
    assert!(value.evacuated.iter().eq(["z-north", "z-south"]));
}

/// Repeats each change that the earlier release applied or rejected.
#[test]
fn changes_answered_by_an_earlier_release_get_the_same_answer() {
    let value = &accepted_state().value;
    let generations = (GENERATION_STEP..=LAST_GENERATION).step_by(3);
    for generation in generations {
        let decision = value.configure(&document(generation), generation - GENERATION_STEP);
        assert_eq!(decision, Decision::Unchanged, "generation {generation}");
    }
    assert_matches!(
        value.configure(&document(9_000), 8_000),
        Decision::Reject(_)
    );
    assert_matches!(
        value.configure(&document(9_000), 8_001),
        Decision::RejectAndWrite { .. },
        "a change that was never sent is recorded anew"
    );
}

/// The tests above read the newest segment: a corrupted byte in it must be detected.
#[test]
fn a_damaged_byte_in_the_newest_segment_of_an_earlier_release_is_found() {
    let copy = copy_of_fixture();
    let newest = files(copy.path(), "segment")
        .into_iter()
        .max()
        .expect("a segment");
    let mut bytes = fs::read(&newest).expect("read");
    bytes[200] ^= 1;
    fs::write(&newest, bytes).expect("written");
    assert_matches!(read_record(copy.path()), RecoveredRecord::Corrupted);
}
