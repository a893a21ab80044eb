//! What gates of a region tell each other, over real datagrams that the test loses or passes on.

mod support;

use std::net::Ipv4Addr;

use support::{HERE, Server, Stage, gate, play};
use tokio::net::UdpSocket;

/// Other gates of the region, as far as the two gates of a play know.
const OTHERS: [[u8; 4]; 2] = [[127, 0, 0, 2], [127, 0, 0, 3]];
/// How often the datagram is passed on, a quarter of a second apart: the second gate has then heard
/// nothing of the servers itself for long enough.
const PASSED_ON: usize = 2;
const REQUESTS: usize = 6;

/// A gate that knows the servers and the other gates.
async fn start(servers: &[Server; 2]) -> Stage {
    let [one, other] = servers;
    let mut stage = Stage::start(&[(one, HERE), (other, HERE)]).await;
    stage.tell(OTHERS.map(gate).to_vec()).await;
    stage
}

/// Breaks off a request at one of the servers; its place.
async fn break_off(stage: &Stage, servers: &mut [Server; 2]) -> usize {
    let mut client = stage.client().await;
    client.ask("/unsafe/a", "r1", "").await;
    let [one, other] = servers;
    let (broken, asked) = tokio::select! {
        asked = one.asked() => (0, asked),
        asked = other.asked() => (1, asked),
    };
    drop(asked);
    assert!(client.answer().await.0.starts_with("http/1.1 502"));
    broken
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut datagram = [0; 2_048];
    let length = socket.recv(&mut datagram).await.expect("it tells");
    datagram[..length].to_vec()
}

/// Whether a second gate uses a server of which the first gate's datagrams tell, passed on in the
/// name of `tellers`. The first datagram is lost.
async fn uses(tellers: &[[u8; 4]]) -> bool {
    let mut servers = [Server::start("i-1").await, Server::start("i-2").await];
    let (first, second) = (start(&servers).await, start(&servers).await);
    let heard = UdpSocket::bind((Ipv4Addr::from(OTHERS[0]), first.peers.port()))
        .await
        .expect("a port is free");
    let broken = break_off(&first, &mut servers).await;
    let mut names = Vec::new();
    for teller in tellers {
        names.push(
            UdpSocket::bind((Ipv4Addr::from(*teller), 0))
                .await
                .expect("a port is free"),
        );
    }
    let lost = receive(&heard).await;
    let told_again = receive(&heard).await;
    assert_eq!(told_again, lost, "all of it is told each time");
    // The next ones only tell that time has passed.
    for _ in 0..PASSED_ON {
        for name in &names {
            name.send_to(&told_again, second.peers).await.expect("sent");
        }
        receive(&heard).await;
    }
    let mut is_used = false;
    let [one, other] = &mut servers;
    for request in 0..REQUESTS {
        let mut client = second.client().await;
        client.ask("/unsafe/a", &format!("s{request}"), "").await;
        let (place, mut asked) = tokio::select! {
            asked = one.asked() => (0, asked),
            asked = other.asked() => (1, asked),
        };
        is_used |= place == broken;
        asked
            .answer("200 OK", "Connection: close\r\n", "served")
            .await;
        assert!(client.answer().await.0.starts_with("http/1.1 200"));
    }
    is_used
}

#[test]
fn a_server_that_two_gates_find_out_of_order_gets_nothing_though_a_datagram_was_lost() {
    play(async { assert!(!uses(&OTHERS).await) });
}

#[test]
fn the_word_of_one_gate_is_not_enough() {
    play(async { assert!(uses(&OTHERS[..1]).await) });
}
