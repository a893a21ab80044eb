//! Which entries an agent sends to its gate, and the versions of the gate's status.

use ironmast_schema::control::{ControlState, Key, ToGate, Value};
use tokio::sync::mpsc;

use super::*;
use crate::test_support::{agent_state, ready_status};

fn control_entry(version: u64) -> Entry {
    Entry {
        key: Key::Control,
        version,
        value: Value::Control(ControlState::default()),
    }
}

/// The entries of each frame that has been sent to a gate.
fn sent_frames(queue: &mut mpsc::UnboundedReceiver<ToGate>) -> Vec<Vec<Entry>> {
    std::iter::from_fn(|| queue.try_recv().ok())
        .map(|ToGate::Entries(entries)| entries)
        .collect()
}

/// The newest status of the gate that was reported.
fn latest_status(state: &AgentState) -> Entry {
    let latest = state.gate_reporter.subscribe();
    let status = latest.borrow().clone();
    status.expect("a status was reported")
}

#[test]
fn gate_receives_all_entries_first_and_then_only_updates() {
    let mut state = agent_state();
    state.merge(vec![control_entry(3)]);
    let (gate, mut queue) = mpsc::unbounded_channel();
    state.entries.subscribe(gate);
    for version in [2, 3, 4, 4] {
        state.merge(vec![control_entry(version)]);
    }
    // Each frame with the control state is followed by a keep-alive.
    assert_eq!(
        sent_frames(&mut queue),
        [
            vec![control_entry(3)],
            vec![],
            vec![control_entry(4)],
            vec![]
        ]
    );
}

#[test]
fn gate_receives_an_empty_frame_when_there_are_no_entries() {
    let mut state = agent_state();
    let (gate, mut queue) = mpsc::unbounded_channel();
    state.entries.subscribe(gate);
    assert_eq!(sent_frames(&mut queue), [vec![]]);
}

/// A gate takes keep-alives as a sign that it has all entries, so an agent that has just started must
/// not send them.
#[test]
fn keep_alives_are_sent_once_the_control_state_is_known() {
    let mut state = agent_state();
    let (gate, mut queue) = mpsc::unbounded_channel();
    state.entries.subscribe(gate);
    state.entries.keep_alive();
    assert_eq!(sent_frames(&mut queue), [vec![]], "the first frame alone");
    state.merge(vec![control_entry(1)]);
    assert_eq!(sent_frames(&mut queue), [vec![control_entry(1)], vec![]]);
    state.entries.keep_alive();
    assert_eq!(sent_frames(&mut queue), [vec![]]);
    let (next_gate, mut next_queue) = mpsc::unbounded_channel();
    state.entries.subscribe(next_gate);
    assert_eq!(
        sent_frames(&mut next_queue),
        [vec![control_entry(1)], vec![]]
    );
}

#[test]
fn consecutive_statuses_leave_versions_for_loss_and_removal() {
    let mut state = agent_state();
    state.gate_reporter.report_up(ready_status());
    let first = latest_status(&state).version;
    let second = state.gate_reporter.renew().expect("reported").version;
    assert!(second > first + 2);
}

#[test]
fn versions_continue_above_those_of_an_earlier_incarnation() {
    let mut state = agent_state();
    state.gate_reporter.report_up(ready_status());
    let own = latest_status(&state);
    let earlier = Entry {
        version: own.version + 1_000,
        ..own
    };
    state.merge(vec![earlier.clone()]);
    assert!(state.gate_reporter.renew().expect("reported").version > earlier.version + 2);
}
