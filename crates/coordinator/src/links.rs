//! Links between nodes: outgoing connections to the other coordinators, and incoming ones of agents
//! and other coordinators.
//!
//! This module owns the sockets, the reconnect delay and the timeouts. The frames are handled by
//! [`CoordinatorNode`].
//!
//! Failed links are not logged, because links fail whenever another node restarts; operators need
//! to know of the loss of contact with the majority, which [`CoordinatorNode`] logs. The exception
//! is a node that speaks another version of the protocol.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr as _, bail};
use ironmast_schema::control::{FromCoordinator, Hello, PROTOCOL_VERSION, ToCoordinator};
use ironmast_transport::link;
use ironmast_transport::log_limit::LogLimit;
use ironmast_transport::tasks::Tasks;
use slog::{Logger, warn};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::node::CoordinatorNode;
use crate::subscribers::SubscriberKind;

/// Delay before a failed connection, or a failed accept, is retried.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a received frame after which a link counts as failed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

type SharedNode = Rc<RefCell<CoordinatorNode>>;

/// State shared by the tasks of all links.
#[derive(Clone)]
pub(crate) struct Links {
    node: SharedNode,
    /// Owner of the link tasks; gone once the event loop has ended.
    tasks: Weak<Tasks>,
    log: Logger,
}

impl Links {
    /// Creates the shared state without any links; `tasks` owns the tasks of links opened later.
    pub(crate) fn new(node: &SharedNode, tasks: &Rc<Tasks>, log: &Logger) -> Self {
        Links {
            node: Rc::clone(node),
            tasks: Rc::downgrade(tasks),
            log: log.clone(),
        }
    }

    /// Opens a link to each of the coordinators that was not known before.
    pub(crate) fn connect(&self, coordinators: &[SocketAddr]) {
        let Some(tasks) = self.tasks.upgrade() else {
            return;
        };
        for address in coordinators {
            let is_new = self.node.borrow_mut().add_peer(*address);
            if is_new {
                tasks.spawn_essential("coordinator link", keep_connected(self.clone(), *address));
            }
        }
    }
}

/// Listens for agents and coordinators, and connects to the seeds.
///
/// # Errors
/// The own address cannot be bound.
pub(crate) async fn start(links: &Links, seeds: &[SocketAddr], tasks: &Tasks) -> Result<()> {
    let own = links.node.borrow().own_address();
    let listener = TcpListener::bind(own)
        .await
        .wrap_err_with(|| format!("listening at {own}"))?;
    tasks.spawn_essential("links of other nodes", accept(links.clone(), listener));
    links.connect(seeds);
    Ok(())
}

