use std::time::Duration;

use super::{Lease, LeaseState};
use crate::test_support::{confirmed, gate, gate_incarnation, ms, token, view};
use crate::timing::PermitTiming;
use crate::view::GateId;

const KEY: &str = "i-1";

fn takeover_delay() -> Duration {
    PermitTiming::slow_start().takeover_delay
}

/// The end of a harmless gap after a confirmation requested at 10 s: from then on, another owner
/// can have completed its takeover delay.
fn end_of_harmless_gap() -> Duration {
    ms(10_000) + takeover_delay() - PermitTiming::slow_start().lease_duration
}

/// The state during a takeover delay that began at `confirmed_at`.
fn delayed_from(confirmed_at: Duration) -> LeaseState {
    LeaseState::TakeoverDelay(confirmed_at + takeover_delay())
}

fn active(epoch: u64) -> LeaseState {
    LeaseState::Active(token(epoch))
}

/// The lease of a gate that knows no view yet.
fn lease_of(gate: GateId) -> Lease {
    Lease::new(gate, PermitTiming::slow_start())
}

/// The lease of a gate that owns the key, after its takeover delay, last confirmed at 10 s.
fn lease_at_10_s() -> Lease {
    let mut lease = lease_of(gate(1));
    assert!(lease.adopt(view(5, &[1])));
    lease.confirm(ms(1000), confirmed(5, ms(1000)));
    lease.confirm(ms(10_000), confirmed(5, ms(10_000)));
    assert_eq!(lease.state(ms(10_000), &KEY), active(5));
    lease
}

#[test]
fn gate_without_a_view_owns_nothing() {
    let mut lease = lease_of(gate(1));
    assert_eq!(lease.state(ms(0), &KEY), LeaseState::NotOwner);
}

#[test]
fn takeover_delay_begins_at_the_first_confirmation() {
    let mut lease = lease_of(gate(1));
    lease.adopt(view(5, &[1]));
    assert_eq!(lease.state(ms(9000), &KEY), LeaseState::Unconfirmed);
    lease.confirm(ms(9100), confirmed(5, ms(9000)));
    assert_eq!(lease.state(ms(9100), &KEY), delayed_from(ms(9100)));
    let available_from = ms(9100) + takeover_delay();
    lease.confirm(available_from, confirmed(5, available_from));
    assert_eq!(lease.state(available_from, &KEY), active(5));
}

#[test]
fn lease_duration_counts_from_the_request_of_the_confirmation() {
    let mut lease = lease_at_10_s();
    lease.confirm(ms(10_400), confirmed(5, ms(10_200)));
    assert_eq!(lease.leased_until(), Some(ms(11_200)));
    assert_eq!(lease.state(ms(11_199), &KEY), active(5));
    assert_eq!(lease.state(ms(11_200), &KEY), LeaseState::Unconfirmed);
}

#[test]
fn confirmation_of_another_epoch_is_ignored() {
    let mut lease = lease_at_10_s();
    lease.confirm(ms(10_900), confirmed(6, ms(10_900)));
    lease.confirm(ms(10_900), confirmed(4, ms(10_900)));
    assert_eq!(lease.leased_until(), Some(ms(11_000)));
}

#[test]
fn confirmation_of_the_previous_view_does_not_begin_the_ownership() {
    let mut lease = lease_of(gate(1));
    lease.adopt(view(5, &[2]));
    lease.adopt(view(6, &[1]));
    lease.confirm(ms(100), confirmed(5, ms(50)));
    lease.confirm(ms(900), confirmed(6, ms(800)));
    assert_eq!(lease.state(ms(900), &KEY), delayed_from(ms(900)));
}

#[test]
fn late_confirmation_does_not_shorten_the_lease() {
    let mut lease = lease_at_10_s();
    lease.confirm(ms(10_100), confirmed(5, ms(9_500)));
    assert_eq!(lease.leased_until(), Some(ms(11_000)));
}

#[test]
fn ownership_continues_over_the_next_epoch() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(6, &[1]));
    assert_eq!(lease.state(ms(10_100), &KEY), LeaseState::Unconfirmed);
    lease.confirm(ms(10_200), confirmed(6, ms(10_100)));
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
    lease.confirm(ms(10_200), confirmed(7, ms(10_150)));
    assert_eq!(lease.state(ms(10_200), &KEY), delayed_from(ms(10_200)));
}

#[test]
fn ownership_continues_over_a_gap_in_which_no_other_gate_can_have_granted() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(9, &[1]));
    let until = end_of_harmless_gap();
    let in_time = until - ms(1);
    lease.confirm(in_time, confirmed(9, in_time));
    assert_eq!(lease.state(until, &KEY), active(9));
}

#[test]
fn takeover_delay_begins_anew_after_a_gap_in_which_another_gate_can_have_granted() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(9, &[1]));
    let until = end_of_harmless_gap();
    lease.confirm(until, confirmed(9, until));
    assert_eq!(lease.state(until, &KEY), delayed_from(until));
}

#[test]
fn gap_over_several_views_is_judged_by_the_first_confirmation_after_it() {
    let mut lease = lease_at_10_s();
    lease.adopt(view(9, &[1]));
    lease.adopt(view(10, &[1]));
    lease.confirm(ms(30_000), confirmed(10, ms(30_000)));
    assert_eq!(lease.state(ms(30_000), &KEY), delayed_from(ms(30_000)));
}

#[test]
fn gate_does_not_own_the_keys_of_another_incarnation_at_its_address() {
    let mut lease = lease_of(gate_incarnation(1, 2));
    lease.adopt(view(5, &[1]));
    lease.confirm(ms(0), confirmed(5, ms(0)));
    assert_eq!(lease.state(ms(900), &KEY), LeaseState::NotOwner);
}
