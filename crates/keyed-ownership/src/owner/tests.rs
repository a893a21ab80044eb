use std::time::Duration;

use assert_matches::assert_matches;

use super::{
    Action, Event, IDLE_CONFIRM_INTERVAL, LEASE_RENEWAL_PERIOD, MIN_CONFIRM_INTERVAL,
    MISROUTED_RETRY_DELAY, PermitOwner,
};
use crate::message::{Grant, Message, PermitRequest, Release};
use crate::test_support::{completed, confirmed, gate, gate_incarnation, ms, token, view};
use crate::timing::PermitTiming;
use crate::view::FencingToken;

type Actions = Vec<Action<String>>;

/// A request of gate `from` for permits of the key that gate 1 owns.
fn request(from: u8, sequence: u64, requested: u32) -> PermitRequest<String> {
    PermitRequest {
        gate: gate(from),
        sequence,
        token: token(1),
        key: "i-1".into(),
        requested,
        pool: 10,
        lifetime: ms(300),
        max_wait: ms(60),
        completed: Vec::new(),
    }
}

fn handle(owner: &mut PermitOwner<String>, now: Duration, event: Event<String>) -> Actions {
    let mut actions = Vec::new();
    owner.handle(now, event, &mut actions);
    actions
}

fn confirm(owner: &mut PermitOwner<String>, now: Duration, epoch: u64) -> Actions {
    handle(owner, now, Event::EpochConfirmed(confirmed(epoch, now)))
}

/// The permit counts in the owner's answers to a request that arrives at `now`; 0 is a rejection.
fn counts_for(
    owner: &mut PermitOwner<String>,
    now: Duration,
    request: PermitRequest<String>,
) -> Vec<u32> {
    counts(&handle(owner, now, Event::Request(request)))
}

/// The owner at gate 1, which has no view yet.
fn new_owner() -> PermitOwner<String> {
    PermitOwner::new(gate(1), PermitTiming::slow_start())
}

/// The owner at gate 1, the only gate of the view, after its takeover delay and with its last
/// confirmation at 10 s.
fn active_owner() -> PermitOwner<String> {
    let mut owner = new_owner();
    handle(&mut owner, ms(0), Event::View(view(1, &[1])));
    confirm(&mut owner, ms(0), 1);
    confirm(&mut owner, ms(10_000), 1);
    owner
}

