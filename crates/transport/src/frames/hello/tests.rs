//! Tests of `hello.rs`.

use super::*;

fn hello(protocol: &str, version: u32) -> Hello {
    Hello {
        protocol: protocol.into(),
        version,
        node: "one".into(),
        incarnation: 7,
    }
}

#[test]
fn a_handshake_of_the_same_protocol_and_version_is_accepted() {
    let frame = hello("core", 3).encode_frame().expect("short");
    let ours = Hello {
        node: "two".into(),
        ..hello("core", 3)
    };
    assert_eq!(ours.check_peer(&frame), Ok(hello("core", 3)));
}

#[test]
fn any_other_handshake_is_rejected_with_the_reason() {
    let ours = hello("core", 3);
    let frame = |protocol, version| hello(protocol, version).encode_frame().expect("short");
    assert_eq!(
        ours.check_peer(&frame("core", 4)),
        Err(HelloError::Version { theirs: 4, ours: 3 })
    );
    let protocol = HelloError::Protocol {
        theirs: "agent".into(),
        ours: "core".into(),
    };
    assert_eq!(ours.check_peer(&frame("agent", 3)), Err(protocol));
    let later = encode(&(MAGIC, VERSION + 1, "anything"), MAX_HELLO_BYTES).expect("short");
    assert_eq!(
        ours.check_peer(&later),
        Err(HelloError::HandshakeVersion {
            theirs: VERSION + 1
        })
    );
    for bytes in [&b""[..], b"GET / HTTP/1.1\r\n", b"IRMT", b"IRMT\x01\xff"] {
        assert_eq!(
            ours.check_peer(bytes),
            Err(HelloError::NotAHandshake),
            "{bytes:?}"
        );
    }
    let mut longer = frame("core", 3);
    longer.push(0);
    assert_eq!(
        ours.check_peer(&longer),
        Err(HelloError::NotAHandshake),
        "trailing bytes"
    );
}

#[test]
fn a_handshake_longer_than_the_limit_is_rejected() {
    assert!(
        hello(&"x".repeat(MAX_HELLO_BYTES), 1)
            .encode_frame()
            .is_err()
    );
}
