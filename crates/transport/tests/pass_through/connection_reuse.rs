//! Reused connections: bytes between one response and the next are delivered to nobody.

use actix_http::Method;
use actix_http::header::{CONTENT_LENGTH, HeaderValue};
use futures_util::StreamExt as _;
use ironmast_transport::attempt::{AttemptOptions, ExpectedHeader};

use crate::cut;
use crate::support::{
    CHUNKED, ID, SIZED, Stage, TO_END, answered, answered_as, asks_anew, attempt, head, passing,
    play, reason, whole,
};

#[test]
fn bytes_behind_a_response_are_not_delivered_and_end_the_reuse_of_the_connection() {
    play(async {
        let surplus = format!("{}helloworld", head("another", SIZED));
        for behind in ["x", "\r\n", "HTTP/1.1 200 OK\r\n", surplus.as_str()] {
            for (framing, body) in [
                (SIZED, "helloworld"),
                (CHUNKED, "a\r\nhelloworld\r\n0\r\n\r\n"),
            ] {
                for flows in [false, true] {
                    let stage = Stage::start().await;
                    let mut peer = answered_as(&stage, framing, body, behind, flows).await;
                    assert!(
                        asks_anew(&stage, &mut peer).await,
                        "{behind:?} behind {framing}"
                    );
                }
            }
        }
        let stage = Stage::start().await;
        let mut peer = answered(&stage, SIZED, "helloworld", "").await;
        assert!(
            !asks_anew(&stage, &mut peer).await,
            "a clean one is used again"
        );
    });
}

/// Nobody waits for the next request to find it out: the server has its place back at once.
#[test]
fn a_connection_that_must_not_be_reused_is_closed_at_once() {
    play(async {
        let surplus = format!("{}helloworld", head("another", SIZED));
        for behind in ["x", surplus.as_str()] {
            let stage = Stage::start().await;
            answered(&stage, SIZED, "helloworld", behind)
                .await
                .closed()
                .await;
        }
        let stage = Stage::start().await;
        let state = attempt(passing());
        let doubtful = format!("{surplus}{}helloworld", head(ID, SIZED));
        let (answer, mut peer) = stage.exchange(&state, Method::GET, &doubtful).await;
        assert_eq!(whole(&mut answer.expect("an answer")).await, "helloworld");
        peer.closed().await;
    });
}

/// What the client library takes for a body need not be one by the framing: bytes that come there
/// belong to nobody.
#[test]
fn reading_behind_the_end_of_a_response_is_an_error() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(passing());
        let unmodified = head(ID, SIZED).replace("200 OK", "304 Not Modified");
        let (answer, mut peer) = stage.exchange(&state, Method::GET, &unmodified).await;
        let mut answer = answer.expect("its head");
        peer.write(&format!("{}helloworld", head("another", SIZED)))
            .await;
        peer.arrived().await;
        assert!(
            answer.next().await.is_some_and(|part| part.is_err()),
            "not another's bytes"
        );
        assert_eq!(reason(&state).as_deref(), Some("it is read past its end"));
    });
}

/// The client library sees no body behind such a head, whatever its framing says.
#[test]
fn a_response_that_switches_the_protocol_is_rejected() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(passing());
        let upgrade = format!(
            "{}helloworld",
            head(ID, &format!("Upgrade: websocket\r\n{SIZED}"))
        );
        let (answer, mut peer) = stage.exchange(&state, Method::GET, &upgrade).await;
        assert!(answer.is_err());
        assert_eq!(reason(&state).as_deref(), Some("it changes the protocol"));
        assert!(asks_anew(&stage, &mut peer).await);
    });
}

#[test]
fn a_response_with_two_request_ids_or_an_unrequested_one_is_rejected() {
    play(async {
        let stage = Stage::start().await;
        let mut peer = answered(&stage, SIZED, "helloworld", "").await;
        let state = attempt(passing());
        let twice = head(ID, &format!("X-Ironmast-Request-Id: another\r\n{SIZED}"));
        let serve = async {
            assert!(peer.try_request().await, "on the same connection");
            peer.write(&format!("{twice}helloworld")).await;
        };
        let (answer, ()) = futures_util::future::join(stage.ask(&state, Method::GET), serve).await;
        assert!(answer.is_err());
        assert_eq!(reason(&state).as_deref(), Some("it names several requests"));

        let expected = ExpectedHeader {
            name: "X-Ironmast-Request-Id",
            value: None,
        };
        let nameless = AttemptOptions {
            expected: Some(expected),
            ..passing()
        };
        let stage = Stage::start().await;
        let mut peer = answered(&stage, SIZED, "helloworld", "").await;
        let state = attempt(nameless);
        let serve = async {
            assert!(peer.try_request().await, "on the same connection");
            peer.write(&format!(
                "{}helloworldHTTP/1.1 400 Told\r\n{SIZED}\r\nwithout id",
                head("another", SIZED)
            ))
            .await;
        };
        let (answer, ()) = futures_util::future::join(stage.ask(&state, Method::GET), serve).await;
        assert_eq!(whole(&mut answer.expect("its own")).await, "without id");
    });
}

#[test]
fn bytes_on_an_idle_connection_end_its_reuse() {
    play(async {
        let stage = Stage::start().await;
        let mut peer = answered(&stage, SIZED, "helloworld", "").await;
        peer.write("x").await;
        peer.arrived().await;
        assert!(asks_anew(&stage, &mut peer).await);
    });
}

