//! Answers that are passed through as they arrive, against a server that writes what the test says,
//! over sockets.

#[path = "pass_through/connection_reuse.rs"]
mod connection_reuse;
#[path = "pass_through/support.rs"]
mod support;

use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderValue;
use assert_matches::assert_matches;
use futures_util::StreamExt as _;
use ironmast_transport::attempt::{AttemptOptions, Delivery};
use support::{
    CHUNKED, ID, SIZED, Stage, TO_END, asks_anew, attempt, event, exactly, head, passing, play,
    reason, whole,
};

/// Longer than anything on the way that is not held back.
const HELD_BACK: Duration = Duration::from_millis(300);

/// Each event is read before the server writes the next: nothing is held back.
async fn one_by_one(stage: &Stage, framing: &str, options: AttemptOptions) {
    let state = attempt(options);
    let (answer, mut peer) = stage
        .exchange(&state, Method::GET, &head(ID, framing))
        .await;
    let mut answer = answer.expect("its head");
    assert_eq!(
        answer.headers().get("X-Ironmast-Request-Id"),
        Some(&HeaderValue::from_static(ID))
    );
    let events = if framing == SIZED { 2 } else { 20 };
    for n in 0..events {
        let text = if framing == SIZED {
            ["hello", "world"][n].to_string()
        } else {
            event(n)
        };
        let wire = if framing == CHUNKED {
            format!("{:x}\r\n{text}\r\n", text.len())
        } else {
            text.clone()
        };
        peer.write(&wire).await;
        exactly(&mut answer, &text).await;
    }
    if framing == CHUNKED {
        peer.write("0\r\n\r\n").await;
    }
    assert_eq!(state.is_close_delimited(), framing == TO_END);
    drop(peer);
    assert!(answer.next().await.is_none(), "its end");
    assert!(state.is_streamed() && state.malformed().is_none() && state.bytes_written() > 0);
}

#[test]
fn events_are_delivered_one_by_one_as_the_server_writes_them() {
    play(async {
        for framing in [CHUNKED, SIZED, TO_END] {
            one_by_one(&Stage::start().await, framing, passing()).await;
        }
    });
}

#[test]
fn a_buffered_response_fails_the_test_for_a_passed_through_one() {
    play(async {
        let held = AttemptOptions {
            delivery: Delivery::BufferIfShort,
            ..passing()
        };
        let stage = Stage::start().await;
        let played = tokio::time::timeout(HELD_BACK, one_by_one(&stage, CHUNKED, held)).await;
        assert!(played.is_err(), "it is held back");
    });
}

/// What a client reads of an answer of which the server writes this and closes: all that came, and
/// whether it looked complete.
async fn cut(bytes: &str) -> (String, bool) {
    let stage = Stage::start().await;
    let state = attempt(passing());
    let serve = async {
        let mut peer = stage.accept().await;
        peer.request().await;
        peer.write(bytes).await;
    };
    let (answer, ()) = futures_util::future::join(stage.ask(&state, Method::GET), serve).await;
    let Ok(mut answer) = answer else {
        return (String::new(), false);
    };
    let mut come = String::new();
    while let Some(part) = answer.next().await {
        match part {
            Ok(part) => come.push_str(std::str::from_utf8(&part).expect("text")),
            Err(_) => return (come, false),
        }
    }
    (come, true)
}

#[test]
fn a_response_truncated_at_any_byte_is_an_error_and_never_an_end() {
    play(async {
        let (one, two) = (event(1), event(2));
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let chunked = format!(
            "{}{}{}0\r\n\r\n",
            head(ID, CHUNKED),
            chunk(&one),
            chunk(&two)
        );
        let sized = format!("{}helloworld", head(ID, SIZED));
        for (answer, body) in [
            (chunked, format!("{one}{two}")),
            (sized, "helloworld".into()),
        ] {
            for end in 0..answer.len() {
                let (come, complete) = cut(&answer[..end]).await;
                assert!(!complete, "cut at {end}: {come:?}");
                assert!(body.starts_with(&come), "{come:?} is no part of it");
            }
            assert_eq!(cut(&answer).await, (body, true));
        }
    });
}

#[test]
fn a_reset_is_an_error_even_for_a_close_delimited_response() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(passing());
        let begun = format!("{}{}", head(ID, TO_END), event(1));
        let (answer, peer) = stage.exchange(&state, Method::GET, &begun).await;
        let mut answer = answer.expect("its head");
        exactly(&mut answer, &event(1)).await;
        peer.reset();
        assert_matches!(answer.next().await, Some(Err(_)));
    });
}

#[test]
fn a_malformed_chunk_ends_the_response_with_an_error() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(passing());
        let begun = format!("{}5\r\nhello\r\n", head(ID, CHUNKED));
        let (answer, mut peer) = stage.exchange(&state, Method::GET, &begun).await;
        let mut answer = answer.expect("its head");
        exactly(&mut answer, "hello").await;
        peer.write("zz\r\nhello\r\n0\r\n\r\n").await;
        assert_matches!(answer.next().await, Some(Err(_)));
        assert_eq!(reason(&state).as_deref(), Some("a chunk can't be read"));
        drop(answer);
        assert!(asks_anew(&stage, &mut peer).await);
    });
}

