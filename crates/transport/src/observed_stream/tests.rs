use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::{MAX_UNREAD_BYTES, ObservedStream, StreamObserver, UNREAD_CHUNK_BYTES, UnreadBytes};
use crate::descriptors::DescriptorBudget;

/// Allows a number of bytes to be read, which each read reduces.
#[derive(Clone)]
struct AllowanceObserver {
    allowance: Rc<Cell<usize>>,
}

impl StreamObserver for AllowanceObserver {
    fn poll_read_allowance(&self, _cx: &mut Context<'_>) -> Poll<usize> {
        match self.allowance.get() {
            0 => Poll::Pending,
            allowance => Poll::Ready(allowance),
        }
    }

    fn on_read(&self, bytes: &[u8]) {
        self.allowance.set(
            self.allowance
                .get()
                .checked_sub(bytes.len())
                .expect("no more than allowed"),
        );
    }
}

/// Runs a test with the peer of a stream that may read `allowance` bytes.
fn run<F: Future<Output = ()>>(
    allowance: usize,
    test: impl FnOnce(TcpStream, ObservedStream<AllowanceObserver>) -> F,
) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let peer = TcpStream::connect(address)
            .await
            .expect("the listener is bound");
        let (stream, _) = listener.accept().await.expect("a connection");
        let observer = AllowanceObserver {
            allowance: Rc::new(Cell::new(allowance)),
        };
        let permit = DescriptorBudget::new(1).try_acquire().expect("free");
        test(peer, ObservedStream::new(stream, observer, permit)).await;
    });
}

#[test]
fn a_read_returns_no_more_bytes_than_the_observer_allows() {
    run(10, async |mut peer, mut stream| {
        peer.write_all(&[b'x'; 100]).await.expect("written");
        let mut buffer = [0; 100];
        assert_eq!(stream.read(&mut buffer).await.expect("bytes to read"), 10);
        stream.observer.allowance.set(1_000);
        assert_eq!(
            stream.read(&mut buffer).await.expect("more bytes to read"),
            90
        );
    });
}

#[test]
fn unread_bytes_are_kept_in_order_and_discarded_beyond_the_limit() {
    run(1, async |mut peer, mut stream| {
        let unread = stream.watch_unread();
        let sent: Vec<u8> = (0..MAX_UNREAD_BYTES + UNREAD_CHUNK_BYTES)
            .map(|n| (n % 251) as u8)
            .collect();
        let (written, ()) = tokio::join!(peer.write_all(&sent), async {
            while unread.next(|| true).await == UnreadBytes::Kept {}
        });
        written.expect("written");
        stream.observer.allowance.set(MAX_UNREAD_BYTES);
        let mut read = vec![0; MAX_UNREAD_BYTES];
        stream.read_exact(&mut read).await.expect("all kept bytes");
        assert!(
            read == sent[..MAX_UNREAD_BYTES],
            "the kept bytes are in order"
        );
        stream.observer.allowance.set(MAX_UNREAD_BYTES);
        peer.write_all(b"behind the gap").await.expect("written");
        assert_eq!(
            stream.read(&mut read).await.expect("the end of the stream"),
            0,
            "the stream ends before the discarded bytes"
        );
        drop(peer);
        while unread.next(|| true).await != UnreadBytes::Ended {}
    });
}

#[test]
fn the_watch_takes_no_bytes_while_it_is_disabled() {
    run(100, async |mut peer, mut stream| {
        let unread = stream.watch_unread();
        peer.write_all(b"hello").await.expect("written");
        let mut buffer = [0; 100];
        let bytes = tokio::select! {
            biased;
            unread = unread.next(|| false) => panic!("{unread:?}"),
            bytes = stream.read(&mut buffer) => bytes.expect("bytes to read"),
        };
        assert_eq!(&buffer[..bytes], b"hello");
    });
}
