use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;

use super::{Action, CONFIRM_EVERY, CONFIRM_IDLE, Event, KEEP, Owner, STRAY_WAIT};
use crate::lease::Confirmed;
use crate::message::{Ask, Grant, Message, Return, Settled};
use crate::terms::Terms;
use crate::view::{GateId, Token, View};

type Actions = Vec<Action<String>>;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn gate(number: u8) -> GateId {
    GateId {
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7000)),
        incarnation: 1,
        region: 0,
    }
}

fn view(epoch: u64, numbers: &[u8]) -> Arc<View> {
    Arc::new(View {
        epoch,
        follows: Some(epoch - 1),
        gates: numbers.iter().copied().map(gate).collect(),
    })
}

fn ask(from: u8, sequence: u64, want: u32) -> Ask<String> {
    Ask {
        gate: gate(from),
        sequence,
        token: Token {
            epoch: 1,
            owner: gate(1),
        },
        key: "i-1".into(),
        want,
        pool: 10,
        life: ms(300),
        patience: ms(60),
        settled: Vec::new(),
    }
}

fn handle(owner: &mut Owner<String>, now: Duration, event: Event<String>) -> Actions {
    let mut actions = Vec::new();
    owner.handle(now, event, &mut actions);
    actions
}

fn confirm(owner: &mut Owner<String>, now: Duration, epoch: u64) -> Actions {
    handle(
        owner,
        now,
        Event::Confirmed(Confirmed { epoch, asked: now }),
    )
}

