//! The link to a coordinator, over which the gate's status is reported. Updates arrive over the
//! relay tree instead.
//!
//! A coordinator that is out of contact with the majority reports nothing to the others, so that
//! the gate would look lost to them. The agent therefore moves to a coordinator that is in contact.
//! Where there is none, any link is better than none: the agent keeps its link while it searches
//! for a better one with growing backoff.

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

/// A link on which nothing is received for this long has failed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which the gate's status is renewed: three times within the coordinators' timeout.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// Keeps a link to the nearest coordinator that is in contact with the majority, or else to the
/// nearest.
pub(crate) async fn run(state: SharedState) {
    let mut next: Option<CoordinatorConnection> = None;
    loop {
        if next.is_none() {
            let coordinators = state.borrow().coordinators().clone();
            next = connect_nearest(&state, coordinators).await;
        }
        if let Some(connection) = next.take() {
            // After an error, whatever it was, the nearest coordinator is searched for again.
            next = serve(&state, connection).await.ok();
        }
        if next.is_none() {
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }
}

/// Serves a link until it fails, or until a better connection is found, which is returned.
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
                let Some(frame) = frame? else { bail!("{address} closed the connection") };
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
            () = &mut idle_timeout => bail!("{address} has sent nothing for {IDLE_TIMEOUT:?}"),
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
