//! Streams through a gate: event by event, cut and taken up, cut and seen to be cut.

mod support;

use support::{ELSEWHERE, HERE, LAST_CHUNK, Server, Stage, chunk, event, play};

#[test]
fn events_are_passed_on_one_by_one() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/stream/a", "r1", "").await;
        let mut asked = server.asked().await;
        assert_eq!(asked.header("x-ironmast-expect-instance"), Some("i-1"));
        assert_eq!(asked.header("priority"), Some("1"));
        assert_eq!(asked.body, "question");
        asked.begin_events().await;
        for id in 1..4 {
            asked.write(&chunk(&event(id))).await;
            // The next is not written before this one is there.
            client.until(&event(id)).await;
        }
        asked.write(LAST_CHUNK).await;
        client.until("\r\n0\r\n\r\n").await;
    });
}

#[test]
fn half_an_event_is_not_passed_on_and_the_stream_goes_on_elsewhere() {
    play(async {
        let mut first = Server::start("i-1").await;
        let mut second = Server::start("i-2").await;
        // The other region is asked only once its own has nobody left.
        let stage = Stage::start(&[(&first, HERE), (&second, ELSEWHERE)]).await;
        let mut client = stage.client().await;
        client.ask("/stream/a", "r1", "Last-Event-Id: 4\r\n").await;
        let mut asked = first.asked().await;
        assert_eq!(asked.header("last-event-id"), Some("4"));
        asked.begin_events().await;
        asked.write(&chunk(&event(5))).await;
        let head = client.head().await;
        assert!(
            head.contains("x-ironmast-server-signature: stamp"),
            "{head}"
        );
        let mut body = client.until(&event(5)).await;
        asked.write(&chunk("id: 6\ndata: pie")).await;
        drop(asked);
        let mut asked = second.asked().await;
        assert_eq!(asked.header("last-event-id"), Some("5"));
        assert_eq!(asked.header("x-ironmast-expect-instance"), Some("i-2"));
        asked.begin_events().await;
        asked.write(&chunk(&event(6))).await;
        asked.write(LAST_CHUNK).await;
        body += &client.until("\r\n0\r\n\r\n").await;
        assert_eq!(body, chunk(&event(5)) + &chunk(&event(6)) + LAST_CHUNK);
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_is_visibly_cut() {
    play(async {
        let mut first = Server::start("i-1").await;
        let mut second = Server::start("i-2").await;
        let stage = Stage::start(&[(&first, HERE), (&second, ELSEWHERE)]).await;
        let mut client = stage.client().await;
        client.ask("/once/a", "r1", "").await;
        let mut asked = first.asked().await;
        asked.begin_events().await;
        asked.write(&chunk(&event(1))).await;
        client.until(&event(1)).await;
        asked.write(&chunk("id: 2\nda")).await;
        drop(asked);
        let rest = client.rest().await;
        assert!(
            !rest.contains("0\r\n\r\n") && !rest.contains("id: 2"),
            "{rest:?}"
        );
        assert!(second.is_idle());
    });
}

#[test]
fn an_event_that_comes_twice_breaks_the_stream_off() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/once/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked.begin_events().await;
        asked
            .write(&(chunk(&event(1)) + &chunk(&event(1)) + LAST_CHUNK))
            .await;
        let all = client.rest().await;
        assert_eq!(all.matches("id: 1\n").count(), 1);
        assert!(!all.contains("0\r\n\r\n"), "{all:?}");
    });
}

#[test]
fn a_body_that_ends_within_an_event_is_not_whole() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/once/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked.begin_events().await;
        asked
            .write(&(chunk(&event(1)) + &chunk("id: 2\n") + LAST_CHUNK))
            .await;
        let all = client.rest().await;
        assert!(
            all.contains("id: 1\n") && !all.contains("id: 2\n"),
            "{all:?}"
        );
        assert!(!all.contains("0\r\n\r\n"), "{all:?}");
    });
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    play(async {
        let mut server = Server::start("i-1").await;
        let stage = Stage::start(&[(&server, HERE)]).await;
        let mut client = stage.client().await;
        client.ask("/stream/a", "r1", "").await;
        let mut asked = server.asked().await;
        asked.begin_events().await;
        asked.write(&chunk(&event(1))).await;
        client.until(&event(1)).await;
        drop(client);
        asked.closed().await;
        // Before its head, too.
        let mut client = stage.client().await;
        client.ask("/unsafe/a", "r2", "").await;
        let asked = server.asked().await;
        drop(client);
        asked.closed().await;
    });
}
