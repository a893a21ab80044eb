//! A day: an operator who sends one change after the other, and trouble between them.

use std::time::Duration;

use ironmast_register::Outcome;
use rand::RngExt;

use super::fleet::{Fleet, HOSTS};

/// An order without an answer is sent again after this.
const PAUSE: Duration = Duration::from_millis(50);
/// An order is acknowledged within this, whatever goes on.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(30);
/// After the end of a trouble its host has this long to be level again.
const CATCH_UP: Duration = Duration::from_secs(4);

/// What a day is like.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    /// Changes in all.
    pub changes: u64,
    /// Bytes of a configuration.
    pub body_bytes: usize,
    /// Changes from one trouble to the next, about.
    pub changes_between: u64,
    /// Percent of the changes that are sent again after they were acknowledged.
    pub resent: u32,
}

impl Default for Day {
    fn default() -> Self {
        Self {
            changes: 1_000,
            body_bytes: 300,
            changes_between: 20,
            resent: 15,
        }
    }
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub violations: Vec<String>,
    /// The longest time from a start until the host held what was acknowledged before it.
    pub level_within: Duration,
    pub peak_bytes: u64,
    pub acknowledged: u64,
    pub sent_again: u64,
    pub kills: u64,
    pub power_losses: u64,
    pub power_losses_of_all: u64,
    pub long_absences: u64,
    pub failed_writes: u64,
    pub starts_on_full_disks: u64,
    pub freezes: u64,
}

impl Report {
    pub(crate) fn add(&mut self, other: &Report) {
        self.level_within = self.level_within.max(other.level_within);
        self.peak_bytes = self.peak_bytes.max(other.peak_bytes);
        self.acknowledged += other.acknowledged;
        self.sent_again += other.sent_again;
        self.kills += other.kills;
        self.power_losses += other.power_losses;
        self.power_losses_of_all += other.power_losses_of_all;
        self.long_absences += other.long_absences;
        self.failed_writes += other.failed_writes;
        self.starts_on_full_disks += other.starts_on_full_disks;
        self.freezes += other.freezes;
    }

    /// Whether each kind of trouble came about.
    pub(crate) fn is_full_of_trouble(&self) -> bool {
        let counts = [
            self.sent_again,
            self.kills,
            self.power_losses,
            self.power_losses_of_all,
            self.long_absences,
            self.failed_writes,
            self.starts_on_full_disks,
            self.freezes,
        ];
        counts.iter().all(|count| *count > 0)
    }
}

/// A trouble under way, at one host, until that many changes more.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Killed or without power.
    Away(usize),
    Frozen(usize),
    Full(usize),
    Slow(usize),
}

struct Play<'a> {
    day: &'a Day,
    fleet: Fleet,
    report: Report,
    acknowledged: u64,
    open: Option<(Trouble, u64)>,
    /// Host, start and what was acknowledged then.
    starting: Vec<(usize, Duration, u64)>,
    next_trouble: u64,
    /// Before this the host of the last trouble counts as lost.
    calm_until: Duration,
}

impl Day {
    /// Plays the day of a seed.
    pub(crate) fn play(&self, seed: u64) -> Report {
        let mut fleet = Fleet::new(seed, self.body_bytes);
        fleet.settle();
        let mut play = Play {
            day: self,
            fleet,
            report: Report::default(),
            acknowledged: 0,
            open: None,
            starting: Vec::new(),
            next_trouble: 5,
            calm_until: Duration::ZERO,
        };
        for generation in 1..=self.changes {
            play.trouble(generation);
            play.change(generation);
        }
        play.end()
    }
}

