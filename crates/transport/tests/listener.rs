//! Client connections to a listener, over sockets: draining, limits, streams and disconnects.

#[path = "listener/floods.rs"]
mod floods;
#[path = "listener/support.rs"]
mod support;

use assert_matches::assert_matches;
use support::{Client, GET, LIMITS, POST, TestServer, run_test};

use ironmast_transport::connection::ClientLimits;

/// Cut anywhere behind its first byte, a request is read to its end during a drain and answered;
/// the connection is closed with the answer.
#[test]
fn a_partly_received_request_is_answered_during_a_drain() {
    run_test(async {
        for cut in [1, 20, POST.len() - 10, POST.len() - 1] {
            let server = TestServer::start(LIMITS);
            let mut client = server.connect().await;
            client.write(&POST[..cut]).await;
            let mut other = server.connect().await;
            // Answered after the first bytes were read.
            other.write(GET).await;
            server.next_request().await.respond("other");
            other.response().await.expect("an answer");
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
        idle.response().await.expect("an answer");
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
                .expect("an answer")
                .contains("connection: close")
        );
        waiting_client.closed().await;
        stream.send_event("three").await;
        assert_eq!(streaming_client.chunk().await.as_deref(), Some("three"));
        assert!(!drain.is_finished(), "the stream goes on");
        stream.end();
        assert_eq!(
            streaming_client.chunk().await.as_deref(),
            Some(""),
            "its last chunk"
        );
        streaming_client.closed().await;
        drain.await.expect("all connections are closed");
    });
}

/// The last bytes of an answer may wait for a slow client when the service has given them all.
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
        sent.await.expect("all is taken");
        assert_eq!(client.chunk().await.map(|chunk| chunk.len()), Some(20_000));
        assert_eq!(client.chunk().await.as_deref(), Some(""), "its last chunk");
        client.closed().await;
        drain.await.expect("all connections are closed");
    });
}

/// An answer that its client takes slowly is no idle connection to be closed for the sake of
/// others.
#[test]
fn a_response_to_a_slow_client_is_completed_when_descriptors_are_scarce() {
    run_test(async {
        let server = TestServer::start_with_descriptors(LIMITS, 3);
        let mut slow = server.connect_with_small_buffers().await;
        slow.write(GET).await;
        let long = "x".repeat(100_000);
        server.next_request().await.respond(&long);
        // The last has no room: somebody has to go, and these have only just come.
        let _fresh = [
            server.connect().await,
            server.connect().await,
            server.connect().await,
        ];
        let response = slow.response().await.expect("the whole answer");
        assert!(response.ends_with(&long));
        slow.closed().await;
    });
}

/// Who is closed in the middle of a request knows that nobody has read it: there is no answer.
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
        others[2].response().await.expect("an answer");
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
        client.response().await.expect("an answer");

        server.listener.set_limits(ClientLimits {
            max_header_bytes: 500,
            max_body_bytes: 9,
            ..LIMITS
        });
        client.write(&long).await;
        let rejection = client.response().await.expect("an answer");
        assert!(
            rejection.starts_with("HTTP/1.1 431") && rejection.contains("connection: close"),
            "{rejection}"
        );
        client.closed().await;

        let chunked = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhelloworld\r\n0\r\n\r\n";
        for request in [POST, chunked] {
            let mut client = server.connect().await;
            client.write(request).await;
            let rejection = client.response().await.expect("an answer");
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
            assert!(second.is_open(), "the other has its own limit");
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
