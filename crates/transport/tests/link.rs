//! Tests of `link.rs` over TCP sockets.

use std::io::Write as _;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::time::Duration;

use ironmast_transport::link::{self, Receiver, Sender};
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

#[tokio::test]
async fn messages_arrive_in_order_in_both_directions_and_a_close_is_reported() {
    let (listener, address) = listen().await;
    let (mut receiver, mut sender): (Receiver<String>, Sender<u64>) =
        link::connect(address, CONNECT_TIMEOUT)
            .await
            .expect("connected");
    let (stream, _) = listener.accept().await.expect("a connection");
    let (mut peer_receiver, mut peer_sender) = link::split::<u64, String>(stream).expect("open");
    for n in 0..100 {
        sender.send(&n).await.expect("open");
        peer_sender.send(&format!("{n}")).await.expect("open");
    }
    for n in 0..100 {
        assert_eq!(peer_receiver.next().await.expect("open"), Some(n));
        assert_eq!(receiver.next().await.expect("open"), Some(format!("{n}")));
    }
    drop((receiver, sender));
    assert_eq!(peer_receiver.next().await.expect("an orderly close"), None);
}

/// Returns what a link receives from a peer that writes `bytes` and closes the connection. Asserts
/// that an error names the peer.
async fn received(bytes: &[u8]) -> Result<Option<String>, String> {
    let (listener, address) = listen().await;
    let mut peer = std::net::TcpStream::connect(address).expect("the listener is bound");
    peer.write_all(bytes).expect("written");
    peer.shutdown(Shutdown::Write).expect("open");
    let (stream, from) = listener.accept().await.expect("a connection");
    let (mut receiver, _sender) = link::split::<String, ()>(stream).expect("open");
    receiver.next().await.map_err(|error| {
        let text = format!("{error:#}");
        assert!(text.contains(&from.to_string()), "{text}");
        text
    })
}

#[tokio::test]
async fn a_truncated_message_is_an_error_and_never_an_end() {
    let message = [
        &[0, 0, 0, 6][..],
        &postcard::to_stdvec("whole").expect("short"),
    ]
    .concat();
    assert_eq!(received(&message).await, Ok(Some("whole".into())));
    assert_eq!(received(b"").await, Ok(None));
    for end in 1..message.len() {
        assert!(received(&message[..end]).await.is_err(), "cut at {end}");
    }
    assert!(
        received(b"GET / HTTP/1.1\r\n\r\n").await.is_err(),
        "a request line read as a frame length"
    );
    assert!(
        received(&[0, 0, 0, 1, 0xff]).await.is_err(),
        "a complete frame that is not a message"
    );
}

/// A peer that loses power closes nothing; a side that only receives detects it by the kernel's
/// keepalive probes.
#[tokio::test]
async fn a_link_sets_keepalive_and_the_user_timeout() {
    let (listener, address) = listen().await;
    let connected = TcpStream::connect(address).await.expect("connected");
    let (accepted, _) = listener.accept().await.expect("a connection");
    let same_socket = std::os::fd::AsFd::as_fd(&accepted)
        .try_clone_to_owned()
        .expect("a descriptor is free");
    let _link = link::split::<(), ()>(accepted).expect("open");
    assert!(sockopt::socket_keepalive(&same_socket).expect("the option is readable"));
    assert_eq!(
        sockopt::tcp_user_timeout(&same_socket).expect("the option is readable"),
        2_000
    );
    drop(connected);
}

/// A peer whose accept backlog is full does not respond to a SYN, like one without power. The kernel
/// alone would retransmit the SYN only after 1 s.
#[tokio::test]
async fn a_silent_peer_is_connected_to_within_a_second_of_its_return() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a descriptor is free");
    socket
        .bind((Ipv4Addr::LOCALHOST, 0).into())
        .expect("a port is free");
    let listener = socket.listen(0).expect("bound");
    let address = listener.local_addr().expect("bound");
    let first = TcpStream::connect(address)
        .await
        .expect("the backlog holds one connection");
    let connecting = link::connect::<(), ()>(address, CONNECT_TIMEOUT);
    tokio::pin!(connecting);
    let silent = tokio::time::timeout(Duration::from_millis(1), &mut connecting);
    assert!(silent.await.is_err(), "a full backlog drops the first SYN");
    let returned_at = std::time::Instant::now();
    listener.accept().await.expect("the first connection");
    connecting.await.expect("the peer accepts again");
    assert!(
        returned_at.elapsed() < Duration::from_millis(700),
        "{:?}",
        returned_at.elapsed()
    );
    drop(first);
}
