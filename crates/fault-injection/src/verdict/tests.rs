//! Tests of `verdict.rs`.

use super::*;

fn sent(txn: &str, at_ms: u64, outcome: Outcome) -> SentRequest {
    SentRequest {
        txn: txn.into(),
        at: Duration::from_millis(at_ms),
        outcome,
        latency: Duration::ZERO,
    }
}

fn run(txn: &str, class: &str) -> Execution {
    Execution {
        txn: txn.into(),
        class: class.into(),
        server: "s-0".into(),
        at: Duration::ZERO,
    }
}

#[test]
fn a_request_executed_twice_is_reported_unless_its_class_allows_it() {
    let runs = [
        run("a", "deposit-order"),
        run("a", "deposit-order"),
        run("b", "balance"),
        run("b", "balance"),
    ];
    let v = check_executions(
        &[sent("a", 0, Outcome::Served), sent("b", 1, Outcome::Served)],
        &runs,
        &["balance"],
    );
    let [repeated] = &v.executed_twice[..] else {
        panic!("one request expected: {:?}", v.executed_twice)
    };
    assert_eq!((&*repeated.txn, &*repeated.executions), ("a", &runs[..2]));
    assert_eq!(
        repeated.to_string(),
        "a was executed on s-0 at 0.000 s, on s-0 at 0.000 s"
    );
    assert!(v.fabricated.is_empty());
}

#[test]
fn a_response_without_an_execution_is_reported() {
    let v = check_executions(
        &[sent("c", 0, Outcome::Served), sent("d", 0, Outcome::Broken)],
        &[],
        &[],
    );
    assert_eq!(
        (v.fabricated, v.served, v.sent),
        (vec!["c".to_string()], 1, 2)
    );
}

#[test]
fn the_service_has_recovered_once_every_request_of_a_span_is_served() {
    use Outcome::*;
    let s: Vec<SentRequest> = [Served, Broken, Broken, Served, Served, Served, Served]
        .iter()
        .enumerate()
        .map(|(n, o)| sent("x", n as u64 * 100, *o))
        .collect();
    assert_eq!(
        recovery_time(&s, Duration::ZERO, Duration::from_millis(300)),
        Some(Duration::from_millis(300))
    );
    assert_eq!(
        recovery_time(&s[..3], Duration::ZERO, Duration::from_millis(300)),
        None
    );
}
