//! Statistics of a server, for reports and for the comparison with queueing theory.

/// Totals of a server. Times are in microseconds, and integrals are over microseconds.
#[derive(Clone, Debug, Default)]
pub struct ServerStatistics {
    /// The integral of the number of cores in use.
    pub busy_core_time: f64,
    /// The integral of the number of cores while the server was up.
    pub available_core_time: f64,
    /// The integral of the number of queued requests.
    pub queued_time: f64,
    /// The integral of the number of requests in the system (queued or in a slot).
    pub in_system_time: f64,
    /// The number of jobs that entered a slot.
    pub started: u64,
    /// The sum of the times that the started jobs were queued.
    pub total_wait: f64,
    /// The number of jobs that finished.
    pub finished: u64,
    /// The sum of the times that the finished jobs were at the server (sojourn times).
    pub total_sojourn: f64,
    /// The time during which at least 1, 2, ... 16 requests were in the system. Zero unless the
    /// simulation was told to record it.
    pub time_with_at_least: [f64; 16],
    /// The maximum number of requests in the system.
    pub max_in_system: u32,
}

/// Whether a server records how long at least 1, 2, ... requests were in its system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OccupancyDistribution {
    Skip,
    Record,
}

/// The state of a server during a period in which nothing changes.
#[derive(Clone, Copy)]
pub(super) struct Occupancy {
    /// The number of cores.
    pub(super) cores: f64,
    /// The number of queued requests.
    pub(super) queued: usize,
    /// The number of requests in slots.
    pub(super) in_slots: usize,
}

impl Occupancy {
    /// The number of requests queued or in a slot.
    pub(super) fn in_system(self) -> usize {
        self.queued + self.in_slots
    }
}

impl ServerStatistics {
    /// Adds a period of `elapsed` microseconds during which the server was up.
    pub(super) fn add_period(
        &mut self,
        elapsed: f64,
        occupancy: Occupancy,
        distribution: OccupancyDistribution,
    ) {
        let Occupancy {
            cores,
            queued,
            in_slots,
        } = occupancy;
        let in_system = occupancy.in_system();
        self.available_core_time += cores * elapsed;
        self.busy_core_time += (in_slots as f64).min(cores) * elapsed;
        self.queued_time += queued as f64 * elapsed;
        self.in_system_time += in_system as f64 * elapsed;
        if distribution == OccupancyDistribution::Record {
            for time in self.time_with_at_least.iter_mut().take(in_system) {
                *time += elapsed;
            }
        }
    }
}
