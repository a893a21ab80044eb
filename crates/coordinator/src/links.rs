//! Links to other coordinators, and from agents and other coordinators to this one.

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

/// A coordinator that can't be reached is tried again after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// A connection must come up within this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A link that says nothing for this long has failed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

type Shared = Rc<RefCell<CoordinatorNode>>;

/// Listens for agents and coordinators and calls the seeds.
///
/// # Errors
/// The address that can't be listened at.
pub(crate) async fn start(state: &Shared, own: SocketAddr, seeds: Vec<SocketAddr>) -> Result<()> {
    let listener = TcpListener::bind(own)
        .await
        .wrap_err_with(|| format!("listening at {own}"))?;
    let shared = Rc::clone(state);
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Rc::clone(&shared);
                    actix_rt::spawn(async move { drop(accepted(shared, stream).await) });
                }
                Err(_) => tokio::time::sleep(RECONNECT_DELAY).await,
            }
        }
    });
    add(state, &seeds);
    Ok(())
}

/// Calls coordinators that weren't known.
pub(crate) fn add(state: &Shared, coordinators: &[SocketAddr]) {
    for address in coordinators {
        let is_new = state.borrow_mut().add_peer(*address);
        if is_new {
            actix_rt::spawn(keep_calling(Rc::clone(state), *address));
        }
    }
}

async fn keep_calling(state: Shared, address: SocketAddr) {
    let present = state.borrow_mut().inbound_notify(address);
    loop {
        let _ = call(&state, address).await;
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_DELAY) => {}
            // It has called here: it listens by now.
            () = present.notified() => {}
        }
    }
}

/// Subscribes to another coordinator until the link fails.
async fn call(state: &Shared, address: SocketAddr) -> Result<()> {
    let (mut receiver, mut sender) =
        link::connect::<FromCoordinator, ToCoordinator>(address, CONNECT_TIMEOUT).await?;
    let coordinator = Some(state.borrow().own);
    sender
        .send(&ToCoordinator::Hello(Hello {
            protocol: PROTOCOL_VERSION,
            coordinator,
        }))
        .await?;
    let (to, mut queue) = mpsc::unbounded_channel();
    state.borrow_mut().link_established(address, to);
    let mut silence = Box::pin(tokio::time::sleep(IDLE_TIMEOUT));
    loop {
        tokio::select! {
            frame = receiver.next() => {
                let Some(frame) = frame? else { bail!("{address} closed the link") };
                silence.as_mut().reset(tokio::time::Instant::now() + IDLE_TIMEOUT);
                let known = state.borrow_mut().take_coordinator_frame(frame);
                add(state, &known);
            }
            Some(frame) = queue.recv() => sender.send(&frame).await?,
            () = &mut silence => bail!("{address} says nothing"),
        }
    }
}

/// Serves one subscriber until its link fails.
async fn accepted(state: Shared, stream: TcpStream) -> Result<()> {
    let (mut receiver, mut sender) = link::split::<ToCoordinator, FromCoordinator>(stream)?;
    let Some(ToCoordinator::Hello(hello)) = receiver.next().await? else {
        bail!("no hello")
    };
    if hello.protocol != PROTOCOL_VERSION {
        bail!("another version of the protocol: {}", hello.protocol);
    }
    let (to, mut queue) = mpsc::unbounded_channel();
    let number = state
        .borrow_mut()
        .subscribe(to, hello.coordinator.is_some());
    add(&state, hello.coordinator.as_slice());
    if let Some(coordinator) = hello.coordinator {
        state.borrow_mut().inbound_notify(coordinator).notify_one();
    }
    let outcome: Result<()> = async {
        loop {
            tokio::select! {
                frame = queue.recv() => match frame {
                    Some(frame) => sender.send(&frame).await?,
                    None => return Ok(()),
                },
                frame = receiver.next() => match frame? {
                    Some(frame) => state.borrow_mut().take_subscriber_frame(frame),
                    None => return Ok(()),
                },
            }
        }
    }
    .await;
    state.borrow_mut().unsubscribe(number);
    outcome
}
