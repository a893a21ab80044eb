//! TCP links against raw-socket peers that disconnect early, send invalid bytes or send nothing.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_transport::frames::{
    FrameError, Hello, HelloError, LinkError, LinkErrorKind, LinkEvent, LinkOptions, LinkPhase,
    MessageTransport, TcpTransport,
};

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn hello(node: &str) -> Hello {
    Hello {
        protocol: "raw".into(),
        version: 1,
        node: node.into(),
        incarnation: 1,
    }
}

fn transport(options: LinkOptions) -> TcpTransport<String> {
    TcpTransport::listen(loopback(), hello("one"), options).expect("a free port")
}

/// A frame with that payload: the length, then the bytes.
fn frame(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

/// The frame of a valid handshake.
fn handshake_frame() -> Vec<u8> {
    frame(&postcard::to_stdvec(&(*b"IRMT", 1u16, hello("raw"))).expect("short"))
}

async fn next_link_error(of: &mut TcpTransport<String>) -> LinkError {
    match tokio::time::timeout(Duration::from_secs(10), of.next())
        .await
        .expect("in time")
    {
        LinkEvent::Down { error, .. } => error,
        other => panic!("expected the end of the link, got {other:?}"),
    }
}

/// The error that ends the link of a peer that writes `bytes` and closes its sending side.
async fn error_after(bytes: &[u8]) -> LinkError {
    let mut one = transport(LinkOptions::default());
    let mut peer = TcpStream::connect(one.local_address()).expect("a connection");
    peer.write_all(bytes).expect("written");
    peer.shutdown(std::net::Shutdown::Write).expect("open");
    next_link_error(&mut one).await
}

#[tokio::test]
async fn a_peer_without_a_handshake_is_rejected() {
    let not_a_handshake = error_after(&frame(b"GET / HTTP/1.1\r\n\r\n")).await;
    assert_matches!(
        not_a_handshake.kind,
        LinkErrorKind::Hello(HelloError::NotAHandshake)
    );
    let http = error_after(b"GET / HTTP/1.1\r\n\r\n").await;
    assert_matches!(
        http.kind,
        LinkErrorKind::Frame(FrameError::TooLong { .. }),
        "read as a length"
    );
    let other = frame(&postcard::to_stdvec(&(*b"IRMT", 9u16)).expect("short"));
    assert_matches!(
        error_after(&other).await.kind,
        LinkErrorKind::Hello(HelloError::HandshakeVersion { theirs: 9 })
    );
    assert_matches!(error_after(b"").await.kind, LinkErrorKind::Closed);
    assert_matches!(
        error_after(&handshake_frame()[..9]).await.kind,
        LinkErrorKind::Frame(FrameError::Truncated)
    );
    assert_eq!(not_a_handshake.phase, LinkPhase::Handshake);
}

/// The messages and the final error from a peer that sends a valid handshake, then `bytes`, and
/// closes its sending side.
async fn receive_after_handshake(bytes: &[u8]) -> (Vec<String>, LinkError) {
    let mut one = transport(LinkOptions {
        max_frame_bytes: 1_000,
        ..LinkOptions::default()
    });
    let mut peer = TcpStream::connect(one.local_address()).expect("a connection");
    peer.write_all(&[&handshake_frame()[..], bytes].concat())
        .expect("written");
    peer.shutdown(std::net::Shutdown::Write).expect("open");
    assert_matches!(one.next().await, LinkEvent::Up { dialed: false, .. });
    let mut messages = Vec::new();
    loop {
        match tokio::time::timeout(Duration::from_secs(10), one.next())
            .await
            .expect("in time")
        {
            LinkEvent::Message { message, .. } => messages.push(message),
            LinkEvent::Down { error, .. } => return (messages, error),
            LinkEvent::Up { .. } => panic!("a second up event"),
        }
    }
}

#[tokio::test]
async fn a_message_truncated_at_any_byte_is_not_delivered() {
    let message_frame = |text: &str| frame(&postcard::to_stdvec(text).expect("short"));
    let (whole, cut) = (message_frame("whole"), message_frame("cut off"));
    for end in 1..cut.len() {
        let (messages, error) = receive_after_handshake(&[&whole[..], &cut[..end]].concat()).await;
        assert_eq!(messages, ["whole"], "{end}");
        assert_matches!(
            error.kind,
            LinkErrorKind::Frame(FrameError::Truncated),
            "{end}"
        );
    }
    let (messages, error) = receive_after_handshake(&[&whole[..], &cut[..]].concat()).await;
    assert_eq!(messages, ["whole", "cut off"]);
    assert_matches!(error.kind, LinkErrorKind::Closed);
}

#[tokio::test]
async fn a_frame_longer_than_the_limit_ends_the_link_at_its_length() {
    for length in [1_001u32, u32::MAX] {
        let (messages, error) = receive_after_handshake(&length.to_be_bytes()).await;
        assert!(messages.is_empty());
        assert_matches!(
            error.kind,
            LinkErrorKind::Frame(FrameError::TooLong { max_bytes: 1_000 })
        );
        assert_eq!(error.phase, LinkPhase::Read);
    }
}

#[tokio::test]
async fn a_peer_that_never_sends_a_handshake_times_out() {
    let options = LinkOptions {
        connect_timeout: Duration::from_millis(30),
        ..LinkOptions::default()
    };
    let mut one = transport(options);
    let silent = TcpStream::connect(one.local_address()).expect("a connection");
    let error = next_link_error(&mut one).await;
    assert_matches!(error.kind, LinkErrorKind::TimedOut);
    assert_eq!(
        (error.phase, error.peer),
        (
            LinkPhase::Handshake,
            silent.local_addr().expect("connected")
        )
    );
}

#[tokio::test]
async fn the_connecting_side_sends_its_handshake_at_once() {
    let mut one = transport(LinkOptions::default());
    let listener = TcpListener::bind(loopback()).expect("a port is free");
    one.connect(listener.local_addr().expect("bound"));
    let accepted = tokio::task::spawn_blocking(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut length = [0; 4];
        stream.read_exact(&mut length).expect("a frame");
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).expect("a complete frame");
        frame
    });
    let frame = accepted.await.expect("a handshake frame");
    let (magic, version, theirs): ([u8; 4], u16, Hello) =
        postcard::from_bytes(&frame).expect("a handshake");
    assert_eq!((magic, version, theirs), (*b"IRMT", 1, hello("one")));
    assert_matches!(next_link_error(&mut one).await.kind, LinkErrorKind::Closed);
}

/// A peer that loses power sends nothing, and only the kernel's keepalive and user timeout detect
/// it. The test checks that both are set on the socket.
#[tokio::test]
async fn set_peer_timeout_sets_keepalive_and_the_user_timeout() {
    use rustix::net::sockopt;
    let listener = TcpListener::bind(loopback()).expect("a port is free");
    let stream = tokio::net::TcpStream::connect(listener.local_addr().expect("bound"))
        .await
        .expect("up");
    ironmast_transport::sockets::set_peer_timeout(&stream, Duration::from_secs(3))
        .expect("the timeout is set");
    assert!(stream.nodelay().expect("the socket option"));
    assert!(sockopt::socket_keepalive(&stream).expect("the socket option"));
    assert_eq!(
        sockopt::tcp_user_timeout(&stream).expect("the socket option"),
        3_000
    );
    assert_eq!(
        sockopt::tcp_keepidle(&stream).expect("the socket option"),
        Duration::from_secs(1)
    );
    assert_eq!(
        sockopt::tcp_keepintvl(&stream).expect("the socket option"),
        Duration::from_secs(1)
    );
    assert_eq!(sockopt::tcp_keepcnt(&stream).expect("the socket option"), 3);
}
