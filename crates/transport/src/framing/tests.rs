//! Tests of `framing.rs`.

use super::*;

const OK: &str = "HTTP/1.1 200 OK\r\n";

/// Follows bytes that arrive in the parts given: where the answer stands in them once it is whole.
fn whole(bytes: &[u8], part: usize) -> Result<Option<Range<usize>>, Spoilt> {
    let (mut come, mut follower) = (0, None::<(usize, usize, Follower)>);
    while come < bytes.len() {
        let now = (come + part).min(bytes.len());
        let (start, mut at, mut body) = match follower.take() {
            Some((start, at, body)) => (start, at, body),
            None => {
                if let Some(Head { at, framing, .. }) = head(&bytes[..now], BodyRules::default())? {
                    (at.start, at.end, Follower { framing, seen: 0 })
                } else {
                    come = now;
                    continue;
                }
            }
        };
        let (used, whole) = body.follow(&bytes[at..now])?;
        at += used;
        if whole {
            return Ok(Some(start..at));
        }
        (come, follower) = (now, Some((start, at, body)));
    }
    Ok(None)
}

/// An answer is let through without what stands in front of it or right behind it, in whatever
/// pieces.
#[test]
fn the_answer_is_found_among_what_does_not_belong_to_it() {
    let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    for answer in [
        format!("{OK}Content-Length: 2\r\n\r\nhi"),
        format!("{OK}Content-Length: 0\r\n\r\n"),
        "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n".to_string(),
        format!(
            "{OK}Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n1\r\n!\r\n0;c\r\nX-A: b\r\nX-C: d\r\n\r\n"
        ),
        "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
    ] {
        for part in 1..answer.len() {
            assert_eq!(
                whole(&answer.as_bytes()[..answer.len() - 1], part),
                Ok(None),
                "{part} of {answer}"
            );
            let bytes = format!("{early}{answer}{answer}");
            let found = early.len()..early.len() + answer.len();
            assert_eq!(
                whole(bytes.as_bytes(), part),
                Ok(Some(found)),
                "{part} of {answer}"
            );
        }
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_says_so() {
    let said = format!("{OK}Connection: close\r\n\r\nhi");
    assert_eq!(
        head(said.as_bytes(), BodyRules::default()).map(|h| h.map(|h| h.framing)),
        Ok(Some(Framing::ToEnd))
    );
    assert_eq!(
        whole(said.as_bytes(), 1),
        Ok(None),
        "its end is not among its bytes"
    );
}

#[test]
fn long_answers_are_known_by_their_length_or_once_they_are_long() {
    let follower = |framing| Follower { framing, seen: 0 };
    assert!(!follower(Framing::Sized(MAX_BUFFERED_BODY_BYTES as u64)).long());
    assert!(follower(Framing::Sized(MAX_BUFFERED_BODY_BYTES as u64 + 1)).long());
    assert!(
        follower(Framing::Chunked(Chunks::Data(
            MAX_BUFFERED_BODY_BYTES as u64 + 1
        )))
        .long(),
        "by its first chunk"
    );
    let mut chunked = follower(Framing::Chunked(Chunks::Size(Vec::new())));
    let part = [b"8000\r\n".to_vec(), vec![b'x'; 0x8000], b"\r\n".to_vec()].concat();
    let long: Vec<bool> = (0..3)
        .map(|_| {
            assert_eq!(chunked.follow(&part), Ok((part.len(), false)));
            chunked.long()
        })
        .collect();
    assert_eq!(long, [false, true, true]);
}

#[test]
fn what_is_not_well_framed_is_no_answer() {
    let chunked = |rest: &str| format!("Transfer-Encoding: chunked\r\n\r\n{rest}");
    for (head, body) in [
        ("", "noise".to_string()),
        ("HTTP/1.1 OK 200\r\n", "Content-Length: 2\r\n\r\nhi".into()),
        ("HTTP/1.1 2x0 OK\r\n", "Content-Length: 2\r\n\r\nhi".into()),
        ("ICY 200 OK\r\n", "Content-Length: 2\r\n\r\nhi".into()),
        ("HTTP/1.1 101 Upgrade\r\n", "\r\n".into()),
        (OK, "\r\nhi".into()),
        (OK, "Content-Length: -1\r\n\r\nhi".into()),
        (OK, "Content-Length: +2\r\n\r\nhi".into()),
        (OK, "Content-Length: 3000000000\r\n\r\nhi".into()),
        (
            OK,
            "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi".into(),
        ),
        (
            OK,
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n".into(),
        ),
        (OK, chunked("5\r\nabcde\r\nzz\r\n")),
        (OK, chunked("2\r\nhi!\r\n")),
        (OK, chunked("ffffffff\r\nx")),
        (OK, chunked(&"1".repeat(9_000))),
        (
            OK,
            chunked(&format!("0\r\n{}", "X-Pad: p\r\n".repeat(2_000))),
        ),
        (OK, "X-Pad: p\r\n".repeat(2_000)),
        ("HTTP/1.0 200 OK\r\n", chunked("2\r\nhi\r\n0\r\n\r\n")),
        (
            "HTTP/1.1 204 No Content\r\n",
            "Content-Length: 2\r\n\r\nhi".into(),
        ),
        ("HTTP/1.1 204 No Content\r\n", chunked("0\r\n\r\n")),
        (
            "",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(1_000),
        ),
    ] {
        let bytes = format!("{head}{body}");
        let told = whole(bytes.as_bytes(), bytes.len());
        assert!(
            told.is_err(),
            "{:.80}: {told:?}",
            bytes.escape_debug().to_string()
        );
    }
}

#[test]
fn an_answer_without_a_body_ends_with_its_head() {
    let of_head = BodyRules {
        without_body: true,
        ..BodyRules::default()
    };
    for (status, framing, rules) in [
        ("200 OK", "Content-Length: 9\r\n", of_head),
        ("200 OK", "Transfer-Encoding: chunked\r\n", of_head),
        ("200 OK", "", of_head),
        ("204 No Content", "", BodyRules::default()),
        (
            "204 No Content",
            "Content-Length: 0\r\n",
            BodyRules::default(),
        ),
        (
            "304 Not Modified",
            "Content-Length: 9\r\n",
            BodyRules::default(),
        ),
    ] {
        let bytes = format!("HTTP/1.1 {status}\r\n{framing}\r\n");
        let found = head(bytes.as_bytes(), rules).map(|h| h.map(|h| h.framing));
        assert_eq!(found, Ok(Some(Framing::Sized(0))), "{bytes}");
    }
    let unsound = format!("{OK}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert!(head(unsound.as_bytes(), of_head).is_err());
}

#[test]
fn an_end_that_is_not_announced_is_taken_only_where_that_is_allowed() {
    let silent = format!("{OK}\r\nhi");
    let allowed = BodyRules {
        unannounced_end: true,
        ..BodyRules::default()
    };
    assert_eq!(
        head(silent.as_bytes(), allowed).map(|h| h.map(|h| h.framing)),
        Ok(Some(Framing::ToEnd))
    );
    assert!(head(silent.as_bytes(), BodyRules::default()).is_err());
}
