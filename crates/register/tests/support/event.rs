//! Events of the simulation, which are scheduled in simulated time.

use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::{Message, OperationId, PersistToken};

use super::host::Host;
use super::value::{Change, Value};

/// A scheduled event of the simulation.
pub(super) enum SimulatedEvent {
    MessageArrives {
        to: SocketAddr,
        message: Message<Value>,
    },
    WriteCompletes {
        host: usize,
        incarnation: u64,
        token: PersistToken,
    },
    TimerFires {
        host: usize,
        incarnation: u64,
        at: Duration,
    },
    OperationSubmitted {
        host: usize,
        incarnation: u64,
        id: OperationId,
        change: Option<Change>,
        limit: Duration,
    },
}

impl SimulatedEvent {
    /// Returns the host whose process handles the event; `None` if no host has the address.
    pub(super) fn host(&self, hosts: &[Host]) -> Option<usize> {
        match self {
            SimulatedEvent::MessageArrives { to, .. } => {
                hosts.iter().position(|host| host.address == *to)
            }
            SimulatedEvent::WriteCompletes { host, .. }
            | SimulatedEvent::TimerFires { host, .. }
            | SimulatedEvent::OperationSubmitted { host, .. } => Some(*host),
        }
    }
}
