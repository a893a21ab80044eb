//! A simulated run with faults: clients submit operations while faults begin and end; then all
//! faults end, and the properties must still hold.

use std::time::Duration;

use ironmast_register::{OperationId, Outcome, Settings};

use super::checks::Violation;
use super::conditions::{Conditions, LOCAL};
use super::fault_plan::FaultPlan;
use super::redundancy::is_redundant;
use super::value::Change;
use super::world::World;

/// Time after the end of a fault during which the host still counts as lost.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Interval at which clients submit operations.
const STEP: Duration = Duration::from_millis(40);
const LIMIT: Duration = Duration::from_secs(3);

/// Highest percentage of lost messages at which redundancy is restored within [`RECOVERY_TIME`].
const MAX_LOSS_PERCENT_FOR_REPAIR: u64 = 20;

/// Violations and counts of a run.
#[derive(Debug)]
pub(crate) struct RunSummary {
    pub violations: Vec<Violation>,
    pub acknowledged: u64,
    pub rejected: u64,
    pub unknown: u64,
    pub expired: u64,
    pub reads: u64,
    pub replica_changes: u64,
    pub failed_writes: u64,
    pub messages: u64,
}

struct FaultRun {
    world: World,
    plan: FaultPlan,
    last_number: u64,
    /// Time at which the next fault begins.
    next_fault: Duration,
    /// Active faults that need an action to end: the time of the end and the action.
    active_faults: Vec<(Duration, FaultEnd)>,
    submitted: Vec<(OperationId, Change)>,
    next_spare: usize,
}

/// Kinds of faults that keep all disks, from which one is drawn. The order must not change, since
/// the runs of the seeds depend on it.
const FAULT_KINDS: [FaultKind; 8] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::KillAll,
    FaultKind::StalledWrites,
    FaultKind::FailingWrites,
    FaultKind::BlockedLink,
    FaultKind::Isolation,
    FaultKind::Pause,
];

/// A kind of fault that keeps all disks.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Kill,
    KillAll,
    /// Writes complete no earlier than the end of the fault.
    StalledWrites,
    FailingWrites,
    /// Messages from one host to another are lost.
    BlockedLink,
    /// All messages between one host and the others are lost.
    Isolation,
    Pause,
}

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    Start(usize),
    /// Starts a host whose settings still say that the whole system starts for the first time.
    StartBootstrapping(usize),
    Restart(usize),
    /// Lets the writes of a host succeed again.
    RestoreWrites(usize),
    Stop(usize),
    RestoreLinks,
}

/// Runs the simulation with a seed: faults first, then recovery and the final checks.
pub(crate) fn run_with_faults(seed: u64, plan: FaultPlan, settings: Settings) -> RunSummary {
    let mut world = World::new(seed, plan.members, plan.spares, settings);
    world.run(Duration::from_millis(800));
    world.conditions = conditions(&mut world, plan.max_message_loss_percent);
    let next_spare = plan.members;
    let next_fault = world.now + Duration::from_millis(500);
    let mut run = FaultRun {
        world,
        plan,
        last_number: 0,
        next_fault,
        active_faults: Vec::new(),
        submitted: Vec::new(),
        next_spare,
    };
    run.inject_faults();
    run.recover_and_check();
    run.summarize()
}

fn conditions(world: &mut World, max_loss_percent: u64) -> Conditions {
    let random = &mut world.random;
    Conditions {
        loss_percent: random.below(max_loss_percent),
        duplicate_percent: random.below(12),
        max_jitter_ms: random.below(30),
        max_write_ms: 1 + random.below(8),
        min_latency_ms: 0,
    }
}

impl FaultRun {
    fn inject_faults(&mut self) {
        let end = self.world.now + self.plan.length;
        while self.world.now < end {
            self.end_due_faults();
            self.begin_due_fault();
            self.submit_random_operation();
            self.world.run(STEP);
        }
    }

    /// Ends all faults and lets pending operations complete. Afterwards every host must complete a
    /// change and a read, and retries must get the first answer.
    fn recover_and_check(&mut self) {
        let faults = std::mem::take(&mut self.active_faults);
        for (_, end) in faults {
            self.end_fault(end);
        }
        self.world.conditions = LOCAL;
        self.world.blocked_links.clear();
        self.world.run(Duration::from_secs(6));
        self.world.expect_progress(Duration::from_secs(4));
        self.retry_answered_changes();
    }

