use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;

use super::{Action, Client, Event};
use crate::message::{Ask, Grant, Message, Settled};
use crate::terms::Terms;
use crate::view::{GateId, Token, View};
use ironmast_limits::LimitExceeded;

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

fn key() -> String {
    "i-1".into()
}

fn client() -> Client<String> {
    let mut client = Client::new(gate(2), Terms::cold());
    let view = Arc::new(View {
        epoch: 4,
        follows: None,
        gates: vec![gate(1)],
    });
    client.handle(ms(0), Event::View(view), &mut Vec::new());
    client
}

fn take(
    client: &mut Client<String>,
    now: u64,
    waiting: u32,
) -> (Result<(), LimitExceeded>, Actions) {
    let mut actions = Vec::new();
    let taken = client.try_take(ms(now), &key(), 10, waiting, &mut actions);
    (taken, actions)
}

/// A request comes, whatever becomes of it.
fn press(client: &mut Client<String>, now: u64, waiting: u32) {
    let _ = take(client, now, waiting);
}

fn the_ask(actions: &Actions) -> &Ask<String> {
    let [Action::Send(to, Message::Ask(ask))] = &actions[..] else {
        panic!("one ask in {actions:?}")
    };
    assert_eq!(*to, gate(1));
    ask
}

fn grant(sequence: u64, count: u32) -> Grant<String> {
    let token = Token {
        epoch: 4,
        owner: gate(1),
    };
    let (pressed, retry_after) = (false, ms(700));
    Grant {
        token,
        gate: gate(2),
        sequence,
        key: key(),
        count,
        pressed,
        retry_after,
    }
}

fn granted(client: &mut Client<String>, now: u64, grant: Grant<String>) -> Actions {
    let mut actions = Vec::new();
    client.handle(ms(now), Event::Grant(grant), &mut actions);
    actions
}

fn tick(client: &mut Client<String>, now: u64) -> Actions {
    let mut actions = Vec::new();
    client.handle(ms(now), Event::Tick, &mut actions);
    actions
}

fn returned(actions: &Actions) -> &[Settled] {
    let [Action::Send(_, Message::Return(settled))] = &actions[..] else {
        panic!("one return in {actions:?}")
    };
    &settled.settled
}

#[test]
fn without_a_view_no_moment_is_known() {
    let mut client = Client::new(gate(2), Terms::cold());
    assert_eq!(
        client.try_take(ms(0), &key(), 10, 1, &mut Vec::new()),
        Err(LimitExceeded::Indefinitely)
    );
}

#[test]
fn asks_for_what_waits_and_once_at_a_time() {
    let mut client = client();
    let (taken, actions) = take(&mut client, 100, 3);
    assert_eq!(taken, Err(LimitExceeded::Until(ms(400))));
    assert_eq!(the_ask(&actions).want, 3);
    assert_eq!(
        the_ask(&actions).token,
        Token {
            epoch: 4,
            owner: gate(1)
        }
    );
    assert_matches!(take(&mut client, 150, 4), (Err(LimitExceeded::Until(_)), actions) if actions.is_empty());
}

#[test]
fn permits_are_used_within_their_life_only() {
    let mut client = client();
    press(&mut client, 100, 3);
    assert_eq!(
        granted(&mut client, 200, grant(1, 3)),
        [Action::Ready(key())]
    );
    assert!(client.holds(ms(399), &key()));
    assert!(!client.holds(ms(400), &key()));
    assert_eq!(take(&mut client, 399, 1).0, Ok(()));
    assert_matches!(take(&mut client, 400, 1).0, Err(_));
}

#[test]
fn grant_that_comes_after_its_life_is_not_taken() {
    let mut client = client();
    press(&mut client, 100, 3);
    assert_eq!(granted(&mut client, 400, grant(1, 3)), []);
    assert!(!client.holds(ms(400), &key()));
    let sequence = 1;
    let unused = Settled {
        sequence,
        used: 0,
        last_used_after: Duration::ZERO,
    };
    assert_eq!(returned(&tick(&mut client, 400)), [unused]);
}

