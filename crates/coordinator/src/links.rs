//! Links between nodes: connections to the other coordinators, and connections of agents and other
//! coordinators to this one.
//!
//! This module owns the sockets, the reconnect delay and the timeouts. The frames are handled by
//! [`CoordinatorNode`].
//!
//! A link that fails is not logged, as links fail whenever another node restarts, unless the other node
//! speaks another version of the protocol. What operators need to
//! know is the loss of contact with the majority of the replica set, which [`CoordinatorNode`] logs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr as _, bail};
use ironmast_schema::control::{FromCoordinator, Hello, PROTOCOL_VERSION, ToCoordinator};
use ironmast_transport::link;
use ironmast_transport::log_limit::LogLimit;
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
/// A link on which nothing is received for this long has failed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

type SharedNode = Rc<RefCell<CoordinatorNode>>;

/// Listens for agents and coordinators, and connects to the seeds. The tasks run until the process
/// ends.
///
/// # Errors
/// The own address cannot be bound.
pub(crate) async fn start(node: &SharedNode, seeds: &[SocketAddr], log: &Logger) -> Result<()> {
    let own = node.borrow().own_address();
    let listener = TcpListener::bind(own)
        .await
        .wrap_err_with(|| format!("listening at {own}"))?;
    actix_rt::spawn(accept(Rc::clone(node), listener, log.clone()));
    connect(node, seeds);
    Ok(())
}

/// Connects to those of the coordinators that were not known.
pub(crate) fn connect(node: &SharedNode, coordinators: &[SocketAddr]) {
    for address in coordinators {
        let is_new = node.borrow_mut().add_peer(*address);
        if is_new {
            actix_rt::spawn(keep_connected(Rc::clone(node), *address));
        }
    }
}

/// Why a subscriber's link has ended.
#[derive(Debug, Error)]
enum SubscriberError {
    /// The link failed.
    #[error(transparent)]
    Link(#[from] link::Error),
    /// The subscriber has not said which kind of node it is.
    #[error("the first frame is no hello")]
    NoHello,
    /// The subscriber speaks another version of the protocol.
    #[error("version {0} of the protocol, this coordinator speaks version {PROTOCOL_VERSION}")]
    UnsupportedProtocol(u16),
}

impl SubscriberError {
    /// Whether the subscriber runs another version of the program, so that no later link will do
    /// better.
    fn is_mismatch(&self) -> bool {
        match self {
            SubscriberError::UnsupportedProtocol(_)
            | SubscriberError::Link(link::Error::Decode { .. }) => true,
            SubscriberError::NoHello | SubscriberError::Link(_) => false,
        }
    }
}

/// Accepts subscribers.
async fn accept(node: SharedNode, listener: TcpListener, log: Logger) {
    let mut accept_errors = LogLimit::default();
    let mismatches = Rc::new(RefCell::new(LogLimit::default()));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (node, log) = (Rc::clone(&node), log.clone());
                let mismatches = Rc::clone(&mismatches);
                actix_rt::spawn(async move {
                    let Err(error) = serve_subscriber(node, stream).await else {
                        return;
                    };
                    // Other links fail whenever another node restarts; the node has unsubscribed
                    // the subscriber by then.
                    if error.is_mismatch()
                        && let Some(suppressed) = mismatches.borrow_mut().admit(Instant::now())
                    {
                        warn!(
                            log, "a node speaks another version of the protocol";
                            "peer" => %peer, "error" => %error, "suppressed" => suppressed
                        );
                    }
                });
            }
            Err(error) => {
                if let Some(suppressed) = accept_errors.admit(Instant::now()) {
                    warn!(log, "cannot accept a connection"; "error" => %error, "suppressed" => suppressed);
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Keeps a link to another coordinator.
async fn keep_connected(node: SharedNode, address: SocketAddr) {
    let inbound = node.borrow_mut().inbound_notify(address);
    loop {
        // Links fail whenever another node restarts; whatever the error, the link is opened again.
        let _ = run_peer_link(&node, address).await;
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_DELAY) => {}
            // The peer has connected to this coordinator: it is listening by now.
            () = inbound.notified() => {}
        }
    }
}

/// Connects to another coordinator and runs the link until it fails.
async fn run_peer_link(node: &SharedNode, address: SocketAddr) -> Result<()> {
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
                connect(node, &known);
            }
            Some(frame) = outgoing.recv() => sender.send(&frame).await?,
            () = &mut idle => bail!("{address} sent nothing for {IDLE_TIMEOUT:?}"),
        }
    }
}

/// Serves a subscriber until its link fails.
async fn serve_subscriber(node: SharedNode, stream: TcpStream) -> Result<(), SubscriberError> {
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
    connect(&node, hello.coordinator.as_slice());
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
