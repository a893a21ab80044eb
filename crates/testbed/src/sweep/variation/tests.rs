//! Tests of `variation.rs`.

use super::*;

const SCENARIO: &str = include_str!("../../../../../scenarios/zone-loss.toml");

fn variation(text: &str) -> Variation {
    text.parse().expect("a valid variation")
}

fn apply(variation_text: &str, value: f64) -> Result<Scenario, VariationError> {
    variation(variation_text).apply(SCENARIO, value)
}

#[test]
fn values_are_at_equal_distances_and_each_is_applied() {
    let variation = variation("clients.rate=100..300:3");
    assert_eq!(variation.values(), [100.0, 200.0, 300.0]);
    let scenarios = variation
        .values()
        .into_iter()
        .map(|value| variation.apply(SCENARIO, value).expect("a valid scenario"));
    let rates: Vec<f64> = scenarios.map(|scenario| scenario.clients.rate).collect();
    assert_eq!(rates, [100.0, 200.0, 300.0]);
}

#[test]
fn an_integer_stays_an_integer() {
    let scenario = apply("proxies.count=2..4", 3.0).expect("an integer");
    assert_eq!(scenario.proxies.count, 3);
}

#[test]
fn a_key_in_a_list_is_found_by_its_index() {
    let scenario = apply("trouble.0.for_s=2..4", 3.0).expect("a key in a list");
    assert_eq!(scenario.faults[0].for_s, 3.0);
}

#[test]
fn a_key_that_the_file_leaves_to_its_default_is_set() {
    let scenario = apply("proxies.most_tries=1..3", 2.0).expect("a key with a default");
    assert_eq!(scenario.proxies.max_attempts, 2);
}

#[test]
fn unknown_keys_and_values_out_of_range_are_named() {
    for (text, expected) in [
        ("clients.speed=1..2", "unknown field `speed`"),
        ("trouble.7.for_s=1..2", "no table or list at this path"),
        ("clients.rate=-5..2", "expected 0.001 to 10000000"),
    ] {
        let error = apply(text, variation(text).from).expect_err(text);
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn texts_that_are_no_variation_are_rejected() {
    for text in [
        "rate",
        "rate=1",
        "rate=1..x",
        "=1..2",
        "rate=1..2:1",
        "rate=1..nan",
    ] {
        let error = text.parse::<Variation>().expect_err(text);
        assert!(
            error.to_string().contains("expected PATH=FROM..TO"),
            "{text}"
        );
    }
}
