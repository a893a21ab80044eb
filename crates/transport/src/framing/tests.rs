//! Tests of `framing.rs`.

use std::ops::Range;

use super::chunked::ChunkedState;
use super::*;
use crate::body::MAX_BUFFERED_BODY_BYTES;
use crate::malformed_response::MalformedResponse;

const OK: &str = "HTTP/1.1 200 OK\r\n";

/// Parses bytes that arrive in chunks of `chunk_size`, and returns the position of the response in
/// them once it is complete.
fn complete_response(
    bytes: &[u8],
    chunk_size: usize,
) -> Result<Option<Range<usize>>, MalformedResponse> {
    let (mut received, mut tracker) = (0, None::<(Range<usize>, BodyTracker)>);
    while received < bytes.len() {
        received = (received + chunk_size).min(bytes.len());
        if tracker.is_none() {
            let head = parse_head(&bytes[..received], FramingRules::default())?;
            tracker = head.map(|head| (head.range, BodyTracker::new(head.framing)));
        }
        let Some((range, body)) = &mut tracker else {
            continue;
        };
        let progress = body.advance(&bytes[range.end..received])?;
        range.end += progress.bytes;
        if progress.is_complete {
            return Ok(Some(range.clone()));
        }
    }
    Ok(None)
}

#[test]
fn a_response_is_found_between_interim_heads_and_surplus_bytes_in_chunks_of_any_size() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    for response in [
        format!("{OK}Content-Length: 2\r\n\r\nhi"),
        format!("{OK}Content-Length: 0\r\n\r\n"),
        "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n".to_string(),
        format!(
            "{OK}Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n1\r\n!\r\n0;c\r\nX-A: b\r\nX-C: d\r\n\r\n"
        ),
        "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
    ] {
        for chunk_size in 1..response.len() {
            assert_eq!(
                complete_response(&response.as_bytes()[..response.len() - 1], chunk_size),
                Ok(None),
                "{chunk_size} of {response}"
            );
            let bytes = format!("{interim}{response}{response}");
            let found = interim.len()..interim.len() + response.len();
            assert_eq!(
                complete_response(bytes.as_bytes(), chunk_size),
                Ok(Some(found)),
                "{chunk_size} of {response}"
            );
        }
    }
}

#[test]
fn a_response_without_a_length_that_announces_the_close_is_close_delimited() {
    let announced = format!("{OK}Connection: close\r\n\r\nhi");
    assert_eq!(
        parse_head(announced.as_bytes(), FramingRules::default()).map(|h| h.map(|h| h.framing)),
        Ok(Some(BodyFraming::CloseDelimited))
    );
    assert_eq!(
        complete_response(announced.as_bytes(), 1),
        Ok(None),
        "no received byte ends a close-delimited response"
    );
}

#[test]
fn a_response_is_long_by_its_announced_length_or_by_the_bytes_received() {
    let tracker = BodyTracker::new;
    assert!(!tracker(BodyFraming::ContentLength(MAX_BUFFERED_BODY_BYTES as u64)).is_long());
    assert!(
        tracker(BodyFraming::ContentLength(
            MAX_BUFFERED_BODY_BYTES as u64 + 1
        ))
        .is_long()
    );
    assert!(
        tracker(BodyFraming::Chunked(ChunkedState::Data(
            MAX_BUFFERED_BODY_BYTES as u64 + 1
        )))
        .is_long(),
        "the size of the first chunk alone exceeds the limit"
    );
    let mut chunked = tracker(BodyFraming::Chunked(ChunkedState::new()));
    let chunk = [b"8000\r\n".to_vec(), vec![b'x'; 0x8000], b"\r\n".to_vec()].concat();
    let long: Vec<bool> = (0..3)
        .map(|_| {
            assert_eq!(
                chunked.advance(&chunk),
                Ok(Progress {
                    bytes: chunk.len(),
                    is_complete: false
                })
            );
            chunked.is_long()
        })
        .collect();
    assert_eq!(long, [false, true, true]);
}

#[test]
fn a_response_that_is_not_well_framed_is_rejected() {
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
        let found = complete_response(bytes.as_bytes(), bytes.len());
        assert!(
            found.is_err(),
            "{:.80}: {found:?}",
            bytes.escape_debug().to_string()
        );
    }
}

#[test]
fn a_response_without_a_body_ends_with_its_head() {
    let head_request = FramingRules {
        without_body: true,
        ..FramingRules::default()
    };
    for (status, framing, rules) in [
        ("200 OK", "Content-Length: 9\r\n", head_request),
        ("200 OK", "Transfer-Encoding: chunked\r\n", head_request),
        ("200 OK", "", head_request),
        ("204 No Content", "", FramingRules::default()),
        (
            "204 No Content",
            "Content-Length: 0\r\n",
            FramingRules::default(),
        ),
        (
            "304 Not Modified",
            "Content-Length: 9\r\n",
            FramingRules::default(),
        ),
    ] {
        let bytes = format!("HTTP/1.1 {status}\r\n{framing}\r\n");
        let found = parse_head(bytes.as_bytes(), rules).map(|h| h.map(|h| h.framing));
        assert_eq!(found, Ok(Some(BodyFraming::ContentLength(0))), "{bytes}");
    }
    let contradictory = format!("{OK}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert!(parse_head(contradictory.as_bytes(), head_request).is_err());
}

#[test]
fn an_unannounced_close_delimits_a_body_only_where_the_rules_allow_it() {
    let unannounced = format!("{OK}\r\nhi");
    let allowed = FramingRules {
        allow_unannounced_close: true,
        ..FramingRules::default()
    };
    assert_eq!(
        parse_head(unannounced.as_bytes(), allowed).map(|h| h.map(|h| h.framing)),
        Ok(Some(BodyFraming::CloseDelimited))
    );
    assert!(parse_head(unannounced.as_bytes(), FramingRules::default()).is_err());
}
