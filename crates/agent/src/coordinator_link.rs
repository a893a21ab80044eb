//! The link to a coordinator, over which the agent reports the gate's status. Entries of the control
//! plane don't arrive over this link but over the relay tree.
//!
//! A coordinator that is out of contact with the majority passes no status on, so that the other
//! coordinators would consider the gate lost. The agent therefore moves to a coordinator that is in
//! contact. If there is none, the agent keeps its link, as any link is better than none, and searches
//! for a better one with exponential backoff.

use std::time::Duration;

use eyre::{Result, bail};
use ironmast_schema::control::{Entry, FromCoordinator, ToCoordinator};
use ironmast_transport::link;
use tokio::time::Instant;

use crate::coordinator_connection::{CoordinatorConnection, connect_nearest};
use crate::coordinator_search::CoordinatorSearch;
use crate::state::SharedState;

#[cfg(test)]
mod tests;

/// Delay before a failed link is reconnected.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Time without a frame from the coordinator after which a link is considered failed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which the gate's status is renewed: three times within the time after which
/// coordinators direct no new clients to a gate without a report.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// Maintains a link to the nearest coordinator that is in contact with the majority, or to the nearest
/// one of all if none is in contact. Never completes.
pub(crate) async fn run(state: SharedState) {
    let mut next: Option<CoordinatorConnection> = None;
    loop {
        if next.is_none() {
            let coordinators = state.borrow().coordinators().clone();
            next = connect_nearest(&state, coordinators).await;
        }
        if let Some(connection) = next.take() {
            // The error is not logged: whatever it was, the agent connects again to the nearest
            // coordinator.
            next = serve(&state, connection).await.ok();
        }
        if next.is_none() {
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }
}

/// Serves a link until a better connection is found, and returns that.
///
/// # Errors
/// The link fails: the connection breaks or is closed, or nothing arrives for [`IDLE_TIMEOUT`].
async fn serve(
    state: &SharedState,
    connection: CoordinatorConnection,
) -> Result<CoordinatorConnection> {
    let CoordinatorConnection {
        address,
        mut receiver,
        mut sender,
        in_contact,
    } = connection;
    let mut search = CoordinatorSearch::new(state, address);
    if !in_contact {
        search.start_attempt();
    }
    let mut status = state.borrow().gate_reporter.subscribe();
    status.mark_changed();
    let mut renewal = tokio::time::interval(STATUS_INTERVAL);
    let mut idle_timeout = Box::pin(tokio::time::sleep(IDLE_TIMEOUT));
    loop {
        tokio::select! {
            frame = receiver.next() => {
                let Some(frame) = frame? else { bail!("coordinator {address} closed the connection") };
                idle_timeout.as_mut().reset(Instant::now() + IDLE_TIMEOUT);
                let FromCoordinator::KeepAlive { coordinators, in_contact, .. } = frame;
                state.borrow_mut().add_coordinators(&coordinators);
                if in_contact { search.stop() } else { search.start_attempt() }
            }
            better = search.found() => return Ok(better),
            _ = status.changed() => {
                let latest = status.borrow_and_update().clone();
                send_status(&mut sender, latest).await?;
            }
            _ = renewal.tick() => {
                let renewed = state.borrow_mut().gate_reporter.renew();
                send_status(&mut sender, renewed).await?;
                state.borrow_mut().entries.drop_deregistered();
            }
            () = &mut idle_timeout => bail!("coordinator {address} has sent nothing for {IDLE_TIMEOUT:?}"),
        }
    }
}

/// Sends the status of the gate, if there is one.
async fn send_status(
    sender: &mut link::Sender<ToCoordinator>,
    status: Option<Entry>,
) -> Result<()> {
    if let Some(entry) = status {
        sender.send(&ToCoordinator::Entries(vec![entry])).await?;
    }
    Ok(())
}
