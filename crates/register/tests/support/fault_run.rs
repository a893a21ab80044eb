//! A run with faults: clients submit operations while faults come; then all faults end, and the
//! properties must still hold.

use std::time::Duration;

use ironmast_register::{OperationId, Outcome, Settings};

use super::checks::Violation;
use super::conditions::{Conditions, LOCAL};
use super::fault_plan::FaultPlan;
use super::redundancy::is_redundant;
use super::value::Change;
use super::world::World;

/// After the end of a fault, its host counts as lost for this time.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Interval at which clients submit operations.
const STEP: Duration = Duration::from_millis(40);
const LIMIT: Duration = Duration::from_secs(3);

/// With up to this percentage of messages lost, redundancy is restored within [`RECOVERY_TIME`].
const LOSS_IN_TIME: u64 = 20;

/// The result of a run.
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
    number: u64,
    /// When the next fault comes.
    next_fault: Duration,
    /// Faults that end by themselves, with the time and the way of their end.
    open: Vec<(Duration, FaultEnd)>,
    sent: Vec<(OperationId, Change)>,
    next_spare: usize,
}

/// The faults that leave all disks as they are, one of which is drawn. The order belongs to the
/// seeds.
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

/// A kind of fault that leaves all disks as they are.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Kill,
    KillAll,
    /// Writes end no earlier than the fault.
    StalledWrites,
    FailingWrites,
    /// One host's messages to another one are lost.
    BlockedLink,
    /// No messages between one host and all others.
    Isolation,
    Pause,
}

/// How a fault ends.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    Start(usize),
    /// A host whose settings still say that the whole system starts for the first time.
    StartBootstrapping(usize),
    Restart(usize),
    /// Writes succeed again.
    Write(usize),
    Retire(usize),
    RestoreLinks,
}

/// Runs the simulation of that seed.
pub(crate) fn run_with_faults(seed: u64, plan: FaultPlan, settings: Settings) -> RunSummary {
    let mut world = World::new(seed, plan.members, plan.spares, settings);
    world.run(Duration::from_millis(800));
    world.conditions = conditions(&mut world, plan.loss);
    let next_spare = plan.members;
    let next_fault = world.now + Duration::from_millis(500);
    let mut run = FaultRun {
        world,
        plan,
        number: 0,
        next_fault,
        open: Vec::new(),
        sent: Vec::new(),
        next_spare,
    };
    run.work();
    run.calm();
    run.report()
}

fn conditions(world: &mut World, loss: u64) -> Conditions {
    let random = &mut world.random;
    Conditions {
        loss: random.below(loss),
        duplicated: random.below(12),
        jitter: random.below(30),
        write_time: 1 + random.below(8),
        min_latency: 0,
    }
}

impl FaultRun {
    fn work(&mut self) {
        let end = self.world.now + self.plan.length;
        while self.world.now < end {
            self.end_faults();
            self.maybe_fault();
            self.send();
            self.world.run(STEP);
        }
    }

    /// All faults end; pending operations complete; then every host must take a change and a read.
    fn calm(&mut self) {
        let open = std::mem::take(&mut self.open);
        for (_, end) in open {
            self.end(end);
        }
        self.world.conditions = LOCAL;
        self.world.blocked_links.clear();
        self.world.run(Duration::from_secs(6));
        self.world.expect_progress(Duration::from_secs(4));
        self.resend_all();
    }

