use super::*;
use Action::{NotifyPredecessor, SetDescriptorPercent, StartServing, StopServing};
use Event::{
    EndpointsReceived, PredecessorLost, SuccessorConnected, SuccessorLost, SuccessorServing,
    Terminate,
};

/// Returns the state after the events, and the actions: first the initial one, then those of each
/// event.
fn run(predecessor: Predecessor, events: &[Event]) -> (HotRestart, Vec<Vec<Action>>) {
    let mut process = HotRestart::new(predecessor);
    let initial = vec![HotRestart::initial_action(predecessor)];
    let following = events.iter().map(|&event| process.handle(event));
    let actions = std::iter::once(initial).chain(following).collect();
    (process, actions)
}

fn shutdown(idle_connections: IdleConnections) -> Vec<Action> {
    vec![Action::Shutdown { idle_connections }]
}

#[test]
fn process_without_predecessor_serves_from_its_start_until_it_terminates() {
    let (process, actions) = run(
        Predecessor::None,
        &[EndpointsReceived, EndpointsReceived, Terminate, Terminate],
    );
    assert_eq!(
        actions,
        [
            vec![StartServing],
            vec![],
            vec![],
            shutdown(IdleConnections::Close),
            vec![]
        ]
    );
    assert!(process.is_serving());
}

#[test]
fn old_process_stops_serving_after_the_new_one_has_started() {
    let (old, actions) = run(
        Predecessor::None,
        &[
            SuccessorConnected,
            SuccessorServing,
            Terminate,
            SuccessorLost,
        ],
    );
    assert_eq!(
        actions,
        [
            vec![StartServing],
            vec![SetDescriptorPercent(50)],
            vec![StopServing],
            shutdown(IdleConnections::Linger),
            vec![]
        ]
    );
    assert!(!old.accepts_successor());
    let (new, actions) = run(
        Predecessor::Running,
        &[
            EndpointsReceived,
            EndpointsReceived,
            PredecessorLost,
            PredecessorLost,
        ],
    );
    let start = vec![NotifyPredecessor, StartServing];
    assert_eq!(
        actions,
        [
            vec![SetDescriptorPercent(50)],
            start,
            vec![],
            vec![SetDescriptorPercent(100)],
            vec![]
        ]
    );
    assert!(new.is_serving() && new.accepts_successor());
}

#[test]
fn process_serves_again_when_its_successor_is_lost() {
    let (process, actions) = run(
        Predecessor::None,
        &[
            SuccessorConnected,
            SuccessorLost,
            SuccessorConnected,
            SuccessorServing,
            SuccessorLost,
        ],
    );
    assert_eq!(actions[2], [SetDescriptorPercent(100)]);
    assert_eq!(actions[5], [SetDescriptorPercent(100), StartServing]);
    assert!(process.is_serving() && process.accepts_successor());
}

#[test]
fn process_serves_without_endpoints_when_its_predecessor_is_lost() {
    let (process, actions) = run(Predecessor::Running, &[PredecessorLost, EndpointsReceived]);
    assert_eq!(
        actions,
        [
            vec![SetDescriptorPercent(50)],
            vec![SetDescriptorPercent(100), StartServing],
            vec![]
        ]
    );
    assert!(process.is_serving());
}

#[test]
fn process_accepts_no_second_successor_and_none_before_it_serves() {
    let (process, actions) = run(Predecessor::None, &[SuccessorConnected, SuccessorConnected]);
    assert!(actions[2].is_empty() && !process.accepts_successor());
    let (process, actions) = run(Predecessor::Running, &[SuccessorConnected]);
    assert!(actions[1].is_empty() && !process.accepts_successor());
}

/// Two hot restarts in a row: the second begins while the first process is still shutting down.
#[test]
fn successor_is_accepted_while_the_predecessor_shuts_down() {
    let (process, actions) = run(
        Predecessor::Running,
        &[
            EndpointsReceived,
            SuccessorConnected,
            SuccessorServing,
            PredecessorLost,
        ],
    );
    assert_eq!(
        actions[2..],
        [
            vec![SetDescriptorPercent(50)],
            vec![StopServing],
            vec![SetDescriptorPercent(100)]
        ]
    );
    assert!(!process.is_serving());
}
