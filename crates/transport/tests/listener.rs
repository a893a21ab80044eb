//! Tests of `listener.rs` over TCP sockets: draining, limits, streamed responses and disconnects.

#[path = "listener/floods.rs"]
mod floods;
#[path = "listener/support.rs"]
mod support;

use assert_matches::assert_matches;
use support::{Client, GET, LIMITS, POST, TestServer, run_test};

use ironmast_transport::connection::ClientLimits;

/// A drain that starts after any byte of a request leaves it time to arrive: it is read to its end and
/// answered, and the connection is closed with the response.
#[test]
fn a_partly_received_request_is_answered_during_a_drain() {
    run_test(async {
        for cut in [1, 20, POST.len() - 10, POST.len() - 1] {
            let server = TestServer::start(LIMITS);
            let mut client = server.connect().await;
            client.write(&POST[..cut]).await;
            let mut other = server.connect().await;
            // The response to another client shows that the first bytes have been read.
            other.write(GET).await;
            server.next_request().await.respond("other");
            other.response().await.expect("a response");
            let drain = server.drain();
            other.closed().await;
            client.write(&POST[cut..]).await;
            let request = server.next_request().await;
            assert_eq!(request.body, "helloworld", "cut at {cut}");
            request.respond("served");
            client.expect_closing_response("served").await;
            client.closed().await;
            drain.await.expect("all connections are closed");
        }
    });
}

#[test]
fn a_drain_waits_for_requests_and_streams_and_closes_idle_connections() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let [mut waiting_client, mut streaming_client, mut idle] = [
            server.connect().await,
            server.connect().await,
            server.connect().await,
        ];
        idle.write(GET).await;
        server.next_request().await.respond("idle");
        idle.response().await.expect("a response");
        waiting_client.write(GET).await;
        let waiting_request = server.next_request().await;
        streaming_client.write(GET).await;
        let mut stream = server.next_request().await.stream();
        stream.send_event("one").await;
        assert_eq!(streaming_client.chunk().await.as_deref(), Some("one"));

        let drain = server.drain();
        idle.closed().await;
        stream.send_event("two").await;
        assert_eq!(streaming_client.chunk().await.as_deref(), Some("two"));
        waiting_request.respond("served");
        assert!(
            waiting_client
                .response()
                .await
                .expect("a response")
                .contains("connection: close")
        );
        waiting_client.closed().await;
        stream.send_event("three").await;
        assert_eq!(streaming_client.chunk().await.as_deref(), Some("three"));
        assert!(!drain.is_finished(), "the stream is still open");
        stream.end();
        assert_eq!(
            streaming_client.chunk().await.as_deref(),
            Some(""),
            "the last chunk"
        );
        streaming_client.closed().await;
        drain.await.expect("all connections are closed");
    });
}

/// The last bytes of a response may still wait for a slow client after the service has produced them.
#[test]
fn a_drain_closes_a_connection_only_after_its_stream_is_written_to_a_slow_client() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let mut client = server.connect_with_small_buffers().await;
        client.write(GET).await;
        let mut stream = server.next_request().await.stream();
        let event = "x".repeat(20_000);
        stream.send_event(&event).await;
        let drain = server.drain();
        let sent = actix_rt::spawn(async move {
            stream.send_event(&"y".repeat(20_000)).await;
            stream.end();
        });
        assert_eq!(client.chunk().await, Some(event));
        sent.await.expect("the service has sent everything");
        assert_eq!(client.chunk().await.map(|chunk| chunk.len()), Some(20_000));
        assert_eq!(client.chunk().await.as_deref(), Some(""), "the last chunk");
        client.closed().await;
        drain.await.expect("all connections are closed");
    });
}

/// A connection whose client reads its response slowly is not idle, so it is not closed to free a
/// descriptor for others.
#[test]
fn a_response_to_a_slow_client_is_completed_when_descriptors_are_scarce() {
    run_test(async {
        let server = TestServer::start_with_descriptors(LIMITS, 3);
        let mut slow = server.connect_with_small_buffers().await;
        slow.write(GET).await;
        let long = "x".repeat(100_000);
        server.next_request().await.respond(&long);
        // There is no permit for the last one: a connection must be closed, and the new ones are within
        // their grace period.
        let _fresh = [
            server.connect().await,
            server.connect().await,
            server.connect().await,
        ];
        let response = slow.response().await.expect("the complete response");
        assert!(response.ends_with(&long));
        slow.closed().await;
    });
}

