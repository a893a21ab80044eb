//! The events of a simulation.

use ironmast_balancer::{Micros, Outcome, RequestId};

use super::ids::{AttemptId, HealthCheck, ProxyIncarnation, ServerIncarnation};
use super::operation::OperationKey;
use crate::server::JobKey;

/// A scheduled event. Servers and proxies are identified by their numbers.
pub(super) enum SimulationEvent {
    /// A client begins an operation at a proxy.
    ClientArrival { proxy: u32 },
    /// A client sends another request for its operation.
    ClientRetry(OperationKey),
    /// A client's timeout for a request ends.
    RequestDeadline(RequestId),
    /// A client closes its connection, if it has no response yet.
    ClientDisconnect(RequestId),
    /// A timer of a policy fires.
    PolicyTimer { proxy: ProxyIncarnation, token: u64 },
    /// The request of an attempt reaches its server.
    RequestAtServer(AttemptId),
    /// The outcome of an attempt reaches the proxy.
    ResponseAtProxy {
        attempt: AttemptId,
        outcome: Outcome,
    },
    /// The timeout that a policy set for an attempt ends.
    AttemptTimeout(AttemptId),
    /// A server notices that the proxy abandoned an attempt.
    CancellationAtServer {
        server: ServerIncarnation,
        job: JobKey,
    },
    /// A server must be advanced, unless that has been rescheduled for another time.
    ServerDeadline { server: u32, at: Micros },
    /// The endpoint list is updated to the state of a server.
    ListUpdate { server: u32 },
    /// A notification of list changes reaches a proxy that watches the list.
    WatchNotification(ProxyIncarnation),
    /// The response to a query of the list reaches the proxy.
    DiscoveryResponse {
        proxy: ProxyIncarnation,
        answered: bool,
    },
    /// A health check reaches its server.
    HealthCheckAtServer(HealthCheck),
    /// A health check ends at the proxy, with the number of requests at the server if it responded.
    HealthCheckResult {
        check: HealthCheck,
        in_system: Option<u32>,
    },
    /// A datagram of one proxy reaches another.
    PeerDatagram { from: u32, to: u32, data: Box<[u8]> },
    /// The idle connections of a proxy to a server are checked against the idle timeout.
    IdleConnections { proxy: u32, server: u32 },
    /// A step of a fault is due, by its index.
    FaultStep(u32),
    /// A sample of the utilization of all servers is due.
    Sample,
}
