//! Tests of the reuse of connections: bytes between two responses are never delivered.

use actix_http::Method;
use actix_http::header::{CONTENT_LENGTH, HeaderValue};
use futures_util::StreamExt as _;
use ironmast_transport::attempt::{AttemptOptions, ExpectedHeader};

use crate::read_truncated;
use crate::support::{
    CHUNKED, CLOSE_DELIMITED, FIXED_LENGTH, ID, TestServer, attempt, connection_after_response,
    connection_after_response_with, head, next_request_opens_connection, pass_through_options,
    read_body, reason, run_test,
};

#[test]
fn bytes_after_a_response_are_not_delivered_and_end_the_reuse_of_the_connection() {
    run_test(async {
        let surplus = format!("{}helloworld", head("another", FIXED_LENGTH));
        for trailing in ["x", "\r\n", "HTTP/1.1 200 OK\r\n", surplus.as_str()] {
            for (framing, body) in [
                (FIXED_LENGTH, "helloworld"),
                (CHUNKED, "a\r\nhelloworld\r\n0\r\n\r\n"),
            ] {
                for head_first in [false, true] {
                    let server = TestServer::start().await;
                    let mut connection = connection_after_response_with(
                        &server, framing, body, trailing, head_first,
                    )
                    .await;
                    assert!(
                        next_request_opens_connection(&server, &mut connection).await,
                        "{trailing:?} after {framing}"
                    );
                }
            }
        }
        let server = TestServer::start().await;
        let mut connection =
            connection_after_response(&server, FIXED_LENGTH, "helloworld", "").await;
        assert!(
            !next_request_opens_connection(&server, &mut connection).await,
            "a connection without surplus bytes is reused"
        );
    });
}

/// The connection is closed without waiting for the next request, so that it does not occupy one of
/// the server's connections until then.
#[test]
fn a_connection_that_must_not_be_reused_is_closed_at_once() {
    run_test(async {
        let surplus = format!("{}helloworld", head("another", FIXED_LENGTH));
        for trailing in ["x", surplus.as_str()] {
            let server = TestServer::start().await;
            connection_after_response(&server, FIXED_LENGTH, "helloworld", trailing)
                .await
                .wait_for_close()
                .await;
        }
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let surplus_and_response = format!("{surplus}{}helloworld", head(ID, FIXED_LENGTH));
        let (response, mut connection) = server
            .exchange(&state, Method::GET, &surplus_and_response)
            .await;
        assert_eq!(
            read_body(&mut response.expect("a response")).await,
            "helloworld"
        );
        connection.wait_for_close().await;
    });
}

/// The HTTP client library may read a body where the framing gives none, as after a 304. Bytes that
/// arrive there belong to no response.
#[test]
fn reading_past_the_end_of_a_response_is_an_error() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let unmodified = head(ID, FIXED_LENGTH).replace("200 OK", "304 Not Modified");
        let (response, mut connection) = server.exchange(&state, Method::GET, &unmodified).await;
        let mut response = response.expect("the head of the response");
        connection
            .write(&format!("{}helloworld", head("another", FIXED_LENGTH)))
            .await;
        connection.let_client_read().await;
        assert!(
            response.next().await.is_some_and(|part| part.is_err()),
            "the bytes of another response are not delivered"
        );
        assert_eq!(
            reason(&state).as_deref(),
            Some("HTTP client read past the end of the response")
        );
    });
}

/// The HTTP client library reads no body after such a head, whatever its framing says, and would
/// leave the body on the connection.
#[test]
fn a_response_that_switches_the_protocol_is_rejected() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(pass_through_options());
        let upgrade = format!(
            "{}helloworld",
            head(ID, &format!("Upgrade: websocket\r\n{FIXED_LENGTH}"))
        );
        let (response, mut connection) = server.exchange(&state, Method::GET, &upgrade).await;
        assert!(response.is_err());
        assert_eq!(
            reason(&state).as_deref(),
            Some("response switches to another protocol")
        );
        assert!(next_request_opens_connection(&server, &mut connection).await);
    });
}

