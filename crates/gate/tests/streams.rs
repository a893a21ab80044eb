//! Event streams through a gate: relayed event by event, resumed on another server after a failure,
//! and visibly truncated where they can't be resumed.

mod support;

use std::time::Duration;

use support::messages::{END_OF_CHUNKS, chunk, event};
use support::{Client, LOCAL_ZONE, ReceivedRequest, Server, TestGate, entries};
use support::{run_test, start_with_one_server, start_with_two_servers};

/// A server that has been silent in the middle of a stream of `/brief/` for this long counts as
/// stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

#[test]
fn events_are_relayed_one_by_one() {
    run_test(async {
        let (mut server, _gate, mut client) = start_with_one_server().await;
        client.send_request("/stream/a", "r1").await;
        let mut request = server.next_request().await;
        assert_eq!(request.header("x-ironmast-expect-instance"), Some("i-1"));
        assert_eq!(request.header("priority"), Some("1"));
        assert_eq!(request.body, "question");
        request.start_events("").await;
        for id in 1..4 {
            request.send_event(id).await;
            // The next event is not written before this one has arrived.
            client.read_event(id).await;
        }
        request.end_events().await;
        client.read_end_of_stream().await;
    });
}

#[test]
fn partial_event_is_withheld_and_the_stream_resumes_on_another_server() {
    run_test(async {
        let (mut local, mut remote, _gate, mut client) = start_with_two_servers().await;
        client
            .send_request_with("/stream/a", "r1", "Last-Event-Id: 4\r\n")
            .await;
        let mut request = local.next_request().await;
        assert_eq!(request.header("last-event-id"), Some("4"));
        request.start_events("").await;
        request.send_event(5).await;
        let head = client.read_head().await;
        assert!(
            head.contains("x-ironmast-server-signature: stamp"),
            "{head}"
        );
        let mut body = client.read_event(5).await;
        request.write(&chunk("id: 6\ndata: pie")).await;
        drop(request);
        let mut request = remote.next_request().await;
        assert_eq!(request.header("last-event-id"), Some("5"));
        assert_eq!(request.header("x-ironmast-expect-instance"), Some("i-2"));
        request.start_events("").await;
        request.send_event(6).await;
        request.end_events().await;
        body += &client.read_end_of_stream().await;
        assert_eq!(body, chunk(&event(5)) + &chunk(&event(6)) + END_OF_CHUNKS);
    });
}

#[test]
fn stream_that_is_not_resumable_is_visibly_truncated() {
    run_test(async {
        let (mut local, mut remote, _gate, mut client) = start_with_two_servers().await;
        client.send_request("/once/a", "r1").await;
        let mut request = local.next_request().await;
        request.start_events("").await;
        request.send_event(1).await;
        client.read_event(1).await;
        request.write(&chunk("id: 2\nda")).await;
        drop(request);
        let rest = client.read_to_end().await;
        assert!(
            !rest.contains("0\r\n\r\n") && !rest.contains("id: 2"),
            "{rest:?}"
        );
        assert!(remote.has_no_request());
    });
}

// Guards against a stream that ends without a complete answer because its only server was silent.
#[test]
fn stream_of_a_silent_server_goes_on_if_no_other_server_can_take_it() {
    run_test(async {
        let mut server = Server::start("i-1").await;
        let mut gate = TestGate::start(&[(&server, LOCAL_ZONE)]).await;
        let fields =
            r#","target_latency_ms":300,"max_attempts":2,"resumable":true,"gap_aim_ms":100"#;
        let brief = entries::route("brief", "streaming", 20_000, fields);
        gate.send_entries(vec![entries::control(2, &[brief])]).await;
        let mut client = gate.connect().await;
        let mut request = request_on_new_route(&mut server, &mut client).await;
        request.start_events("").await;
        request.send_event(1).await;
        client.read_event(1).await;
        let closed = tokio::time::timeout(3 * STALL_TIMEOUT, request.closed()).await;
        assert!(closed.is_err(), "the gate has given the stream up");
        request.send_event(2).await;
        request.end_events().await;
        client.read_event(2).await;
        client.read_end_of_stream().await;
    });
}

#[test]
fn duplicate_event_aborts_the_stream() {
    run_test(async {
        let response = response_to_event_stream(&[event(1), event(1)]).await;
        assert_eq!(response.matches("id: 1\n").count(), 1);
        assert!(!response.contains("0\r\n\r\n"), "{response:?}");
    });
}

#[test]
fn body_that_ends_within_an_event_is_truncated() {
    run_test(async {
        let response = response_to_event_stream(&[event(1), "id: 2\n".to_string()]).await;
        assert!(
            response.contains("id: 1\n") && !response.contains("id: 2\n"),
            "{response:?}"
        );
        assert!(!response.contains("0\r\n\r\n"), "{response:?}");
    });
}

/// The complete response that a client receives to a stream that is not resumable, if the server
/// sends these chunks and then ends the body.
async fn response_to_event_stream(chunks: &[String]) -> String {
    let (mut server, _gate, mut client) = start_with_one_server().await;
    client.send_request("/once/a", "r1").await;
    let mut request = server.next_request().await;
    request.start_events("").await;
    let body: String = chunks.iter().map(|text| chunk(text)).collect();
    request.write(&(body + END_OF_CHUNKS)).await;
    client.read_to_end().await
}

/// Sends requests to `/brief/` until its route is known; returns the one that reaches the server.
async fn request_on_new_route(server: &mut Server, client: &mut Client) -> ReceivedRequest {
    loop {
        client.send_request("/brief/a", "r1").await;
        tokio::select! {
            request = server.next_request() => return request,
            (head, _) = client.read_response() => assert!(head.contains(" 404 "), "{head}"),
        }
    }
}

#[test]
fn attempt_ends_when_its_client_disconnects() {
    run_test(async {
        let (mut server, gate, mut client) = start_with_one_server().await;
        client.send_request("/stream/a", "r1").await;
        let mut request = server.next_request().await;
        request.start_events("").await;
        request.send_event(1).await;
        client.read_event(1).await;
        drop(client);
        request.wait_until_closed().await;
        // A client may also disconnect before the head of its response has arrived.
        let mut client = gate.connect().await;
        client.send_request("/unsafe/a", "r2").await;
        let request = server.next_request().await;
        drop(client);
        request.wait_until_closed().await;
    });
}