    /// Each change that was acknowledged is acknowledged again; each that was rejected is rejected
    /// again.
    fn resend_all(&mut self) {
        let answered: Vec<(Change, bool)> = self
            .sent
            .iter()
            .filter_map(|(id, change)| match self.world.outcomes.get(id)? {
                Outcome::Written(_) | Outcome::Unchanged(_) => Some((*change, true)),
                Outcome::Rejected { .. } => Some((*change, false)),
                _ => None,
            })
            .collect();
        let hosts: Vec<usize> = self.world.up().collect();
        let mut resent = Vec::new();
        for (index, (change, taken)) in answered.into_iter().enumerate() {
            let host = hosts[index % hosts.len()];
            resent.push((
                self.world.submit(host, Some(change), LIMIT),
                host,
                change,
                taken,
            ));
        }
        self.world.run(LIMIT);
        for (id, host, change, taken) in resent {
            let violation = match (self.world.outcomes.get(&id), taken) {
                (Some(Outcome::Unchanged(_)), true) | (Some(Outcome::Rejected { .. }), false) => {
                    continue;
                }
                (
                    Some(Outcome::Written(_) | Outcome::Unchanged(_) | Outcome::Rejected { .. }),
                    _,
                ) => Violation::AnsweredOtherwise {
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

    fn report(mut self) -> RunSummary {
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
            failed_writes: self.world.storage_failures,
            messages: self.world.messages,
        }
    }

    fn send(&mut self) {
        let hosts: Vec<usize> = self.world.up().collect();
        if hosts.is_empty() || !self.world.random.chance(40) {
            return;
        }
        let host = hosts[self.pick(hosts.len())];
        self.number += 1;
        let change = match self.world.random.below(10) {
            0..=3 => Some(Change::Put {
                base: self.version_at(host),
                content: self.number,
            }),
            4..=6 => Some(Change::Mark { mark: self.number }),
            7 => self.repeated(),
            _ => None,
        };
        let id = self.world.submit(host, change, LIMIT);
        self.sent.extend(change.map(|change| (id, change)));
        let rival = hosts[self.pick(hosts.len())];
        if let Some(Change::Put { base, .. }) = change.filter(|_| self.world.random.chance(30)) {
            self.number += 1;
            let change = Change::Put {
                base,
                content: self.number,
            };
            let id = self.world.submit(rival, Some(change), LIMIT);
            self.sent.push((id, change));
        }
    }

    /// A change submitted before to which the client has no answer, as a client that lost its
    /// connection would retry it.
    fn repeated(&mut self) -> Option<Change> {
        let lost: Vec<Change> = self
            .sent
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

    fn end_faults(&mut self) {
        let now = self.world.now;
        let (ended, open): (Vec<_>, Vec<_>) = self.open.drain(..).partition(|(at, _)| *at <= now);
        self.open = open;
        for (_, end) in ended {
            self.end(end);
        }
    }

    fn end(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::Start(host) => self.world.start(host),
            FaultEnd::StartBootstrapping(host) => self.world.start_bootstrapping(host),
            FaultEnd::Write(host) => self.world.hosts[host].writes_fail = false,
            FaultEnd::Restart(host) => {
                self.world.kill(host);
                self.world.start(host);
            }
            FaultEnd::Retire(host) => self.world.kill(host),
            FaultEnd::RestoreLinks => self.world.blocked_links.clear(),
        }
    }

    fn maybe_fault(&mut self) {
        if self.world.now < self.next_fault {
            return;
        }
        let is_loss = self.world.random.chance(self.plan.losses);
        if is_loss && self.open.is_empty() && self.can_lose_a_disk() {
            let duration = self.lose_disk();
            self.next_fault = self.world.now + duration + RECOVERY_TIME;
            return;
        }
        let duration = self.begin_fault();
        let recovers_before_next = self.world.random.chance(self.plan.losses);
        let gap = self.world.random.millis(0, self.plan.gap);
        self.next_fault = self.world.now + gap;
        if recovers_before_next {
            self.next_fault += duration + RECOVERY_TIME;
        }
    }

    /// Whether a disk may be lost: the time since the last one is enough for its repair, unless so
    /// many messages are lost that the repair may still be under way.
    fn can_lose_a_disk(&self) -> bool {
        self.world.conditions.loss <= LOSS_IN_TIME || is_redundant(&self.world, self.plan.members)
    }

    /// Empties a disk or removes its machine; returns how long until the machine or its replacement
    /// is back.
    fn lose_disk(&mut self) -> Duration {
        let hosts: Vec<usize> = self.world.up().collect();
        if hosts.len() < self.plan.members {
            return Duration::ZERO;
        }
        let host = hosts[self.pick(hosts.len())];
        let duration = self.world.random.millis(5, self.plan.outage);
        let at = self.world.now + duration;
        let has_spare = self.next_spare < self.world.hosts.len();
        match self.world.random.below(3) {
            0 if has_spare => {
                self.world.wipe(host);
                self.open.push((at, FaultEnd::Start(self.next_spare)));
                self.next_spare += 1;
            }
            1 if has_spare => {
                self.world.start(self.next_spare);
                self.world.leave(host);
                self.next_spare += 1;
                let goes = duration.max(Duration::from_millis(2_500));
                self.open
                    .push((self.world.now + goes, FaultEnd::Retire(host)));
                return goes;
            }
            _ => {
                self.world.wipe(host);
                let may_be = self.plan.stale_bootstrap > 0 && host < self.plan.members;
                let stale_bootstrap = may_be && self.world.random.chance(self.plan.stale_bootstrap);
                self.open.push((
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

    /// Begins a fault that leaves all disks as they are; returns how long it lasts.
    fn begin_fault(&mut self) -> Duration {
        let hosts: Vec<usize> = self.world.up().collect();
        if hosts.is_empty() {
            return Duration::ZERO;
        }
        let host = hosts[self.pick(hosts.len())];
        let duration = self.world.random.millis(5, self.plan.outage);
        let at = self.world.now + duration;
        let kind = FAULT_KINDS[self.pick(FAULT_KINDS.len())];
        match kind {
            FaultKind::Kill => {
                self.world.kill(host);
                self.open.push((at, FaultEnd::Start(host)));
            }
            FaultKind::KillAll => self.kill_all(&hosts, at),
            FaultKind::StalledWrites => self.world.hosts[host].writes_stalled_until = at,
            FaultKind::FailingWrites => self.fail_writes(host, at),
            FaultKind::BlockedLink => {
                let other = hosts[self.pick(hosts.len())];
                self.world.blocked_links.insert((host, other));
                self.open.push((at, FaultEnd::RestoreLinks));
            }
            FaultKind::Isolation => {
                self.world.isolate(host);
                self.open.push((at, FaultEnd::RestoreLinks));
            }
            FaultKind::Pause => self.world.pause_process(host, duration),
        }
        duration
    }

    /// Kills all hosts; each starts within 300 ms after `at`.
    fn kill_all(&mut self, hosts: &[usize], at: Duration) {
        for &host in hosts {
            self.world.kill(host);
            let delay = self.world.random.millis(0, 300);
            self.open.push((at + delay, FaultEnd::Start(host)));
        }
    }

    /// Writes of a host fail until they succeed again or, as often, until it is restarted.
    fn fail_writes(&mut self, host: usize, at: Duration) {
        self.world.hosts[host].writes_fail = true;
        let end = if self.world.random.chance(50) {
            FaultEnd::Restart(host)
        } else {
            FaultEnd::Write(host)
        };
        self.open.push((at, end));
    }

    fn pick(&mut self, count: usize) -> usize {
        usize::try_from(self.world.random.below(count as u64)).expect("a small number")
    }
}