    /// Retries each answered change: it must be acknowledged again or rejected again, as before.
    fn retry_answered_changes(&mut self) {
        let answered: Vec<(Change, bool)> = self
            .submitted
            .iter()
            .filter_map(|(id, change)| match self.world.outcomes.get(id)? {
                Outcome::Written(_) | Outcome::Unchanged(_) => Some((*change, true)),
                Outcome::Rejected { .. } => Some((*change, false)),
                _ => None,
            })
            .collect();
        let hosts: Vec<usize> = self.world.running_hosts().collect();
        let mut retried = Vec::new();
        for (index, (change, was_acknowledged)) in answered.into_iter().enumerate() {
            let host = hosts[index % hosts.len()];
            retried.push((
                self.world.submit(host, Some(change), LIMIT),
                host,
                change,
                was_acknowledged,
            ));
        }
        self.world.run(LIMIT);
        for (id, host, change, was_acknowledged) in retried {
            let violation = match (self.world.outcomes.get(&id), was_acknowledged) {
                (Some(Outcome::Unchanged(_)), true) | (Some(Outcome::Rejected { .. }), false) => {
                    continue;
                }
                (
                    Some(Outcome::Written(_) | Outcome::Unchanged(_) | Outcome::Rejected { .. }),
                    _,
                ) => Violation::AnswerChanged {
                    change: change.number(),
                },
                _ => Violation::NoProgress {
                    host,
                    at: self.world.now,
                },
            };
            self.world.checks.violations.push(violation);
        }
    }

    fn summarize(mut self) -> RunSummary {
        let checks = &mut self.world.checks;
        checks.finish();
        RunSummary {
            violations: checks.violations.clone(),
            acknowledged: checks.acknowledged_count,
            rejected: checks.rejected_count,
            unknown: checks.unknown_count,
            expired: checks.expired_count,
            reads: checks.read_count,
            replica_changes: checks.replica_changes(),
            failed_writes: self.world.failed_writes,
            messages: self.world.messages,
        }
    }

    fn submit_random_operation(&mut self) {
        let hosts: Vec<usize> = self.world.running_hosts().collect();
        if hosts.is_empty() || !self.world.random.chance(40) {
            return;
        }
        let host = hosts[self.random_index(hosts.len())];
        self.last_number += 1;
        let change = match self.world.random.below(10) {
            0..=3 => Some(Change::Put {
                base: self.version_at(host),
                content: self.last_number,
            }),
            4..=6 => Some(Change::Mark {
                mark: self.last_number,
            }),
            7 => self.unanswered_change(),
            _ => None,
        };
        let id = self.world.submit(host, change, LIMIT);
        self.submitted.extend(change.map(|change| (id, change)));
        let rival_host = hosts[self.random_index(hosts.len())];
        if let Some(Change::Put { base, .. }) = change.filter(|_| self.world.random.chance(30)) {
            self.last_number += 1;
            let change = Change::Put {
                base,
                content: self.last_number,
            };
            let id = self.world.submit(rival_host, Some(change), LIMIT);
            self.submitted.push((id, change));
        }
    }

    /// Returns a recent change without an outcome, to be retried as by a client that lost its
    /// connection.
    fn unanswered_change(&mut self) -> Option<Change> {
        let lost: Vec<Change> = self
            .submitted
            .iter()
            .rev()
            .take(6)
            .filter(|(id, _)| !self.world.outcomes.contains_key(id))
            .map(|(_, change)| *change)
            .collect();
        lost.first().copied()
    }

    fn version_at(&self, host: usize) -> u64 {
        let node = self.world.hosts[host].node.as_ref();
        node.and_then(|node| node.chosen())
            .map_or(0, |state| state.value.version())
    }

    fn end_due_faults(&mut self) {
        let now = self.world.now;
        let (ended, remaining): (Vec<_>, Vec<_>) =
            self.active_faults.drain(..).partition(|(at, _)| *at <= now);
        self.active_faults = remaining;
        for (_, end) in ended {
            self.end_fault(end);
        }
    }

    fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::Start(host) => self.world.start(host),
            FaultEnd::StartBootstrapping(host) => self.world.start_bootstrapping(host),
            FaultEnd::RestoreWrites(host) => self.world.hosts[host].writes_fail = false,
            FaultEnd::Restart(host) => {
                self.world.kill(host);
                self.world.start(host);
            }
            FaultEnd::Stop(host) => self.world.kill(host),
            FaultEnd::RestoreLinks => self.world.blocked_links.clear(),
        }
    }

    fn begin_due_fault(&mut self) {
        if self.world.now < self.next_fault {
            return;
        }
        let is_loss = self.world.random.chance(self.plan.disk_loss_percent);
        if is_loss && self.active_faults.is_empty() && self.can_lose_a_disk() {
            let duration = self.lose_disk();
            self.next_fault = self.world.now + duration + RECOVERY_TIME;
            return;
        }
        let duration = self.begin_fault();
        let recovers_before_next = self.world.random.chance(self.plan.disk_loss_percent);
        let gap = self.world.random.millis(0, self.plan.max_gap_ms);
        self.next_fault = self.world.now + gap;
        if recovers_before_next {
            self.next_fault += duration + RECOVERY_TIME;
        }
    }

    /// Whether a disk may be lost. The time since the last loss is enough for its repair, unless so
    /// many messages are lost that the repair may still be in progress.
    fn can_lose_a_disk(&self) -> bool {
        self.world.conditions.loss_percent <= MAX_LOSS_PERCENT_FOR_REPAIR
            || is_redundant(&self.world, self.plan.members)
    }

    /// Wipes a disk or removes its machine. Returns the time until the machine or its replacement
    /// runs.
    fn lose_disk(&mut self) -> Duration {
        let hosts: Vec<usize> = self.world.running_hosts().collect();
        if hosts.len() < self.plan.members {
            return Duration::ZERO;
        }
        let host = hosts[self.random_index(hosts.len())];
        let duration = self.world.random.millis(5, self.plan.max_fault_ms);
        let at = self.world.now + duration;
        let has_spare = self.next_spare < self.world.hosts.len();
        match self.world.random.below(3) {
            0 if has_spare => {
                self.world.wipe(host);
                self.active_faults
                    .push((at, FaultEnd::Start(self.next_spare)));
                self.next_spare += 1;
            }
            1 if has_spare => {
                self.world.start(self.next_spare);
                self.world.leave(host);
                self.next_spare += 1;
                let stop_delay = duration.max(Duration::from_millis(2_500));
                self.active_faults
                    .push((self.world.now + stop_delay, FaultEnd::Stop(host)));
                return stop_delay;
            }
            _ => {
                self.world.wipe(host);
                let may_bootstrap =
                    self.plan.stale_bootstrap_percent > 0 && host < self.plan.members;
                let stale_bootstrap =
                    may_bootstrap && self.world.random.chance(self.plan.stale_bootstrap_percent);
                self.active_faults.push((
                    at,
                    if stale_bootstrap {
                        FaultEnd::StartBootstrapping(host)
                    } else {
                        FaultEnd::Start(host)
                    },
                ));
            }
        }
        duration
    }

    /// Begins a fault that keeps all disks; returns the duration of the fault.
    fn begin_fault(&mut self) -> Duration {
        let hosts: Vec<usize> = self.world.running_hosts().collect();
        if hosts.is_empty() {
            return Duration::ZERO;
        }
        let host = hosts[self.random_index(hosts.len())];
        let duration = self.world.random.millis(5, self.plan.max_fault_ms);
        let at = self.world.now + duration;
        let kind = FAULT_KINDS[self.random_index(FAULT_KINDS.len())];
        match kind {
            FaultKind::Kill => {
                self.world.kill(host);
                self.active_faults.push((at, FaultEnd::Start(host)));
            }
            FaultKind::KillAll => self.kill_all(&hosts, at),
            FaultKind::StalledWrites => self.world.hosts[host].writes_stalled_until = at,
            FaultKind::FailingWrites => self.fail_writes(host, at),
            FaultKind::BlockedLink => {
                let other = hosts[self.random_index(hosts.len())];
                self.world.blocked_links.insert((host, other));
                self.active_faults.push((at, FaultEnd::RestoreLinks));
            }
            FaultKind::Isolation => {
                self.world.isolate(host);
                self.active_faults.push((at, FaultEnd::RestoreLinks));
            }
            FaultKind::Pause => self.world.pause_process(host, duration),
        }
        duration
    }

    /// Kills all hosts; each starts again within 300 ms after `at`.
    fn kill_all(&mut self, hosts: &[usize], at: Duration) {
        for &host in hosts {
            self.world.kill(host);
            let delay = self.world.random.millis(0, 300);
            self.active_faults.push((at + delay, FaultEnd::Start(host)));
        }
    }

    /// Lets the writes of a host fail until `at`. They then succeed again or, with equal
    /// probability, the host is restarted.
    fn fail_writes(&mut self, host: usize, at: Duration) {
        self.world.hosts[host].writes_fail = true;
        let end = if self.world.random.chance(50) {
            FaultEnd::Restart(host)
        } else {
            FaultEnd::RestoreWrites(host)
        };
        self.active_faults.push((at, end));
    }

    fn random_index(&mut self, count: usize) -> usize {
        usize::try_from(self.world.random.below(count as u64)).expect("index fits in usize")
    }
}
