use super::*;

#[test]
fn the_rate_is_known_after_enough_tokens() {
    let mut rate = PrefillRate::default();
    rate.record(10_000, 200_000);
    assert_eq!(rate.time_for(1_000), 0.0);
    rate.record(20_000, 400_000);
    assert!((rate.time_for(1_000) - 20_000.0).abs() < 1.0);
}

#[test]
fn the_round_trip_is_not_attributed_to_prefill() {
    let mut rate = PrefillRate::default();
    for tokens in [500, 20_000, 1_000, 3_000, 12_000, 700] {
        rate.record(tokens, 60_000 + 7 * tokens);
    }
    assert!(
        (rate.time_for(1_000) - 7_000.0).abs() < 1.0,
        "{}",
        rate.time_for(1_000)
    );
    assert!(
        (rate.intercept() - 60_000.0).abs() < 10.0,
        "{}",
        rate.intercept()
    );
}

#[test]
fn prompts_of_equal_length_yield_a_rate_too() {
    let mut rate = PrefillRate::default();
    (0..10).for_each(|_| rate.record(5_000, 50_000));
    assert!((rate.time_for(1_000) - 10_000.0).abs() < 1.0);
    assert_eq!(rate.intercept().round(), 0.0);
}

#[test]
fn one_outlier_hardly_changes_the_rate() {
    let mut rate = PrefillRate::default();
    (0..50).for_each(|n| rate.record(1_000 + 100 * n, 60_000 + 7 * (1_000 + 100 * n)));
    rate.record(1_000, 10_000_000);
    assert!(rate.intercept() + rate.time_for(1_000) < 100_000.0);
}
