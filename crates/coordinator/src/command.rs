//! Commands that the HTTP API submits to the node, each with the channel for its outcome.

use ironmast_schema::registration::Heartbeat;
use tokio::sync::oneshot;

use crate::caller::Caller;
use crate::outcome::{ChangeOutcome, ReadOutcome, RegistrationOutcome, ResolveOutcome};
use crate::resolve::Query;
use crate::value::{ConfigurationDocument, ZoneState};

/// A request of an HTTP client.
#[derive(Debug)]
pub(crate) enum Command {
    /// A server reports its state.
    Heartbeat {
        /// The server's identifier.
        id: String,
        /// The report.
        heartbeat: Heartbeat,
        /// Receives the outcome.
        reply: oneshot::Sender<RegistrationOutcome>,
    },
    /// A server deregisters.
    Deregister {
        /// The server's identifier.
        id: String,
        /// Receives the outcome.
        reply: oneshot::Sender<RegistrationOutcome>,
    },
    /// The operator replaces the configuration.
    Configure {
        /// The new configuration, already validated.
        document: ConfigurationDocument,
        /// Generation of the configuration that the document replaces; 0 if there is none.
        base: u64,
        /// Receives the outcome.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// The operator reads the configuration in force.
    ReadConfiguration {
        /// Receives the outcome.
        reply: oneshot::Sender<ReadOutcome>,
    },
    /// The operator evacuates a zone, or ends its evacuation.
    SetZoneState {
        /// Name of the zone.
        zone: String,
        /// The new state of the zone.
        state: ZoneState,
        /// The order is dropped once its caller no longer waits.
        caller: Caller,
        /// Receives the outcome.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// A client looks up the gates that it may connect to.
    Resolve {
        /// The client's host name, region and zone.
        query: Query,
        /// Receives the outcome.
        reply: oneshot::Sender<ResolveOutcome>,
    },
}
