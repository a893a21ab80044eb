//! A day of a simulation: clients at work while faults come, then calm, then what must still hold.

use std::time::Duration;

use ironmast_register::{OperationId, Outcome, Settings};

use super::checks::Violation;
use super::redundancy::is_redundant;
use super::value::Change;
use super::world::{CALM, Weather, World};

/// After the end of a fault, its host counts as lost for this time.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Clients send at this interval.
const STEP: Duration = Duration::from_millis(40);
const LIMIT: Duration = Duration::from_secs(3);

/// With up to this percentage of messages lost, a lost disk is made up for within [`CATCH_UP`].
const LOSS_IN_TIME: u64 = 20;

/// What may happen in a day.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub members: usize,
    pub spares: usize,
    pub length: Duration,
    /// Percent of the faults that empty or replace a disk.
    pub losses: u64,
    /// Largest percentage of messages lost.
    pub loss: u64,
    /// Longest fault, in milliseconds.
    pub outage: u64,
    /// Longest time between faults that may overlap, in milliseconds.
    pub gap: u64,
    /// Percent of emptied machines whose settings still say that the whole system starts for the
    /// first time.
    pub misled: u64,
}

impl Plan {
    /// A day of that many members with faults of up to two seconds.
    pub(crate) fn ordinary(members: usize) -> Self {
        let length = Duration::from_secs(16);
        Self {
            members,
            spares: 4,
            length,
            losses: 30,
            loss: 12,
            outage: 2_000,
            gap: 900,
            misled: 0,
        }
    }

    /// A day of short faults that follow closely, on a network that loses much.
    pub(crate) fn rough(members: usize) -> Self {
        let length = Duration::from_secs(10);
        Self {
            members,
            spares: 4,
            length,
            losses: 5,
            loss: 45,
            outage: 120,
            gap: 60,
            misled: 0,
        }
    }

    /// A day on which mostly disks are lost, on a network that loses much.
    pub(crate) fn wearing(members: usize) -> Self {
        Self {
            losses: 90,
            loss: 20,
            outage: 700,
            ..Self::ordinary(members)
        }
    }

    /// A wearing day on which emptied machines start as if for the first time.
    pub(crate) fn misled(members: usize) -> Self {
        Self {
            misled: 100,
            ..Self::wearing(members)
        }
    }

    /// The day on a network that loses up to that percentage of messages.
    pub(crate) fn losing(self, loss: u64) -> Self {
        Self { loss, ..self }
    }
}

/// What a day came to.
#[derive(Debug)]
pub(crate) struct Report {
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

struct Day {
    world: World,
    plan: Plan,
    number: u64,
    /// When the next fault comes.
    next_fault: Duration,
    /// Faults that end by themselves, with their ends.
    open: Vec<(Duration, End)>,
    sent: Vec<(OperationId, Change)>,
    next_spare: usize,
}

/// How a fault ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Start(usize),
    /// A host whose settings still say that the whole system starts for the first time.
    StartFirst(usize),
    Restart(usize),
    /// Writes succeed again.
    Write(usize),
    Retire(usize),
    Mend,
}

/// Plays the day of that seed.
pub(crate) fn play(seed: u64, plan: Plan, settings: Settings) -> Report {
    let mut world = World::new(seed, plan.members, plan.spares, settings);
    world.run(Duration::from_millis(800));
    world.weather = weather(&mut world, plan.loss);
    let next_spare = plan.members;
    let next_fault = world.now + Duration::from_millis(500);
    let mut day = Day {
        world,
        plan,
        number: 0,
        next_fault,
        open: Vec::new(),
        sent: Vec::new(),
        next_spare,
    };
    day.work();
    day.calm();
    day.report()
}

fn weather(world: &mut World, loss: u64) -> Weather {
    let random = &mut world.random;
    Weather {
        loss: random.below(loss),
        doubled: random.below(12),
        jitter: random.below(30),
        sync: 1 + random.below(8),
        distance: 0,
    }
}

impl Day {
    fn work(&mut self) {
        let end = self.world.now + self.plan.length;
        while self.world.now < end {
            self.end_faults();
            self.maybe_fault();
            self.send();
            self.world.run(STEP);
        }
    }

    /// All faults end; what waits is finished; then every host must take a change and a read.
    fn calm(&mut self) {
        let open = std::mem::take(&mut self.open);
        for (_, end) in open {
            self.end(end);
        }
        self.world.weather = CALM;
        self.world.cuts.clear();
        self.world.run(Duration::from_secs(6));
        self.world.expect_progress(Duration::from_secs(4));
        self.resend_all();
    }

