//! Heartbeats as servers send them: defaults, unknown keys and rejections.

use assert_matches::assert_matches;

use super::*;

const BODY: &str = r#"{"backend":"model","address":"10.0.0.9:8080","zone":"north-a","generation":"v1",
    "capacity":64,"state":"draining","warmup_left_ms":0,"phase":"dual",
    "models":[{"name":"m","generation":1,"adapters":[]}],"remaining_ms":1500,"sequence":4}"#;

#[test]
fn a_heartbeat_is_read_and_unknown_keys_are_ignored() {
    let heartbeat = Heartbeat::parse(BODY.as_bytes()).expect("valid");
    assert_eq!(heartbeat.state, InstanceState::Draining);
    assert_eq!((heartbeat.sequence, heartbeat.capacity), (4, 64));
    assert_eq!(heartbeat.remaining_ms, Some(1_500.0));
}

#[test]
fn optional_fields_of_a_heartbeat_have_defaults() {
    let minimal =
        r#"{"backend":"a","address":"10.0.0.9:80","zone":"z","state":"ready","sequence":0}"#;
    let heartbeat = Heartbeat::parse(minimal.as_bytes()).expect("valid");
    assert_eq!(
        (heartbeat.warmup_left_ms, heartbeat.remaining_ms),
        (0.0, None)
    );
}

#[test]
fn a_truncated_heartbeat_is_rejected_in_one_line() {
    for end in 0..BODY.len() {
        let error = Heartbeat::parse(&BODY.as_bytes()[..end]).expect_err("truncated");
        assert_matches!(error, HeartbeatError::Malformed(reason) if !reason.to_string().contains('\n'));
    }
}

#[test]
fn invalid_values_are_rejected() {
    for (original, replacement) in [
        ("10.0.0.9:8080", "nowhere"),
        ("draining", "asleep"),
        (":4}", ":-1}"),
    ] {
        let body = BODY.replace(original, replacement);
        assert_matches!(Heartbeat::parse(body.as_bytes()), Err(_), "{replacement}");
    }
}
