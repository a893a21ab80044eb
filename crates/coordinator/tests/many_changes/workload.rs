//! A workload: an operator submits one change after another while faults are injected.

use std::time::Duration;

use ironmast_register::Outcome;
use rand::RngExt;

use super::cluster::{Cluster, HOST_COUNT};
use super::host::WRITE_TIME;

/// Delay before a change without an outcome is submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(50);
/// Time within which a change must be acknowledged, whatever faults occur.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a host must catch up after its fault has ended.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a disk that stalls completes no write.
const DISK_STALL: Duration = Duration::from_secs(5);
/// Duration of a sync on a slow disk.
const SLOW_SYNC: Duration = Duration::from_millis(150);
/// Number of syncs in a row that fail.
const FAILING_SYNCS: u32 = 2;

/// The kinds of faults, which are injected with equal probability. Their order must not change,
/// since it determines which faults a seed injects.
const FAULT_KINDS: [FaultKind; 11] = [
    FaultKind::Kill,
    FaultKind::PowerLoss,
    FaultKind::LongOutage,
    FaultKind::RestartOfAll,
    FaultKind::DiskStall,
    FaultKind::SlowSyncs,
    FaultKind::FailingFileSyncs,
    FaultKind::FailingFolderSyncs,
    FaultKind::FullDisk,
    FaultKind::RestartOnFullDisk,
    FaultKind::Pause,
];

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Kill,
    PowerLoss,
    /// A power loss, with the host down for a fifth of the changes.
    LongOutage,
    RestartOfAll,
    DiskStall,
    SlowSyncs,
    FailingFileSyncs,
    FailingFolderSyncs,
    FullDisk,
    RestartOnFullDisk,
    Pause,
}

/// Parameters of a workload.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Total number of changes.
    pub changes: u64,
    /// Size of a configuration in bytes.
    pub body_bytes: usize,
    /// Mean number of changes from one fault to the next.
    pub changes_between_faults: u64,
    /// Percentage of the changes that are submitted again after they were acknowledged.
    pub resubmit_percent: u32,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            changes: 1_000,
            body_bytes: 300,
            changes_between_faults: 20,
            resubmit_percent: 15,
        }
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub violations: Vec<String>,
    /// Longest time from the start of a host until it held every change acknowledged before.
    pub max_catch_up_time: Duration,
    pub peak_bytes: u64,
    pub acknowledged: u64,
    pub resubmitted: u64,
    pub kills: u64,
    pub power_losses: u64,
    pub power_losses_of_all_hosts: u64,
    pub long_outages: u64,
    pub failed_writes: u64,
    pub starts_on_full_disks: u64,
    pub pauses: u64,
}

impl Report {
    pub(crate) fn add(&mut self, other: &Report) {
        self.max_catch_up_time = self.max_catch_up_time.max(other.max_catch_up_time);
        self.peak_bytes = self.peak_bytes.max(other.peak_bytes);
        self.acknowledged += other.acknowledged;
        self.resubmitted += other.resubmitted;
        self.kills += other.kills;
        self.power_losses += other.power_losses;
        self.power_losses_of_all_hosts += other.power_losses_of_all_hosts;
        self.long_outages += other.long_outages;
        self.failed_writes += other.failed_writes;
        self.starts_on_full_disks += other.starts_on_full_disks;
        self.pauses += other.pauses;
    }

    /// Whether each kind of fault has occurred.
    pub(crate) fn has_every_fault(&self) -> bool {
        let counts = [
            self.resubmitted,
            self.kills,
            self.power_losses,
            self.power_losses_of_all_hosts,
            self.long_outages,
            self.failed_writes,
            self.starts_on_full_disks,
            self.pauses,
        ];
        counts.iter().all(|count| *count > 0)
    }
}

/// A fault in progress, with its host.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The process was killed or the host lost power.
    Down(usize),
    Paused(usize),
    DiskFull(usize),
    DiskDegraded(usize),
}

struct Run<'a> {
    workload: &'a Workload,
    cluster: Cluster,
    report: Report,
    acknowledged: u64,
    fault_in_progress: Option<(Fault, u64)>,
    /// Hosts that are catching up, each with its start time and the newest generation that had been
    /// acknowledged by then.
    catching_up: Vec<(usize, Duration, u64)>,
    next_fault: u64,
}

impl Workload {
    /// Runs the workload with one seed.
    pub(crate) fn run_seed(&self, seed: u64) -> Report {
        let mut cluster = Cluster::new(seed, self.body_bytes);
        cluster.finish_bootstrap();
        let mut run = Run {
            workload: self,
            cluster,
            report: Report::default(),
            acknowledged: 0,
            fault_in_progress: None,
            catching_up: Vec::new(),
            next_fault: 5,
        };
        for generation in 1..=self.changes {
            run.advance_faults(generation);
            run.submit_until_acknowledged(generation);
        }
        run.finish()
    }
}

