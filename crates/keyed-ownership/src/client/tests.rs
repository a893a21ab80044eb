use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_limits::LimitExceeded;

use super::{Action, Event, PermitClient};
use crate::message::{CompletedGrant, Grant, Message, PermitRequest};
use crate::test_support::{completed, gate, gate_incarnation, ms, token, view};
use crate::timing::PermitTiming;

type Actions = Vec<Action<String>>;

fn key() -> String {
    "i-1".into()
}

/// The client of gate 2, in a view in which gate 1 owns the key.
fn client() -> PermitClient<String> {
    let mut client = PermitClient::new(gate(2), PermitTiming::slow_start());
    client.handle(ms(0), Event::View(view(4, &[1])), &mut Vec::new());
    client
}

/// Tries to acquire a permit at `now` milliseconds while `waiting` requests wait for one.
fn try_acquire(
    client: &mut PermitClient<String>,
    now: u64,
    waiting: u32,
) -> (Result<(), LimitExceeded>, Actions) {
    let mut actions = Vec::new();
    let acquired = client.try_acquire(ms(now), &key(), 10, waiting, &mut actions);
    (acquired, actions)
}

/// As [`try_acquire`], with the result and the actions ignored.
fn attempt(client: &mut PermitClient<String>, now: u64, waiting: u32) {
    let _ = try_acquire(client, now, waiting);
}

fn only_request(actions: &Actions) -> &PermitRequest<String> {
    let [Action::Send(to, Message::Request(request))] = &actions[..] else {
        panic!("expected exactly one permit request, got {actions:?}")
    };
    assert_eq!(*to, gate(1));
    request
}

fn grant(sequence: u64, count: u32) -> Grant<String> {
    Grant {
        token: token(4),
        gate: gate(2),
        sequence,
        key: key(),
        count,
        contended: false,
        retry_after: ms(700),
    }
}

fn receive_grant(client: &mut PermitClient<String>, now: u64, grant: Grant<String>) -> Actions {
    let mut actions = Vec::new();
    client.handle(ms(now), Event::Grant(grant), &mut actions);
    actions
}

fn tick(client: &mut PermitClient<String>, now: u64) -> Actions {
    let mut actions = Vec::new();
    client.handle(ms(now), Event::Tick, &mut actions);
    actions
}

fn released(actions: &Actions) -> &[CompletedGrant] {
    let [Action::Send(_, Message::Release(completed))] = &actions[..] else {
        panic!("expected exactly one release, got {actions:?}")
    };
    &completed.completed
}

#[test]
fn request_without_a_view_is_rejected_indefinitely() {
    let mut client = PermitClient::new(gate(2), PermitTiming::slow_start());
    assert_eq!(
        client.try_acquire(ms(0), &key(), 10, 1, &mut Vec::new()),
        Err(LimitExceeded::Indefinitely)
    );
}

#[test]
fn permits_for_all_waiting_requests_are_requested_by_one_message_at_a_time() {
    let mut client = client();
    let (acquired, actions) = try_acquire(&mut client, 100, 3);
    assert_eq!(acquired, Err(LimitExceeded::Until(ms(400))));
    assert_eq!(only_request(&actions).requested, 3);
    assert_eq!(only_request(&actions).token, token(4));
    let (acquired, actions) = try_acquire(&mut client, 150, 4);
    assert_matches!(acquired, Err(LimitExceeded::Until(_)));
    assert_eq!(actions, []);
}

#[test]
fn permits_are_used_only_within_their_lifetime() {
    let mut client = client();
    attempt(&mut client, 100, 3);
    assert_eq!(
        receive_grant(&mut client, 200, grant(1, 3)),
        [Action::Ready(key())]
    );
    assert!(client.has_permit(ms(399), &key()));
    assert!(!client.has_permit(ms(400), &key()));
    assert_eq!(try_acquire(&mut client, 399, 1).0, Ok(()));
    assert_matches!(try_acquire(&mut client, 400, 1).0, Err(_));
}

#[test]
fn grant_received_after_its_lifetime_is_not_used() {
    let mut client = client();
    attempt(&mut client, 100, 3);
    assert_eq!(receive_grant(&mut client, 400, grant(1, 3)), []);
    assert!(!client.has_permit(ms(400), &key()));
    let unused = completed(1, 0, Duration::ZERO);
    assert_eq!(released(&tick(&mut client, 400)), [unused]);
}

