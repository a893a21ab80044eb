use super::*;

#[test]
fn lines_are_parsed_as_their_commands() {
    for (line, command) in [
        (&b"ready\n"[..], Command::Ready),
        (b"ready\r\n", Command::Ready),
        (b"  ready", Command::Ready),
        (
            b"disable-server s-5be2a07c\n",
            Command::DisableServer("s-5be2a07c".into()),
        ),
        (
            b"enable-server\ts-5be2a07c \r\n",
            Command::EnableServer("s-5be2a07c".into()),
        ),
    ] {
        assert_eq!(parse(line), Ok(command));
    }
}

#[test]
fn invalid_line_is_rejected_with_what_was_expected() {
    let long = [b"disable-server ", &[b'x'; MAX_LINE_BYTES][..]].concat();
    for (line, expected) in [
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
        let error = parse(line).expect_err("an invalid line");
        assert!(error.to_string().contains(expected), "{error}");
        let written = format_reply(&Err(error.into()));
        assert!(
            written.starts_with("-ERR ") && written.lines().count() == 1,
            "{written}"
        );
    }
}