fn grants(actions: &Actions) -> Vec<&Grant<String>> {
    let grant = |action| match action {
        &Action::Send(_, Message::Grant(ref grant)) => Some(grant),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn counts(actions: &Actions) -> Vec<u32> {
    grants(actions).iter().map(|grant| grant.count).collect()
}

#[test]
fn view_is_confirmed_at_once_and_again_if_the_answer_is_lost() {
    let mut owner = new_owner();
    let actions = handle(&mut owner, ms(5), Event::View(view(1, &[1])));
    assert_eq!(
        actions,
        [Action::Confirm {
            epoch: 1,
            requested_at: ms(5)
        }]
    );
    assert_eq!(owner.next_deadline(), Some(ms(5) + IDLE_CONFIRM_INTERVAL));
    let actions = handle(&mut owner, ms(5) + IDLE_CONFIRM_INTERVAL, Event::Tick);
    assert_matches!(actions[..], [Action::Confirm { epoch: 1, .. }]);
}

#[test]
fn lease_is_renewed_only_while_requests_are_expected() {
    let mut owner = active_owner();
    assert_eq!(owner.next_deadline(), None);
    handle(&mut owner, ms(10_000), Event::ExpectRequests(ms(10_700)));
    assert_eq!(owner.next_deadline(), Some(ms(10_500)));
    assert_matches!(
        handle(&mut owner, ms(10_500), Event::Tick)[..],
        [Action::Confirm { .. }]
    );
    assert_eq!(
        owner.next_deadline(),
        Some(ms(10_500) + MIN_CONFIRM_INTERVAL)
    );
    assert_matches!(handle(&mut owner, ms(10_700), Event::Tick)[..], []);
    assert_eq!(owner.next_deadline(), None);
}

#[test]
fn request_is_granted_and_charged_to_the_pool() {
    let mut owner = active_owner();
    assert_eq!(counts_for(&mut owner, ms(10_000), request(2, 1, 6)), [6]);
    let actions = handle(&mut owner, ms(10_000), Event::Request(request(3, 1, 4)));
    assert_eq!(counts(&actions), [4]);
    assert!(grants(&actions)[0].contended);
    let actions = handle(&mut owner, ms(10_001), Event::Request(request(4, 1, 1)));
    assert_eq!(counts(&actions), [0]);
    assert!(grants(&actions)[0].retry_after > ms(1300));
}

#[test]
fn request_is_queued_if_a_permit_becomes_available_in_time() {
    let mut owner = active_owner();
    handle(&mut owner, ms(10_000), Event::Request(request(2, 1, 10)));
    let expires = ms(10_000) + PermitTiming::slow_start().unreported_charge(ms(300));
    confirm(&mut owner, expires - ms(30), 1);
    assert_eq!(
        counts_for(&mut owner, expires - ms(30), request(3, 1, 1)),
        []
    );
    assert_eq!(owner.next_deadline(), Some(expires));
    assert_eq!(counts(&handle(&mut owner, expires, Event::Tick)), [1]);
}

#[test]
fn queued_request_is_rejected_when_its_longest_wait_is_over() {
    let mut owner = active_owner();
    let late = ms(11_500);
    assert_eq!(
        counts_for(&mut owner, late, request(2, 1, 1)),
        [],
        "the request is queued because the lease has expired"
    );
    assert_eq!(counts(&handle(&mut owner, late + ms(60), Event::Tick)), [0]);
}

#[test]
fn request_is_queued_until_a_confirmation() {
    let mut owner = active_owner();
    let late = ms(11_500);
    assert_matches!(
        handle(&mut owner, late, Event::Request(request(2, 1, 1)))[..],
        [Action::Confirm { .. }]
    );
    assert_eq!(counts(&confirm(&mut owner, late + ms(20), 1)), [1]);
    assert_eq!(owner.next_deadline(), Some(late + ms(520)));
    let idle = late + LEASE_RENEWAL_PERIOD + ms(1);
    assert_eq!(counts(&handle(&mut owner, idle, Event::Tick)), []);
}

#[test]
fn released_permits_are_granted_to_the_next_request() {
    let mut owner = active_owner();
    handle(&mut owner, ms(10_000), Event::Request(request(2, 1, 10)));
    let release = Release {
        gate: gate(2),
        key: "i-1".into(),
        completed: vec![completed(1, 0, Duration::ZERO)],
    };
    handle(&mut owner, ms(10_300), Event::Release(release));
    assert_eq!(counts_for(&mut owner, ms(10_300), request(3, 1, 1)), [1]);
}

#[test]
fn completed_grants_are_reported_with_the_request() {
    let mut owner = active_owner();
    handle(&mut owner, ms(10_000), Event::Request(request(2, 1, 10)));
    let next = PermitRequest {
        completed: vec![completed(1, 3, ms(20))],
        ..request(2, 2, 9)
    };
    assert_eq!(counts_for(&mut owner, ms(10_100), next), [7]);
}

#[test]
fn request_during_the_takeover_delay_is_rejected_until_its_end() {
    let mut owner = new_owner();
    handle(&mut owner, ms(0), Event::View(view(1, &[1])));
    confirm(&mut owner, ms(0), 1);
    let actions = handle(&mut owner, ms(100), Event::Request(request(2, 1, 1)));
    assert_eq!(counts(&actions), [0]);
    assert_eq!(
        grants(&actions)[0].retry_after,
        PermitTiming::slow_start().takeover_delay - ms(100)
    );
}

#[test]
fn request_for_a_key_of_another_owner_is_rejected() {
    let mut owner = active_owner();
    handle(&mut owner, ms(10_000), Event::View(view(2, &[2])));
    let actions = handle(&mut owner, ms(10_000), Event::Request(request(2, 1, 1)));
    assert_eq!(counts(&actions), [0]);
    assert_eq!(grants(&actions)[0].retry_after, MISROUTED_RETRY_DELAY);
}

#[test]
fn request_to_another_incarnation_of_the_owner_is_rejected() {
    let mut owner = active_owner();
    let misrouted = PermitRequest {
        token: FencingToken {
            epoch: 1,
            owner: gate_incarnation(1, 9),
        },
        ..request(2, 1, 1)
    };
    assert_eq!(counts_for(&mut owner, ms(10_000), misrouted), [0]);
}

#[test]
fn queued_requests_are_rejected_when_the_key_moves() {
    let mut owner = active_owner();
    handle(&mut owner, ms(11_500), Event::Request(request(2, 1, 1)));
    handle(&mut owner, ms(11_510), Event::View(view(2, &[2])));
    assert_eq!(counts(&handle(&mut owner, ms(11_520), Event::Tick)), [0]);
}

#[test]
fn a_misrouted_request_leaves_no_pool() {
    let mut owner = active_owner();
    let misrouted = PermitRequest {
        token: FencingToken {
            owner: gate(2),
            ..token(1)
        },
        ..request(3, 1, 1)
    };
    assert_eq!(counts_for(&mut owner, ms(10_000), misrouted), [0]);
    assert!(owner.pools.is_empty());
}
