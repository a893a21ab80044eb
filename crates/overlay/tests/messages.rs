//! Stability of the wire format of messages (variant tags, order of fields), and robustness: a node
//! handles any message that decodes in any state without a panic.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ironmast_overlay::{
    Action, Descriptor, Event, Heartbeat, Locality, Message, Overlay, Role, RootHeartbeat,
    Settings, Store, TreePosition, Version,
};
use proptest::prelude::*;

fn node(index: u8, role: Role) -> Descriptor {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, index), 7_000));
    Descriptor {
        address,
        locality: Locality::from_names("north", "hall"),
        role,
        incarnation: 1,
    }
}

/// Random bytes that often decode as a message: a variant tag, then mostly small numbers.
fn random_message_bytes() -> impl Strategy<Value = Vec<u8>> {
    let number = prop_oneof![0u8..4, 0u8..20, any::<u8>()];
    (0u8..18, proptest::collection::vec(number, 0..80)).prop_map(|(variant, rest)| {
        let mut bytes = vec![variant];
        bytes.extend(rest);
        bytes
    })
}

fn dispatch(overlay: &mut Overlay, now: &mut Duration, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    *now += Duration::from_millis(130);
    overlay.handle(*now, event, &mut actions);
    actions
}

/// One message of each variant, in the order of the wire format.
fn one_of_each_variant() -> Vec<Message> {
    let sample = Vec::new;
    let heartbeat = Heartbeat {
        sequence: 1,
        echo: 0,
        position: TreePosition::Detached,
        spare_capacity: 0,
        is_successor: false,
        root_hash: 0,
        root_heartbeats: Vec::new(),
    };
    let buckets = Store::new(Duration::ZERO).digest();
    let node = node(1, Role::Agent);
    vec![
        Message::Hello { node },
        Message::Nodes { sample: sample() },
        Message::LinkRejected { sample: sample() },
        Message::Heartbeat(heartbeat),
        Message::Graft { root_hash: 0 },
        Message::GraftAccepted,
        Message::GraftRejected { sample: sample() },
        Message::Prune,
        Message::Entries {
            entries: Vec::new(),
            pushed: true,
            more: false,
        },
        Message::Announce {
            versions: Vec::new(),
        },
        Message::Request { keys: Vec::new() },
        Message::Digest { root_hash: 0 },
        Message::Buckets(buckets),
        Message::VersionList {
            mask: 0,
            versions: Vec::new(),
        },
        Message::Shuffle {
            sample: sample(),
            is_reply: false,
        },
        Message::Joined { node, hops: 0 },
        Message::Leave,
    ]
}

#[test]
fn message_variants_keep_their_wire_tags() {
    for (tag, message) in one_of_each_variant().iter().enumerate() {
        let bytes = postcard::to_stdvec(message).expect("serializable");
        assert_eq!(usize::from(bytes[0]), tag, "{message:?}");
    }
}

#[test]
fn heartbeat_fields_keep_their_wire_order() {
    let heartbeat = Heartbeat {
        sequence: 1,
        echo: 2,
        position: TreePosition::Descendant {
            path: vec![3],
            region_head: 4,
            zone_head: 5,
            in_contact: true,
        },
        spare_capacity: 6,
        is_successor: true,
        root_hash: 7,
        root_heartbeats: vec![RootHeartbeat {
            coordinator: 8,
            elapsed_ms: 9,
        }],
    };
    let bytes = postcard::to_stdvec(&Message::Heartbeat(heartbeat)).expect("serializable");
    assert_eq!(bytes, [3, 1, 2, 2, 1, 3, 4, 5, 1, 6, 1, 7, 1, 8, 9]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn node_handles_any_message_in_any_state(inputs in proptest::collection::vec(random_message_bytes(), 1..12), agent in any::<bool>()) {
        let role = if agent { Role::Agent } else { Role::Coordinator };
        let mut now = Duration::from_secs(1);
        let mut overlay = Overlay::new(node(1, role), Settings::default(), 1, now);
        let peer = node(2, Role::Coordinator);
        dispatch(&mut overlay, &mut now, Event::Connected(peer.address));
        dispatch(&mut overlay, &mut now, Event::Message { from: peer.address, message: Message::Hello { node: peer } });
        for input in inputs {
            if let Ok(message) = postcard::from_bytes::<Message>(&input) {
                let reencoded = postcard::to_stdvec(&message).expect("serializable");
                prop_assert_eq!(&postcard::from_bytes::<Message>(&reencoded).expect("a re-encoded message decodes"), &message);
                dispatch(&mut overlay, &mut now, Event::Message { from: peer.address, message });
            }
            let actions = dispatch(&mut overlay, &mut now, Event::Timer);
            let is_later = |action: &Action| !matches!(action, Action::Timer(at) if *at <= now);
            prop_assert!(actions.iter().all(is_later));
        }
    }
}

/// Earlier releases encode a version as a plain integer; mixed releases must decode each other.
#[test]
fn a_version_is_encoded_as_its_number() {
    for number in [0, 1, 127, 128, u64::MAX] {
        let encoded = postcard::to_stdvec(&Version(number)).expect("serializable");
        assert_eq!(encoded, postcard::to_stdvec(&number).expect("serializable"));
        let decoded: Version = postcard::from_bytes(&encoded).expect("a version");
        assert_eq!(decoded, Version(number));
    }
}
