use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::{Standing, Tenure};
use crate::lease::Confirmed;
use crate::terms::Terms;
use crate::view::{GateId, Token, View};

const KEY: &str = "i-1";

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

fn confirmed(epoch: u64, asked: u64) -> Confirmed {
    Confirmed {
        epoch,
        asked: ms(asked),
    }
}

fn quiet() -> Duration {
    Terms::cold().quiet
}

fn ready(epoch: u64) -> Standing {
    Standing::Ready(Token {
        epoch,
        owner: gate(1),
    })
}

/// A gate that owns the key and is ready at 10 s, confirmed at that moment.
fn settled() -> Tenure {
    let mut tenure = Tenure::new(gate(1), Terms::cold());
    assert!(tenure.adopt(view(5, &[1])));
    tenure.confirm(ms(1000), confirmed(5, 1000));
    tenure.confirm(ms(10_000), confirmed(5, 10_000));
    assert_eq!(tenure.standing(ms(10_000), &KEY), ready(5));
    tenure
}

#[test]
fn without_a_view_another_owns() {
    let mut tenure = Tenure::new(gate(1), Terms::cold());
    assert_eq!(tenure.standing(ms(0), &KEY), Standing::Other);
}

#[test]
fn first_view_waits_from_its_confirmation() {
    let mut tenure = Tenure::new(gate(1), Terms::cold());
    tenure.adopt(view(5, &[1]));
    assert_eq!(tenure.standing(ms(9000), &KEY), Standing::Unconfirmed);
    tenure.confirm(ms(9100), confirmed(5, 9000));
    assert_eq!(
        tenure.standing(ms(9100), &KEY),
        Standing::Quiet(ms(9100) + quiet())
    );
    let opens = ms(9100) + quiet();
    tenure.confirm(
        opens,
        Confirmed {
            epoch: 5,
            asked: opens,
        },
    );
    assert_eq!(tenure.standing(opens, &KEY), ready(5));
}

#[test]
fn lease_runs_out_from_the_asking() {
    let mut tenure = settled();
    tenure.confirm(ms(10_400), confirmed(5, 10_200));
    assert_eq!(tenure.leased_until(), Some(ms(11_200)));
    assert_eq!(tenure.standing(ms(11_199), &KEY), ready(5));
    assert_eq!(tenure.standing(ms(11_200), &KEY), Standing::Unconfirmed);
}

#[test]
fn confirmation_of_another_epoch_is_void() {
    let mut tenure = settled();
    tenure.confirm(ms(10_900), confirmed(6, 10_900));
    tenure.confirm(ms(10_900), confirmed(4, 10_900));
    assert_eq!(tenure.leased_until(), Some(ms(11_000)));
}

#[test]
fn confirmation_of_the_view_before_does_not_begin_a_tenure() {
    let mut tenure = Tenure::new(gate(1), Terms::cold());
    tenure.adopt(view(5, &[2]));
    tenure.adopt(view(6, &[1]));
    tenure.confirm(ms(100), confirmed(5, 50));
    tenure.confirm(ms(900), confirmed(6, 800));
    assert_eq!(
        tenure.standing(ms(900), &KEY),
        Standing::Quiet(ms(900) + quiet())
    );
}

#[test]
fn late_confirmation_does_not_shorten_the_lease() {
    let mut tenure = settled();
    tenure.confirm(ms(10_100), confirmed(5, 9_500));
    assert_eq!(tenure.leased_until(), Some(ms(11_000)));
}

#[test]
fn tenure_goes_on_over_the_next_epoch() {
    let mut tenure = settled();
    tenure.adopt(view(6, &[1]));
    assert_eq!(tenure.standing(ms(10_100), &KEY), Standing::Unconfirmed);
    tenure.confirm(ms(10_200), confirmed(6, 10_100));
    assert_eq!(tenure.standing(ms(10_200), &KEY), ready(6));
}

#[test]
fn older_view_is_not_taken() {
    let mut tenure = settled();
    assert!(!tenure.adopt(view(5, &[2])));
    assert!(!tenure.adopt(view(4, &[2])));
    assert_eq!(tenure.standing(ms(10_100), &KEY), ready(5));
}

#[test]
fn key_that_was_another_ones_waits() {
    let mut tenure = settled();
    tenure.adopt(view(6, &[2]));
    assert_eq!(tenure.standing(ms(10_100), &KEY), Standing::Other);
    tenure.adopt(view(7, &[1]));
    tenure.confirm(ms(10_200), confirmed(7, 10_150));
    assert_eq!(
        tenure.standing(ms(10_200), &KEY),
        Standing::Quiet(ms(10_200) + quiet())
    );
}

#[test]
fn short_gap_is_harmless() {
    let mut tenure = settled();
    tenure.adopt(view(9, &[1]));
    let until = ms(10_000) + quiet() - Terms::cold().lease;
    tenure.confirm(
        until - ms(1),
        Confirmed {
            epoch: 9,
            asked: until - ms(1),
        },
    );
    assert_eq!(tenure.standing(until, &KEY), ready(9));
}

#[test]
fn long_gap_waits() {
    let mut tenure = settled();
    tenure.adopt(view(9, &[1]));
    let until = ms(10_000) + quiet() - Terms::cold().lease;
    tenure.confirm(
        until,
        Confirmed {
            epoch: 9,
            asked: until,
        },
    );
    assert_eq!(
        tenure.standing(until, &KEY),
        Standing::Quiet(until + quiet())
    );
}

#[test]
fn gap_is_judged_by_the_first_confirmation_after_it() {
    let mut tenure = settled();
    tenure.adopt(view(9, &[1]));
    tenure.adopt(view(10, &[1]));
    tenure.confirm(ms(30_000), confirmed(10, 30_000));
    assert_eq!(
        tenure.standing(ms(30_000), &KEY),
        Standing::Quiet(ms(30_000) + quiet())
    );
}

#[test]
fn other_life_at_the_address_is_another_owner() {
    let mut tenure = Tenure::new(
        GateId {
            incarnation: 2,
            ..gate(1)
        },
        Terms::cold(),
    );
    tenure.adopt(view(5, &[1]));
    tenure.confirm(ms(0), confirmed(5, 0));
    assert_eq!(tenure.standing(ms(900), &KEY), Standing::Other);
}
