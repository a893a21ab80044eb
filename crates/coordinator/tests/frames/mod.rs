//! Encoded samples of all types that are received from another process or read from disk.

use std::net::SocketAddr;

use ironmast_register::message::{MessageBody, Request, RequestBody, RoundId};
use ironmast_register::{Ballot, Identity, Message, Record};
use ironmast_schema::control::{
    ControlState, Entry, FromCoordinator, FromGate, GateRecord, Hello, Key, Observation,
    Readability, ToCoordinator, ToGate, Value,
};
use serde::Serialize;

/// A register value similar to the coordinator's: bytes and a collection.
type Control = (Vec<u8>, Vec<String>);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record() -> Record<Control> {
    let members = [address(7_000), address(7_001), address(7_002)];
    Record::bootstrap(
        address(7_001),
        &members,
        (vec![7; 40], vec!["z".to_owned(); 3]),
    )
}

fn bytes(frame: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(frame).expect("written")
}

fn register_messages() -> Vec<Vec<u8>> {
    let proposal = record().accepted.expect("initial");
    let accept = Request {
        round: RoundId(9),
        to: Identity(1),
        body: RequestBody::Accept {
            proposal: proposal.clone(),
        },
    };
    let bodies = [
        MessageBody::Request(accept),
        MessageBody::ChosenState(proposal),
        MessageBody::FetchState {
            known: Ballot::ZERO,
        },
    ];
    let message = |body| Message {
        sender: Identity(3),
        address: address(7_000),
        body,
    };
    bodies
        .into_iter()
        .map(|body| bytes(&message(body)))
        .collect()
}

fn frames() -> Vec<Vec<u8>> {
    let gate = GateRecord {
        zone: "z".to_owned(),
        region: "r".to_owned(),
        ready: true,
        down: false,
    };
    let control = ControlState {
        configuration: None,
        evacuated: vec!["z".to_owned(); 2],
    };
    let entries = vec![
        Entry {
            key: Key::Control,
            version: 3,
            value: Value::Control(control),
        },
        Entry {
            key: Key::Gate(address(80)),
            version: 300,
            value: Value::Gate(gate),
        },
    ];
    let observation = |key, sequence| Observation { key, sequence };
    let observed = vec![
        observation(Key::Instance("i-1".to_owned()), 4),
        observation(Key::Control, 5),
    ];
    let coordinators = vec![address(7_000), address(7_001)];
    vec![
        bytes(&ToCoordinator::Hello(Hello {
            protocol: 1,
            coordinator: Some(address(7_000)),
        })),
        bytes(&ToCoordinator::Entries(entries.clone())),
        bytes(&ToCoordinator::Register(register_messages().remove(0))),
        bytes(&ToCoordinator::KeepAlive(observed.clone())),
        bytes(&ToCoordinator::Readability(Readability {
            coordinator: address(7_000),
            unreadable_generation: Some(9),
        })),
        bytes(&FromCoordinator::KeepAlive {
            coordinators,
            observed,
            in_contact: true,
        }),
        bytes(&ToGate::Entries(entries)),
        bytes(&FromGate::Status {
            frontend: address(80),
            ready: true,
        }),
    ]
}

/// Encoded samples of frames, register messages and a record.
pub(crate) fn samples() -> Vec<Vec<u8>> {
    let mut samples = register_messages();
    samples.extend(frames());
    samples.push(bytes(&record()));
    samples
}

/// Decodes bytes as each type that is received from another process or read from disk.
pub(crate) fn decode_as_all_types(bytes: &[u8]) {
    let _any = postcard::from_bytes::<Message<Control>>(bytes);
    let _any = postcard::from_bytes::<Record<Control>>(bytes);
    let _any = postcard::from_bytes::<ToCoordinator>(bytes);
    let _any = postcard::from_bytes::<FromCoordinator>(bytes);
    let _any = postcard::from_bytes::<ToGate>(bytes);
    let _any = postcard::from_bytes::<FromGate>(bytes);
}
