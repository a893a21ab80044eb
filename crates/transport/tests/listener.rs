//! Client connections to a listener, over sockets: draining, limits, streams and disconnects.

#[path = "listener/floods.rs"]
mod floods;
#[path = "listener/support.rs"]
mod support;

use assert_matches::assert_matches;
use support::{Client, GET, LIMITS, POST, Stage, play};

use ironmast_transport::connection::ClientLimits;

/// Cut anywhere behind its first byte, a request is read to its end during a drain and answered;
/// the connection is closed with the answer.
#[test]
fn a_partly_received_request_is_answered_during_a_drain() {
    play(async {
        for cut in [1, 20, POST.len() - 10, POST.len() - 1] {
            let stage = Stage::start(LIMITS);
            let mut client = stage.connect().await;
            client.write(&POST[..cut]).await;
            let mut other = stage.connect().await;
            // Answered after the first bytes were read.
            other.write(GET).await;
            stage.request().await.answer("other");
            other.answer().await.expect("an answer");
            let drained = stage.drain();
            other.closed().await;
            client.write(&POST[cut..]).await;
            let request = stage.request().await;
            assert_eq!(request.body, "helloworld", "cut at {cut}");
            request.answer("served");
            client.expect_last_answer("served").await;
            client.closed().await;
            drained.await.expect("all connections are closed");
        }
    });
}

#[test]
fn a_drain_waits_for_requests_and_streams_and_closes_idle_connections() {
    play(async {
        let stage = Stage::start(LIMITS);
        let [mut waits, mut streams, mut idle] = [
            stage.connect().await,
            stage.connect().await,
            stage.connect().await,
        ];
        idle.write(GET).await;
        stage.request().await.answer("idle");
        idle.answer().await.expect("an answer");
        waits.write(GET).await;
        let waiting = stage.request().await;
        streams.write(GET).await;
        let mut stream = stage.request().await.stream();
        stream.event("one").await;
        assert_eq!(streams.part().await.as_deref(), Some("one"));

        let drained = stage.drain();
        idle.closed().await;
        stream.event("two").await;
        assert_eq!(streams.part().await.as_deref(), Some("two"));
        waiting.answer("served");
        assert!(
            waits
                .answer()
                .await
                .expect("an answer")
                .contains("connection: close")
        );
        waits.closed().await;
        stream.event("three").await;
        assert_eq!(streams.part().await.as_deref(), Some("three"));
        assert!(!drained.is_finished(), "the stream goes on");
        stream.end();
        assert_eq!(streams.part().await.as_deref(), Some(""), "its last chunk");
        streams.closed().await;
        drained.await.expect("all connections are closed");
    });
}

/// The last bytes of an answer may wait for a slow client when the service has given them all.
#[test]
fn a_drain_closes_a_connection_only_after_its_stream_is_written_to_a_slow_client() {
    play(async {
        let stage = Stage::start(LIMITS);
        let mut client = stage.connect_with_little_room().await;
        client.write(GET).await;
        let mut stream = stage.request().await.stream();
        let part = "x".repeat(20_000);
        stream.event(&part).await;
        let drained = stage.drain();
        let sent = actix_rt::spawn(async move {
            stream.event(&"y".repeat(20_000)).await;
            stream.end();
        });
        assert_eq!(client.part().await, Some(part));
        sent.await.expect("all is taken");
        assert_eq!(client.part().await.map(|part| part.len()), Some(20_000));
        assert_eq!(client.part().await.as_deref(), Some(""), "its last chunk");
        client.closed().await;
        drained.await.expect("all connections are closed");
    });
}

/// An answer that its client takes slowly is no idle connection to be closed for the sake of
/// others.
#[test]
fn a_response_to_a_slow_client_is_completed_when_descriptors_are_scarce() {
    play(async {
        let stage = Stage::start_with(LIMITS, 3);
        let mut slow = stage.connect_with_little_room().await;
        slow.write(GET).await;
        let long = "x".repeat(100_000);
        stage.request().await.answer(&long);
        // The last has no room: somebody has to go, and these have only just come.
        let _fresh = [
            stage.connect().await,
            stage.connect().await,
            stage.connect().await,
        ];
        let answer = slow.answer().await.expect("the whole answer");
        assert!(answer.ends_with(&long));
        slow.closed().await;
    });
}

