//! Clients that send far ahead of the responses: what arrives behind a request in progress costs no
//! CPU time, and none of it is lost while it is within the limits.

use std::time::Duration;

use futures_util::StreamExt as _;
use ironmast_transport::connection::ClientLimits;

use crate::support::{GET, IMMEDIATE_PATH, LIMITS, POST, TestServer, run_test};

/// More than is read ahead and kept; once it has arrived, a connection that is polled in a busy
/// loop occupies a CPU.
const FLOOD_BYTES: usize = 600_000;
/// How long the CPU time is measured, in microseconds, and how much of it may be used.
const MEASURED_TIME: u64 = 1_000_000;
const MAX_CPU_TIME: Duration = Duration::from_millis(200);

fn flood() -> String {
    GET.repeat(FLOOD_BYTES / GET.len())
}

/// CPU time of this thread, which runs the test and the listener.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("the system counts");
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

/// Asserts that the listener uses little CPU time until a silent connection is closed, which takes
/// the measured time.
async fn assert_little_cpu_time(server: &TestServer, what: &str) {
    let mut idle_client = server.connect().await;
    let before = cpu_time();
    idle_client.closed().await;
    let spent = cpu_time() - before;
    assert!(spent < MAX_CPU_TIME, "{what}: {spent:?} of CPU time");
}

/// Waits until what was written before has been read: another client is answered then.
async fn wait_until_read(server: &TestServer) {
    let mut other = server.connect().await;
    for _ in 0..2 {
        other.write(GET).await;
        server.next_request().await.respond("other");
        other.response().await.expect("an answer");
    }
}

#[test]
fn a_flood_behind_a_pending_request_uses_no_cpu_time() {
    run_test(async {
        let server = start();
        let (client, request) = server.start_request().await;
        let flooding = client.write_in_background(flood());
        assert_little_cpu_time(&server, "behind one that waits").await;
        request.respond("served");
        let mut client = flooding.await.expect("all is taken");
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
        assert_little_cpu_time(&server, "in one go").await;
        request.respond("served");
        let mut client = flooding.await.expect("all is taken");
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
        assert_little_cpu_time(&server, "behind a stream").await;
        stream.send_event("two").await;
        let mut client = flooding.await.expect("all is taken");
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
        assert_little_cpu_time(&server, "behind an answer that nobody reads").await;
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
        assert!(request.streamed_body.is_some(), "on its way");
        let _flooding = client.write_in_background(format!("{}{}", "x".repeat(rest), flood()));
        assert_little_cpu_time(&server, "behind a body that nobody draws").await;
    });
}

/// More than is read ahead, less than that and what is kept.
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

/// While 16 and more are queued, what comes is not parsed; nor is it when they are all answered at
/// once.
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

/// More than the kernel's buffers hold on both sides.
const LONG_BODY_BYTES: usize = 20_000_000;

/// A request with a long body, of a length told or not.
fn long_posts() -> [String; 2] {
    // Of many lines: of few it might be one long head.
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
            let mut chunks = Box::pin(request.streamed_body.take().expect("on its way").stream());
            let mut received_bytes = 0;
            while let Some(chunk) = chunks.next().await {
                received_bytes += chunk.expect("it does not break off").len();
            }
            assert_eq!(received_bytes, LONG_BODY_BYTES);
            request.respond("served");
            let mut client = writing.await.expect("all is taken");
            client.expect_response("served").await;
            client.write(GET).await;
            server.next_request().await.respond("next");
            client.expect_response("next").await;
        }
    });
}

/// A client may well read only when it has written everything.
#[test]
fn a_long_body_that_is_not_consumed_is_read_to_its_end_while_the_response_is_streamed() {
    run_test(async {
        let server = start_for_long_bodies();
        for post in long_posts() {
            let writing = server.connect().await.write_in_background(post);
            let mut request = server.next_request().await;
            assert!(request.streamed_body.take().is_some(), "on its way");
            let mut stream = request.stream();
            stream.send_event("one").await;
            let mut client = writing.await.expect("all is taken");
            client.expect_chunk("one").await;
            stream.end();
            assert_eq!(client.chunk().await.as_deref(), Some(""));
        }
    });
}

/// What is not read hides its end.
#[test]
fn the_disconnect_of_a_client_behind_a_flood_is_noticed() {
    run_test(async {
        let server = TestServer::start(LIMITS);
        let (client, mut request) = server.start_request().await;
        drop(
            client
                .write_in_background(flood())
                .await
                .expect("all is taken"),
        );
        request.dropped().await;
    });
}
