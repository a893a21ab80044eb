//! A node on loopback, with the other ends of its connections played by the test.

use std::net::Ipv4Addr;
use std::sync::Arc;

use ironmast_overlay::{Heartbeat, Locality, Role, TreePosition};

use super::*;

/// Longest wait for anything that must happen.
const WITHIN: Duration = Duration::from_secs(10);

/// Messages read before the one that a test waits for, at most.
const READ_MOST: usize = 2_000;

type Hears = link::Receiver<Frame>;
type Says = link::Sender<Frame>;

/// A coordinator's driver, and what its owner holds of it.
struct Node {
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    _news: mpsc::UnboundedReceiver<Entry>,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn descriptor(address: SocketAddr, role: Role) -> Descriptor {
    Descriptor {
        address,
        locality: Locality { region: 1, zone: 1 },
        role,
        incarnation: 1,
    }
}

async fn coordinator() -> Node {
    let (listener, address) = listen().await;
    let (commands, inbox) = mpsc::unbounded_channel();
    let (news, entries) = mpsc::unbounded_channel();
    let log = Logger::root(slog::Discard, slog::o!());
    actix_rt::spawn(run(
        listener,
        descriptor(address, Role::Coordinator),
        inbox,
        news,
        log,
    ));
    Node {
        address,
        commands,
        _news: entries,
    }
}

/// A connection to `node` opened by an agent that listens at `own`.
async fn dial(node: &Node, own: SocketAddr) -> (Hears, Says) {
    let (hears, mut says) = link::connect::<Frame, Frame>(node.address, WITHIN)
        .await
        .expect("up");
    says.send(&Frame::Hello(own)).await.expect("open");
    let hello = Message::Hello {
        node: descriptor(own, Role::Agent),
    };
    says.send(&Frame::Message(hello)).await.expect("open");
    (hears, says)
}

/// Reads until a message that `wanted` selects; false where the connection ends first.
async fn hears(hears: &mut Hears, wanted: impl Fn(&Message) -> bool) -> bool {
    for _ in 0..READ_MOST {
        match tokio::time::timeout(WITHIN, hears.next())
            .await
            .expect("in time")
        {
            Ok(Some(Frame::Message(message))) if wanted(&message) => return true,
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return false,
        }
    }
    panic!("not among {READ_MOST} messages");
}

fn is_hello(message: &Message) -> bool {
    matches!(message, Message::Hello { .. })
}

fn is_answer(message: &Message) -> bool {
    matches!(message, Message::Shuffle { is_reply: true, .. })
}

async fn ask(says: &mut Says) {
    says.send(&Frame::Message(Message::Shuffle {
        sample: Vec::new(),
        is_reply: false,
    }))
    .await
    .expect("open");
}

fn system(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn of_two_connections_opened_at_once_either_may_end() {
    system(async {
        let node = coordinator().await;
        let (listener, own) = listen().await;
        node.commands
            .send(Command::Seeds(vec![own]))
            .expect("it runs");
        let (accepted, _) = listener.accept().await.expect("it dials");
        let (mut first_hears, mut first_says) =
            link::split::<Frame, Frame>(accepted).expect("open");
        let hello = Message::Hello {
            node: descriptor(own, Role::Agent),
        };
        first_says.send(&Frame::Message(hello)).await.expect("open");
        assert!(hears(&mut first_hears, is_hello).await);
        let (mut second_hears, mut second_says) = dial(&node, own).await;
        ask(&mut second_says).await;
        assert!(
            hears(&mut first_hears, is_answer).await,
            "one of them carries what is sent"
        );
        drop((first_hears, first_says));
        ask(&mut second_says).await;
        ask(&mut second_says).await;
        assert!(
            hears(&mut second_hears, is_answer).await,
            "the link goes on over the other"
        );
    });
}

#[test]
fn what_was_sent_arrives_before_the_end() {
    system(async {
        let node = coordinator().await;
        let (_listener, own) = listen().await;
        let (mut hearing, _says) = dial(&node, own).await;
        assert!(hears(&mut hearing, is_hello).await);
        node.commands.send(Command::Leave).expect("it runs");
        assert!(hears(&mut hearing, |message| *message == Message::Leave).await);
        assert!(!hears(&mut hearing, |_| true).await, "then it ends");
    });
}

/// Takes the node as the source.
async fn graft(hearing: &mut Hears, says: &mut Says) {
    let position = TreePosition::Detached;
    let (root_heartbeats, spare_capacity) = Default::default();
    let heartbeat = Heartbeat {
        sequence: 1,
        echo: 1,
        position,
        spare_capacity,
        is_successor: false,
        root_hash: 0,
        root_heartbeats,
    };
    says.send(&Frame::Message(Message::Heartbeat(heartbeat)))
        .await
        .expect("open");
    says.send(&Frame::Message(Message::Graft { root_hash: 0 }))
        .await
        .expect("open");
    assert!(hears(hearing, |message| *message == Message::GraftAccepted).await);
}

/// Entries of 32 KiB, more of them than the system's buffers and the queue hold together.
const MANY: u64 = 1_500;

fn publish_many(node: &Node) {
    for key in 0..MANY {
        let payload = Arc::from(vec![0; 32 * 1024]);
        node.commands
            .send(Command::Publish(key, 1, payload))
            .expect("it runs");
    }
}

#[test]
fn a_peer_that_does_not_read_is_let_go_of() {
    system(async {
        let node = coordinator().await;
        let (_listener, own) = listen().await;
        let (mut slow, mut slow_says) = dial(&node, own).await;
        graft(&mut slow, &mut slow_says).await;
        publish_many(&node);
        // Another one is served meanwhile.
        let (_other, other_own) = listen().await;
        let (mut quick, _says) = dial(&node, other_own).await;
        assert!(hears(&mut quick, is_hello).await);
        let mut arrived = 0;
        while hears(&mut slow, |message| {
            matches!(message, Message::Entries { .. })
        })
        .await
        {
            arrived += 1;
        }
        assert!(arrived > 0 && arrived < MANY, "{arrived}");
    });
}
