//! Tests of `link.rs`.

use super::*;

#[test]
fn messages_survive_the_way() {
    let mut bans = Bans::default();
    bans.out.insert("s1".into(), 7);
    bans.back.insert("s2".into(), (3, 5));
    let known = Some(serde_json::json!({"rev": 1, "all": true, "targets": []}));
    for message in [
        Message::Hello {
            version: VERSION,
            claims: true,
        },
        Message::Hello {
            version: VERSION,
            claims: false,
        },
        Message::Welcome {
            version: VERSION,
            bans,
            known,
        },
        Message::Busy("why\nnot".into()),
        Message::Serving,
        Message::Admin(Change {
            uid: "s\u{e9}\n".into(),
            out: None,
            back: Some((1, 2)),
        }),
        Message::Opened("00ff".into()),
        Message::Closed("00ff".into()),
        Message::Claim("00ff".into()),
        Message::Claimed {
            txn: "00ff".into(),
            granted: true,
        },
    ] {
        let line = encode(&message);
        assert_eq!(line.matches('\n').count(), 1, "{line}");
        assert_eq!(decode(line.as_bytes()), Ok(message));
    }
}

#[test]
fn a_greeting_of_a_process_built_before_claims_is_read_as_one_without() {
    let old = br#"{"hello":{"version":1}}"#;
    assert_eq!(
        decode(old),
        Ok(Message::Hello {
            version: 1,
            claims: false
        })
    );
}

#[test]
fn what_is_no_message_is_told_in_one_line() {
    for line in [
        &b""[..],
        b"{}",
        b"hello",
        b"{\"serving\":",
        b"\xff\xfe",
        b"{\"hello\":{}}",
        &[b'['; 100_000],
    ] {
        let why = decode(line).expect_err("no message");
        assert!(!why.contains('\n'), "{why}");
    }
}

/// The lines are those that processes of earlier builds write and expect.
#[test]
fn lines_of_earlier_builds_are_read_and_written_alike() {
    for line in [
        r#"{"hello":{"version":1,"claims":true}}"#,
        r#"{"welcome":{"version":1,"bans":{"out":{"s1":7},"back":{"s2":[3,5]}},"known":null}}"#,
        r#"{"busy":"why"}"#,
        r#""serving""#,
        r#"{"admin":{"uid":"s1","out":7,"back":null}}"#,
        r#"{"admin":{"uid":"s2","out":null,"back":[3,5]}}"#,
        r#"{"opened":"00ff"}"#,
        r#"{"closed":"00ff"}"#,
        r#"{"claim":"00ff"}"#,
        r#"{"claimed":{"txn":"00ff","granted":true}}"#,
    ] {
        let message = decode(line.as_bytes()).expect("a message");
        assert_eq!(encode(&message), format!("{line}\n"));
    }
}
