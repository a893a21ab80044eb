//! A node on loopback whose peers are simulated by the test.

use std::net::Ipv4Addr;
use std::sync::Arc;

use ironmast_overlay::{Heartbeat, Locality, Role, TreePosition};
use ironmast_transport::link;

use super::*;
use crate::connection::Frame;

/// Timeout for each message that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of messages that a test reads until it receives the one that it waits for.
const MAX_MESSAGES_READ: usize = 2_000;

type Receiver = link::Receiver<Frame>;
type Sender = link::Sender<Frame>;

/// A running coordinator with the channels of its owner.
struct RunningNode {
    tasks: Tasks,
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    _updates: mpsc::UnboundedReceiver<Entry>,
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

async fn start_coordinator() -> RunningNode {
    let (listener, address) = listen().await;
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let (updates, entries) = mpsc::unbounded_channel();
    let log = Logger::root(slog::Discard, slog::o!());
    let tasks = Tasks::new(&log);
    let local_node = descriptor(address, Role::Coordinator);
    let driver = run(listener, local_node, command_receiver, updates, log);
    tasks.spawn_essential("overlay", driver);
    RunningNode {
        tasks,
        address,
        commands,
        _updates: entries,
    }
}

/// Opens a connection to `node` as an agent that listens at `peer_address`.
async fn dial(node: &RunningNode, peer_address: SocketAddr) -> (Receiver, Sender) {
    let (receiver, mut sender) = link::connect::<Frame, Frame>(node.address, TIMEOUT)
        .await
        .expect("the node accepts connections");
    sender
        .send(&Frame::Hello(peer_address))
        .await
        .expect("open");
    let hello = Message::Hello {
        node: descriptor(peer_address, Role::Agent),
    };
    sender.send(&Frame::Message(hello)).await.expect("open");
    (receiver, sender)
}

/// Reads messages until one matches `is_wanted`. Returns false if the connection closes first.
async fn receives(receiver: &mut Receiver, is_wanted: impl Fn(&Message) -> bool) -> bool {
    for _ in 0..MAX_MESSAGES_READ {
        match tokio::time::timeout(TIMEOUT, receiver.next())
            .await
            .expect("in time")
        {
            Ok(Some(Frame::Message(message))) if is_wanted(&message) => return true,
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return false,
        }
    }
    panic!("no expected message among {MAX_MESSAGES_READ}");
}

fn is_hello(message: &Message) -> bool {
    matches!(message, Message::Hello { .. })
}

fn is_shuffle_reply(message: &Message) -> bool {
    matches!(message, Message::Shuffle { is_reply: true, .. })
}

async fn request_shuffle(sender: &mut Sender) {
    sender
        .send(&Frame::Message(Message::Shuffle {
            sample: Vec::new(),
            is_reply: false,
        }))
        .await
        .expect("open");
}

fn run_in_system(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn peer_stays_connected_when_either_of_two_connections_closes() {
    run_in_system(async {
        let node = start_coordinator().await;
        let (listener, peer_address) = listen().await;
        node.commands
            .send(Command::SetSeeds(vec![peer_address]))
            .expect("the node runs");
        let (accepted, _) = listener.accept().await.expect("the node connects");
        let (mut first_receiver, mut first_sender) =
            link::split::<Frame, Frame>(accepted).expect("open");
        let hello = Message::Hello {
            node: descriptor(peer_address, Role::Agent),
        };
        first_sender
            .send(&Frame::Message(hello))
            .await
            .expect("open");
        assert!(receives(&mut first_receiver, is_hello).await);
        let (mut second_receiver, mut second_sender) = dial(&node, peer_address).await;
        request_shuffle(&mut second_sender).await;
        assert!(
            receives(&mut first_receiver, is_shuffle_reply).await,
            "the first connection carries the messages"
        );
        drop((first_receiver, first_sender));
        request_shuffle(&mut second_sender).await;
        request_shuffle(&mut second_sender).await;
        assert!(
            receives(&mut second_receiver, is_shuffle_reply).await,
            "the second connection carries them now"
        );
    });
}

#[test]
fn queued_messages_are_sent_before_the_connection_closes() {
    run_in_system(async {
        let node = start_coordinator().await;
        let (_listener, peer_address) = listen().await;
        let (mut receiver, _sender) = dial(&node, peer_address).await;
        assert!(receives(&mut receiver, is_hello).await);
        node.commands.send(Command::Leave).expect("the node runs");
        assert!(receives(&mut receiver, |message| *message == Message::Leave).await);
        assert!(
            !receives(&mut receiver, |_| true).await,
            "the connection closes after the queued message"
        );
    });
}

/// Attaches the simulated agent to the relay tree, with the node as its parent.
async fn graft(receiver: &mut Receiver, sender: &mut Sender) {
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
    sender
        .send(&Frame::Message(Message::Heartbeat(heartbeat)))
        .await
        .expect("open");
    sender
        .send(&Frame::Message(Message::Graft { root_hash: 0 }))
        .await
        .expect("open");
    assert!(receives(receiver, |message| *message == Message::GraftAccepted).await);
}

/// Number of published entries of 32 KiB; together they exceed the socket buffers and the send
/// queue.
const PUBLISHED_ENTRIES: u64 = 1_500;

fn publish_entries(node: &RunningNode) {
    for key in 0..PUBLISHED_ENTRIES {
        let payload = Arc::from(vec![0; 32 * 1024]);
        node.commands
            .send(Command::Publish {
                key,
                version: ironmast_overlay::Version(1),
                payload,
            })
            .expect("the node runs");
    }
}

#[test]
fn peer_that_does_not_read_is_disconnected() {
    run_in_system(async {
        let node = start_coordinator().await;
        let (_listener, peer_address) = listen().await;
        let (mut slow, mut slow_sender) = dial(&node, peer_address).await;
        graft(&mut slow, &mut slow_sender).await;
        publish_entries(&node);
        // The node still serves another peer.
        let (_other, other_address) = listen().await;
        let (mut quick, _sender) = dial(&node, other_address).await;
        assert!(receives(&mut quick, is_hello).await);
        let mut received = 0;
        while receives(&mut slow, |message| {
            matches!(message, Message::Entries { .. })
        })
        .await
        {
            received += 1;
        }
        assert!(
            received > 0 && received < PUBLISHED_ENTRIES,
            "received {received} of {PUBLISHED_ENTRIES} entries"
        );
    });
}

/// The tasks of the driver and of its connections end when their owner is dropped.
#[test]
fn connections_and_listener_close_when_the_owner_is_dropped() {
    run_in_system(async {
        let node = start_coordinator().await;
        let (_listener, peer_address) = listen().await;
        let (mut receiver, mut sender) = dial(&node, peer_address).await;
        request_shuffle(&mut sender).await;
        assert!(receives(&mut receiver, is_shuffle_reply).await);
        drop(node.tasks);
        assert!(!receives(&mut receiver, |_| false).await);
        assert!(TcpStream::connect(node.address).await.is_err());
    });
}
