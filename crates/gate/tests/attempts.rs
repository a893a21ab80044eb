//! Attempts of a gate: what is sent again, what never is, and whose answers are taken.

mod support;

use support::{ELSEWHERE, HERE, Server, Stage, play};

const NOT_EXECUTED: &str = "X-Ironmast-Not-Executed: 1\r\n";

#[test]
fn a_server_that_did_not_run_it_is_followed_by_another() {
    play(async {
        let mut first = Server::start("i-1").await;
        let mut second = Server::start("i-2").await;
        let stage = Stage::start(&[(&first, HERE), (&second, ELSEWHERE)]).await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a?q=1", "r1", "").await;
        first
            .asked()
            .await
            .answer("503 Service Unavailable", NOT_EXECUTED, "")
            .await;
        let mut asked = second.asked().await;
        assert_eq!(asked.line(), "post /unsafe/a?q=1 http/1.1");
        assert_eq!(
            (asked.body.as_str(), asked.header("x-ironmast-request-id")),
            ("question", Some("r1"))
        );
        asked.answer("200 OK", "", "answer").await;
        let (head, body) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 200") && head.contains("x-ironmast-server-signature: stamp")
        );
        assert_eq!(body, "answer");
    });
}

#[test]
fn no_more_servers_than_the_route_allows_and_then_a_refusal() {
    play(async {
        let mut servers = [
            Server::start("i-1").await,
            Server::start("i-2").await,
            Server::start("i-3").await,
        ];
        let zones = [HERE, ELSEWHERE, ELSEWHERE];
        let listed: Vec<_> = servers.iter().zip(zones).collect();
        let stage = Stage::start(&listed).await;
        let mut client = stage.client().await;
        client.ask("/safe/a", "r1", "").await;
        servers[0]
            .asked()
            .await
            .answer("503 Service Unavailable", NOT_EXECUTED, "")
            .await;
        let [_, second, third] = &mut servers;
        tokio::select! {
            mut asked = second.asked() => asked.answer("503 Service Unavailable", NOT_EXECUTED, "").await,
            mut asked = third.asked() => asked.answer("503 Service Unavailable", NOT_EXECUTED, "").await,
        }
        let (head, _) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 503") && head.contains("retry-after: "),
            "{head}"
        );
        assert!(!head.contains("x-ironmast-server-signature"), "{head}");
        assert!(second.is_idle() && third.is_idle());
    });
}

#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may() {
    play(async {
        let mut first = Server::start("i-1").await;
        let mut second = Server::start("i-2").await;
        let stage = Stage::start(&[(&first, HERE), (&second, ELSEWHERE)]).await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r1", "").await;
        drop(first.asked().await);
        let (head, _) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 502") && !head.contains("signature"),
            "{head}"
        );
        assert!(second.is_idle());
        client.ask("/safe/a", "r2", "").await;
        drop(first.asked().await);
        second.asked().await.answer("200 OK", "", "answer").await;
        assert_eq!(client.answer().await.1, "answer");
    });
}

#[test]
fn another_server_at_the_address_has_not_run_it() {
    play(async {
        let mut first = Server::start("i-1").await;
        let mut second = Server::start("i-2").await;
        let stage = Stage::start(&[(&first, HERE), (&second, ELSEWHERE)]).await;
        let mut client = stage.client().await;
        for id in ["r1", "r2"] {
            client.ask("/unsafe/a", id, "").await;
            if id == "r1" {
                let mut asked = first.asked().await;
                asked
                    .answer(
                        "421 Misdirected Request",
                        "X-Ironmast-Instance-Id: i-9\r\n",
                        "",
                    )
                    .await;
                second
                    .asked()
                    .await
                    .answer("200 OK", "Connection: close\r\n", id)
                    .await;
            } else {
                // It is not asked again while it says nothing new.
                second.asked().await.answer("200 OK", "", id).await;
            }
            assert_eq!(client.answer().await.1, id);
        }
        assert!(first.is_idle());
    });
}

#[test]
fn a_late_answer_to_another_request_is_passed_over() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked
            .write("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: r0\r\nX-Ironmast-Server-Signature: s\r\nContent-Length: 3\r\n\r\nold")
            .await;
        asked.answer("200 OK", "", "new").await;
        assert_eq!(client.answer().await.1, "new");
        // Its connection is not used again.
        client.ask("/unsafe/a", "r2", "").await;
        server.asked().await.answer("200 OK", "", "next").await;
        assert_eq!(client.answer().await.1, "next");
    });
}

#[test]
fn a_kept_connection_is_used_again() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked.answer("200 OK", "", "one").await;
        assert_eq!(client.answer().await.1, "one");
        client.ask("/unsafe/a", "r2", "").await;
        let mut asked = asked.again().await;
        assert_eq!(asked.header("x-ironmast-request-id"), Some("r2"));
        asked.answer("200 OK", "", "two").await;
        assert_eq!(client.answer().await.1, "two");
    });
}

#[test]
fn a_success_without_its_stamp_or_with_an_encoding_is_none() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked
            .write("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: r1\r\nContent-Length: 1\r\n\r\na")
            .await;
        assert!(client.answer().await.0.starts_with("http/1.1 502"));
        client.ask("/unsafe/a", "r2", "").await;
        server
            .asked()
            .await
            .answer("200 OK", "Content-Encoding: gzip\r\n", "a")
            .await;
        assert!(client.answer().await.0.starts_with("http/1.1 502"));
    });
}

#[test]
fn a_failure_of_a_server_is_returned_unless_it_would_promise() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r1", "").await;
        server
            .asked()
            .await
            .answer("500 Internal Server Error", "Connection: close\r\n", "oh")
            .await;
        let (head, body) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 500") && head.contains("signature: stamp"),
            "{head}"
        );
        assert_eq!(body, "oh");
        client.ask("/unsafe/a", "r2", "").await;
        server
            .asked()
            .await
            .answer("503 Service Unavailable", "", "")
            .await;
        let (head, _) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 502") && !head.contains("signature"),
            "{head}"
        );
    });
}

#[test]
fn a_route_keeps_to_its_regions() {
    play(async {
        let mut near = Server::start("i-1").await;
        let mut far = Server::start("i-2").await;
        let stage = Stage::start(&[(&near, HERE), (&far, ELSEWHERE)]).await;
        let mut client = stage.client().await;
        client.ask("/away/a", "r1", "").await;
        far.asked().await.answer("200 OK", "", "far").await;
        assert_eq!(client.answer().await.1, "far");
        client.ask("/home/a", "r2", "").await;
        near.asked()
            .await
            .answer("503 Service Unavailable", NOT_EXECUTED, "")
            .await;
        let (head, _) = client.answer().await;
        assert!(
            head.starts_with("http/1.1 503") && head.contains("retry-after"),
            "{head}"
        );
        assert!(far.is_idle());
    });
}