/// A server that stops is waited for: whose patience counts is the caller's to say, and dropping
/// the answer closes the connection, by which the server knows.
#[test]
fn a_stalled_server_is_waited_for_until_the_response_is_dropped() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(passing());
        let begun = format!("{}{}", head(ID, CHUNKED), "5\r\nhel");
        let (answer, mut peer) = stage.exchange(&state, Method::GET, &begun).await;
        let mut answer = answer.expect("its head");
        exactly(&mut answer, "hel").await;
        let progress = state.last_progress().expect("some");
        let stalled = async {
            tokio::select! {
                part = answer.next() => panic!("{part:?}"),
                () = state.response_stalled() => panic!("given up"),
            }
        };
        assert!(
            tokio::time::timeout(HELD_BACK, stalled).await.is_err(),
            "it waits"
        );
        assert_eq!(state.last_progress(), Some(progress));
        peer.write("lo\r\n0\r\n\r\n").await;
        assert_eq!(whole(&mut answer).await, "lo");
        assert!(state.last_progress() > Some(progress));

        let state = attempt(passing());
        let serve = async {
            assert!(peer.try_request().await);
            peer.write(&head(ID, CHUNKED)).await;
        };
        let (answer, ()) = futures_util::future::join(stage.ask(&state, Method::GET), serve).await;
        drop(answer.expect("its head"));
        peer.closed().await;
    });
}

#[test]
fn nothing_is_written_to_a_server_that_admits_no_new_request() {
    play(async {
        let stage = Stage::start().await;
        let retired = AttemptOptions {
            admission: Some(Box::new(|| false)),
            ..passing()
        };
        let state = attempt(retired);
        assert!(stage.ask(&state, Method::GET).await.is_err());
        assert_eq!(state.bytes_written(), 0, "it has not run");
    });
}

/// The write that fails uses up the system's note of the reset: what is read behind it looks like
/// an orderly end.
#[test]
fn an_early_response_without_a_length_is_incomplete_after_a_reset() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(passing());
        let serve = async {
            let mut peer = stage.accept().await;
            peer.request().await;
            peer.write(&format!("{}hello", head(ID, TO_END))).await;
            peer.reset();
        };
        let body = bytes::Bytes::from(vec![0; 8 << 20]);
        let (answer, ()) = futures_util::future::join(stage.send(&state, body), serve).await;
        let Ok(mut answer) = answer else { return };
        while let Some(part) = answer.next().await {
            if part.is_err() {
                return;
            }
        }
        panic!("it looks complete");
    });
}

/// A server that ends its side, or says what is no answer, while a request is written, is not
/// waited for.
#[test]
fn a_request_whose_response_cannot_arrive_any_more_is_not_written_further() {
    play(async {
        for noise in [None, Some("noise\r\n\r\n")] {
            let stage = Stage::start().await;
            let state = attempt(passing());
            let serve = async {
                let mut peer = stage.accept().await;
                peer.request().await;
                match noise {
                    Some(noise) => peer.write(noise).await,
                    None => peer.end().await,
                }
                peer
            };
            let body = bytes::Bytes::from(vec![0; 8 << 20]);
            let (answer, _peer) = futures_util::future::join(stage.send(&state, body), serve).await;
            assert!(answer.is_err());
            assert_eq!(state.malformed().is_some(), noise.is_some());
        }
    });
}

/// A server that rejects a request need not read it: what it says is a promise that must not be
/// lost.
#[test]
fn a_response_that_arrives_before_the_request_is_written_is_delivered() {
    play(async {
        let cases = [
            ("503 Service Unavailable", false),
            ("503 Service Unavailable", true),
            ("200 OK", false),
        ];
        for (status, closes) in cases {
            let stage = Stage::start().await;
            let state = attempt(passing());
            let serve = async {
                let mut peer = stage.accept().await;
                peer.request().await;
                let rejected = format!("HTTP/1.1 {status}\r\nX-Ironmast-Not-Executed: 1\r\n");
                peer.write(&format!(
                    "{rejected}X-Ironmast-Request-Id: {ID}\r\n{SIZED}\r\nhelloworld"
                ))
                .await;
                (!closes).then_some(peer)
            };
            let body = bytes::Bytes::from(vec![0; 8 << 20]);
            let (answer, peer) = futures_util::future::join(stage.send(&state, body), serve).await;
            let mut answer = answer.expect("an answer");
            assert!(status.starts_with(answer.status().as_str()));
            assert!(answer.headers().contains_key("X-Ironmast-Not-Executed"));
            assert_eq!(whole(&mut answer).await, "helloworld");
            if let Some(mut peer) = peer {
                peer.closed().await;
                assert!(
                    asks_anew(&stage, &mut peer).await,
                    "part of a request stands on the old one"
                );
            }
        }
    });
}
