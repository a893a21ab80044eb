//! The beginning and the end of a gate.

mod support;

use support::{Client, HERE, LAST_CHUNK, Server, Stage, chunk, event, play};

#[test]
fn without_a_configuration_clients_are_told_to_come_back() {
    play(async {
        let stage = Stage::start_without_configuration().await;
        let mut client = stage.client().await;
        client.ask("/safe/a", "r1", "").await;
        let (head, _) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 503") && head.contains("retry-after: "),
            "{head}"
        );
        let mut checks = Client::connect(stage.readiness).await;
        checks
            .write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            .await;
        assert!(checks.answer().await.0.starts_with("http/1.1 503"));
    });
}

#[test]
fn a_request_that_comes_before_the_configuration_waits_for_it() {
    play(async {
        let mut server = Server::start("i-1").await;
        let mut stage = Stage::start_without_configuration().await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r1", "").await;
        // Its head is read by the time at which the gate has answered another.
        let mut checks = Client::connect(stage.readiness).await;
        checks
            .write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            .await;
        assert!(checks.answer().await.0.starts_with("http/1.1 503"));
        stage
            .configure(&[(&server.instance, server.address, HERE)])
            .await;
        server.asked().await.answer("200 OK", "", "served").await;
        let (head, body) = client.answer().await;
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert_eq!(body, "served");
    });
}

#[test]
fn a_path_without_a_route_is_not_found() {
    play(async {
        let server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/none/a", "r1", "").await;
        assert!(client.answer().await.0.starts_with("http/1.1 404"));
        let mut checks = Client::connect(stage.readiness).await;
        checks
            .write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            .await;
        assert!(checks.answer().await.0.starts_with("http/1.1 200"));
    });
}

#[test]
fn a_body_beyond_the_limit_is_refused() {
    play(async {
        let server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client
            .write("POST /safe/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9000000\r\n\r\n")
            .await;
        let (head, _) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 413") && head.contains("connection: close"),
            "{head}"
        );
    });
}

#[test]
fn a_terminated_gate_finishes_its_streams_and_then_ends() {
    play(async {
        let mut server = Server::start("i-1").await;
        let mut stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/once/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked.begin_events().await;
        asked.write(&chunk(&event(1))).await;
        client.until(&event(1)).await;
        stage.terminate();
        stage.until_ready(false).await;
        // Clients whose list is old still come, and are told not to stay.
        let mut late = stage.client().await;
        late.ask("/unsafe/a", "r2", "").await;
        server.asked().await.answer("200 OK", "", "late").await;
        let (head, body) = late.answer().await;
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!((body.as_str(), late.rest().await.as_str()), ("late", ""));
        asked.write(&chunk(&event(2))).await;
        asked.write(LAST_CHUNK).await;
        client.until(&event(2)).await;
        client.until("\r\n0\r\n\r\n").await;
        stage.ended().await;
    });
}

#[test]
fn a_request_half_read_is_answered_by_a_gate_that_ends() {
    play(async {
        let mut server = Server::start("i-1").await;
        let mut stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client
            .write("POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: r1\r\nContent-Length: 8\r\n\r\nques")
            .await;
        let mut idle = stage.client().await;
        stage.terminate();
        stage.until_ready(false).await;
        // The idle one is closed when no more clients are awaited.
        assert_eq!(idle.rest().await, "");
        client.write("tion").await;
        let mut asked = server.asked().await;
        assert_eq!(asked.body, "question");
        asked.answer("200 OK", "", "answer").await;
        assert_eq!(client.answer().await.1, "answer");
        stage.ended().await;
    });
}