    /// Each change that was acknowledged is acknowledged again; each that was refused is refused
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

    fn report(mut self) -> Report {
        let checks = &mut self.world.checks;
        checks.finish();
        Report {
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

    /// A change sent before of which the client has no answer, as one that lost its connection
    /// would send it.
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

    fn end(&mut self, end: End) {
        match end {
            End::Start(host) => self.world.start(host),
            End::StartFirst(host) => self.world.start_first(host),
            End::Write(host) => self.world.hosts[host].fails = false,
            End::Restart(host) => {
                self.world.kill(host);
                self.world.start(host);
            }
            End::Retire(host) => self.world.kill(host),
            End::Mend => self.world.cuts.clear(),
        }
    }

    fn maybe_fault(&mut self) {
        if self.world.now < self.next_fault {
            return;
        }
        let is_loss = self.world.random.chance(self.plan.losses);
        if is_loss && self.open.is_empty() && self.bears_a_loss() {
            let lasts = self.lose_disk();
            self.next_fault = self.world.now + lasts + CATCH_UP;
            return;
        }
        let lasts = self.disturb();
        let pause = if self.world.random.chance(self.plan.losses) {
            CATCH_UP
        } else {
            Duration::ZERO
        };
        let gap = self.world.random.millis(0, self.plan.gap);
        self.next_fault = self.world.now
            + gap
            + pause
            + if pause == CATCH_UP {
                lasts
            } else {
                Duration::ZERO
            };
    }

    /// Whether a disk may be lost: the time since the last one is enough for its repair, unless so
    /// many messages are lost that the repair may still be under way.
    fn bears_a_loss(&self) -> bool {
        self.world.weather.loss <= LOSS_IN_TIME || is_redundant(&self.world, self.plan.members)
    }

    /// Empties a disk or takes its machine away; returns how long until the machine or its
    /// successor is back.
    fn lose_disk(&mut self) -> Duration {
        let hosts: Vec<usize> = self.world.up().collect();
        if hosts.len() < self.plan.members {
            return Duration::ZERO;
        }
        let host = hosts[self.pick(hosts.len())];
        let lasts = self.world.random.millis(5, self.plan.outage);
        let at = self.world.now + lasts;
        let has_spare = self.next_spare < self.world.hosts.len();
        match self.world.random.below(3) {
            0 if has_spare => {
                self.world.wipe(host);
                self.open.push((at, End::Start(self.next_spare)));
                self.next_spare += 1;
            }
            1 if has_spare => {
                self.world.start(self.next_spare);
                self.world.leave(host);
                self.next_spare += 1;
                let goes = lasts.max(Duration::from_millis(2_500));
                self.open.push((self.world.now + goes, End::Retire(host)));
                return goes;
            }
            _ => {
                self.world.wipe(host);
                let may_be = self.plan.misled > 0 && host < self.plan.members;
                let misled = may_be && self.world.random.chance(self.plan.misled);
                self.open.push((
                    at,
                    if misled {
                        End::StartFirst(host)
                    } else {
                        End::Start(host)
                    },
                ));
            }
        }
        lasts
    }

    /// A fault that leaves all disks as they are; returns how long it lasts.
    fn disturb(&mut self) -> Duration {
        let hosts: Vec<usize> = self.world.up().collect();
        if hosts.is_empty() {
            return Duration::ZERO;
        }
        let host = hosts[self.pick(hosts.len())];
        let lasts = self.world.random.millis(5, self.plan.outage);
        let at = self.world.now + lasts;
        match self.world.random.below(8) {
            7 => self.world.freeze(host, lasts),
            0 | 1 => {
                self.world.kill(host);
                self.open.push((at, End::Start(host)));
            }
            2 => {
                for host in hosts {
                    self.world.kill(host);
                    let delay = self.world.random.millis(0, 300);
                    self.open.push((at + delay, End::Start(host)));
                }
            }
            3 => self.world.hosts[host].stalled_until = at,
            4 => {
                self.world.hosts[host].fails = true;
                let dies = self.world.random.chance(50);
                self.open.push((
                    at,
                    if dies {
                        End::Restart(host)
                    } else {
                        End::Write(host)
                    },
                ));
            }
            5 => {
                let other = hosts[self.pick(hosts.len())];
                self.world.cuts.insert((host, other));
                self.open.push((at, End::Mend));
            }
            _ => {
                self.world.isolate(host);
                self.open.push((at, End::Mend));
            }
        }
        lasts
    }

    fn pick(&mut self, count: usize) -> usize {
        usize::try_from(self.world.random.below(count as u64)).expect("a small number")
    }
}
