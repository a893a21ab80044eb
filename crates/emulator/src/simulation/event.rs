//! The events of a simulation.

use ironmast_balancer::{Micros, Outcome};
use slotmap::DefaultKey;

use crate::server::JobKey;

/// An event that is scheduled.
pub(super) enum SimulationEvent {
    ClientArrival(u32),
    ClientRetry(DefaultKey),
    RequestDeadline(u64),
    ClientDisconnect(u64),
    PolicyTimer {
        proxy: u32,
        incarnation: u32,
        token: u64,
    },
    RequestAtServer {
        request: u64,
        n: u8,
    },
    ResponseAtProxy {
        request: u64,
        n: u8,
        outcome: Outcome,
    },
    AttemptTimeout {
        request: u64,
        n: u8,
    },
    CancellationAtServer {
        server: u32,
        incarnation: u32,
        job: JobKey,
    },
    ServerDeadline {
        server: u32,
        at: Micros,
    },
    ListUpdate(u32),
    WatchNotification {
        proxy: u32,
        incarnation: u32,
    },
    DiscoveryResponse {
        proxy: u32,
        incarnation: u32,
        ok: bool,
    },
    HealthCheckAtServer {
        proxy: u32,
        incarnation: u32,
        server: u32,
        sent: Micros,
    },
    HealthCheckResult {
        proxy: u32,
        incarnation: u32,
        server: u32,
        sent: Micros,
        held: Option<u32>,
    },
    PeerDatagram {
        from: u32,
        to: u32,
        data: Box<[u8]>,
    },
    IdleConnections {
        proxy: u32,
        server: u32,
    },
    FaultStep(u32),
    Sample,
}
