//! The faults that a run of the simulation may have.

use std::time::Duration;

/// The faults of a run.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    pub members: usize,
    pub spares: usize,
    pub length: Duration,
    /// Percent of the faults that empty or replace a disk.
    pub disk_loss_percent: u64,
    /// Largest percentage of messages lost.
    pub max_message_loss_percent: u64,
    /// Longest fault, in milliseconds.
    pub max_fault_ms: u64,
    /// Longest time between faults that may overlap, in milliseconds.
    pub max_gap_ms: u64,
    /// Percent of emptied machines whose settings still say that the whole system starts for the
    /// first time.
    pub stale_bootstrap_percent: u64,
}

impl FaultPlan {
    /// A run of that many members with faults of up to two seconds.
    pub(crate) fn ordinary(members: usize) -> Self {
        let length = Duration::from_secs(16);
        Self {
            members,
            spares: 4,
            length,
            disk_loss_percent: 30,
            max_message_loss_percent: 12,
            max_fault_ms: 2_000,
            max_gap_ms: 900,
            stale_bootstrap_percent: 0,
        }
    }

    /// A run of short faults in quick succession, on a lossy network.
    pub(crate) fn short_faults(members: usize) -> Self {
        let length = Duration::from_secs(10);
        Self {
            members,
            spares: 4,
            length,
            disk_loss_percent: 5,
            max_message_loss_percent: 45,
            max_fault_ms: 120,
            max_gap_ms: 60,
            stale_bootstrap_percent: 0,
        }
    }

    /// A run in which mostly disks are lost, on a lossy network.
    pub(crate) fn disk_losses(members: usize) -> Self {
        Self {
            disk_loss_percent: 90,
            max_message_loss_percent: 20,
            max_fault_ms: 700,
            ..Self::ordinary(members)
        }
    }

    /// As [`disk_losses`](Self::disk_losses), but machines with emptied disks start as if for the
    /// first time.
    pub(crate) fn stale_bootstrap(members: usize) -> Self {
        Self {
            stale_bootstrap_percent: 100,
            ..Self::disk_losses(members)
        }
    }

    /// The run on a network that loses up to that percentage of messages.
    pub(crate) fn with_message_loss(self, percent: u64) -> Self {
        Self {
            max_message_loss_percent: percent,
            ..self
        }
    }
}