#[test]
fn grants_of_others_and_doubled_ones_are_not_taken() {
    let mut client = client();
    press(&mut client, 100, 1);
    assert_eq!(granted(&mut client, 150, grant(7, 1)), []);
    let other = Grant {
        gate: GateId {
            incarnation: 9,
            ..gate(2)
        },
        ..grant(1, 1)
    };
    assert_eq!(granted(&mut client, 150, other), []);
    assert_eq!(
        granted(&mut client, 150, grant(1, 1)),
        [Action::Ready(key())]
    );
    assert_eq!(take(&mut client, 150, 1).0, Ok(()));
    assert_eq!(granted(&mut client, 151, grant(1, 1)), []);
    assert!(!client.holds(ms(151), &key()));
}

#[test]
fn grant_under_an_older_token_is_not_taken() {
    let mut client = client();
    press(&mut client, 100, 1);
    granted(&mut client, 110, grant(1, 1));
    assert_eq!(take(&mut client, 120, 1).0, Ok(()));
    press(&mut client, 130, 1);
    let older = Grant {
        token: Token {
            epoch: 3,
            owner: gate(1),
        },
        ..grant(2, 1)
    };
    assert_eq!(granted(&mut client, 140, older), []);
    assert!(!client.holds(ms(140), &key()));
}

#[test]
fn refusal_is_heeded() {
    let mut client = client();
    press(&mut client, 100, 1);
    granted(&mut client, 150, grant(1, 0));
    let (taken, actions) = take(&mut client, 849, 1);
    assert_eq!(taken, Err(LimitExceeded::Until(ms(850))));
    assert!(actions.is_empty());
    the_ask(&take(&mut client, 850, 1).1);
}

#[test]
fn life_follows_the_round_trip() {
    let mut client = client();
    press(&mut client, 100, 1);
    granted(&mut client, 140, grant(1, 1));
    press(&mut client, 140, 1);
    let (_, actions) = take(&mut client, 150, 1);
    let ask = the_ask(&actions);
    assert_eq!(ask.life, ms(40 + 10 + 60 + 20));
    assert!(ask.patience + ms(40) <= ask.life);
    let unused = tick(&mut client, 150 + 130);
    assert_eq!(returned(&unused)[0].used, 0);
    let (_, actions) = take(&mut client, 300, 1);
    assert_eq!(
        the_ask(&actions).life,
        Terms::cold().life,
        "an answer was lost"
    );
}

#[test]
fn used_grants_are_told_with_the_next_ask() {
    let mut client = client();
    press(&mut client, 100, 2);
    granted(&mut client, 110, grant(1, 2));
    press(&mut client, 120, 1);
    assert!(take(&mut client, 130, 1).1.is_empty());
    let (_, actions) = take(&mut client, 140, 1);
    let used = Settled {
        sequence: 1,
        used: 2,
        last_used_after: ms(30),
    };
    assert_eq!(the_ask(&actions).settled, [used]);
}

#[test]
fn used_grants_are_told_at_once_where_the_pool_is_pressed() {
    let mut client = client();
    press(&mut client, 100, 1);
    granted(
        &mut client,
        110,
        Grant {
            pressed: true,
            ..grant(1, 1)
        },
    );
    let (_, actions) = take(&mut client, 120, 1);
    assert_eq!(
        returned(&actions),
        [Settled {
            sequence: 1,
            used: 1,
            last_used_after: ms(20)
        }]
    );
}

#[test]
fn unused_permits_are_returned_when_their_life_ends() {
    let mut client = client();
    press(&mut client, 100, 3);
    granted(&mut client, 110, grant(1, 3));
    press(&mut client, 120, 1);
    assert_eq!(client.next_wake(), Some(ms(400)));
    let actions = tick(&mut client, 400);
    assert_eq!(
        returned(&actions),
        [Settled {
            sequence: 1,
            used: 1,
            last_used_after: ms(20)
        }]
    );
    assert_eq!(client.next_wake(), None);
}

#[test]
fn busy_gate_asks_ahead() {
    let mut client = client();
    press(&mut client, 0, 10);
    granted(&mut client, 10, grant(1, 10));
    let asked: Vec<u32> = (0..10)
        .flat_map(|step| take(&mut client, 20 + step, 1).1)
        .filter_map(|action| match action {
            Action::Send(_, Message::Ask(ask)) => Some(ask.want),
            _ => None,
        })
        .collect();
    assert_eq!(
        asked,
        [1],
        "ten in the last second are 1.8 in six tenths of a life"
    );
}
