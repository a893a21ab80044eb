//! The simulated servers and their heartbeats.

use std::time::Duration;

use ironmast_schema::control::Key;
use ironmast_schema::registration::{Heartbeat, InstanceState};

/// The phase of a server's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Ready,
    Draining,
    Deregistered,
    Crashed,
}

/// A server that sends heartbeats.
pub(super) struct Server {
    pub(super) phase: Phase,
    pub(super) sequence: u64,
    /// Time of the next heartbeat.
    pub(super) next_heartbeat_at: Duration,
    /// Index of the coordinator that receives the heartbeats.
    pub(super) coordinator: usize,
    /// Time at which the server next drains, deregisters or crashes.
    pub(super) transition_at: Duration,
}

/// The heartbeat that a server sends now.
pub(super) fn heartbeat(server: &Server) -> Heartbeat {
    Heartbeat {
        backend: "app".to_string(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "north-a".to_string(),
        generation: "v1".to_string(),
        capacity: 8,
        state: if server.phase == Phase::Draining {
            InstanceState::Draining
        } else {
            InstanceState::Ready
        },
        warmup_left_ms: 0.0,
        sequence: server.sequence,
        remaining_ms: None,
    }
}

/// The instance identifier of a server.
pub(super) fn instance_id(server: usize) -> String {
    format!("i-{server}")
}

/// The index of the server that a key identifies.
pub(super) fn server_index(key: &Key) -> usize {
    match key {
        Key::Instance(id) => id[2..].parse().expect("a number"),
        other => panic!("not an instance: {other:?}"),
    }
}
