//! Links between nodes: connections to the other coordinators, and connections of agents and other
//! coordinators to this one.
//!
//! This module owns the sockets, the reconnect delay and the timeouts. The frames are handled by
//! [`CoordinatorNode`].
//!
//! A link that fails is not logged: links fail whenever another node restarts. What operators need to
//! know is the loss of contact with the majority of the replica set, which [`CoordinatorNode`] logs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr as _, bail};
use ironmast_schema::control::{FromCoordinator, Hello, PROTOCOL_VERSION, ToCoordinator};
use ironmast_transport::link;
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
pub(crate) async fn start(node: &SharedNode, seeds: &[SocketAddr]) -> Result<()> {
    let own = node.borrow().own_address();
    let listener = TcpListener::bind(own)
        .await
        .wrap_err_with(|| format!("listening at {own}"))?;
    actix_rt::spawn(accept(Rc::clone(node), listener));
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

/// Accepts subscribers.
async fn accept(node: SharedNode, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                // Links fail whenever another node restarts; the node has unsubscribed it by then.
                actix_rt::spawn(async move { drop(serve_subscriber(node, stream).await) });
            }
            Err(_) => tokio::time::sleep(RECONNECT_DELAY).await,
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
async fn serve_subscriber(node: SharedNode, stream: TcpStream) -> Result<()> {
    let (mut receiver, mut sender) = link::split::<ToCoordinator, FromCoordinator>(stream)?;
    // The subscriber's first frame says which kind of node it is.
    let Some(ToCoordinator::Hello(hello)) = receiver.next().await? else {
        bail!("the first frame is no hello")
    };
    if hello.protocol != PROTOCOL_VERSION {
        bail!("unsupported protocol version {}", hello.protocol);
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
