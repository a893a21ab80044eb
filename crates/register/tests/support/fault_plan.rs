//! Kinds, frequency and duration of the faults in a simulated run.

use std::time::Duration;

/// Faults of a run, and the size and length of the run.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    pub members: usize,
    pub spares: usize,
    pub length: Duration,
    /// Percentage of the faults that wipe or replace a disk.
    pub disk_loss_percent: u64,
    /// Upper bound of the percentage of messages lost.
    pub max_message_loss_percent: u64,
    /// Maximum duration of a fault, in milliseconds.
    pub max_fault_ms: u64,
    /// Maximum time between the starts of faults that may overlap, in milliseconds.
    pub max_gap_ms: u64,
    /// Percentage of hosts with a wiped disk whose settings still say that the whole system starts
    /// for the first time.
    pub stale_bootstrap_percent: u64,
}

impl FaultPlan {
    /// Faults of up to two seconds.
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

    /// Short faults in quick succession, on a lossy network.
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

    /// Faults most of which are disk losses, on a lossy network.
    pub(crate) fn disk_losses(members: usize) -> Self {
        Self {
            disk_loss_percent: 90,
            max_message_loss_percent: 20,
            max_fault_ms: 700,
            ..Self::ordinary(members)
        }
    }

    /// As [`disk_losses`](Self::disk_losses), but hosts with wiped disks start as if for the first
    /// time.
    pub(crate) fn stale_bootstrap(members: usize) -> Self {
        Self {
            stale_bootstrap_percent: 100,
            ..Self::disk_losses(members)
        }
    }

    /// Returns the plan for a network that loses less than `percent` percent of the messages.
    pub(crate) fn with_message_loss(self, percent: u64) -> Self {
        Self {
            max_message_loss_percent: percent,
            ..self
        }
    }
}
