use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::{DescriptorBudget, KEPT_MOST, ObservedStream, StreamObserver, UNREAD_PART, Unread};

/// Lets so many bytes be read, and counts them.
#[derive(Clone)]
struct Allows {
    room: Rc<Cell<usize>>,
}

impl StreamObserver for Allows {
    fn poll_may_read(&self, _cx: &mut Context<'_>) -> Poll<usize> {
        match self.room.get() {
            0 => Poll::Pending,
            room => Poll::Ready(room),
        }
    }

    fn got(&self, bytes: &[u8]) {
        self.room.set(
            self.room
                .get()
                .checked_sub(bytes.len())
                .expect("no more than allowed"),
        );
    }
}

/// Plays with the other side of a stream that may read so much.
fn play<F: Future<Output = ()>>(
    room: usize,
    test: impl FnOnce(TcpStream, ObservedStream<Allows>) -> F,
) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let other = TcpStream::connect(address).await.expect("it listens");
        let (stream, _) = listener.accept().await.expect("a connection");
        let observer = Allows {
            room: Rc::new(Cell::new(room)),
        };
        let slot = DescriptorBudget::new(1).take().expect("free");
        test(other, ObservedStream::new(stream, observer, slot)).await;
    });
}

#[test]
fn no_more_is_read_at_once_than_the_observer_allows() {
    play(10, async |mut other, mut stream| {
        other.write_all(&[b'x'; 100]).await.expect("written");
        let mut part = [0; 100];
        assert_eq!(stream.read(&mut part).await.expect("there is some"), 10);
        stream.observer.room.set(1_000);
        assert_eq!(stream.read(&mut part).await.expect("there is more"), 90);
    });
}

#[test]
fn what_is_left_unread_is_kept_in_order_and_then_thrown_away() {
    play(1, async |mut other, mut stream| {
        let unread = stream.watch_unread();
        let sent: Vec<u8> = (0..KEPT_MOST + UNREAD_PART)
            .map(|n| (n % 251) as u8)
            .collect();
        let (written, ()) = tokio::join!(other.write_all(&sent), async {
            while unread.next(|| true).await == Unread::Kept {}
        });
        written.expect("written");
        stream.observer.room.set(KEPT_MOST);
        let mut read = vec![0; KEPT_MOST];
        stream
            .read_exact(&mut read)
            .await
            .expect("all that is kept");
        assert!(read == sent[..KEPT_MOST], "in order");
        stream.observer.room.set(KEPT_MOST);
        other.write_all(b"behind the gap").await.expect("written");
        assert_eq!(
            stream.read(&mut read).await.expect("an end"),
            0,
            "it ends before what is lost"
        );
        drop(other);
        while unread.next(|| true).await != Unread::Ended {}
    });
}

#[test]
fn nothing_is_taken_while_it_is_not_to_be_looked_at() {
    play(100, async |mut other, mut stream| {
        let unread = stream.watch_unread();
        other.write_all(b"hello").await.expect("written");
        let mut part = [0; 100];
        let bytes = tokio::select! {
            biased;
            unread = unread.next(|| false) => panic!("{unread:?}"),
            bytes = stream.read(&mut part) => bytes.expect("there is some"),
        };
        assert_eq!(&part[..bytes], b"hello");
    });
}
