//! Frames survive encoding and decoding unchanged, and truncated frames are rejected.

use std::fmt::Debug;
use std::net::Ipv4Addr;

use proptest::prelude::*;
use serde::de::DeserializeOwned;

use super::*;
use crate::registration::InstanceState;

fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(frame: &T) {
    let bytes = postcard::to_stdvec(frame).expect("encoded");
    let decoded: T = postcard::from_bytes(&bytes).expect("decoded");
    assert_eq!(&decoded, frame);
    if let Some(shortened) = bytes.len().checked_sub(1) {
        assert!(
            postcard::from_bytes::<T>(&bytes[..shortened]).is_err(),
            "a truncated frame was decoded"
        );
    }
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::from((Ipv4Addr::from(ip), port)))
}

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        Just(Key::Control),
        ".{0,12}".prop_map(Key::Instance),
        address().prop_map(Key::Gate)
    ]
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    (
        ".{0,8}",
        address(),
        0.0..1e6,
        any::<u64>(),
        prop::option::of(0.0..1e6),
        any::<bool>(),
    )
        .prop_map(
            |(name, address, warmup_left_ms, sequence, remaining_ms, is_draining)| Heartbeat {
                backend: name.clone(),
                address,
                zone: name.clone(),
                generation: name,
                capacity: sequence / 2,
                state: if is_draining {
                    InstanceState::Draining
                } else {
                    InstanceState::Ready
                },
                warmup_left_ms,
                sequence,
                remaining_ms,
            },
        )
}

fn configuration() -> Option<Configuration> {
    let body =
        br#"{"generation":3,"routes":[{"name":"r","hostname":"h","path_prefix":"/","type":"safe",
        "timeout_ms":5,"traffic_split":[{"backend":"s","weight":0.5}]}],
        "services":[{"name":"s","runtime":{"capacity":2}}]}"#;
    Configuration::parse(body).ok()
}

fn value() -> impl Strategy<Value = Value> {
    let liveness = prop_oneof![
        Just(Liveness::Alive),
        Just(Liveness::Unreachable),
        Just(Liveness::Deregistered)
    ];
    prop_oneof![
        (any::<bool>(), prop::collection::vec(".{0,8}", 0..3)).prop_map(
            |(is_configured, evacuated)| {
                let configuration = configuration().filter(|_| is_configured);
                Value::Control(ControlState {
                    configuration,
                    evacuated,
                })
            }
        ),
        (heartbeat(), liveness).prop_map(|(heartbeat, liveness)| Value::Instance(InstanceRecord {
            heartbeat,
            liveness
        })),
        (".{0,8}", any::<bool>(), any::<bool>()).prop_map(|(zone, ready, down)| {
            Value::Gate(GateRecord {
                region: zone.clone(),
                zone,
                ready,
                down,
            })
        }),
    ]
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let entry = (key(), any::<u64>(), value()).prop_map(|(key, version, value)| Entry {
        key,
        version,
        value,
    });
    prop::collection::vec(entry, 0..4)
}

fn observed() -> impl Strategy<Value = Vec<Observation>> {
    let observation =
        (key(), any::<u64>()).prop_map(|(key, sequence)| Observation { key, sequence });
    prop::collection::vec(observation, 0..4)
}

#[test]
fn the_strategies_include_a_configuration() {
    assert!(configuration().is_some());
}

proptest! {
    #[test]
    fn entry_frames_round_trip(entries in entries()) {
        assert_round_trip(&ToCoordinator::Entries(entries.clone()));
        assert_round_trip(&ToGate::Entries(entries));
    }

    #[test]
    fn frames_to_a_coordinator_round_trip(
        observed in observed(),
        bytes: Vec<u8>,
        protocol: u16,
        coordinator in prop::option::of(address()),
    ) {
        assert_round_trip(&ToCoordinator::KeepAlive(observed));
        assert_round_trip(&ToCoordinator::Register(bytes));
        assert_round_trip(&ToCoordinator::Hello(Hello { protocol, coordinator }));
    }

    #[test]
    fn readability_round_trips(
        coordinator in address(),
        unreadable_generation in prop::option::of(any::<u64>()),
    ) {
        let readability = Readability { coordinator, unreadable_generation };
        assert_round_trip(&ToCoordinator::Readability(readability));
    }

    #[test]
    fn frames_from_a_coordinator_round_trip(
        observed in observed(),
        coordinators in prop::collection::vec(address(), 0..5),
        in_contact: bool,
    ) {
        assert_round_trip(&FromCoordinator::KeepAlive { coordinators, observed, in_contact });
    }

    #[test]
    fn frames_from_a_gate_round_trip(frontend in address(), ready: bool) {
        assert_round_trip(&FromGate::Status { frontend, ready });
    }

    /// Earlier releases send observations as pairs; both encodings must be the same.
    #[test]
    fn an_observation_is_encoded_as_a_pair_of_key_and_sequence(key in key(), sequence: u64) {
        let observation = Observation { key: key.clone(), sequence };
        prop_assert_eq!(
            postcard::to_stdvec(&observation).expect("encoded"),
            postcard::to_stdvec(&(key, sequence)).expect("encoded")
        );
    }
}
