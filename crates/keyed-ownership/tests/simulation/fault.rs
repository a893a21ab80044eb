//! The kinds of faults, and the gates that they affect.

use super::Micros;

/// The gates that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    /// The owner of a key by the newest view.
    Owner { key: usize },
    /// The gate with this index.
    Gate(usize),
    /// All gates.
    All,
}

/// A fault and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The target is killed, and started again after `duration`.
    Kill {
        target: FaultTarget,
        duration: Micros,
    },
    /// The target is paused for `duration`; messages to it are delivered afterwards.
    Pause {
        target: FaultTarget,
        duration: Micros,
    },
    /// Messages from the target to gates and acceptors are lost for `duration`.
    OutboundPartition {
        target: FaultTarget,
        duration: Micros,
    },
    /// Messages from gates and acceptors to the target are lost for `duration`.
    InboundPartition {
        target: FaultTarget,
        duration: Micros,
    },
    /// The target, one acceptor and each other gate with a probability of `percent` form one side
    /// of a network partition for `duration`.
    Partition {
        target: FaultTarget,
        duration: Micros,
        percent: u32,
    },
}

impl Fault {
    /// The target and how long the fault lasts.
    pub(crate) fn scope(&self) -> (FaultTarget, Micros) {
        match *self {
            Self::Kill { target, duration }
            | Self::Pause { target, duration }
            | Self::OutboundPartition { target, duration }
            | Self::InboundPartition { target, duration }
            | Self::Partition {
                target, duration, ..
            } => (target, duration),
        }
    }
}
