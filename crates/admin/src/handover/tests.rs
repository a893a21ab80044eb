use super::*;
use crate::overrides::Reenabled;

#[test]
fn messages_survive_encoding_and_decoding() {
    let mut overrides = OverrideState::default();
    let reenabled = Reenabled {
        disabled_at: 3,
        enabled_at: 5,
    };
    overrides.disabled.insert("s1".into(), 7);
    overrides.reenabled.insert("s2".into(), reenabled);
    let endpoints = Some(serde_json::json!({"rev": 1, "all": true, "targets": []}));
    for message in [
        Message::Hello {
            version: PROTOCOL_VERSION,
            answers_claims: true,
        },
        Message::Hello {
            version: PROTOCOL_VERSION,
            answers_claims: false,
        },
        Message::Welcome {
            version: PROTOCOL_VERSION,
            overrides,
            endpoints,
        },
        Message::Busy("why\nnot".into()),
        Message::Serving,
        Message::Override(ServerOverride {
            uid: "s\u{e9}\n".into(),
            disabled_at: None,
            reenabled: Some(reenabled),
        }),
        Message::Opened("00ff".into()),
        Message::Closed("00ff".into()),
        Message::Claim("00ff".into()),
        Message::Claimed {
            request_name: "00ff".into(),
            granted: true,
        },
    ] {
        let line = encode(&message);
        assert_eq!(line.matches('\n').count(), 1, "{line}");
        assert_eq!(decode(line.as_bytes()).expect("a message"), message);
    }
}

#[test]
fn hello_without_the_claims_field_is_decoded_as_answering_none() {
    let old = br#"{"hello":{"version":1}}"#;
    assert_eq!(
        decode(old).expect("a message"),
        Message::Hello {
            version: 1,
            answers_claims: false
        }
    );
}

#[test]
fn malformed_line_is_rejected_with_an_error_of_one_line() {
    for line in [
        &b""[..],
        b"{}",
        b"hello",
        b"{\"serving\":",
        b"\xff\xfe",
        b"{\"hello\":{}}",
        &vec![b'['; 100_000],
    ] {
        let error = decode(line).expect_err("no message").to_string();
        assert!(!error.contains('\n'), "{error}");
    }
}

/// Processes of earlier builds write and read exactly these lines.
#[test]
fn lines_of_earlier_builds_are_decoded_and_encoded_unchanged() {
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
