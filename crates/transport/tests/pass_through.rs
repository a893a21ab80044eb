//! Tests of responses that are passed through as they arrive, over TCP connections to a server that
//! writes exactly what the test specifies.

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
    CHUNKED, CLOSE_DELIMITED, FIXED_LENGTH, ID, TestServer, attempt, event, expect_body_bytes,
    head, next_request_opens_connection, pass_through_options, read_body, reason, run_test,
};

/// Longer than the delivery of bytes that are not buffered takes.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads each event before the server writes the next, which fails if any part is buffered.
async fn check_events_delivered_as_written(
    server: &TestServer,
    framing: &str,
    options: AttemptOptions,
) {
    let state = attempt(options);
    let (response, mut connection) = server
        .exchange(&state, Method::GET, &head(ID, framing))
        .await;
    let mut response = response.expect("the head of the response");
    assert_eq!(
        response.headers().get("X-Ironmast-Request-Id"),
        Some(&HeaderValue::from_static(ID))
    );
    let events = if framing == FIXED_LENGTH { 2 } else { 20 };
    for n in 0..events {
        let text = if framing == FIXED_LENGTH {
            ["hello", "world"][n].to_string()
        } else {
            event(n)
        };
        let wire = if framing == CHUNKED {
            format!("{:x}\r\n{text}\r\n", text.len())
        } else {
            text.clone()
        };
        connection.write(&wire).await;
        expect_body_bytes(&mut response, &text).await;
    }
    if framing == CHUNKED {
        connection.write("0\r\n\r\n").await;
    }
    assert_eq!(state.is_close_delimited(), framing == CLOSE_DELIMITED);
    drop(connection);
    assert!(response.next().await.is_none(), "the body ends");
    assert!(state.is_streamed() && state.malformed().is_none() && state.bytes_written() > 0);
}

#[test]
fn events_are_delivered_one_by_one_as_the_server_writes_them() {
    run_test(async {
        for framing in [CHUNKED, FIXED_LENGTH, CLOSE_DELIMITED] {
            check_events_delivered_as_written(
                &TestServer::start().await,
                framing,
                pass_through_options(),
            )
            .await;
        }
    });
}

#[test]
fn a_buffered_response_fails_the_test_for_a_passed_through_one() {
    run_test(async {
        let held = AttemptOptions {
            delivery: Delivery::BufferIfShort,
            ..pass_through_options()
        };
        let server = TestServer::start().await;
        let played = tokio::time::timeout(
            DELIVERY_TIMEOUT,
            check_events_delivered_as_written(&server, CHUNKED, held),
        )
        .await;
        assert!(played.is_err(), "the response is buffered");
    });
}

/// Lets the server write `bytes` and close the connection. Returns the body that the client read,
/// and whether the response appeared to be complete.
async fn read_truncated(bytes: &str) -> (String, bool) {
    let server = TestServer::start().await;
    let state = attempt(pass_through_options());
    let serve = async {
        let mut connection = server.accept().await;
        connection.read_request().await;
        connection.write(bytes).await;
    };
    let (response, ()) =
        futures_util::future::join(server.send_request(&state, Method::GET), serve).await;
    let Ok(mut response) = response else {
        return (String::new(), false);
    };
    let mut received = String::new();
    while let Some(part) = response.next().await {
        match part {
            Ok(part) => received.push_str(std::str::from_utf8(&part).expect("UTF-8")),
            Err(_) => return (received, false),
        }
    }
    (received, true)
}

#[test]
fn a_response_truncated_at_any_byte_is_an_error_and_never_an_end() {
    run_test(async {
        let (one, two) = (event(1), event(2));
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let chunked = format!(
            "{}{}{}0\r\n\r\n",
            head(ID, CHUNKED),
            chunk(&one),
            chunk(&two)
        );
        let sized = format!("{}helloworld", head(ID, FIXED_LENGTH));
        for (response, body) in [
            (chunked, format!("{one}{two}")),
            (sized, "helloworld".into()),
        ] {
            for end in 0..response.len() {
                let (received, complete) = read_truncated(&response[..end]).await;
                assert!(!complete, "truncated at {end}: {received:?}");
                assert!(
                    body.starts_with(&received),
                    "{received:?} is no prefix of the body"
                );
            }
            assert_eq!(read_truncated(&response).await, (body, true));
        }
    });
}

#[test]
fn a_reset_is_an_error_even_for_a_close_delimited_response() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let partial = format!("{}{}", head(ID, CLOSE_DELIMITED), event(1));
        let (response, connection) = server.exchange(&state, Method::GET, &partial).await;
        let mut response = response.expect("the head of the response");
        expect_body_bytes(&mut response, &event(1)).await;
        connection.reset();
        assert_matches!(response.next().await, Some(Err(_)));
    });
}

#[test]
fn a_malformed_chunk_ends_the_response_with_an_error() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let partial = format!("{}5\r\nhello\r\n", head(ID, CHUNKED));
        let (response, mut connection) = server.exchange(&state, Method::GET, &partial).await;
        let mut response = response.expect("the head of the response");
        expect_body_bytes(&mut response, "hello").await;
        connection.write("zz\r\nhello\r\n0\r\n\r\n").await;
        assert_matches!(response.next().await, Some(Err(_)));
        assert_eq!(
            reason(&state).as_deref(),
            Some("chunk-size line of the response is malformed")
        );
        drop(response);
        assert!(next_request_opens_connection(&server, &mut connection).await);
    });
}

