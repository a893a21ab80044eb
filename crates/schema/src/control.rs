//! The frames between coordinators, agents and gates. What is distributed is versioned state by
//! key: the higher version of a key wins, wherever it comes from.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::registration::Heartbeat;

/// The version of these frames.
pub const PROTOCOL_VERSION: u16 = 2;

/// Names one piece of distributed state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// The configuration and the evacuated zones, as the register holds them.
    Control,
    /// One incarnation of a server.
    Instance(String),
    /// One gate, by its frontend address.
    Gate(SocketAddr),
}

/// What a key stands for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// For [`Key::Control`].
    Control(ControlState),
    /// For [`Key::Instance`].
    Instance(InstanceRecord),
    /// For [`Key::Gate`].
    Gate(GateRecord),
}

/// One piece of distributed state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// What it is of.
    pub key: Key,
    /// Rises with each change of it.
    pub version: u64,
    /// What it is.
    pub value: Value,
}

/// The operator's state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration in force.
    pub configuration: Option<Configuration>,
    /// Zones that get nothing.
    pub evacuated: Vec<String>,
}

/// The latest word about one incarnation of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// What it last said.
    pub heartbeat: Heartbeat,
    /// What is known beyond that.
    pub standing: Standing,
}

/// Whether an incarnation is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// It is heard.
    Present,
    /// No coordinator has heard it for some intervals.
    Silent,
    /// It has said that it ends.
    Gone,
}

/// What is known of a gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateRecord {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// It takes new clients; of one that has gone, whether it did when last heard.
    pub ready: bool,
    /// It has gone.
    pub gone: bool,
}

/// Whether a gate serves, and if not, whether it said so before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatePresence {
    /// It takes new clients.
    Ready,
    /// It is there and takes no new clients: it starts, or finishes its last requests.
    Unready,
    /// It has ended, and had stopped taking clients before.
    Ended,
    /// It has gone without a word.
    Lost,
}

impl GateRecord {
    /// Whether it serves, and if not, whether it said so before.
    #[must_use]
    pub fn presence(&self) -> GatePresence {
        match (self.gone, self.ready) {
            (false, true) => GatePresence::Ready,
            (false, false) => GatePresence::Unready,
            (true, false) => GatePresence::Ended,
            (true, true) => GatePresence::Lost,
        }
    }
}

/// From an agent or a coordinator to a coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToCoordinator {
    /// The first frame: who calls.
    Hello(Hello),
    /// News.
    Entries(Vec<Entry>),
    /// A message of the register, for its node.
    Register(Vec<u8>),
    /// It is still there; of what it has heard of since the last such frame, the sequence or
    /// version.
    Alive(Vec<(Key, u64)>),
}

/// From a coordinator to whoever called it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromCoordinator {
    /// It is still there.
    Alive {
        /// The coordinators that it knows.
        coordinators: Vec<SocketAddr>,
        /// Of what it has heard of since the last such frame, the sequence or version; for
        /// coordinators only.
        heard: Vec<(Key, u64)>,
        /// It is in contact with a majority of the register's replicas and holds their newest
        /// state.
        in_contact: bool,
    },
}

/// Who calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Where other coordinators reach the caller, where it is one.
    pub coordinator: Option<SocketAddr>,
}

/// From an agent to the gate beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToGate {
    /// News; the first frame on a connection holds everything.
    Entries(Vec<Entry>),
}

/// From a gate to the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromGate {
    /// Where it serves and whether it takes new clients.
    Status {
        /// Its frontend address.
        frontend: SocketAddr,
        /// It takes new clients.
        ready: bool,
    },
}

#[cfg(test)]
mod tests;