#[test]
fn a_response_with_two_request_ids_or_an_unrequested_one_is_rejected() {
    run_test(async {
        let server = TestServer::start().await;
        let mut connection =
            connection_after_response(&server, FIXED_LENGTH, "helloworld", "").await;
        let state = attempt(pass_through_options());
        let two_ids = head(
            ID,
            &format!("X-Ironmast-Request-Id: another\r\n{FIXED_LENGTH}"),
        );
        let serve = async {
            assert!(
                connection.try_read_request().await,
                "the request uses the same connection"
            );
            connection.write(&format!("{two_ids}helloworld")).await;
        };
        let (response, ()) =
            futures_util::future::join(server.send_request(&state, Method::GET), serve).await;
        assert!(response.is_err());
        assert_eq!(
            reason(&state).as_deref(),
            Some("response repeats the header that identifies its request")
        );

        let expected = ExpectedHeader {
            name: "X-Ironmast-Request-Id",
            value: None,
        };
        let no_id_expected = AttemptOptions {
            expected: Some(expected),
            ..pass_through_options()
        };
        let server = TestServer::start().await;
        let mut connection =
            connection_after_response(&server, FIXED_LENGTH, "helloworld", "").await;
        let state = attempt(no_id_expected);
        let serve = async {
            assert!(
                connection.try_read_request().await,
                "the request uses the same connection"
            );
            connection
                .write(&format!(
                    "{}helloworldHTTP/1.1 400 Told\r\n{FIXED_LENGTH}\r\nwithout id",
                    head("another", FIXED_LENGTH)
                ))
                .await;
        };
        let (response, ()) =
            futures_util::future::join(server.send_request(&state, Method::GET), serve).await;
        assert_eq!(
            read_body(&mut response.expect("the response to its own request")).await,
            "without id"
        );
    });
}

#[test]
fn bytes_on_an_idle_connection_end_its_reuse() {
    run_test(async {
        let server = TestServer::start().await;
        let mut connection =
            connection_after_response(&server, FIXED_LENGTH, "helloworld", "").await;
        connection.write("x").await;
        connection.let_client_read().await;
        assert!(next_request_opens_connection(&server, &mut connection).await);
    });
}

#[test]
fn a_connection_is_not_reused_past_the_keep_alive_timeout_of_its_server() {
    run_test(async {
        for (seconds, is_new) in [(0, true), (30, false)] {
            let server = TestServer::start().await;
            let framing = format!("{FIXED_LENGTH}Keep-Alive: timeout={seconds}, max=9\r\n");
            let mut connection =
                connection_after_response(&server, &framing, "helloworld", "").await;
            assert_eq!(
                next_request_opens_connection(&server, &mut connection).await,
                is_new,
                "{seconds} s"
            );
        }
    });
}

/// Sends a second request on a kept-alive connection, on which `surplus` arrives in front of its
/// response, in `parts` writes. Returns the body that the client read, or why it was rejected.
async fn read_response_after_surplus(
    surplus: &str,
    parts: usize,
    options: AttemptOptions,
) -> Result<String, String> {
    let server = TestServer::start().await;
    let mut connection = connection_after_response(&server, FIXED_LENGTH, "helloworld", "").await;
    let state = attempt(options);
    let bytes = format!(
        "{surplus}{}{}\r\n",
        head(ID, "Content-Length: 6\r\n"),
        "mine"
    );
    let serve = async {
        assert!(
            connection.try_read_request().await,
            "the request uses the same connection"
        );
        for part in bytes.as_bytes().chunks(bytes.len().div_ceil(parts)) {
            connection
                .write(std::str::from_utf8(part).expect("UTF-8"))
                .await;
            connection.let_client_read().await;
        }
    };
    let (response, ()) =
        futures_util::future::join(server.send_request(&state, Method::GET), serve).await;
    let Ok(mut response) = response else {
        return Err(reason(&state).unwrap_or_else(|| "connection failed".to_string()));
    };
    let read = read_body(&mut response).await;
    assert!(
        next_request_opens_connection(&server, &mut connection).await,
        "more surplus may follow"
    );
    Ok(read)
}