/// Why a subscriber's link has ended.
#[derive(Debug, Error)]
enum SubscriberError {
    /// The connection was lost, or a frame could not be decoded.
    #[error(transparent)]
    Link(#[from] link::Error),
    /// The first frame is not a `Hello`, so the kind of the node is unknown.
    #[error("the first frame is not a Hello")]
    NoHello,
    /// The subscriber speaks another version of the protocol.
    #[error("version {0} of the protocol, this coordinator speaks version {PROTOCOL_VERSION}")]
    UnsupportedProtocol(u16),
}

impl SubscriberError {
    /// Whether the subscriber runs another version of the program, so that later links will fail as
    /// well.
    fn is_version_mismatch(&self) -> bool {
        match self {
            SubscriberError::UnsupportedProtocol(_)
            | SubscriberError::Link(link::Error::Decode { .. }) => true,
            SubscriberError::NoHello | SubscriberError::Link(_) => false,
        }
    }
}

/// Accepts connections of subscribers and serves each in its own task. After an error of the
/// listener, accepting is retried after [`RECONNECT_DELAY`].
async fn accept(links: Links, listener: TcpListener) {
    let log = &links.log;
    let subscribers = Tasks::new(log);
    let mut accept_errors = LogLimit::default();
    let mismatches = Rc::new(RefCell::new(LogLimit::default()));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (links, mismatches) = (links.clone(), Rc::clone(&mismatches));
                subscribers.spawn("subscriber", async move {
                    let Err(error) = serve_subscriber(&links, stream).await else {
                        return;
                    };
                    // Other failures are expected whenever another node restarts; the subscriber
                    // has been unsubscribed by then.
                    if error.is_version_mismatch()
                        && let Some(suppressed) = mismatches.borrow_mut().admit(Instant::now())
                    {
                        warn!(
                            links.log, "a node speaks another version of the protocol";
                            "peer" => %peer, "error" => %error, "suppressed" => suppressed
                        );
                    }
                });
            }
            Err(error) => {
                if let Some(suppressed) = accept_errors.admit(Instant::now()) {
                    warn!(log, "cannot accept a connection from another node; retrying"; "error" => %error, "suppressed" => suppressed);
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Keeps a link to another coordinator open, and reconnects whenever it fails.
async fn keep_connected(links: Links, address: SocketAddr) {
    let inbound = links.node.borrow_mut().inbound_notify(address);
    loop {
        // Links fail whenever another node restarts, so the error is not logged and the link is
        // opened again.
        let _ = run_peer_link(&links, address).await;
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_DELAY) => {}
            // The peer has connected to this coordinator, so it is listening by now.
            () = inbound.notified() => {}
        }
    }
}

/// Connects to another coordinator and runs the link until it fails.
async fn run_peer_link(links: &Links, address: SocketAddr) -> Result<()> {
    let node = &links.node;
    let (mut receiver, mut sender) =
        link::connect::<FromCoordinator, ToCoordinator>(address, CONNECT_TIMEOUT).await?;
    let coordinator = Some(node.borrow().own_address());
    sender
        .send(&ToCoordinator::Hello(Hello {
            protocol: PROTOCOL_VERSION,
            coordinator,
        }))
        .await?;
    let (queue, mut outgoing) = mpsc::unbounded_channel();
    node.borrow_mut().link_established(address, queue);
    let mut idle = Box::pin(tokio::time::sleep(IDLE_TIMEOUT));
    loop {
        tokio::select! {
            frame = receiver.next() => {
                let Some(frame) = frame? else { bail!("{address} closed the link") };
                idle.as_mut().reset(tokio::time::Instant::now() + IDLE_TIMEOUT);
                let known = node.borrow_mut().receive_peer_frame(frame);
                links.connect(&known);
            }
            Some(frame) = outgoing.recv() => sender.send(&frame).await?,
            () = &mut idle => bail!("{address} sent nothing for {IDLE_TIMEOUT:?}"),
        }
    }
}

/// Serves a subscriber until its link fails.
async fn serve_subscriber(links: &Links, stream: TcpStream) -> Result<(), SubscriberError> {
    let node = &links.node;
    let (mut receiver, mut sender) =
        link::split::<ToCoordinator, FromCoordinator>(stream).map_err(link::Error::from)?;
    // The subscriber's first frame says which kind of node it is.
    let Some(ToCoordinator::Hello(hello)) = receiver.next().await? else {
        return Err(SubscriberError::NoHello);
    };
    if hello.protocol != PROTOCOL_VERSION {
        return Err(SubscriberError::UnsupportedProtocol(hello.protocol));
    }
    let kind = match hello.coordinator {
        Some(_) => SubscriberKind::Coordinator,
        None => SubscriberKind::Agent,
    };
    let (queue, mut outgoing) = mpsc::unbounded_channel();
    let id = node.borrow_mut().subscribe(queue, kind);
    links.connect(hello.coordinator.as_slice());
    if let Some(coordinator) = hello.coordinator {
        node.borrow_mut().inbound_notify(coordinator).notify_one();
    }
    let result = link::exchange(&mut receiver, &mut sender, &mut outgoing, |frame| {
        node.borrow_mut().receive_subscriber_frame(frame);
    })
    .await;
    node.borrow_mut().unsubscribe(id);
    Ok(result?)
}