/// A passed-through response has no idle timeout here, as the caller decides how long to wait. When
/// the caller drops the response, the connection is closed, which tells the server.
#[test]
fn a_stalled_server_is_waited_for_until_the_response_is_dropped() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let partial = format!("{}{}", head(ID, CHUNKED), "5\r\nhel");
        let (response, mut connection) = server.exchange(&state, Method::GET, &partial).await;
        let mut response = response.expect("the head of the response");
        expect_body_bytes(&mut response, "hel").await;
        let progress = state.last_progress().expect("a response has started");
        let stalled = async {
            tokio::select! {
                part = response.next() => panic!("{part:?}"),
                () = state.response_stalled() => panic!("reported as stalled"),
            }
        };
        assert!(
            tokio::time::timeout(DELIVERY_TIMEOUT, stalled)
                .await
                .is_err(),
            "the client waits"
        );
        assert_eq!(state.last_progress(), Some(progress));
        connection.write("lo\r\n0\r\n\r\n").await;
        assert_eq!(read_body(&mut response).await, "lo");
        assert!(state.last_progress() > Some(progress));

        let state = attempt(pass_through_options());
        let serve = async {
            assert!(connection.try_read_request().await);
            connection.write(&head(ID, CHUNKED)).await;
        };
        let (response, ()) =
            futures_util::future::join(server.send_request(&state, Method::GET), serve).await;
        drop(response.expect("the head of the response"));
        connection.wait_for_close().await;
    });
}

#[test]
fn nothing_is_written_to_a_server_that_admits_no_new_request() {
    run_test(async {
        let server = TestServer::start().await;
        let not_admitted = AttemptOptions {
            admission: Some(Box::new(|| false)),
            ..pass_through_options()
        };
        let state = attempt(not_admitted);
        assert!(server.send_request(&state, Method::GET).await.is_err());
        assert_eq!(
            state.bytes_written(),
            0,
            "the server cannot have executed it"
        );
    });
}

/// Guards against a truncated response that looks complete: the failed write consumes the kernel's
/// record of the reset, so that the next read reports an orderly end.
#[test]
fn an_early_response_without_a_length_is_incomplete_after_a_reset() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let serve = async {
            let mut connection = server.accept().await;
            connection.read_request().await;
            connection
                .write(&format!("{}hello", head(ID, CLOSE_DELIMITED)))
                .await;
            connection.reset();
        };
        let body = bytes::Bytes::from(vec![0; 8 << 20]);
        let (response, ()) =
            futures_util::future::join(server.send_body(&state, body), serve).await;
        let Ok(mut response) = response else { return };
        while let Some(part) = response.next().await {
            if part.is_err() {
                return;
            }
        }
        panic!("the truncated response looks complete");
    });
}

/// The server shuts down its side, or sends something that is not a response, while the request is
/// being written: the request fails at once.
#[test]
fn a_request_whose_response_cannot_arrive_any_more_is_not_written_further() {
    run_test(async {
        for noise in [None, Some("noise\r\n\r\n")] {
            let server = TestServer::start().await;
            let state = attempt(pass_through_options());
            let serve = async {
                let mut connection = server.accept().await;
                connection.read_request().await;
                match noise {
                    Some(noise) => connection.write(noise).await,
                    None => connection.shut_down().await,
                }
                connection
            };
            let body = bytes::Bytes::from(vec![0; 8 << 20]);
            let (response, _connection) =
                futures_util::future::join(server.send_body(&state, body), serve).await;
            assert!(response.is_err());
            assert_eq!(state.malformed().is_some(), noise.is_some());
        }
    });
}

/// A server may reject a request without reading all of it. Its response says that the request was
/// not executed, and must not be lost when the client cannot write any further.
#[test]
fn a_response_that_arrives_before_the_request_is_written_is_delivered() {
    run_test(async {
        let cases = [
            ("503 Service Unavailable", false),
            ("503 Service Unavailable", true),
            ("200 OK", false),
        ];
        for (status, closes) in cases {
            let server = TestServer::start().await;
            let state = attempt(pass_through_options());
            let serve = async {
                let mut connection = server.accept().await;
                connection.read_request().await;
                let rejected = format!("HTTP/1.1 {status}\r\nX-Ironmast-Not-Executed: 1\r\n");
                connection
                    .write(&format!(
                        "{rejected}X-Ironmast-Request-Id: {ID}\r\n{FIXED_LENGTH}\r\nhelloworld"
                    ))
                    .await;
                (!closes).then_some(connection)
            };
            let body = bytes::Bytes::from(vec![0; 8 << 20]);
            let (response, connection) =
                futures_util::future::join(server.send_body(&state, body), serve).await;
            let mut response = response.expect("a response");
            assert!(status.starts_with(response.status().as_str()));
            assert!(response.headers().contains_key("X-Ironmast-Not-Executed"));
            assert_eq!(read_body(&mut response).await, "helloworld");
            if let Some(mut connection) = connection {
                connection.wait_for_close().await;
                assert!(
                    next_request_opens_connection(&server, &mut connection).await,
                    "the old connection holds part of a request"
                );
            }
        }
    });
}
