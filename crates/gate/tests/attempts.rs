//! The attempts of a request: which failures are retried on another server, which are not, and which
//! responses of servers are accepted.

mod support;

use support::{
    LOCAL_ZONE, REMOTE_ZONE, Server, TestGate, next_request_at_either, run_test,
    start_with_one_server, start_with_two_servers,
};

#[test]
fn request_that_was_not_executed_is_retried_on_another_server() {
    run_test(async {
        let (mut local, mut remote, _gate, mut client) = start_with_two_servers().await;
        client.send_request("/unsafe/a?q=1", "r1").await;
        local.next_request().await.reject().await;
        let mut request = remote.next_request().await;
        assert_eq!(request.request_line(), "post /unsafe/a?q=1 http/1.1");
        assert_eq!(
            (
                request.body.as_str(),
                request.header("x-ironmast-request-id")
            ),
            ("question", Some("r1"))
        );
        request.serve("answer").await;
        let (head, body) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 200") && head.contains("x-ironmast-server-signature: stamp")
        );
        assert_eq!(body, "answer");
    });
}

#[test]
fn request_is_rejected_after_the_routes_maximum_of_attempts() {
    run_test(async {
        let mut local = Server::start("i-1").await;
        let mut second = Server::start("i-2").await;
        let mut third = Server::start("i-3").await;
        let servers = [
            (&local, LOCAL_ZONE),
            (&second, REMOTE_ZONE),
            (&third, REMOTE_ZONE),
        ];
        let gate = TestGate::start(&servers).await;
        let mut client = gate.connect().await;
        client.send_request("/safe/a", "r1").await;
        local.next_request().await.reject().await;
        let (_, mut retry) = next_request_at_either(&mut second, &mut third).await;
        retry.reject().await;
        let (head, _) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 503") && head.contains("retry-after: "),
            "{head}"
        );
        assert!(!head.contains("x-ironmast-server-signature"), "{head}");
        assert!(second.has_no_request() && third.has_no_request());
    });
}

#[test]
fn request_that_may_have_been_executed_is_retried_only_if_idempotent() {
    run_test(async {
        let (mut local, mut remote, _gate, mut client) = start_with_two_servers().await;
        client.send_request("/unsafe/a", "r1").await;
        drop(local.next_request().await);
        let (head, _) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 502") && !head.contains("signature"),
            "{head}"
        );
        assert!(remote.has_no_request());
        client.send_request("/safe/a", "r2").await;
        drop(local.next_request().await);
        remote.next_request().await.serve("answer").await;
        assert_eq!(client.read_response().await.1, "answer");
    });
}

#[test]
fn request_misdirected_to_another_incarnation_is_retried_elsewhere() {
    run_test(async {
        let (mut local, mut remote, _gate, mut client) = start_with_two_servers().await;
        client.send_request("/unsafe/a", "r1").await;
        local
            .next_request()
            .await
            .respond(
                "421 Misdirected Request",
                "X-Ironmast-Instance-Id: i-9\r\n",
                "",
            )
            .await;
        remote.next_request().await.serve_and_close("r1").await;
        assert_eq!(client.read_response().await.1, "r1");
        // The local server gets no further request until it sends a new heartbeat.
        client.send_request("/unsafe/a", "r2").await;
        remote.next_request().await.serve("r2").await;
        assert_eq!(client.read_response().await.1, "r2");
        assert!(local.has_no_request());
    });
}

#[test]
fn late_response_to_another_request_is_ignored() {
    run_test(async {
        let (mut server, _gate, mut client) = start_with_one_server().await;
        client.send_request("/unsafe/a", "r1").await;
        let mut request = server.next_request().await;
        request
            .write("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: r0\r\nX-Ironmast-Server-Signature: s\r\nContent-Length: 3\r\n\r\nold")
            .await;
        request.serve("new").await;
        assert_eq!(client.read_response().await.1, "new");
        // The connection that carried the late response is not reused.
        client.send_request("/unsafe/a", "r2").await;
        server.next_request().await.serve("next").await;
        assert_eq!(client.read_response().await.1, "next");
    });
}

#[test]
fn idle_connection_is_reused() {
    run_test(async {
        let (mut server, _gate, mut client) = start_with_one_server().await;
        client.send_request("/unsafe/a", "r1").await;
        let mut request = server.next_request().await;
        request.serve("one").await;
        assert_eq!(client.read_response().await.1, "one");
        client.send_request("/unsafe/a", "r2").await;
        let mut request = request.next_on_connection().await;
        assert_eq!(request.header("x-ironmast-request-id"), Some("r2"));
        request.serve("two").await;
        assert_eq!(client.read_response().await.1, "two");
    });
}

#[test]
fn success_that_is_unsigned_or_encoded_is_a_bad_gateway() {
    run_test(async {
        let (mut server, _gate, mut client) = start_with_one_server().await;
        client.send_request("/unsafe/a", "r1").await;
        server
            .next_request()
            .await
            .write("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: r1\r\nContent-Length: 1\r\n\r\na")
            .await;
        assert!(client.read_response().await.0.starts_with("http/1.1 502"));
        client.send_request("/unsafe/a", "r2").await;
        server
            .next_request()
            .await
            .respond("200 OK", "Content-Encoding: gzip\r\n", "a")
            .await;
        assert!(client.read_response().await.0.starts_with("http/1.1 502"));
    });
}

#[test]
fn servers_error_is_returned_unless_its_status_implies_not_executed() {
    run_test(async {
        let (mut server, _gate, mut client) = start_with_one_server().await;
        client.send_request("/unsafe/a", "r1").await;
        server
            .next_request()
            .await
            .respond("500 Internal Server Error", "Connection: close\r\n", "oh")
            .await;
        let (head, body) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 500") && head.contains("signature: stamp"),
            "{head}"
        );
        assert_eq!(body, "oh");
        client.send_request("/unsafe/a", "r2").await;
        server
            .next_request()
            .await
            .respond("503 Service Unavailable", "", "")
            .await;
        let (head, _) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 502") && !head.contains("signature"),
            "{head}"
        );
    });
}

#[test]
fn request_is_sent_to_its_routes_allowed_regions_only() {
    run_test(async {
        let (mut local, mut remote, _gate, mut client) = start_with_two_servers().await;
        client.send_request("/away/a", "r1").await;
        remote.next_request().await.serve("far").await;
        assert_eq!(client.read_response().await.1, "far");
        client.send_request("/home/a", "r2").await;
        local.next_request().await.reject().await;
        let (head, _) = client.read_response().await;
        assert!(
            head.starts_with("http/1.1 503") && head.contains("retry-after"),
            "{head}"
        );
        assert!(remote.has_no_request());
    });
}
