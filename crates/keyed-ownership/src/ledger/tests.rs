use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::{Ledger, Pending};
use crate::message::Settled;
use crate::terms::Terms;
use crate::view::GateId;

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

fn ask(number: u8, sequence: u64, want: u32, arrived: u64) -> Pending {
    let (life, until) = (ms(300), ms(arrived + 60));
    Pending {
        gate: gate(number),
        sequence,
        want,
        pool: 10,
        life,
        arrived: ms(arrived),
        until,
    }
}

fn settled(sequence: u64, used: u32, after: u64) -> Settled {
    Settled {
        sequence,
        used,
        last_used_after: ms(after),
    }
}

#[test]
fn permits_count_until_the_last_possible_arrival() {
    let terms = Terms::cold();
    let mut ledger = Ledger::default();
    ledger.charge(&ask(1, 1, 3, 100), 3, &terms);
    let ends = ms(100) + terms.life + terms.flight + terms.span;
    ledger.prune(ends - Duration::from_nanos(1));
    assert_eq!(ledger.charged(), 3);
    assert_eq!(ledger.next_free(), Some(ends));
    ledger.prune(ends);
    assert_eq!(ledger.charged(), 0);
}

#[test]
fn settled_permits_count_from_their_use() {
    let terms = Terms::cold();
    let mut ledger = Ledger::default();
    ledger.charge(&ask(1, 1, 3, 100), 3, &terms);
    ledger.settle(&gate(1), &settled(1, 2, 40), &terms);
    assert_eq!(ledger.charged(), 2);
    assert_eq!(
        ledger.next_free(),
        Some(ms(140) + terms.flight + terms.span)
    );
}

#[test]
fn unused_permits_come_back_at_once() {
    let terms = Terms::cold();
    let mut ledger = Ledger::default();
    ledger.charge(&ask(1, 1, 3, 100), 3, &terms);
    ledger.settle(&gate(1), &settled(1, 0, 0), &terms);
    assert_eq!(ledger.charged(), 0);
}

#[test]
fn others_and_greater_counts_change_nothing() {
    let terms = Terms::cold();
    let mut ledger = Ledger::default();
    ledger.charge(&ask(1, 1, 3, 100), 3, &terms);
    ledger.settle(&gate(2), &settled(1, 0, 0), &terms);
    ledger.settle(&gate(1), &settled(2, 0, 0), &terms);
    ledger.settle(
        &GateId {
            incarnation: 2,
            ..gate(1)
        },
        &settled(1, 0, 0),
        &terms,
    );
    ledger.settle(&gate(1), &settled(1, 9, 5000), &terms);
    assert_eq!(ledger.charged(), 3);
    assert_eq!(
        ledger.next_free(),
        Some(ms(100) + terms.charged(terms.life))
    );
}

#[test]
fn parts_go_by_demand_when_the_pool_is_short() {
    let mut ledger = Ledger::default();
    ledger.push(ask(1, 1, 8, 0));
    assert_eq!(ledger.fair(8, 10), 8);
    ledger.push(ask(2, 1, 24, 0));
    assert_eq!(ledger.fair(8, 10), 2);
    assert_eq!(ledger.fair(24, 10), 7);
    ledger.push(ask(3, 1, 1, 0));
    assert_eq!(ledger.fair(1, 10), 1);
}

#[test]
fn newer_ask_of_a_gate_replaces_its_older_one() {
    let mut ledger = Ledger::default();
    ledger.push(ask(1, 1, 8, 0));
    ledger.push(ask(2, 1, 1, 0));
    ledger.push(ask(1, 2, 3, 0));
    let waiting: Vec<_> = ledger
        .pending
        .iter()
        .map(|ask| (ask.gate, ask.sequence))
        .collect();
    assert_eq!(waiting, [(gate(2), 1), (gate(1), 2)]);
}

#[test]
fn refused_gates_are_given_turns() {
    let terms = Terms::cold();
    let mut ledger = Ledger::default();
    ledger.charge(&ask(0, 1, 10, 0), 10, &terms);
    let free = ms(300) + terms.settles();
    let each = terms.settles() / 10;
    let refused =
        |ledger: &mut Ledger, number| ledger.retry_after(ms(500), &ask(number, 1, 1, 500), &terms);
    assert_eq!(refused(&mut ledger, 1), free - ms(500));
    assert_eq!(refused(&mut ledger, 2), free - ms(500) + each);
    let waits: Vec<_> = (3..200)
        .map(|number| refused(&mut ledger, number))
        .collect();
    assert!(
        waits
            .iter()
            .all(|wait| *wait >= ms(1000).min(free) && *wait <= ms(2000))
    );
}
