//! The control plane's frames between coordinators, agents and gates. The frames distribute
//! versioned state by key: for each key the highest version wins, whichever node sends it.
//!
//! Frames are encoded with postcard, which is positional: names of fields and variants may change,
//! but their order may not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::registration::Heartbeat;

/// The version of the frame format; both ends of a connection must agree on it.
pub const PROTOCOL_VERSION: u16 = 2;

/// Identifies one entry of the distributed state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// The configuration and the evacuated zones, as stored in the coordinators' register.
    Control,
    /// One incarnation of a server.
    Instance(String),
    /// One gate, identified by its frontend address.
    Gate(SocketAddr),
}

/// The value stored under a key; its variant matches the variant of the key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The value of [`Key::Control`].
    Control(ControlState),
    /// The value of [`Key::Instance`].
    Instance(InstanceRecord),
    /// The value of [`Key::Gate`].
    Gate(GateRecord),
}

/// One versioned entry of the distributed state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key under which the entry is stored.
    pub key: Key,
    /// Version of the value; increases with each change.
    pub version: u64,
    /// The value at this version.
    pub value: Value,
}

/// The state that operators set: configuration and evacuated zones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration in force; `None` before the first one is set.
    pub configuration: Option<Configuration>,
    /// Zones that receive no traffic.
    pub evacuated: Vec<String>,
}

/// The latest known state of one incarnation of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The last heartbeat that the server sent.
    pub heartbeat: Heartbeat,
    /// Whether the server is still alive.
    pub liveness: Liveness,
}

/// Whether an incarnation of a server is alive, as the coordinators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// Heartbeats of the server arrive.
    Alive,
    /// No coordinator has received a heartbeat from it within the expiry timeout.
    Unreachable,
    /// The server has deregistered itself; this is final for the incarnation.
    Deregistered,
}

/// The latest known state of a gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateRecord {
    /// The zone that the gate runs in.
    pub zone: String,
    /// The region that the gate runs in.
    pub region: String,
    /// Whether the gate accepts new clients; if it is down, whether it did in its last status
    /// update.
    pub ready: bool,
    /// Whether the gate is down: its status updates have stopped.
    pub down: bool,
}

/// Whether a gate serves, and if it is down, whether it had announced its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateStatus {
    /// The gate accepts new clients.
    Ready,
    /// The gate is up but accepts no new clients: it is starting, or finishing its last requests.
    NotReady,
    /// The gate is down after it had stopped accepting clients: a graceful shutdown.
    Stopped,
    /// The gate is down without having announced it: a crash or a lost connection.
    Lost,
}

impl GateRecord {
    /// Derives the gate's status from the record's flags.
    #[must_use]
    pub fn status(&self) -> GateStatus {
        match (self.down, self.ready) {
            (false, true) => GateStatus::Ready,
            (false, false) => GateStatus::NotReady,
            (true, false) => GateStatus::Stopped,
            (true, true) => GateStatus::Lost,
        }
    }
}

/// A report that a coordinator has received a heartbeat or status update of an endpoint. It is sent
/// instead of the endpoint's entry if the entry has not changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Key of the endpoint: a server's incarnation or a gate.
    pub key: Key,
    /// The sequence number of the heartbeat (instances) or the version of the update (gates).
    pub sequence: u64,
}

/// A frame from an agent or a coordinator to a coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToCoordinator {
    /// The first frame of a connection: identifies the sender.
    Hello(Hello),
    /// Entries that are new or have changed.
    Entries(Vec<Entry>),
    /// An encoded message of the register protocol, for the receiver's replica.
    Register(Vec<u8>),
    /// No longer sent; kept so that the other variants keep their numbers on the wire. Observed
    /// endpoints are reported by [`FromCoordinator::KeepAlive`].
    KeepAlive(Vec<Observation>),
    /// Sent by a coordinator when its ability to read the newest configuration changes, and at the
    /// start of a link if it cannot read that configuration.
    Readability(Readability),
}

/// Whether the program version of a coordinator can read the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readability {
    /// The address at which other coordinators reach this coordinator.
    pub coordinator: SocketAddr,
    /// Generation of the newest configuration if this coordinator cannot read it; `None` if it can.
    pub unreadable_generation: Option<u64>,
}

/// A frame from a coordinator to the agent or coordinator that connected to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromCoordinator {
    /// Sent periodically: reports that the sender is alive, with what it knows of other nodes.
    KeepAlive {
        /// The coordinators that the sender knows.
        coordinators: Vec<SocketAddr>,
        /// The endpoints that the sender has received heartbeats or updates of since its last such
        /// frame; empty unless the receiver is a coordinator.
        observed: Vec<Observation>,
        /// Whether the sender is in contact with a majority of the register's replicas and holds
        /// their newest state.
        in_contact: bool,
    },
}

/// Identifies the node that opened a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The [`PROTOCOL_VERSION`] that the sender speaks.
    pub protocol: u16,
    /// The address at which other coordinators reach the sender, if it is a coordinator.
    pub coordinator: Option<SocketAddr>,
}

/// A frame from an agent to a gate on the same machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToGate {
    /// Entries that are new or have changed; the first frame of a connection holds all entries. A
    /// frame without entries is a keep-alive: the agent runs, and passes on all changes.
    Entries(Vec<Entry>),
}

/// A frame from a gate to the agent on the same machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromGate {
    /// The gate's address and readiness.
    Status {
        /// The frontend address, where clients connect.
        frontend: SocketAddr,
        /// Whether the gate accepts new clients.
        ready: bool,
    },
}

#[cfg(test)]
mod tests;
