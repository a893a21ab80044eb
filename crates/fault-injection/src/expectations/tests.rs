//! Tests of `expectations.rs`.

use super::*;

fn sent(at_ms: u64, outcome: Outcome) -> SentRequest {
    SentRequest {
        txn: format!("{at_ms}"),
        at: Duration::from_millis(at_ms),
        outcome,
        latency: Duration::ZERO,
    }
}

fn run(at_ms: u64, server: &str) -> Execution {
    let at = Duration::from_millis(at_ms);
    Execution {
        txn: format!("{at_ms}"),
        class: "balance".into(),
        server: server.into(),
        at,
    }
}

fn expect(text: &str) -> Expectations {
    toml::from_str(text).expect("reads")
}

#[test]
fn each_assertion_holds_for_a_good_run_and_is_violated_by_a_bad_one() {
    let good: Vec<SentRequest> = (0..100).map(|n| sent(n * 100, Outcome::Served)).collect();
    let mut bad = good.clone();
    bad[50..60]
        .iter_mut()
        .for_each(|s| s.outcome = Outcome::Broken);
    let in_zone: Vec<Execution> = (0..100).map(|n| run(n * 100, "a-b-0")).collect();
    let outside_zone: Vec<Execution> = (0..100).map(|n| run(n * 100, "b-0")).collect();
    for text in [
        "served = 0.95",
        "[[span]]\nfrom_s = 5.0\nto_s = 6.0\nserved = 0.5",
        "[[whole]]\nafter_s = 5.0\nwithin_s = 0.5\nfor_s = 1.0\nproxy = 0",
    ] {
        assert_eq!(
            expect(text).violations(std::slice::from_ref(&good), &in_zone),
            Vec::<Violation>::new(),
            "{text}"
        );
        assert_eq!(
            expect(text)
                .violations(std::slice::from_ref(&bad), &in_zone)
                .len(),
            1,
            "{text}"
        );
    }
    let zone = expect("[[span]]\nfrom_s = 0.0\nto_s = 6.0\nzone = \"a-b\"\nruns = 0.9");
    assert!(
        zone.violations(std::slice::from_ref(&good), &in_zone)
            .is_empty()
    );
    assert_eq!(
        zone.violations(std::slice::from_ref(&good), &outside_zone)
            .len(),
        1
    );
    assert_eq!(
        zone.violations(&[good], &[]).len(),
        1,
        "no share is reached without executions"
    );
    let never: Vec<SentRequest> = (0..9).map(|n| sent(n * 100, Outcome::Failed)).collect();
    assert_eq!(
        Expectations::default().violations(&[never], &[]).len(),
        1,
        "no request was served"
    );
    assert_eq!(
        Expectations::default().violations(&[], &[]).len(),
        1,
        "no request was sent"
    );
}

#[test]
fn an_invalid_table_is_rejected_with_its_key() {
    let zones = ["a".to_string()];
    let error = |text: &str| {
        expect(text)
            .check(10.0, &zones, 2)
            .expect_err("bad")
            .to_string()
    };
    assert!(error("served = 1.5").contains("expect.served"));
    assert!(
        error("[[span]]\nfrom_s = 5.0\nto_s = 11.0\nserved = 0.5").contains("expect.span.0.to_s")
    );
    assert!(
        error("[[span]]\nfrom_s = 5.0\nto_s = 6.0\nzone = \"a\"")
            .contains("zone and runs together")
    );
    let zone = error("[[span]]\nfrom_s = 5.0\nto_s = 6.0\nzone = \"b\"\nruns = 0.5");
    assert_eq!(zone, "expect.span.0.zone: no zone `b`; there is a");
    assert!(
        error("[[whole]]\nafter_s = 9.0\nwithin_s = 1.0\nfor_s = 1.0").contains("expect.whole.0")
    );
    let proxy = error("[[whole]]\nafter_s = 1.0\nwithin_s = 1.0\nfor_s = 1.0\nproxy = 2");
    assert_eq!(proxy, "expect.whole.0.proxy: no proxy 2; there are 0 to 1");
}

#[test]
fn a_violation_states_what_was_observed_and_what_was_expected() {
    let late: Vec<SentRequest> = (0..20)
        .map(|n| {
            let outcome = if n < 10 {
                Outcome::Broken
            } else {
                Outcome::Served
            };
            sent(n * 100, outcome)
        })
        .collect();
    let lines = |text: &str| {
        let violations = expect(text).violations(std::slice::from_ref(&late), &[run(0, "a-0")]);
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        lines.join("\n")
    };
    assert_eq!(
        lines("served = 0.9"),
        "requests served: 10 of 20 (0.500), 0.9 expected"
    );
    assert_eq!(
        lines("[[span]]\nfrom_s = 0.0\nto_s = 1.5\nserved = 0.5"),
        "requests served from 0 to 1.5 s: 5 of 15 (0.333), 0.5 expected"
    );
    assert_eq!(
        lines("[[span]]\nfrom_s = 0.0\nto_s = 2.0\nzone = \"b\"\nruns = 0.9"),
        "executions in b from 0 to 2 s: 0 of 1 (0.000), 0.9 expected"
    );
    assert_eq!(
        lines("[[whole]]\nafter_s = 0.0\nwithin_s = 0.5\nfor_s = 0.5\nproxy = 0"),
        "proxy 0: recovered at 1.00 s, 0.50 s expected"
    );
    assert_eq!(
        lines("[[whole]]\nafter_s = 0.0\nwithin_s = 0.5\nfor_s = 5.0"),
        "all proxies: no span of 5 s after 0 s in which every request was served"
    );
    assert_eq!(
        Expectations::default().violations(&[], &[])[0].to_string(),
        "none of 0 requests was served"
    );
}
