//! Malformed bytes are rejected, and a node handles any message in any state.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ironmast_overlay::{Action, Descriptor, Event, Locality, Message, Overlay, Role, Settings};
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

/// Bytes that often decode as a message: a variant, then small numbers.
fn encoded() -> impl Strategy<Value = Vec<u8>> {
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

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn node_handles_any_message_in_any_state(inputs in proptest::collection::vec(encoded(), 1..12), agent in any::<bool>()) {
        let role = if agent { Role::Agent } else { Role::Coordinator };
        let mut now = Duration::from_secs(1);
        let mut overlay = Overlay::new(node(1, role), Settings::default(), 1, now);
        let peer = node(2, Role::Coordinator);
        dispatch(&mut overlay, &mut now, Event::Connected(peer.address));
        dispatch(&mut overlay, &mut now, Event::Message { from: peer.address, message: Message::Hello { node: peer } });
        for input in inputs {
            if let Ok(message) = postcard::from_bytes::<Message>(&input) {
                let again = postcard::to_stdvec(&message).expect("serializable");
                prop_assert_eq!(&postcard::from_bytes::<Message>(&again).expect("the same"), &message);
                dispatch(&mut overlay, &mut now, Event::Message { from: peer.address, message });
            }
            let actions = dispatch(&mut overlay, &mut now, Event::Timer);
            let is_later = |action: &Action| !matches!(action, Action::Timer(at) if *at <= now);
            prop_assert!(actions.iter().all(is_later));
        }
    }
}
