//! Connects to the nearest coordinator, preferring those that are in contact with the majority.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use eyre::{Result, WrapErr as _, bail};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use ironmast_schema::control::{FromCoordinator, Hello, PROTOCOL_VERSION, ToCoordinator};
use ironmast_transport::link;

use crate::state::SharedState;

/// Timeout for connecting, and for the coordinator's first frame after that. If only coordinators out
/// of contact have answered by then, the first of them is chosen.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection to a coordinator whose first frame has arrived.
pub(crate) struct CoordinatorConnection {
    /// Address of the coordinator.
    pub(crate) address: SocketAddr,
    pub(crate) receiver: link::Receiver<FromCoordinator>,
    pub(crate) sender: link::Sender<ToCoordinator>,
    /// Whether the coordinator's first frame says that it is in contact with the majority.
    pub(crate) in_contact: bool,
}

/// Connects to all of these coordinators and returns the connection whose first frame arrives first,
/// as that coordinator is the nearest. One that is out of contact with the majority is returned only
/// if none in contact answers in time. Returns `None` if no coordinator can be reached.
pub(crate) async fn connect_nearest(
    state: &SharedState,
    coordinators: BTreeSet<SocketAddr>,
) -> Option<CoordinatorConnection> {
    let mut attempts: FuturesUnordered<_> = coordinators
        .into_iter()
        .map(|address| connect(state, address))
        .collect();
    let mut timeout = pin!(tokio::time::sleep(CONNECT_TIMEOUT));
    let mut fallback = None;
    loop {
        tokio::select! {
            attempt = attempts.next() => match attempt {
                Some(Ok(connection)) if connection.in_contact => return Some(connection),
                Some(Ok(connection)) => {
                    fallback.get_or_insert(connection);
                }
                // The attempts to connect to other coordinators continue.
                Some(Err(_)) => {}
                None => return fallback,
            },
            () = &mut timeout, if fallback.is_some() => return fallback,
        }
    }
}

/// Connects to a coordinator and waits for its first frame.
///
/// # Errors
/// The connection fails or times out, or no valid first frame arrives in time.
async fn connect(state: &SharedState, address: SocketAddr) -> Result<CoordinatorConnection> {
    let (mut receiver, mut sender) =
        link::connect::<FromCoordinator, ToCoordinator>(address, CONNECT_TIMEOUT).await?;
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        coordinator: None,
    };
    sender.send(&ToCoordinator::Hello(hello)).await?;
    let first_frame = tokio::time::timeout(CONNECT_TIMEOUT, receiver.next())
        .await
        .wrap_err_with(|| {
            format!("coordinator {address} sent no first frame within {CONNECT_TIMEOUT:?}")
        })??;
    let Some(FromCoordinator::KeepAlive {
        coordinators,
        in_contact,
        ..
    }) = first_frame
    else {
        bail!("coordinator {address} closed the connection before its first frame")
    };
    state.borrow_mut().add_coordinators(&coordinators);
    Ok(CoordinatorConnection {
        address,
        receiver,
        sender,
        in_contact,
    })
}