/// A partly received request must not be answered: a closed connection without a response tells the
/// client that nothing has processed the request.
#[test]
fn a_partly_received_request_is_closed_without_a_response_when_descriptors_are_scarce() {
    run_test(async {
        let server = TestServer::start_with_descriptors(LIMITS, 3);
        let mut first = server.connect().await;
        first.write(&POST[..POST.len() - 1]).await;
        let mut others = [
            server.connect().await,
            server.connect().await,
            server.connect().await,
        ];
        for other in &mut others {
            other.write(&POST[..POST.len() - 1]).await;
        }
        first.closed().await;
        others[2].write("d").await;
        let request = server.next_request().await;
        assert_eq!(request.body, "helloworld");
        request.respond("served");
        others[2].response().await.expect("a response");
    });
}

#[test]
fn streamed_events_reach_the_client_one_by_one() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let (mut client, mut stream) = server.start_stream().await;
        for n in 0..50 {
            let event = format!("id: {n}\ndata: piece {n}\n\n");
            stream.send_event(&event).await;
            assert_eq!(client.chunk().await, Some(event));
        }
        stream.end();
        assert_eq!(client.chunk().await.as_deref(), Some(""));
        client.write(GET).await;
        server.next_request().await.respond("next");
        client.expect_response("next").await;
    });
}

#[test]
fn an_aborted_stream_ends_without_its_last_chunk() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let (mut client, mut stream) = server.start_stream().await;
        stream.send_event("one").await;
        client.expect_chunk("one").await;
        stream.abort().await;
        assert_eq!(client.chunk().await, None, "no last chunk");
    });
}

#[test]
fn a_disconnect_is_noticed_while_a_request_is_pending_and_while_its_response_is_streamed() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let (client, mut request) = server.start_request().await;
        drop(client);
        request.dropped().await;

        let (mut client, mut stream) = server.start_stream().await;
        stream.send_event("one").await;
        client.chunk().await;
        drop(client);
        stream.dropped().await;
    });
}

#[test]
fn size_limits_are_enforced_and_may_change_on_open_connections() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let mut client = server.connect().await;
        let long = format!(
            "GET /a HTTP/1.1\r\nHost: a\r\nX-Pad: {}\r\n\r\n",
            "x".repeat(1_000)
        );
        client.write(&long).await;
        server.next_request().await.respond("in time");
        client.response().await.expect("a response");

        server.listener.set_limits(ClientLimits {
            max_header_bytes: 500,
            max_body_bytes: 9,
            ..LIMITS
        });
        client.write(&long).await;
        let rejection = client.response().await.expect("a response");
        assert!(
            rejection.starts_with("HTTP/1.1 431") && rejection.contains("connection: close"),
            "{rejection}"
        );
        client.closed().await;

        let chunked = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhelloworld\r\n0\r\n\r\n";
        for request in [POST, chunked] {
            let mut client = server.connect().await;
            client.write(request).await;
            let rejection = client.response().await.expect("a response");
            assert!(rejection.starts_with("HTTP/1.1 413"), "{rejection}");
        }
    });
}

#[test]
fn partial_requests_and_idle_connections_time_out_each_by_its_own_limit() {
    run_test(async {
        let brief = 30_000;
        let (long, idle) = (LIMITS.header_timeout, LIMITS.idle_timeout);
        for (header_timeout, idle_timeout) in [(brief, idle), (long, brief)] {
            let server = TestServer::start(ClientLimits {
                header_timeout,
                idle_timeout,
                ..LIMITS
            });
            let mut partial = server.connect().await;
            partial.write(&GET[..10]).await;
            let mut idle_client = server.connect().await;
            let (first, mut second): (&mut Client, &mut Client) = if header_timeout == brief {
                (&mut partial, &mut idle_client)
            } else {
                (&mut idle_client, &mut partial)
            };
            first.closed().await;
            assert!(second.is_open(), "only the shorter limit has passed");
            if header_timeout == brief {
                second = &mut idle_client;
                second.write(GET).await;
                server.next_request().await.respond("served");
                assert_matches!(second.response().await, Some(_));
            } else {
                second.write(&GET[10..]).await;
                server.next_request().await.respond("served");
                assert_matches!(second.response().await, Some(_));
            }
        }
    });
}

#[test]
fn a_pending_request_has_no_time_limit() {
    run_test(async {
        let server = TestServer::start(ClientLimits {
            header_timeout: 10_000,
            idle_timeout: 10_000,
            ..LIMITS
        });
        let (mut client, request) = server.start_request().await;
        let mut idle_client = server.connect().await;
        idle_client.closed().await;
        let mut idle_client = server.connect().await;
        idle_client.closed().await;
        request.respond("late");
        client.expect_response("late").await;
    });
}
