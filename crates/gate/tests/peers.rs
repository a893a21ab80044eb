//! Load reports between the gates of a region, in real UDP datagrams that the test drops or forwards.
//! A server is avoided because of reports only if at least two other gates suspect it, so that a
//! fault on the path of one gate doesn't take a healthy server out of use.

mod support;

use std::net::Ipv4Addr;

use support::entries::gate;
use support::{LOCAL_ZONE, Server, TestGate, next_request_at_either, run_test};
use tokio::net::UdpSocket;

/// The addresses of two further gates, which the entries of both gates of a test contain. The test
/// receives at the first and forwards in the name of either.
const OTHER_GATES: [[u8; 4]; 2] = [[127, 0, 0, 2], [127, 0, 0, 3]];
/// How often the datagram is forwarded, a quarter of a second apart: by then the second gate has not
/// heard of the servers recently, and so accepts the suspicion of its peers.
const FORWARDED_COPIES: usize = 2;
/// The number of requests that are sent to find out whether a server is used.
const REQUEST_COUNT: usize = 6;

/// Starts a gate with entries of the servers and of the other gates.
async fn start_gate([first, second]: &[Server; 2]) -> TestGate {
    let mut test_gate = TestGate::start(&[(first, LOCAL_ZONE), (second, LOCAL_ZONE)]).await;
    test_gate.send_entries(OTHER_GATES.map(gate).to_vec()).await;
    test_gate
}

/// Sends a request and closes its connection at the server that receives it; returns that server's
/// position.
async fn fail_one_server(gate: &TestGate, [first, second]: &mut [Server; 2]) -> usize {
    let mut client = gate.connect().await;
    client.send_request("/unsafe/a", "r1").await;
    let (failed, request) = next_request_at_either(first, second).await;
    drop(request);
    assert!(client.read_response().await.0.starts_with("http/1.1 502"));
    failed
}

async fn bind(address: [u8; 4], port: u16) -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::from(address), port))
        .await
        .expect("a port is free")
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut datagram = [0; 2_048];
    let length = socket.recv(&mut datagram).await.expect("a datagram");
    datagram[..length].to_vec()
}

/// Makes one gate suspect a server, drops its first datagram and forwards the next one to a second
/// gate in the name of each of `senders`. Returns true if the second gate still uses the server.
async fn second_gate_uses_the_suspect_server(senders: &[[u8; 4]]) -> bool {
    let mut servers = [Server::start("i-1").await, Server::start("i-2").await];
    let (first_gate, second_gate) = (start_gate(&servers).await, start_gate(&servers).await);
    let receiver = bind(OTHER_GATES[0], first_gate.peers.port()).await;
    let suspect = fail_one_server(&first_gate, &mut servers).await;
    let mut sender_sockets = Vec::new();
    for sender in senders {
        sender_sockets.push(bind(*sender, 0).await);
    }
    let lost = receive(&receiver).await;
    let repeated = receive(&receiver).await;
    assert_eq!(repeated, lost, "each datagram holds the complete state");
    // Awaits the first gate's next datagram only to let a quarter of a second pass.
    for _ in 0..FORWARDED_COPIES {
        for socket in &sender_sockets {
            socket
                .send_to(&repeated, second_gate.peers)
                .await
                .expect("sent");
        }
        receive(&receiver).await;
    }
    is_used(&second_gate, suspect, servers).await
}

/// Sends [`REQUEST_COUNT`] requests; returns true if one of them reaches the server at this position.
async fn is_used(gate: &TestGate, position: usize, [mut first, mut second]: [Server; 2]) -> bool {
    let mut is_used = false;
    for number in 0..REQUEST_COUNT {
        let mut client = gate.connect().await;
        client
            .send_request("/unsafe/a", &format!("s{number}"))
            .await;
        let (server, mut request) = next_request_at_either(&mut first, &mut second).await;
        is_used |= server == position;
        request.serve_and_close("served").await;
        assert!(client.read_response().await.0.starts_with("http/1.1 200"));
    }
    is_used
}

#[test]
fn server_that_two_gates_suspect_is_not_used_though_a_datagram_was_lost() {
    run_test(async { assert!(!second_gate_uses_the_suspect_server(&OTHER_GATES).await) });
}

#[test]
fn server_that_only_one_gate_suspects_is_used() {
    run_test(async { assert!(second_gate_uses_the_suspect_server(&OTHER_GATES[..1]).await) });
}