impl Run<'_> {
    fn submit_until_acknowledged(&mut self, generation: u64) {
        let limit = self.cluster.now + ACKNOWLEDGE_TIMEOUT;
        let mut host = self.random_running_host();
        loop {
            let id = self.cluster.submit_change(host, generation);
            match self.cluster.wait_for_outcome(id) {
                Some(Outcome::Written(_) | Outcome::Unchanged(_)) => break,
                Some(Outcome::Rejected { reason, .. }) => {
                    self.record_violation(&format!(
                        "generation {generation} is rejected: {reason:?}"
                    ));
                    break;
                }
                _ => self.run(RESUBMIT_DELAY),
            }
            if self.cluster.now > limit {
                self.record_violation(&format!(
                    "generation {generation} is not acknowledged in time"
                ));
                break;
            }
            host = self.random_running_host();
        }
        self.acknowledged = generation;
        self.report.acknowledged += 1;
        self.record_catch_ups();
        if self
            .cluster
            .random
            .random_ratio(self.workload.resubmit_percent, 100)
        {
            self.resubmit(generation);
        }
    }

    /// Submits a change again to another host, as after a lost response.
    fn resubmit(&mut self, generation: u64) {
        self.report.resubmitted += 1;
        let host = self.random_running_host();
        let id = self.cluster.submit_change(host, generation);
        match self.cluster.wait_for_outcome(id) {
            Some(Outcome::Unchanged(_) | Outcome::Expired | Outcome::Unknown) | None => {}
            other => {
                self.record_violation(&format!("generation {generation} resubmitted: {other:?}"));
            }
        }
    }

    fn random_running_host(&mut self) -> usize {
        let up: Vec<usize> = (0..HOST_COUNT)
            .filter(|&host| self.cluster.hosts[host].is_up() && !self.cluster.hosts[host].is_paused)
            .collect();
        up[self.cluster.random.random_range(0..up.len())]
    }

    fn run(&mut self, time: Duration) {
        self.cluster.run(time);
        self.record_catch_ups();
    }

    /// Removes the hosts that have caught up, and records how long it took.
    fn record_catch_ups(&mut self) {
        let cluster = &self.cluster;
        let report = &mut self.report;
        self.catching_up
            .retain(|(host, start, acknowledged_before)| {
                let has_caught_up = cluster.hosts[*host].generation() >= Some(*acknowledged_before);
                if has_caught_up {
                    report.max_catch_up_time = report.max_catch_up_time.max(cluster.now - *start);
                }
                !has_caught_up
            });
    }

    /// Clears the fault in progress if it ends at `generation`, and injects the next one if it is
    /// due.
    fn advance_faults(&mut self, generation: u64) {
        if let Some((fault, until)) = self.fault_in_progress {
            if generation < until {
                return;
            }
            self.fault_in_progress = None;
            self.clear(fault);
            self.await_catch_up();
            let gap = self
                .cluster
                .random
                .random_range(0..self.workload.changes_between_faults * 2);
            self.next_fault = generation + gap;
        }
        if generation >= self.next_fault {
            let until = generation
                + self
                    .cluster
                    .random
                    .random_range(1..=self.workload.changes_between_faults);
            self.inject(generation, until);
        }
    }

    /// Injects a random fault that lasts until generation `until`.
    fn inject(&mut self, generation: u64, until: u64) {
        let host = self.cluster.random.random_range(0..HOST_COUNT);
        let kind = FAULT_KINDS[self
            .cluster
            .random
            .random_range(0..FAULT_KINDS.len() as u32) as usize];
        let fault = match kind {
            FaultKind::Kill => self.kill(host),
            FaultKind::PowerLoss => self.lose_power(host),
            FaultKind::LongOutage => {
                let until = generation + self.workload.changes / 5;
                self.fault_in_progress = Some((self.start_long_outage(host), until));
                return;
            }
            FaultKind::RestartOfAll => {
                self.restart_all();
                return;
            }
            FaultKind::DiskStall => self.stall_disk(host),
            FaultKind::SlowSyncs => self.slow_down_syncs(host),
            FaultKind::FailingFileSyncs => self.fail_file_syncs(host),
            FaultKind::FailingFolderSyncs => self.fail_folder_syncs(host),
            FaultKind::FullDisk => self.fill_disk(host),
            FaultKind::RestartOnFullDisk => self.restart_on_full_disk(host),
            FaultKind::Pause => self.pause(host),
        };
        self.fault_in_progress = Some((fault, until));
    }

    fn kill(&mut self, host: usize) -> Fault {
        self.cluster.kill(host);
        self.report.kills += 1;
        Fault::Down(host)
    }

    fn lose_power(&mut self, host: usize) -> Fault {
        self.cluster.lose_power(host);
        self.report.power_losses += 1;
        Fault::Down(host)
    }

    fn start_long_outage(&mut self, host: usize) -> Fault {
        self.cluster.lose_power(host);
        self.report.long_outages += 1;
        Fault::Down(host)
    }

    fn stall_disk(&mut self, host: usize) -> Fault {
        self.cluster.hosts[host].stalled_until = self.cluster.now + DISK_STALL;
        Fault::DiskDegraded(host)
    }

    fn slow_down_syncs(&mut self, host: usize) -> Fault {
        self.cluster.hosts[host].write_time = SLOW_SYNC;
        Fault::DiskDegraded(host)
    }

    fn fail_file_syncs(&mut self, host: usize) -> Fault {
        self.cluster.hosts[host].disk.fail_file_syncs(FAILING_SYNCS);
        Fault::DiskDegraded(host)
    }

    fn fail_folder_syncs(&mut self, host: usize) -> Fault {
        self.cluster.hosts[host]
            .disk
            .fail_folder_syncs(FAILING_SYNCS);
        Fault::DiskDegraded(host)
    }

    fn fill_disk(&mut self, host: usize) -> Fault {
        self.cluster.hosts[host].disk.set_full(true);
        Fault::DiskFull(host)
    }

    fn pause(&mut self, host: usize) -> Fault {
        self.cluster.hosts[host].is_paused = true;
        self.report.pauses += 1;
        Fault::Paused(host)
    }

    /// Kills all hosts, or cuts their power, at once, and starts them again.
    fn restart_all(&mut self) {
        self.report.power_losses_of_all_hosts += 1;
        let by_power = self.cluster.random.random_bool(0.7);
        for host in 0..HOST_COUNT {
            if by_power {
                self.cluster.lose_power(host);
            } else {
                self.cluster.kill(host);
            }
        }
        for host in 0..HOST_COUNT {
            self.start(host);
        }
        self.await_catch_up();
    }

    /// Restarts a host while its disk is full: it can recover its state, but not write.
    fn restart_on_full_disk(&mut self, host: usize) -> Fault {
        self.report.starts_on_full_disks += 1;
        self.cluster.kill(host);
        self.cluster.hosts[host].disk.set_full(true);
        assert!(
            self.cluster.start(host),
            "what is on a full disk can be read"
        );
        Fault::DiskFull(host)
    }

    fn clear(&mut self, fault: Fault) {
        match fault {
            Fault::Down(host) => self.start(host),
            Fault::DiskFull(host) => self.cluster.hosts[host].disk.set_full(false),
            Fault::DiskDegraded(host) => self.cluster.hosts[host].write_time = WRITE_TIME,
            Fault::Paused(host) => {
                self.catching_up
                    .push((host, self.cluster.now, self.acknowledged));
                self.cluster.resume(host);
            }
        }
    }

    fn start(&mut self, host: usize) {
        assert!(self.cluster.start(host), "host {host} starts");
        self.catching_up
            .push((host, self.cluster.now, self.acknowledged));
    }

    /// Waits until all started hosts have caught up.
    fn await_catch_up(&mut self) {
        let limit = self.cluster.now + CATCH_UP_TIMEOUT;
        while !self.catching_up.is_empty() && self.cluster.now < limit {
            self.run(Duration::from_millis(5));
        }
        for (host, start, acknowledged_before) in std::mem::take(&mut self.catching_up) {
            self.record_violation(&format!(
                "host {host}, started at {start:?}, never reached generation {acknowledged_before}"
            ));
        }
        if limit > self.cluster.now {
            self.run(limit - self.cluster.now);
        }
    }

    fn record_violation(&mut self, what: &str) {
        self.report
            .violations
            .push(format!("{what}, at {:?}", self.cluster.now));
    }

    /// Restarts all hosts once more, and checks that they hold the newest acknowledged change.
    fn finish(mut self) -> Report {
        if let Some((fault, _)) = self.fault_in_progress.take() {
            self.clear(fault);
            self.await_catch_up();
        }
        self.restart_all();
        let newest = self.acknowledged;
        for host in 0..HOST_COUNT {
            let found = self.cluster.hosts[host].generation();
            if found != Some(newest) {
                self.record_violation(&format!("host {host} ends with generation {found:?}"));
            }
            let host_state = &self.cluster.hosts[host];
            self.report.peak_bytes = self.report.peak_bytes.max(host_state.peak_bytes);
            self.report.failed_writes += host_state.failed_writes;
        }
        self.report.violations.append(&mut self.cluster.violations);
        self.report
    }
}
