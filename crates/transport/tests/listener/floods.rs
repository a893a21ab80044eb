//! Clients that send far ahead of the responses: bytes that arrive while a request is in progress must
//! not cause busy polling, and none of them is lost while they are within the limits.

use std::time::Duration;

use futures_util::StreamExt as _;
use ironmast_transport::connection::ClientLimits;

use crate::support::{GET, IMMEDIATE_PATH, LIMITS, POST, TestServer, run_test};

/// More than is read ahead and kept. A connection that busily polled for the rest would use a whole
/// CPU.
const FLOOD_BYTES: usize = 600_000;
/// How long the CPU time is measured, in microseconds.
const MEASURED_TIME: u64 = 1_000_000;
/// The most CPU time that may be used meanwhile.
const MAX_CPU_TIME: Duration = Duration::from_millis(200);

fn flood() -> String {
    GET.repeat(FLOOD_BYTES / GET.len())
}

/// CPU time of this thread, which runs the test and the listener.
fn cpu_time() -> Duration {
    let text =
        std::fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel has schedstat");
    Duration::from_nanos(
        text.split(' ')
            .next()
            .and_then(|ns| ns.parse().ok())
            .expect("a number"),
    )
}

fn start() -> TestServer {
    TestServer::start(ClientLimits {
        idle_timeout: MEASURED_TIME,
        ..LIMITS
    })
}

/// Asserts that the listener uses little CPU time until a new idle connection times out, which takes
/// [`MEASURED_TIME`].
async fn assert_little_cpu_time(server: &TestServer, what: &str) {
    let mut idle_client = server.connect().await;
    let before = cpu_time();
    idle_client.closed().await;
    let spent = cpu_time() - before;
    assert!(spent < MAX_CPU_TIME, "{what}: {spent:?} of CPU time");
}

/// Waits until the listener has read what was written before, by having another client answered twice.
async fn wait_until_read(server: &TestServer) {
    let mut other = server.connect().await;
    for _ in 0..2 {
        other.write(GET).await;
        server.next_request().await.respond("other");
        other.response().await.expect("a response");
    }
}

#[test]
fn a_flood_behind_a_pending_request_uses_no_cpu_time() {
    run_test(async {
        let server = start();
        let (client, request) = server.start_request().await;
        let flooding = client.write_in_background(flood());
        assert_little_cpu_time(&server, "behind a pending request").await;
        request.respond("served");
        let mut client = flooding.await.expect("the flood is written");
        client.expect_closing_response("served").await;
    });
}

#[test]
fn a_flood_written_together_with_its_first_request_uses_no_cpu_time() {
    run_test(async {
        let server = start();
        let flooding = server
            .connect()
            .await
            .write_in_background(format!("{POST}{}", flood()));
        let request = server.next_request().await;
        assert_little_cpu_time(&server, "written together with its first request").await;
        request.respond("served");
        let mut client = flooding.await.expect("the flood is written");
        client.expect_closing_response("served").await;
    });
}

#[test]
fn a_flood_behind_a_streamed_response_uses_no_cpu_time() {
    run_test(async {
        let server = start();
        let (mut client, mut stream) = server.start_stream().await;
        stream.send_event("one").await;
        client.expect_chunk("one").await;
        let flooding = client.write_in_background(flood());
        assert_little_cpu_time(&server, "behind a streamed response").await;
        stream.send_event("two").await;
        let mut client = flooding.await.expect("the flood is written");
        client.expect_chunk("two").await;
    });
}

#[test]
fn a_flood_of_a_client_that_does_not_read_its_response_uses_no_cpu_time() {
    run_test(async {
        let server = start();
        let mut client = server.connect_with_small_buffers().await;
        client.write(GET).await;
        server.next_request().await.respond(&"x".repeat(1_000_000));
        let _flooding = client.write_in_background(flood());
        assert_little_cpu_time(&server, "behind a response that the client does not read").await;
    });
}

#[test]
fn a_flood_behind_a_long_body_that_is_not_consumed_uses_no_cpu_time() {
    run_test(async {
        let server = start();
        let mut client = server.connect().await;
        let (first, rest) = (70_000, 30_000);
        client
            .write(&format!(
                "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
                first + rest
            ))
            .await;
        client.write(&"x".repeat(first)).await;
        let request = server.next_request().await;
        assert!(request.streamed_body.is_some(), "the body is streamed");
        let _flooding = client.write_in_background(format!("{}{}", "x".repeat(rest), flood()));
        assert_little_cpu_time(&server, "behind a body that is not consumed").await;
    });
}

