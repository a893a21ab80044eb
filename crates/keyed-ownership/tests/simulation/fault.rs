//! The kinds of faults, and the gates that they affect.

use super::Micros;

/// The gates that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    /// The owner of a key by the newest view.
    Owner { key: usize },
    /// This gate.
    Gate(usize),
    /// All gates.
    All,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Killed, and started again after `duration`.
    Kill {
        target: FaultTarget,
        duration: Micros,
    },
    /// Stopped, and continued after `duration`; its messages wait in the meantime.
    Pause {
        target: FaultTarget,
        duration: Micros,
    },
    /// What it sends to gates and acceptors is lost for `duration`.
    OutboundPartition {
        target: FaultTarget,
        duration: Micros,
    },
    /// What gates and acceptors send to it is lost for `duration`.
    InboundPartition {
        target: FaultTarget,
        duration: Micros,
    },
    /// Partitioned for `duration` from all but each other: the target, one acceptor, and each
    /// other gate with a probability of `percent`.
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