/// The only owner, ready at 10 s.
fn ready() -> Owner<String> {
    let mut owner = Owner::new(gate(1), Terms::cold());
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
fn a_view_is_confirmed_at_once_and_again_if_that_is_lost() {
    let mut owner = Owner::<String>::new(gate(1), Terms::cold());
    let actions = handle(&mut owner, ms(5), Event::View(view(1, &[1])));
    assert_eq!(
        actions,
        [Action::Confirm {
            epoch: 1,
            asked: ms(5)
        }]
    );
    assert_eq!(owner.next_wake(), Some(ms(5) + CONFIRM_IDLE));
    let actions = handle(&mut owner, ms(5) + CONFIRM_IDLE, Event::Tick);
    assert_matches!(actions[..], [Action::Confirm { epoch: 1, .. }]);
}

#[test]
fn lease_is_kept_up_only_while_asks_are_expected() {
    let mut owner = ready();
    assert_eq!(owner.next_wake(), None);
    handle(&mut owner, ms(10_000), Event::Expect(ms(10_700)));
    assert_eq!(owner.next_wake(), Some(ms(10_500)));
    assert_matches!(
        handle(&mut owner, ms(10_500), Event::Tick)[..],
        [Action::Confirm { .. }]
    );
    assert_eq!(owner.next_wake(), Some(ms(10_500) + CONFIRM_EVERY));
    assert_matches!(handle(&mut owner, ms(10_700), Event::Tick)[..], []);
    assert_eq!(owner.next_wake(), None);
}

#[test]
fn ask_is_granted_and_charged() {
    let mut owner = ready();
    assert_eq!(
        counts(&handle(&mut owner, ms(10_000), Event::Ask(ask(2, 1, 6)))),
        [6]
    );
    let actions = handle(&mut owner, ms(10_000), Event::Ask(ask(3, 1, 4)));
    assert_eq!(counts(&actions), [4]);
    assert!(grants(&actions)[0].pressed);
    let actions = handle(&mut owner, ms(10_001), Event::Ask(ask(4, 1, 1)));
    assert_eq!(counts(&actions), [0]);
    assert!(grants(&actions)[0].retry_after > ms(1300));
}

#[test]
fn ask_waits_where_something_comes_free_in_time() {
    let mut owner = ready();
    handle(&mut owner, ms(10_000), Event::Ask(ask(2, 1, 10)));
    let ends = ms(10_000) + Terms::cold().charged(ms(300));
    confirm(&mut owner, ends - ms(30), 1);
    assert_eq!(
        counts(&handle(&mut owner, ends - ms(30), Event::Ask(ask(3, 1, 1)))),
        []
    );
    assert_eq!(owner.next_wake(), Some(ends));
    assert_eq!(counts(&handle(&mut owner, ends, Event::Tick)), [1]);
}

#[test]
fn overdue_ask_is_refused() {
    let mut owner = ready();
    let late = ms(11_500);
    assert_eq!(
        counts(&handle(&mut owner, late, Event::Ask(ask(2, 1, 1)))),
        [],
        "the lease is over"
    );
    assert_eq!(counts(&handle(&mut owner, late + ms(60), Event::Tick)), [0]);
}

#[test]
fn ask_waits_for_a_confirmation() {
    let mut owner = ready();
    let late = ms(11_500);
    assert_matches!(
        handle(&mut owner, late, Event::Ask(ask(2, 1, 1)))[..],
        [Action::Confirm { .. }]
    );
    assert_eq!(counts(&confirm(&mut owner, late + ms(20), 1)), [1]);
    assert_eq!(owner.next_wake(), Some(late + ms(520)));
    let idle = late + KEEP + ms(1);
    assert_eq!(counts(&handle(&mut owner, idle, Event::Tick)), []);
}

#[test]
fn returned_permits_serve_the_next_ask() {
    let mut owner = ready();
    handle(&mut owner, ms(10_000), Event::Ask(ask(2, 1, 10)));
    let settled = vec![Settled {
        sequence: 1,
        used: 0,
        last_used_after: Duration::ZERO,
    }];
    let settled = Return {
        gate: gate(2),
        key: "i-1".into(),
        settled,
    };
    handle(&mut owner, ms(10_300), Event::Return(settled));
    assert_eq!(
        counts(&handle(&mut owner, ms(10_300), Event::Ask(ask(3, 1, 1)))),
        [1]
    );
}

#[test]
fn settled_grants_come_with_the_ask() {
    let mut owner = ready();
    handle(&mut owner, ms(10_000), Event::Ask(ask(2, 1, 10)));
    let settled = vec![Settled {
        sequence: 1,
        used: 3,
        last_used_after: ms(20),
    }];
    let next = Ask {
        settled,
        ..ask(2, 2, 9)
    };
    assert_eq!(
        counts(&handle(&mut owner, ms(10_100), Event::Ask(next))),
        [7]
    );
}

#[test]
fn quiet_owner_says_when_it_opens() {
    let mut owner = Owner::new(gate(1), Terms::cold());
    handle(&mut owner, ms(0), Event::View(view(1, &[1])));
    confirm(&mut owner, ms(0), 1);
    let actions = handle(&mut owner, ms(100), Event::Ask(ask(2, 1, 1)));
    assert_eq!(counts(&actions), [0]);
    assert_eq!(
        grants(&actions)[0].retry_after,
        Terms::cold().quiet - ms(100)
    );
}

#[test]
fn ask_to_another_owner_or_another_life_is_refused() {
    let mut owner = ready();
    handle(&mut owner, ms(10_000), Event::View(view(2, &[2])));
    let actions = handle(&mut owner, ms(10_000), Event::Ask(ask(2, 1, 1)));
    assert_eq!(counts(&actions), [0]);
    assert_eq!(grants(&actions)[0].retry_after, STRAY_WAIT);
    let mut owner = ready();
    let other = GateId {
        incarnation: 9,
        ..gate(1)
    };
    let stray = Ask {
        token: Token {
            epoch: 1,
            owner: other,
        },
        ..ask(2, 1, 1)
    };
    assert_eq!(
        counts(&handle(&mut owner, ms(10_000), Event::Ask(stray))),
        [0]
    );
}

#[test]
fn asks_that_wait_are_refused_when_the_key_moves() {
    let mut owner = ready();
    handle(&mut owner, ms(11_500), Event::Ask(ask(2, 1, 1)));
    handle(&mut owner, ms(11_510), Event::View(view(2, &[2])));
    assert_eq!(counts(&handle(&mut owner, ms(11_520), Event::Tick)), [0]);
}