/// The pipelined bytes exceed what is read ahead, but not that together with what is kept.
#[test]
fn pipelined_requests_within_the_read_ahead_limit_are_answered_in_order() {
    run_test(async {
        const PIPELINED_BYTES: usize = 100 * 1024;
        let server = TestServer::start(LIMITS);
        let (mut client, mut request) = server.start_request().await;
        let count = PIPELINED_BYTES / GET.len();
        for _ in 0..count {
            client.write(GET).await;
        }
        wait_until_read(&server).await;
        for turn in 0..count {
            request.respond(&format!("served {turn}"));
            client
                .expect_keep_alive_response(&format!("served {turn}"))
                .await;
            request = server.next_request().await;
        }
        request.respond("the last");
        client.expect_response("the last").await;
        assert!(client.is_open());
    });
}

#[test]
fn requests_pipelined_one_ahead_are_all_answered() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let mut client = server.connect().await;
        let get = format!(
            "GET /a HTTP/1.1\r\nHost: a\r\nX-Pad: {}\r\n\r\n",
            "x".repeat(500)
        );
        client.write(&get).await;
        for turn in 0..1_000 {
            let request = server.next_request().await;
            client.write(&get).await;
            request.respond(&format!("served {turn}"));
            client
                .expect_keep_alive_response(&format!("served {turn}"))
                .await;
        }
    });
}

/// actix-http stops parsing while 16 or more requests are queued, and does not resume by itself when
/// all of them are answered at once: those left in its buffer must not wait for further input.
#[test]
fn requests_behind_a_full_queue_are_answered_without_further_input() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let (mut client, request) = server.start_request().await;
        let batch = format!("GET {IMMEDIATE_PATH} HTTP/1.1\r\nHost: a\r\n\r\n").repeat(20);
        for _ in 0..2 {
            client.write(&batch).await;
            wait_until_read(&server).await;
        }
        request.respond("served");
        client.expect_response("served").await;
        for _ in 0..40 {
            client.expect_response("at once").await;
        }
    });
}

/// More than the socket buffers of both sides hold.
const LONG_BODY_BYTES: usize = 20_000_000;

/// Two requests with a long body: one with a content length, one chunked.
fn long_posts() -> [String; 2] {
    // The body has many lines; with few it could be mistaken for one long head.
    let body = "x\n".repeat(LONG_BODY_BYTES / 2);
    let head = "POST /a HTTP/1.1\r\nHost: a\r\n";
    [
        format!("{head}Content-Length: {LONG_BODY_BYTES}\r\n\r\n{body}"),
        format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{LONG_BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n"
        ),
    ]
}

fn start_for_long_bodies() -> TestServer {
    TestServer::start(ClientLimits {
        max_body_bytes: 2 * LONG_BODY_BYTES,
        ..LIMITS
    })
}

#[test]
fn a_long_body_is_read_as_it_is_consumed() {
    run_test(async {
        let server = start_for_long_bodies();
        for post in long_posts() {
            let writing = server.connect().await.write_in_background(post);
            let mut request = server.next_request().await;
            let mut chunks = Box::pin(
                request
                    .streamed_body
                    .take()
                    .expect("the body is streamed")
                    .stream(),
            );
            let mut received_bytes = 0;
            while let Some(chunk) = chunks.next().await {
                received_bytes += chunk.expect("the body is not aborted").len();
            }
            assert_eq!(received_bytes, LONG_BODY_BYTES);
            request.respond("served");
            let mut client = writing.await.expect("the flood is written");
            client.expect_response("served").await;
            client.write(GET).await;
            server.next_request().await.respond("next");
            client.expect_response("next").await;
        }
    });
}

/// A client may start to read the response only after it has written its whole request; if the body
/// were not read, both sides would wait for each other.
#[test]
fn a_long_body_that_is_not_consumed_is_read_to_its_end_while_the_response_is_streamed() {
    run_test(async {
        let server = start_for_long_bodies();
        for post in long_posts() {
            let writing = server.connect().await.write_in_background(post);
            let mut request = server.next_request().await;
            assert!(
                request.streamed_body.take().is_some(),
                "the body is streamed"
            );
            let mut stream = request.stream();
            stream.send_event("one").await;
            let mut client = writing.await.expect("the flood is written");
            client.expect_chunk("one").await;
            stream.end();
            assert_eq!(client.chunk().await.as_deref(), Some(""));
        }
    });
}

/// The end of a connection is behind the unread bytes, so the listener must read them to notice it.
#[test]
fn the_disconnect_of_a_client_behind_a_flood_is_noticed() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let (client, mut request) = server.start_request().await;
        drop(
            client
                .write_in_background(flood())
                .await
                .expect("the flood is written"),
        );
        request.dropped().await;
    });
}
