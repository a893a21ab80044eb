//! Whatever bytes a coordinator, an agent or a gate is sent, reading them as a frame, a message of the register or a
//! record ends soon, without a panic and without memory that the bytes don't account for.

use std::net::SocketAddr;

use ironmast_register::message::{Ask, Body, Request};
use ironmast_register::{Ballot, Identity, Message, Record};
use ironmast_schema::control::{
    ControlState, Entry, FromCoordinator, FromGate, GateRecord, Hello, Key, ToCoordinator, ToGate, Value,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde::Serialize;

/// A value of the register such as the coordinator's: bytes, and collections of pieces.
type Control = (Vec<u8>, Vec<String>);

/// Most memory, in KiB, that reading may reserve at a time: serde reserves up to 1 MiB for a collection whose length it
/// has only been told.
const MEMORY_MOST: u64 = 64 << 10;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record() -> Record<Control> {
    let members = [address(7_000), address(7_001), address(7_002)];
    Record::bootstrap(address(7_001), &members, (vec![7; 40], vec!["z".to_owned(); 3]))
}

fn bytes(frame: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(frame).expect("written")
}

fn register_messages() -> Vec<Vec<u8>> {
    let proposal = record().accepted.expect("initial");
    let accept = Request { round: 9, to: Identity(1), ask: Ask::Accept { proposal: proposal.clone() } };
    let bodies = [Body::Request(accept), Body::State(proposal), Body::Fetch { known: Ballot::ZERO }];
    let message = |body| Message { sender: Identity(3), address: address(7_000), body };
    bodies.into_iter().map(|body| bytes(&message(body))).collect()
}

fn frames() -> Vec<Vec<u8>> {
    let gate = GateRecord { zone: "z".to_owned(), region: "r".to_owned(), ready: true, gone: false };
    let control = ControlState { configuration: None, evacuated: vec!["z".to_owned(); 2] };
    let entries = vec![
        Entry { key: Key::Control, version: 3, value: Value::Control(control) },
        Entry { key: Key::Gate(address(80)), version: 300, value: Value::Gate(gate) },
    ];
    let heard = vec![(Key::Instance("i-1".to_owned()), 4), (Key::Control, 5)];
    let coordinators = vec![address(7_000), address(7_001)];
    vec![
        bytes(&ToCoordinator::Hello(Hello { protocol: 1, coordinator: Some(address(7_000)) })),
        bytes(&ToCoordinator::Entries(entries.clone())),
        bytes(&ToCoordinator::Register(register_messages().remove(0))),
        bytes(&ToCoordinator::Alive(heard.clone())),
        bytes(&FromCoordinator::Alive { coordinators, heard, in_contact: true }),
        bytes(&ToGate::Entries(entries)),
        bytes(&FromGate::Status { frontend: address(80), ready: true }),
    ]
}

fn samples() -> Vec<Vec<u8>> {
    let mut samples = register_messages();
    samples.extend(frames());
    samples.push(bytes(&record()));
    samples
}

/// Reads bytes as everything that comes from another process or from the disk.
fn read(bytes: &[u8]) {
    let _any = postcard::from_bytes::<Message<Control>>(bytes);
    let _any = postcard::from_bytes::<Record<Control>>(bytes);
    let _any = postcard::from_bytes::<ToCoordinator>(bytes);
    let _any = postcard::from_bytes::<FromCoordinator>(bytes);
    let _any = postcard::from_bytes::<ToGate>(bytes);
    let _any = postcard::from_bytes::<FromGate>(bytes);
}

/// The most memory, in KiB, that this process has reserved at a time, touched or not.
fn memory_peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmPeak:")).expect("a peak");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

/// The same cases at every run.
fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(2);
    ProptestConfig { cases: 3_000, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..400)) {
        read(&bytes);
    }

    #[test]
    fn changed_frames_are_read_or_refused(
        which in any::<Index>(),
        changes in vec((any::<Index>(), any::<u8>()), 1..6),
        cut in any::<Index>(),
    ) {
        let mut samples = samples();
        let mut bytes = samples.swap_remove(which.index(samples.len()));
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        read(&bytes);
        read(&bytes[..cut.index(bytes.len())]);
    }
}

/// Every byte of every frame is taken for the start of a length of 4 GB, of 2^42, and of 2^63.
#[test]
fn a_length_of_gigabytes_reserves_no_memory() {
    let lengths: [&[u8]; 3] = [
        &[0xff, 0xff, 0xff, 0xff, 0x0f],
        &[0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
        &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
    ];
    let before = memory_peak();
    for sample in samples() {
        for at in 0..sample.len() {
            for length in lengths {
                let mut bytes = sample[..at].to_vec();
                bytes.extend(length);
                bytes.extend([1, 0, 0]);
                read(&bytes);
            }
        }
    }
    let reserved = memory_peak() - before;
    assert!(reserved < MEMORY_MOST, "{reserved} KiB");
}
