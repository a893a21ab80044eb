//! The diagram of the states and the table of the answers, as `docs/design/control.md` shows them.

use super::Request::*;
use super::Standing::*;
use super::Treatment::*;
use super::*;

#[test]
fn the_table_of_answers() {
    let table = [
        (Configuration, [Decide, Decide, Decide, Refuse, Decide]),
        (Evacuation, [Decide, Decide, Decide, Refuse, Decide]),
        (Read, [Decide, Decide, Decide, Refuse, Decide]),
        (Heartbeat, [Note, Note, Acknowledge, Note, Note]),
        (Draining, [Note, Note, Confirm, Note, Note]),
        (Delete, [Note, Note, Confirm, Note, Note]),
        (
            Resolve,
            [HeardHere, HeardHere, Everybody, HeardHere, Everybody],
        ),
        (Feed, [Relay, Relay, Fresh, Relay, Relay]),
    ];
    for (request, row) in table {
        assert_eq!(
            Standing::ALL.map(|standing| standing.treatment(request)),
            row,
            "{request:?}"
        );
    }
}

#[test]
fn the_diagram_of_the_states() {
    let lost = Standing::ALL.map(|standing| standing.observed(false));
    assert_eq!(
        lost,
        [Starting, OutOfContact, OutOfContact, OutOfContact, Leaving]
    );
    let answered = Standing::ALL.map(|standing| standing.observed(true));
    assert_eq!(
        answered,
        [CatchingUp, CatchingUp, InContact, CatchingUp, Leaving]
    );
    let caught_up = Standing::ALL.map(Standing::caught_up);
    assert_eq!(
        caught_up,
        [Starting, InContact, InContact, OutOfContact, Leaving]
    );
}

#[test]
fn the_bound_is_a_third_of_the_shortest_bound_in_force_and_never_below_the_floor() {
    let usual = TimingBounds::default();
    assert_eq!(contact_bound(&usual), Duration::from_secs(1));
    let slow = TimingBounds {
        drain_timeout_ms: 12_000,
        config_apply_ms: 9_000,
        ..usual.clone()
    };
    assert_eq!(contact_bound(&slow), Duration::from_secs(5) / 3);
    let tight = TimingBounds {
        drain_timeout_ms: 500,
        ..usual
    };
    assert_eq!(contact_bound(&tight), BOUND_LEAST);
}
