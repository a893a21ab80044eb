//! Orders for zones: `POST` and `DELETE /api/evacuate/ZONE`.
//!
//! Nothing in an order tells a late copy from a new one. A caller that has heard nothing for a
//! second closes the connection and sends the order again to another coordinator, and may send a
//! newer one after that. A copy can reach this process later: because the process was suspended, or
//! because packets were lost. So an order is executed only while its caller keeps the connection
//! open: the HTTP server drops the handler when it reads the end of the stream.

use std::any::Any;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::dev::Extensions;
use actix_web::web::{Data, Path};
use tokio::time::Instant;

use super::{Commands, submit};
use crate::caller::Caller;
use crate::command::Command;
use crate::value::ZoneState;

/// Time after the start of a connection within which an order arrives unless it was delayed on the
/// way; shorter than the second after which a caller gives up by a round trip around the world.
const PROMPT_ARRIVAL: Duration = Duration::from_millis(500);
/// Time within which the end of the stream follows an order that its caller has given up. When both
/// were lost, the end is sent one round trip after the order.
const END_OF_STREAM_DELAY: Duration = Duration::from_millis(250);

/// When a connection was accepted.
struct AcceptedAt(Instant);

/// Records when a connection was accepted.
pub(super) fn record_accept(_stream: &dyn Any, connection: &mut Extensions) {
    connection.insert(AcceptedAt(Instant::now()));
}

/// Evacuates a zone.
pub(super) async fn evacuate(
    commands: Data<Commands>,
    zone: Path<String>,
    request: HttpRequest,
) -> HttpResponse {
    set_zone_state(&commands, zone, ZoneState::Evacuated, &request).await
}

/// Puts a zone back in service.
pub(super) async fn restore(
    commands: Data<Commands>,
    zone: Path<String>,
    request: HttpRequest,
) -> HttpResponse {
    set_zone_state(&commands, zone, ZoneState::InService, &request).await
}

async fn set_zone_state(
    commands: &Commands,
    zone: Path<String>,
    state: ZoneState,
    request: &HttpRequest,
) -> HttpResponse {
    let (_guard, caller) = Caller::waiting();
    let accepted_at = request.conn_data::<AcceptedAt>().map(|accepted| accepted.0);
    wait_for_end_of_stream(accepted_at).await;
    submit(commands, |reply| Command::SetZoneState {
        zone: zone.into_inner(),
        state,
        caller,
        reply,
    })
    .await
}

/// Gives the HTTP server the opportunity to read the end of the stream, which ends the handler here.
/// Waits longer for an order that may have been delayed on the way.
async fn wait_for_end_of_stream(accepted_at: Option<Instant>) {
    let is_prompt = accepted_at.is_some_and(|accepted| accepted.elapsed() < PROMPT_ARRIVAL);
    if is_prompt {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(END_OF_STREAM_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
