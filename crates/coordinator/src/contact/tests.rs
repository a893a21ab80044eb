//! The state transitions and policies match the diagram and the table in `docs/design/control.md`.

use super::ContactState::*;
use super::Request::*;
use super::RequestPolicy::*;
use super::*;

#[test]
fn each_request_has_its_policy_in_each_state() {
    let table = [
        (
            Configuration,
            [
                DecideByQuorum,
                DecideByQuorum,
                DecideByQuorum,
                Reject,
                DecideByQuorum,
            ],
        ),
        (
            Evacuation,
            [
                DecideByQuorum,
                DecideByQuorum,
                DecideByQuorum,
                Reject,
                DecideByQuorum,
            ],
        ),
        (
            Read,
            [
                DecideByQuorum,
                DecideByQuorum,
                DecideByQuorum,
                Reject,
                DecideByQuorum,
            ],
        ),
        (
            Heartbeat,
            [RecordOnly, RecordOnly, Acknowledge, RecordOnly, RecordOnly],
        ),
        (
            Draining,
            [
                RecordOnly,
                RecordOnly,
                AcknowledgeByMajority,
                RecordOnly,
                RecordOnly,
            ],
        ),
        (
            Delete,
            [
                RecordOnly,
                RecordOnly,
                AcknowledgeByMajority,
                RecordOnly,
                RecordOnly,
            ],
        ),
        (
            Resolve,
            [DirectGates, DirectGates, AllGates, DirectGates, AllGates],
        ),
        (
            Subscription,
            [
                ForwardOnly,
                ForwardOnly,
                MarkFresh,
                ForwardOnly,
                ForwardOnly,
            ],
        ),
    ];
    for (request, row) in table {
        assert_eq!(
            ContactState::ALL.map(|state| state.policy(request)),
            row,
            "{request:?}"
        );
    }
}

#[test]
fn contact_state_transitions_follow_the_diagram() {
    let without_majority = ContactState::ALL.map(|state| state.after_check(false));
    assert_eq!(
        without_majority,
        [Starting, OutOfContact, OutOfContact, OutOfContact, Leaving]
    );
    let with_majority = ContactState::ALL.map(|state| state.after_check(true));
    assert_eq!(
        with_majority,
        [CatchingUp, CatchingUp, InContact, CatchingUp, Leaving]
    );
    let caught_up = ContactState::ALL.map(ContactState::after_catch_up);
    assert_eq!(
        caught_up,
        [Starting, InContact, InContact, OutOfContact, Leaving]
    );
}

#[test]
fn contact_timeout_is_a_third_of_the_shortest_bound_and_never_below_the_minimum() {
    let usual = TimingBounds::default();
    assert_eq!(contact_timeout(&usual), Duration::from_secs(1));
    let slow = TimingBounds {
        drain_timeout_ms: 12_000,
        config_apply_ms: 9_000,
        ..usual.clone()
    };
    assert_eq!(contact_timeout(&slow), Duration::from_secs(5) / 3);
    let tight = TimingBounds {
        drain_timeout_ms: 500,
        ..usual
    };
    assert_eq!(contact_timeout(&tight), MIN_CONTACT_TIMEOUT);
}