/// Who is closed in the middle of a request knows that nobody has read it: there is no answer.
#[test]
fn a_partly_received_request_is_closed_without_a_response_when_descriptors_are_scarce() {
    play(async {
        let stage = Stage::start_with(LIMITS, 3);
        let mut first = stage.connect().await;
        first.write(&POST[..POST.len() - 1]).await;
        let mut others = [
            stage.connect().await,
            stage.connect().await,
            stage.connect().await,
        ];
        for other in &mut others {
            other.write(&POST[..POST.len() - 1]).await;
        }
        first.closed().await;
        others[2].write("d").await;
        let request = stage.request().await;
        assert_eq!(request.body, "helloworld");
        request.answer("served");
        others[2].answer().await.expect("an answer");
    });
}

#[test]
fn streamed_events_reach_the_client_one_by_one() {
    play(async {
        let stage = Stage::start(LIMITS);
        let (mut client, mut stream) = stage.start_stream().await;
        for n in 0..50 {
            let event = format!("id: {n}\ndata: piece {n}\n\n");
            stream.event(&event).await;
            assert_eq!(client.part().await, Some(event));
        }
        stream.end();
        assert_eq!(client.part().await.as_deref(), Some(""));
        client.write(GET).await;
        stage.request().await.answer("next");
        client.expect_answer("next").await;
    });
}

#[test]
fn an_aborted_stream_ends_without_its_last_chunk() {
    play(async {
        let stage = Stage::start(LIMITS);
        let (mut client, mut stream) = stage.start_stream().await;
        stream.event("one").await;
        client.expect_part("one").await;
        stream.break_off().await;
        assert_eq!(client.part().await, None, "no last chunk");
    });
}

#[test]
fn a_disconnect_is_noticed_while_a_request_is_pending_and_while_its_response_is_streamed() {
    play(async {
        let stage = Stage::start(LIMITS);
        let (client, mut request) = stage.start_request().await;
        drop(client);
        request.abandoned().await;

        let (mut client, mut stream) = stage.start_stream().await;
        stream.event("one").await;
        client.part().await;
        drop(client);
        stream.abandoned().await;
    });
}

#[test]
fn size_limits_are_enforced_and_may_change_on_open_connections() {
    play(async {
        let stage = Stage::start(LIMITS);
        let mut client = stage.connect().await;
        let long = format!(
            "GET /a HTTP/1.1\r\nHost: a\r\nX-Pad: {}\r\n\r\n",
            "x".repeat(1_000)
        );
        client.write(&long).await;
        stage.request().await.answer("in time");
        client.answer().await.expect("an answer");

        stage.listener.set_limits(ClientLimits {
            max_header_bytes: 500,
            max_body_bytes: 9,
            ..LIMITS
        });
        client.write(&long).await;
        let refused = client.answer().await.expect("an answer");
        assert!(
            refused.starts_with("HTTP/1.1 431") && refused.contains("connection: close"),
            "{refused}"
        );
        client.closed().await;

        let chunked = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhelloworld\r\n0\r\n\r\n";
        for request in [POST, chunked] {
            let mut client = stage.connect().await;
            client.write(request).await;
            let refused = client.answer().await.expect("an answer");
            assert!(refused.starts_with("HTTP/1.1 413"), "{refused}");
        }
    });
}

#[test]
fn partial_requests_and_idle_connections_time_out_each_by_its_own_limit() {
    play(async {
        let brief = 30_000;
        let (long, idle) = (LIMITS.header_timeout, LIMITS.idle_timeout);
        for (header_timeout, idle_timeout) in [(brief, idle), (long, brief)] {
            let stage = Stage::start(ClientLimits {
                header_timeout,
                idle_timeout,
                ..LIMITS
            });
            let mut half = stage.connect().await;
            half.write(&GET[..10]).await;
            let mut silent = stage.connect().await;
            let (first, mut second): (&mut Client, &mut Client) = if header_timeout == brief {
                (&mut half, &mut silent)
            } else {
                (&mut silent, &mut half)
            };
            first.closed().await;
            assert!(second.is_open(), "the other has its own limit");
            if header_timeout == brief {
                second = &mut silent;
                second.write(GET).await;
                stage.request().await.answer("served");
                assert_matches!(second.answer().await, Some(_));
            } else {
                second.write(&GET[10..]).await;
                stage.request().await.answer("served");
                assert_matches!(second.answer().await, Some(_));
            }
        }
    });
}

#[test]
fn a_pending_request_has_no_time_limit() {
    play(async {
        let stage = Stage::start(ClientLimits {
            header_timeout: 10_000,
            idle_timeout: 10_000,
            ..LIMITS
        });
        let (mut client, request) = stage.start_request().await;
        let mut silent = stage.connect().await;
        silent.closed().await;
        let mut silent = stage.connect().await;
        silent.closed().await;
        request.answer("late");
        client.expect_answer("late").await;
    });
}