#[test]
fn a_connection_is_not_reused_past_the_keep_alive_timeout_of_its_server() {
    play(async {
        for (seconds, anew) in [(0, true), (30, false)] {
            let stage = Stage::start().await;
            let framing = format!("{SIZED}Keep-Alive: timeout={seconds}, max=9\r\n");
            let mut peer = answered(&stage, &framing, "helloworld", "").await;
            assert_eq!(asks_anew(&stage, &mut peer).await, anew, "{seconds} s");
        }
    });
}

/// A kept connection on which the answer to another request comes in place of the next: what the
/// client reads.
async fn after_a_surplus(
    surplus: &str,
    parts: usize,
    options: AttemptOptions,
) -> Result<String, String> {
    let stage = Stage::start().await;
    let mut peer = answered(&stage, SIZED, "helloworld", "").await;
    let state = attempt(options);
    let bytes = format!(
        "{surplus}{}{}\r\n",
        head(ID, "Content-Length: 6\r\n"),
        "mine"
    );
    let serve = async {
        assert!(peer.try_request().await, "on the same connection");
        for part in bytes.as_bytes().chunks(bytes.len().div_ceil(parts)) {
            peer.write(std::str::from_utf8(part).expect("text")).await;
            peer.arrived().await;
        }
    };
    let (answer, ()) = futures_util::future::join(stage.ask(&state, Method::GET), serve).await;
    let Ok(mut answer) = answer else {
        return Err(reason(&state).unwrap_or_else(|| "broken off".to_string()));
    };
    let read = whole(&mut answer).await;
    assert!(
        asks_anew(&stage, &mut peer).await,
        "more of the same may come"
    );
    Ok(read)
}

fn surpluses() -> [String; 4] {
    [
        format!("{}helloworld", head("another", SIZED)),
        format!(
            "{}a\r\nhelloworld\r\n0\r\nX-Trailer: a\r\n\r\n",
            head("another", CHUNKED)
        ),
        format!(
            "{}{}",
            head("another", "Content-Length: 0\r\n"),
            head("third", "Content-Length: 0\r\n")
        ),
        format!(
            "HTTP/1.1 103 Early Hints\r\n\r\n{}helloworld",
            head("another", SIZED)
        ),
    ]
}

#[test]
fn a_surplus_response_in_place_of_the_expected_one_is_skipped() {
    play(async {
        for surplus in surpluses() {
            for parts in [1, 2, 7, surplus.len()] {
                let read = after_a_surplus(&surplus, parts, passing()).await;
                assert_eq!(read.as_deref(), Ok("mine\r\n"), "{surplus} in {parts}");
            }
        }
    });
}

#[test]
fn without_a_request_id_a_surplus_response_is_taken_for_the_next() {
    play(async {
        let blind = AttemptOptions {
            expected: None,
            ..passing()
        };
        let read = after_a_surplus(&surpluses()[0], 1, blind).await;
        assert_eq!(read.as_deref(), Ok("helloworld"));
    });
}

#[test]
fn a_response_without_the_expected_request_id_is_rejected() {
    play(async {
        let unnamed = format!("HTTP/1.1 200 OK\r\n{SIZED}\r\nhelloworld");
        let read = after_a_surplus(&unnamed, 1, passing()).await;
        assert_eq!(read, Err("it does not say whose answer it is".into()));
        let noise = after_a_surplus("noise\r\n\r\n", 1, passing()).await;
        assert_eq!(noise, Err("its head can't be read".into()));
        let endless = format!("{}to the end", head("another", TO_END));
        assert!(
            !matches!(cut(&endless).await, (_, true)),
            "and no other can come behind it"
        );
    });
}

#[test]
fn a_response_to_head_has_no_body_and_its_connection_is_reused() {
    play(async {
        let stage = Stage::start().await;
        let state = attempt(AttemptOptions {
            without_body: true,
            ..passing()
        });
        let (answer, mut peer) = stage.exchange(&state, Method::HEAD, &head(ID, SIZED)).await;
        let mut answer = answer.expect("its head");
        assert_eq!(
            answer.headers().get(CONTENT_LENGTH),
            Some(&HeaderValue::from_static("10"))
        );
        assert_eq!(whole(&mut answer).await, "");
        assert!(!asks_anew(&stage, &mut peer).await);
    });
}

/// What the kernel has not delivered of a request that is given up is lost with its connection.
#[test]
fn a_connection_whose_response_is_incomplete_is_reset() {
    play(async {
        for written in [
            String::new(),
            head(ID, CHUNKED),
            format!("{}hello", head(ID, SIZED)),
        ] {
            let stage = Stage::start().await;
            let state = attempt(passing());
            let mut ask = Box::pin(stage.ask(&state, Method::GET));
            let serve = async {
                let mut peer = stage.accept().await;
                peer.request().await;
                peer.write(&written).await;
                peer
            };
            let (answer, mut peer) = if written.is_empty() {
                let peer = tokio::select! {
                    _ = &mut ask => panic!("no response was written"),
                    peer = serve => peer,
                };
                (None, peer)
            } else {
                let (answer, peer) = futures_util::future::join(&mut ask, serve).await;
                (Some(answer.expect("its head")), peer)
            };
            drop((ask, answer));
            assert!(!peer.closed_in_order().await, "behind {written:?}");
        }
    });
}

#[test]
fn an_idle_connection_is_closed_in_order() {
    play(async {
        let stage = Stage::start().await;
        let mut peer = answered(&stage, SIZED, "helloworld", "").await;
        drop(stage);
        assert!(peer.closed_in_order().await);
    });
}
