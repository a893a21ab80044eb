use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::{Lease, LeaseState};
use crate::confirmation::ConfirmedEpoch;
use crate::timing::PermitTiming;
use crate::view::{FencingToken, GateId, View};

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

fn confirmed(epoch: u64, requested_at: u64) -> ConfirmedEpoch {
    ConfirmedEpoch {
        epoch,
        requested_at: ms(requested_at),
    }
}

fn takeover_delay() -> Duration {
    PermitTiming::slow_start().takeover_delay
}

fn active(epoch: u64) -> LeaseState {
    LeaseState::Active(FencingToken {
        epoch,
        owner: gate(1),
    })
}

/// The lease of a gate that owns the key, past its takeover delay and confirmed at 10 s.
fn lease_at_10_s() -> Lease {
    let mut lease = Lease::new(gate(1), PermitTiming::slow_start());
    assert!(lease.adopt(view(5, &[1])));
    lease.confirm(ms(1000), confirmed(5, 1000));
    lease.confirm(ms(10_000), confirmed(5, 10_000));
    assert_eq!(lease.state(ms(10_000), &KEY), active(5));
    lease
}

#[test]
fn gate_without_a_view_owns_nothing() {
    let mut lease = Lease::new(gate(1), PermitTiming::slow_start());
    assert_eq!(lease.state(ms(0), &KEY), LeaseState::NotOwner);
}

#[test]
fn takeover_delay_begins_at_the_first_confirmation() {
    let mut lease = Lease::new(gate(1), PermitTiming::slow_start());
    lease.adopt(view(5, &[1]));
    assert_eq!(lease.state(ms(9000), &KEY), LeaseState::Unconfirmed);
    lease.confirm(ms(9100), confirmed(5, 9000));
    assert_eq!(
        lease.state(ms(9100), &KEY),
        LeaseState::TakeoverDelay(ms(9100) + takeover_delay())
    );
    let available_from = ms(9100) + takeover_delay();
    lease.confirm(
        available_from,
        ConfirmedEpoch {
            epoch: 5,
            requested_at: available_from,
        },
    );
    assert_eq!(lease.state(available_from, &KEY), active(5));
}

#[test]
fn lease_expires_by_the_request_for_its_confirmation() {
    let mut lease = lease_at_10_s();
    lease.confirm(ms(10_400), confirmed(5, 10_200));
    assert_eq!(lease.leased_until(), Some(ms(11_200)));
    assert_eq!(lease.state(ms(11_199), &KEY), active(5));
    assert_eq!(lease.state(ms(11_200), &KEY), LeaseState::Unconfirmed);
}

#[test]
fn confirmation_of_another_epoch_is_ignored() {
    let mut lease = lease_at_10_s();
    lease.confirm(ms(10_900), confirmed(6, 10_900));
    lease.confirm(ms(10_900), confirmed(4, 10_900));
    assert_eq!(lease.leased_until(), Some(ms(11_000)));
}

#[test]
fn confirmation_of_the_previous_view_does_not_begin_the_ownership() {
    let mut lease = Lease::new(gate(1), PermitTiming::slow_start());
    lease.adopt(view(5, &[2]));
    lease.adopt(view(6, &[1]));
    lease.confirm(ms(100), confirmed(5, 50));
    lease.confirm(ms(900), confirmed(6, 800));
    assert_eq!(
        lease.state(ms(900), &KEY),
        LeaseState::TakeoverDelay(ms(900) + takeover_delay())
    );
}

#[test]
fn late_confirmation_does_not_shorten_the_lease() {
    let mut lease = lease_at_10_s();
    lease.confirm(ms(10_100), confirmed(5, 9_500));
    assert_eq!(lease.leased_until(), Some(ms(11_000)));
}

#[test]
fn ownership_continues_over_the_next_epoch() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(6, &[1]));
    assert_eq!(lease.state(ms(10_100), &KEY), LeaseState::Unconfirmed);
    lease.confirm(ms(10_200), confirmed(6, 10_100));
    assert_eq!(lease.state(ms(10_200), &KEY), active(6));
}

#[test]
fn older_view_is_not_adopted() {
    let mut lease = lease_at_10_s();
    assert!(!lease.adopt(view(5, &[2])));
    assert!(!lease.adopt(view(4, &[2])));
    assert_eq!(lease.state(ms(10_100), &KEY), active(5));
}

#[test]
fn key_that_another_gate_owned_has_a_takeover_delay() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(6, &[2]));
    assert_eq!(lease.state(ms(10_100), &KEY), LeaseState::NotOwner);
    lease.adopt(view(7, &[1]));
    lease.confirm(ms(10_200), confirmed(7, 10_150));
    assert_eq!(
        lease.state(ms(10_200), &KEY),
        LeaseState::TakeoverDelay(ms(10_200) + takeover_delay())
    );
}

#[test]
fn short_gap_is_harmless() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(9, &[1]));
    let until = ms(10_000) + takeover_delay() - PermitTiming::slow_start().lease_duration;
    lease.confirm(
        until - ms(1),
        ConfirmedEpoch {
            epoch: 9,
            requested_at: until - ms(1),
        },
    );
    assert_eq!(lease.state(until, &KEY), active(9));
}

#[test]
fn long_gap_has_a_takeover_delay() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(9, &[1]));
    let until = ms(10_000) + takeover_delay() - PermitTiming::slow_start().lease_duration;
    lease.confirm(
        until,
        ConfirmedEpoch {
            epoch: 9,
            requested_at: until,
        },
    );
    assert_eq!(
        lease.state(until, &KEY),
        LeaseState::TakeoverDelay(until + takeover_delay())
    );
}

#[test]
fn gap_is_resolved_by_the_first_confirmation_after_it() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(9, &[1]));
    lease.adopt(view(10, &[1]));
    lease.confirm(ms(30_000), confirmed(10, 30_000));
    assert_eq!(
        lease.state(ms(30_000), &KEY),
        LeaseState::TakeoverDelay(ms(30_000) + takeover_delay())
    );
}

#[test]
fn other_incarnation_at_the_address_is_another_owner() {
    let mut lease = Lease::new(
        GateId {
            incarnation: 2,
            ..gate(1)
        },
        PermitTiming::slow_start(),
    );
    lease.adopt(view(5, &[1]));
    lease.confirm(ms(0), confirmed(5, 0));
    assert_eq!(lease.state(ms(900), &KEY), LeaseState::NotOwner);
}
