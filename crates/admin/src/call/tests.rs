//! Tests of `call.rs`.

use super::*;

#[test]
fn lines_are_read_as_the_calls_they_are() {
    for (line, call) in [
        (&b"ready\n"[..], Call::Ready),
        (b"ready\r\n", Call::Ready),
        (b"  ready", Call::Ready),
        (
            b"disable-server s-5be2a07c\n",
            Call::Disable("s-5be2a07c".into()),
        ),
        (
            b"enable-server\ts-5be2a07c \r\n",
            Call::Enable("s-5be2a07c".into()),
        ),
    ] {
        assert_eq!(parse(line), Ok(call));
    }
}

#[test]
fn a_bad_line_is_told_what_was_expected() {
    let long = [b"disable-server ", &[b'x'; LINE_MOST][..]].concat();
    for (line, told) in [
        (&b"\n"[..], "empty"),
        (b"reboot\n", "`reboot` is not a call"),
        (b"READY\n", "is not a call"),
        (b"ready now\n", "no further word"),
        (b"disable-server\n", "ID is missing"),
        (b"enable-server a b\n", "words after the ID"),
        (b"ready\nready\n", "not plain text"),
        (b"\xff\xfe\n", "not text"),
        (b"disable-server a\0\n", "not plain text"),
        (&long, "over 512 bytes"),
    ] {
        let why = parse(line).expect_err("a bad line");
        assert!(why.contains(told), "{why}");
        let written = answer(&Err(why));
        assert!(
            written.starts_with("-ERR ") && written.lines().count() == 1,
            "{written}"
        );
    }
}
