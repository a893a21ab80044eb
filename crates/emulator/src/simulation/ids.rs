//! Identifiers of attempts, process runs, health checks and messages.

use ironmast_balancer::{Micros, RequestId};

/// The identifier of an attempt at a request.
#[derive(Clone, Copy)]
pub(super) struct AttemptId {
    /// The request.
    pub(super) request: RequestId,
    /// The index of the attempt, from 0.
    pub(super) index: u8,
}

/// One run of a proxy's process. Events for an earlier run are dropped.
#[derive(Clone, Copy)]
pub(super) struct ProxyIncarnation {
    /// The proxy's number.
    pub(super) proxy: u32,
    /// The incarnation number: how many times the process had stopped before this run.
    pub(super) incarnation: u32,
}

/// One run of a server's process. Events for an earlier run are dropped.
#[derive(Clone, Copy)]
pub(super) struct ServerIncarnation {
    /// The server's number.
    pub(super) server: u32,
    /// The incarnation number: how many times the process had stopped before this run.
    pub(super) incarnation: u32,
}

/// A health check of a server by a proxy.
#[derive(Clone, Copy)]
pub(super) struct HealthCheck {
    /// The proxy that sent it.
    pub(super) proxy: ProxyIncarnation,
    /// The server's number.
    pub(super) server: u32,
    /// When the health check was sent.
    pub(super) sent: Micros,
}

/// The messages of an attempt, each with its own delay. The values are part of the hashes from
/// which the delays are drawn.
#[derive(Clone, Copy)]
pub(super) enum AttemptMessage {
    /// The request.
    Request = 0,
    /// The request to open a connection.
    Connect = 1,
    /// The confirmation of a new connection.
    ConnectConfirmed = 2,
    /// The immediate answer to a request that the server does not accept.
    NotAccepted = 3,
    /// The end of the connection of an attempt that the proxy abandoned.
    Cancellation = 4,
    /// The response of a job that ended.
    Response = 5,
    /// The reset of a connection by a server that stops.
    Reset = 6,
}
