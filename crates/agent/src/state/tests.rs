//! What an agent holds and tells its gate.

use std::path::Path;

use ironmast_schema::control::ControlState;

use super::*;

fn state() -> State {
    let text = "node_name: a\nip_address: 10.0.0.1\nzone: z\nregion: r\ninternal_port_range: [7000, 7009]\n";
    State::new(&Settings::parse(Path::new("local.yaml"), text).expect("sound"))
}

fn control(version: u64) -> Entry {
    Entry {
        key: Key::Control,
        version,
        value: Value::Control(ControlState::default()),
    }
}

fn frontend() -> SocketAddr {
    "10.0.0.1:80".parse().expect("an address")
}

/// What a gate is told.
fn told(queue: &mut mpsc::UnboundedReceiver<ToGate>) -> Vec<Vec<Entry>> {
    std::iter::from_fn(|| queue.try_recv().ok())
        .map(|ToGate::Entries(entries)| entries)
        .collect()
}

#[test]
fn a_gate_gets_all_first_and_then_only_news() {
    let mut state = state();
    state.merge(vec![control(3)]);
    let (gate, mut queue) = mpsc::unbounded_channel();
    state.subscribe(gate);
    for version in [2, 3, 4, 4] {
        state.merge(vec![control(version)]);
    }
    assert_eq!(told(&mut queue), [vec![control(3)], vec![control(4)]]);
}

#[test]
fn a_gate_that_starts_before_there_is_news_gets_an_empty_frame() {
    let mut state = state();
    let (gate, mut queue) = mpsc::unbounded_channel();
    state.subscribe(gate);
    assert_eq!(told(&mut queue), [vec![]]);
}

#[test]
fn each_status_leaves_room_for_silence_and_removal() {
    let mut state = state();
    state.status(frontend(), true, false);
    let first = state.status.borrow().as_ref().expect("told").version;
    let second = state.repeat_status().expect("told").version;
    assert!(second > first + 2);
}

/// An earlier life of the agent has used higher versions.
#[test]
fn versions_go_on_above_those_of_an_earlier_life() {
    let mut state = state();
    state.status(frontend(), true, false);
    let own = state.status.borrow().clone().expect("told");
    let earlier = Entry {
        version: own.version + 1_000,
        ..own
    };
    state.merge(vec![earlier.clone()]);
    assert!(state.repeat_status().expect("told").version > earlier.version + 2);
}
