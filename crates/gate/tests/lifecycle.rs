//! Startup and graceful shutdown of a gate.

mod support;

use support::{LOCAL_ZONE, Server, TestGate, run_test, start_with_one_server};

#[test]
fn without_a_configuration_requests_are_rejected_with_a_retry_delay() {
    run_test(async {
        let gate = TestGate::start_without_configuration().await;
        let mut client = gate.connect().await;
        client.send_request("/safe/a", "r1").await;
        let (head, _) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 503") && head.contains("retry-after: "),
            "{head}"
        );
        let readiness = gate.connect_readiness().await.check_readiness().await;
        assert!(readiness.starts_with("http/1.1 503"));
    });
}

#[test]
fn request_that_arrives_before_the_configuration_waits_for_it() {
    run_test(async {
        let mut server = Server::start("i-1").await;
        let mut gate = TestGate::start_without_configuration().await;
        let mut client = gate.connect().await;
        client.send_request("/unsafe/a", "r1").await;
        // The gate has read the head of this request once it has answered another one.
        let readiness = gate.connect_readiness().await.check_readiness().await;
        assert!(readiness.starts_with("http/1.1 503"));
        gate.configure(&[(&server.instance, server.address, LOCAL_ZONE)])
            .await;
        server.next_request().await.serve("served").await;
        let (head, body) = client.read_response().await;
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert_eq!(body, "served");
    });
}

#[test]
fn path_without_a_route_is_not_found() {
    run_test(async {
        let (_server, gate, mut client) = start_with_one_server().await;
        client.send_request("/none/a", "r1").await;
        assert!(client.read_response().await.0.starts_with("http/1.1 404"));
        let readiness = gate.connect_readiness().await.check_readiness().await;
        assert!(readiness.starts_with("http/1.1 200"));
    });
}

#[test]
fn body_over_the_limit_is_too_large() {
    run_test(async {
        let (_server, _gate, mut client) = start_with_one_server().await;
        client
            .write("POST /safe/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9000000\r\n\r\n")
            .await;
        let (head, _) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 413") && head.contains("connection: close"),
            "{head}"
        );
    });
}

#[test]
fn terminated_gate_finishes_its_streams_before_it_shuts_down() {
    run_test(async {
        let (mut server, mut gate, mut client) = start_with_one_server().await;
        client.send_request("/once/a", "r1").await;
        let mut stream = server.next_request().await;
        stream.start_events("").await;
        stream.send_event(1).await;
        client.read_event(1).await;
        gate.terminate().await;
        // Clients with an outdated list of addresses still connect, and must not stay connected.
        let mut late = gate.connect().await;
        late.send_request("/unsafe/a", "r2").await;
        server.next_request().await.serve("late").await;
        let (head, body) = late.read_response().await;
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(
            (body.as_str(), late.read_to_end().await.as_str()),
            ("late", "")
        );
        stream.send_event(2).await;
        stream.end_events().await;
        client.read_event(2).await;
        client.read_end_of_stream().await;
        gate.wait_for_shutdown().await;
    });
}

#[test]
fn terminated_gate_serves_a_request_that_was_received_in_part() {
    run_test(async {
        let (mut server, mut gate, mut client) = start_with_one_server().await;
        client
            .write("POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: r1\r\nContent-Length: 8\r\n\r\nques")
            .await;
        let mut idle = gate.connect().await;
        gate.terminate().await;
        // Idle connections are closed once the gate expects no more clients.
        assert_eq!(idle.read_to_end().await, "");
        client.write("tion").await;
        let mut request = server.next_request().await;
        assert_eq!(request.body, "question");
        request.serve("answer").await;
        assert_eq!(client.read_response().await.1, "answer");
        gate.wait_for_shutdown().await;
    });
}

/// Guards against background tasks that outlive the gate, and so keep a listener or the link to the
/// agent open.
#[test]
fn a_gate_that_has_shut_down_leaves_no_task() {
    run_test(async {
        let (_server, mut gate, _client) = start_with_one_server().await;
        let frontend = gate.frontend;
        gate.terminate().await;
        gate.wait_for_closed_link().await;
        let connected = tokio::net::TcpStream::connect(frontend).await;
        assert!(connected.is_err(), "the frontend still accepts connections");
    });
}