fn surplus_responses() -> [String; 4] {
    [
        format!("{}helloworld", head("another", FIXED_LENGTH)),
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
            head("another", FIXED_LENGTH)
        ),
    ]
}

#[test]
fn a_surplus_response_in_place_of_the_expected_one_is_skipped() {
    run_test(async {
        for surplus in surplus_responses() {
            for parts in [1, 2, 7, surplus.len()] {
                let read =
                    read_response_after_surplus(&surplus, parts, pass_through_options()).await;
                assert_eq!(read.as_deref(), Ok("mine\r\n"), "{surplus} in {parts}");
            }
        }
    });
}

#[test]
fn without_a_request_id_a_surplus_response_is_taken_for_the_next() {
    run_test(async {
        let without_id = AttemptOptions {
            expected: None,
            ..pass_through_options()
        };
        let read = read_response_after_surplus(&surplus_responses()[0], 1, without_id).await;
        assert_eq!(read.as_deref(), Ok("helloworld"));
    });
}

#[test]
fn a_response_without_the_expected_request_id_is_rejected() {
    run_test(async {
        let without_id = format!("HTTP/1.1 200 OK\r\n{FIXED_LENGTH}\r\nhelloworld");
        let read = read_response_after_surplus(&without_id, 1, pass_through_options()).await;
        assert_eq!(
            read,
            Err("response lacks the header that identifies its request".into())
        );
        let noise = read_response_after_surplus("noise\r\n\r\n", 1, pass_through_options()).await;
        assert_eq!(
            noise,
            Err("response head is not valid HTTP/1.x or has too many headers".into())
        );
        let close_delimited = format!("{}to the end", head("another", CLOSE_DELIMITED));
        assert!(
            !matches!(read_truncated(&close_delimited).await, (_, true)),
            "no other response can follow it"
        );
    });
}

#[test]
fn a_response_to_head_has_no_body_and_its_connection_is_reused() {
    run_test(async {
        let server = TestServer::start().await;
        let state = attempt(AttemptOptions {
            without_body: true,
            ..pass_through_options()
        });
        let (response, mut connection) = server
            .exchange(&state, Method::HEAD, &head(ID, FIXED_LENGTH))
            .await;
        let mut response = response.expect("the head of the response");
        assert_eq!(
            response.headers().get(CONTENT_LENGTH),
            Some(&HeaderValue::from_static("10"))
        );
        assert_eq!(read_body(&mut response).await, "");
        assert!(!next_request_opens_connection(&server, &mut connection).await);
    });
}

/// An abandoned request must not reach the server later: a reset discards what the kernel has not
/// sent yet, an orderly close would not.
#[test]
fn a_connection_whose_response_is_incomplete_is_reset() {
    run_test(async {
        for written in [
            String::new(),
            head(ID, CHUNKED),
            format!("{}hello", head(ID, FIXED_LENGTH)),
        ] {
            let server = TestServer::start().await;
            let state = attempt(pass_through_options());
            let mut request = Box::pin(server.send_request(&state, Method::GET));
            let serve = async {
                let mut connection = server.accept().await;
                connection.read_request().await;
                connection.write(&written).await;
                connection
            };
            let (response, mut connection) = if written.is_empty() {
                let connection = tokio::select! {
                    _ = &mut request => panic!("no response was written"),
                    connection = serve => connection,
                };
                (None, connection)
            } else {
                let (response, connection) = futures_util::future::join(&mut request, serve).await;
                (
                    Some(response.expect("the head of the response")),
                    connection,
                )
            };
            drop((request, response));
            assert!(!connection.is_closed_in_order().await, "after {written:?}");
        }
    });
}

#[test]
fn an_idle_connection_is_closed_in_order() {
    run_test(async {
        let server = TestServer::start().await;
        let mut connection =
            connection_after_response(&server, FIXED_LENGTH, "helloworld", "").await;
        drop(server);
        assert!(connection.is_closed_in_order().await);
    });
}