#[test]
fn grants_of_others_and_duplicates_are_not_used() {
    let mut client = client();
    attempt(&mut client, 100, 1);
    assert_eq!(receive_grant(&mut client, 150, grant(7, 1)), []);
    let other = Grant {
        gate: gate_incarnation(2, 9),
        ..grant(1, 1)
    };
    assert_eq!(receive_grant(&mut client, 150, other), []);
    assert_eq!(
        receive_grant(&mut client, 150, grant(1, 1)),
        [Action::Ready(key())]
    );
    assert_eq!(try_acquire(&mut client, 150, 1).0, Ok(()));
    assert_eq!(receive_grant(&mut client, 151, grant(1, 1)), []);
    assert!(!client.has_permit(ms(151), &key()));
}

#[test]
fn grant_under_an_older_fencing_token_is_not_used() {
    let mut client = client();
    attempt(&mut client, 100, 1);
    receive_grant(&mut client, 110, grant(1, 1));
    assert_eq!(try_acquire(&mut client, 120, 1).0, Ok(()));
    attempt(&mut client, 130, 1);
    let older = Grant {
        token: token(3),
        ..grant(2, 1)
    };
    assert_eq!(receive_grant(&mut client, 140, older), []);
    assert!(!client.has_permit(ms(140), &key()));
}

#[test]
fn client_sends_no_request_during_the_retry_delay() {
    let mut client = client();
    attempt(&mut client, 100, 1);
    receive_grant(&mut client, 150, grant(1, 0));
    let (acquired, actions) = try_acquire(&mut client, 849, 1);
    assert_eq!(acquired, Err(LimitExceeded::Until(ms(850))));
    assert!(actions.is_empty());
    only_request(&try_acquire(&mut client, 850, 1).1);
}

#[test]
fn lifetime_follows_the_round_trip() {
    let mut client = client();
    attempt(&mut client, 100, 1);
    receive_grant(&mut client, 140, grant(1, 1));
    attempt(&mut client, 140, 1);
    let (_, actions) = try_acquire(&mut client, 150, 1);
    let request = only_request(&actions);
    assert_eq!(request.lifetime, ms(40 + 10 + 60 + 20));
    assert!(request.max_wait + ms(40) <= request.lifetime);
    let unused = tick(&mut client, 150 + 130);
    assert_eq!(released(&unused)[0].used, 0);
    let (_, actions) = try_acquire(&mut client, 300, 1);
    assert_eq!(
        only_request(&actions).lifetime,
        PermitTiming::slow_start().lifetime,
        "after a lost answer the round trip is unknown"
    );
}

#[test]
fn used_grants_are_reported_with_the_next_request() {
    let mut client = client();
    attempt(&mut client, 100, 2);
    receive_grant(&mut client, 110, grant(1, 2));
    attempt(&mut client, 120, 1);
    assert!(try_acquire(&mut client, 130, 1).1.is_empty());
    let (_, actions) = try_acquire(&mut client, 140, 1);
    assert_eq!(only_request(&actions).completed, [completed(1, 2, ms(30))]);
}

#[test]
fn used_grants_are_reported_at_once_where_the_pool_is_contended() {
    let mut client = client();
    attempt(&mut client, 100, 1);
    let contended = Grant {
        contended: true,
        ..grant(1, 1)
    };
    receive_grant(&mut client, 110, contended);
    let (_, actions) = try_acquire(&mut client, 120, 1);
    assert_eq!(released(&actions), [completed(1, 1, ms(20))]);
}

#[test]
fn unused_permits_are_released_when_their_lifetime_ends() {
    let mut client = client();
    attempt(&mut client, 100, 3);
    receive_grant(&mut client, 110, grant(1, 3));
    attempt(&mut client, 120, 1);
    assert_eq!(client.next_deadline(), Some(ms(400)));
    let actions = tick(&mut client, 400);
    assert_eq!(released(&actions), [completed(1, 1, ms(20))]);
    assert_eq!(client.next_deadline(), None);
}

#[test]
fn busy_gate_requests_permits_ahead_of_need() {
    let mut client = client();
    attempt(&mut client, 0, 10);
    receive_grant(&mut client, 10, grant(1, 10));
    let prefetched: Vec<u32> = (0..10)
        .flat_map(|step| try_acquire(&mut client, 20 + step, 1).1)
        .filter_map(|action| match action {
            Action::Send(_, Message::Request(request)) => Some(request.requested),
            _ => None,
        })
        .collect();
    assert_eq!(
        prefetched,
        [1],
        "10 permits per second are 1.8 in 0.6 of a lifetime of 300 ms; one is requested"
    );
}
