//! Tests of `sweep.rs`.

use super::*;

#[test]
fn ranges_are_read_and_applied() {
    let text = include_str!("../../../../scenarios/zone-loss.toml");
    let vary: Vary = "clients.rate=100..300:3".parse().expect("sound");
    assert_eq!(vary.values(), [100.0, 200.0, 300.0]);
    let rates = vary
        .values()
        .into_iter()
        .map(|v| vary.apply(text, v).expect("sound").clients.rate);
    assert_eq!(rates.collect::<Vec<_>>(), [100.0, 200.0, 300.0]);
    let apply = |vary: &str, value| vary.parse::<Vary>().expect("sound").apply(text, value);
    assert_eq!(
        apply("proxies.count=2..4", 3.0)
            .expect("whole")
            .proxies
            .count,
        3
    );
    assert_eq!(
        apply("trouble.0.for_s=2..4", 3.0)
            .expect("in a list")
            .faults[0]
            .for_s,
        3.0
    );
    assert_eq!(
        apply("proxies.most_tries=1..3", 2.0)
            .expect("not in the file")
            .proxies
            .max_attempts,
        2
    );
    for (vary, told) in [
        ("clients.speed=1..2", "unknown field `speed`"),
        ("trouble.7.for_s=1..2", "no such figure"),
        ("clients.rate=-5..2", "expected 0.001 to 10000000"),
    ] {
        let error = apply(vary, vary.parse::<Vary>().expect("sound").from).expect_err(vary);
        assert!(error.to_string().contains(told), "{error}");
    }
    for bad in [
        "rate",
        "rate=1",
        "rate=1..x",
        "=1..2",
        "rate=1..2:1",
        "rate=1..nan",
    ] {
        assert!(
            bad.parse::<Vary>()
                .expect_err(bad)
                .to_string()
                .contains("expected PATH=FROM..TO"),
            "{bad}"
        );
    }
}