impl Play<'_> {
    fn change(&mut self, generation: u64) {
        let limit = self.fleet.now + ACKNOWLEDGED_WITHIN;
        let mut host = self.any_up();
        loop {
            let id = self.fleet.order(host, generation);
            match self.fleet.outcome(id) {
                Some(Outcome::Written(_) | Outcome::Unchanged(_)) => break,
                Some(Outcome::Rejected { reason, .. }) => {
                    self.violate(format!("{generation} is refused: {reason}"));
                    break;
                }
                _ => self.run(PAUSE),
            }
            if self.fleet.now > limit {
                self.violate(format!("{generation} is not acknowledged in time"));
                break;
            }
            host = self.any_up();
        }
        self.acknowledged = generation;
        self.report.acknowledged += 1;
        self.note_level();
        if self.fleet.random.random_ratio(self.day.resent, 100) {
            self.send_again(generation);
        }
    }

    /// The answer was lost: the same order goes to another.
    fn send_again(&mut self, generation: u64) {
        self.report.sent_again += 1;
        let host = self.any_up();
        let id = self.fleet.order(host, generation);
        match self.fleet.outcome(id) {
            Some(Outcome::Unchanged(_) | Outcome::Expired | Outcome::Unknown) | None => {}
            other => self.violate(format!("{generation} sent again: {other:?}")),
        }
    }

    fn any_up(&mut self) -> usize {
        let up: Vec<usize> = (0..HOSTS)
            .filter(|&host| self.fleet.hosts[host].is_up() && !self.fleet.hosts[host].frozen)
            .collect();
        up[self.fleet.random.random_range(0..up.len())]
    }

    fn run(&mut self, time: Duration) {
        self.fleet.run(time);
        self.note_level();
    }

    /// Takes note of the hosts that hold what was acknowledged before their start.
    fn note_level(&mut self) {
        let fleet = &self.fleet;
        let report = &mut self.report;
        self.starting.retain(|(host, start, floor)| {
            let is_level = fleet.hosts[*host].generation() >= Some(*floor);
            if is_level {
                report.level_within = report.level_within.max(fleet.now - *start);
            }
            !is_level
        });
    }

    /// Ends the trouble that is over and begins the one that is due.
    fn trouble(&mut self, generation: u64) {
        if let Some((trouble, until)) = self.open {
            if generation < until {
                return;
            }
            self.open = None;
            self.relieve(trouble);
            self.until_level();
            self.calm_until = self.fleet.now + CATCH_UP;
            let pause = self
                .fleet
                .random
                .random_range(0..self.day.changes_between * 2);
            self.next_trouble = generation + pause;
        }
        if generation >= self.next_trouble {
            let until = generation + self.fleet.random.random_range(1..=self.day.changes_between);
            self.begin(generation, until);
        }
    }

    fn begin(&mut self, generation: u64, until: u64) {
        let host = self.fleet.random.random_range(0..HOSTS);
        let trouble = match self.fleet.random.random_range(0..11) {
            0 => {
                self.fleet.kill(host);
                self.report.kills += 1;
                Trouble::Away(host)
            }
            1 => {
                self.fleet.lose_power(host);
                self.report.power_losses += 1;
                Trouble::Away(host)
            }
            2 => {
                self.fleet.lose_power(host);
                self.report.long_absences += 1;
                let until = generation + self.day.changes / 5;
                self.open = Some((Trouble::Away(host), until));
                return;
            }
            3 => {
                self.end_all();
                return;
            }
            4 => {
                self.fleet.hosts[host].stalled_until = self.fleet.now + Duration::from_secs(5);
                Trouble::Slow(host)
            }
            5 => {
                self.fleet.hosts[host].sync = Duration::from_millis(150);
                Trouble::Slow(host)
            }
            6 => {
                self.fleet.hosts[host].disk.fail_file_syncs(2);
                Trouble::Slow(host)
            }
            7 => {
                self.fleet.hosts[host].disk.fail_folder_syncs(2);
                Trouble::Slow(host)
            }
            8 => {
                self.fleet.hosts[host].disk.set_full(true);
                Trouble::Full(host)
            }
            9 => {
                self.restart_on_full_disk(host);
                Trouble::Full(host)
            }
            _ => {
                self.fleet.hosts[host].frozen = true;
                self.report.freezes += 1;
                Trouble::Frozen(host)
            }
        };
        self.open = Some((trouble, until));
    }

    /// All lose power at once, or are killed, and come back.
    fn end_all(&mut self) {
        self.report.power_losses_of_all += 1;
        let by_power = self.fleet.random.random_bool(0.7);
        for host in 0..HOSTS {
            if by_power {
                self.fleet.lose_power(host);
            } else {
                self.fleet.kill(host);
            }
        }
        for host in 0..HOSTS {
            self.start(host);
        }
        self.until_level();
    }

    /// The disk refuses writes while the process starts: it reads, and gives no vote.
    fn restart_on_full_disk(&mut self, host: usize) {
        self.report.starts_on_full_disks += 1;
        self.fleet.kill(host);
        self.fleet.hosts[host].disk.set_full(true);
        assert!(self.fleet.start(host), "what is on a full disk can be read");
    }

    fn relieve(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Away(host) => self.start(host),
            Trouble::Full(host) => self.fleet.hosts[host].disk.set_full(false),
            Trouble::Slow(host) => self.fleet.hosts[host].sync = Duration::from_millis(3),
            Trouble::Frozen(host) => {
                self.starting
                    .push((host, self.fleet.now, self.acknowledged));
                self.fleet.thaw(host);
            }
        }
    }

    fn start(&mut self, host: usize) {
        assert!(self.fleet.start(host), "host {host} starts");
        self.starting
            .push((host, self.fleet.now, self.acknowledged));
    }

    /// Lets those that have started become level.
    fn until_level(&mut self) {
        let limit = self.fleet.now + CATCH_UP;
        while !self.starting.is_empty() && self.fleet.now < limit {
            self.run(Duration::from_millis(5));
        }
        for (host, start, floor) in std::mem::take(&mut self.starting) {
            self.violate(format!(
                "host {host}, started at {start:?}, never came to {floor}"
            ));
        }
        if limit > self.fleet.now {
            self.run(limit - self.fleet.now);
        }
    }

    fn violate(&mut self, what: String) {
        self.report
            .violations
            .push(format!("{what}, at {:?}", self.fleet.now));
    }

    /// All power is lost at the end; what was acknowledged is there.
    fn end(mut self) -> Report {
        if let Some((trouble, _)) = self.open.take() {
            self.relieve(trouble);
            self.until_level();
        }
        self.end_all();
        let newest = self.acknowledged;
        for host in 0..HOSTS {
            let found = self.fleet.hosts[host].generation();
            if found != Some(newest) {
                self.violate(format!("host {host} ends with {found:?}"));
            }
            let entry = &self.fleet.hosts[host];
            self.report.peak_bytes = self.report.peak_bytes.max(entry.peak_bytes);
            self.report.failed_writes += entry.failed_writes;
        }
        self.report.violations.append(&mut self.fleet.violations);
        self.report
    }
}
