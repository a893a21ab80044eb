use std::time::Duration;

use super::PermitTiming;

#[test]
fn takeover_delay_covers_everything_the_previous_owner_may_still_cause() {
    let timing = PermitTiming::slow_start();
    assert_eq!(
        timing.takeover_delay,
        timing.lease_duration + timing.lifetime + timing.delay_variation + timing.window
    );
    let window = Duration::from_secs(10);
    assert!(PermitTiming::retry_burst(window).takeover_delay > window);
}

#[test]
fn lifetime_beyond_the_limit_is_not_charged() {
    let timing = PermitTiming::slow_start();
    assert_eq!(
        timing.unreported_charge(timing.lifetime * 5),
        timing.lifetime + timing.charge_after_use()
    );
}
