//! The model of a server: a queue, slots, and cores that the jobs in the slots share.
//!
//! Work is measured in microseconds on a core of speed 1. Each job in a slot runs at `speed x
//! speed share / slowness x min(1, cores / jobs)` (processor sharing); the speed share is below 1
//! while the server warms up. Since all jobs run at the same rate, one running sum of the work done
//! per job serves all of them: a job is finished when the sum has grown by its work. The caller
//! advances the server's time; the server returns when it must be advanced next and which jobs
//! started, finished or were dropped.

mod estimate;
mod job;
mod overdrive;
mod statistics;
mod warm_up;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use ironmast_balancer::Micros;
use slotmap::SlotMap;

use crate::scenario::Pool;
pub use estimate::Estimate;
pub(crate) use job::{Job, JobEvent, JobKey};
use overdrive::{Overdrive, OverdriveRule};
use statistics::Occupancy;
pub(crate) use statistics::OccupancyDistribution;
pub use statistics::ServerStatistics;
use warm_up::WarmUp;

/// The resolution of the sums of work that order the running jobs, in ticks per core-microsecond.
const TICKS_PER_MICROSECOND: f64 = 1024.0;

/// The upper bound of the computed time to the next completion, in microseconds (about 30 years).
const MAX_WAIT: f64 = 1e15;

/// The jobs that a server drops instead of executing them.
#[derive(Clone, Copy, Debug)]
struct DropRule {
    /// Whether cancelled jobs are dropped.
    cancelled: bool,
    /// Whether queued jobs are dropped once their clients' timeouts have ended.
    overdue: bool,
}

/// A job in a slot, ordered by the sum of work at which it is finished, in ticks, then by the order
/// of starting.
type Running = (Reverse<u64>, Reverse<u64>, JobKey);

/// A simulated server.
pub(crate) struct Server {
    cores: f64,
    slots: usize,
    queue_limit: usize,
    speed: f64,
    warm_up: WarmUp,
    overdrive_rule: OverdriveRule,
    drops: DropRule,
    /// Whether the process runs. A server that is down accepts no jobs.
    pub up: bool,
    /// When the process started; 0 if before the run.
    pub started: Micros,
    jobs: SlotMap<JobKey, Job>,
    /// Keys of queued jobs, including stale keys of jobs that were cancelled and removed.
    queue: VecDeque<JobKey>,
    queued: usize,
    running: BinaryHeap<Running>,
    in_slots: usize,
    sequence: u64,
    /// The running sum of the work done per job in a slot, in core-microseconds.
    work_sum: f64,
    /// Work of handshakes and health checks, in core-microseconds, which is done before any job
    /// advances.
    overhead: f64,
    /// The factor by which faults slow the server down.
    slowness: f64,
    paused: bool,
    overdrive: Overdrive,
    /// The work done since the start of the process, in core-microseconds, for the warm-up.
    work_done: f64,
    now: Micros,
    /// Totals since the creation of the server, or since they were last reset.
    pub statistics: ServerStatistics,
    occupancy_distribution: OccupancyDistribution,
}

/// Converts a sum of work to ticks, which have the same order.
fn ticks(sum: f64) -> u64 {
    (sum * TICKS_PER_MICROSECOND) as u64
}

impl Server {
    /// Creates a server that is up and warm.
    pub(crate) fn new(
        pool: &Pool,
        speed: f64,
        now: Micros,
        occupancy_distribution: OccupancyDistribution,
    ) -> Self {
        Server {
            cores: f64::from(pool.cores),
            slots: pool.slot_count() as usize,
            queue_limit: pool.queue as usize,
            speed,
            warm_up: WarmUp::new(pool),
            overdrive_rule: OverdriveRule::new(pool),
            drops: DropRule {
                cancelled: pool.drops_cancelled,
                overdue: pool.drops_overdue,
            },
            up: true,
            started: 0,
            jobs: SlotMap::new(),
            queue: VecDeque::new(),
            queued: 0,
            running: BinaryHeap::new(),
            in_slots: 0,
            sequence: 0,
            work_sum: 0.0,
            overhead: 0.0,
            slowness: 1.0,
            paused: false,
            overdrive: Overdrive::default(),
            work_done: 0.0,
            now,
            statistics: ServerStatistics::default(),
            occupancy_distribution,
        }
    }

    /// The current share of the full speed, 0 to 1; below 1 during the warm-up.
    pub(crate) fn speed_share(&self, now: Micros) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let since_start = now.saturating_sub(self.started);
        self.warm_up.speed_share(since_start, self.work_done)
    }

    /// The work that all cores together can do now, in core-microseconds per microsecond.
    pub(crate) fn capacity(&self, now: Micros) -> f64 {
        let slowdown = self.overdrive.slowdown(&self.overdrive_rule);
        let running = if self.paused { 0.0 } else { 1.0 };
        running * self.cores * self.speed * self.speed_share(now) / self.slowness / slowdown
    }

    /// The capacity when warm and without faults, in core-microseconds per microsecond.
    pub(crate) fn full_capacity(&self) -> f64 {
        self.cores * self.speed
    }

    /// The number of requests queued or in a slot.
    pub(crate) fn in_system(&self) -> usize {
        self.queued + self.in_slots
    }

    /// The waiting time and sojourn time of a job that arrived now, from the true state and on the
    /// assumption that no other job arrives.
    pub(crate) fn estimate(&self, now: Micros, work: f64) -> Estimate {
        if !self.up || self.paused {
            return Estimate::NEVER;
        }
        let capacity = self.capacity(now);
        let core = capacity / self.cores;
        let ahead = (self.in_system() as f64 + 1.0 - self.cores).max(0.0);
        let wait = self.overhead / capacity + ahead / self.cores * work / core;
        Estimate {
            wait,
            total: wait + work / core,
        }
    }

    /// Whether one more request would exceed the limit of the overdrive rule.
    pub(crate) fn near_overdrive(&self) -> bool {
        let in_system = self.in_system() as f64 + 1.0;
        self.overdrive_rule.is_exceeded(in_system, self.cores)
    }

    fn occupancy(&self) -> Occupancy {
        Occupancy {
            cores: self.cores,
            queued: self.queued,
            in_slots: self.in_slots,
        }
    }

    /// The speed of each job in a slot, in core-microseconds per microsecond.
    fn rate(&self) -> f64 {
        let sharing = (self.cores / self.in_slots.max(1) as f64).min(1.0);
        self.capacity(self.now) / self.cores * sharing
    }

    /// Advances the server's time to `now` and appends what became of its jobs.
    pub(crate) fn advance(&mut self, now: Micros, events: &mut Vec<JobEvent>) {
        while self.now < now {
            // The time of the next change of state, or `now` if there is none before.
            let next = self
                .next_deadline()
                .map_or(now, |due| due.clamp(self.now + 1, now));
            self.elapse(next);
            self.update(events);
        }
    }

    /// Does the work of a period during which no job starts or finishes and no rate changes.
    fn elapse(&mut self, to: Micros) {
        let elapsed = (to - self.now) as f64;
        self.record(elapsed);
        let in_slots = self.in_slots as f64;
        let capacity = self.capacity(self.now);
        let overhead = self.overhead.min(elapsed * capacity);
        self.overhead -= overhead;
        let available = if capacity > 0.0 {
            elapsed - overhead / capacity
        } else {
            elapsed
        };
        let work_per_job = available * self.rate();
        self.work_sum += work_per_job;
        self.work_done += work_per_job * in_slots;
        self.now = to;
    }

    fn record(&mut self, elapsed: f64) {
        if self.up {
            let occupancy = self.occupancy();
            self.statistics
                .add_period(elapsed, occupancy, self.occupancy_distribution);
        }
    }

    /// Finishes the jobs whose work is done, fills free slots, and updates the overdrive state.
    fn update(&mut self, events: &mut Vec<JobEvent>) {
        self.finish_jobs(events);
        self.start_jobs(events);
        let occupancy = self.occupancy();
        self.overdrive
            .update(&self.overdrive_rule, self.now, occupancy);
    }

    fn finish_jobs(&mut self, events: &mut Vec<JobEvent>) {
        while let Some(&(Reverse(done_at), _, key)) = self.running.peek() {
            let exists = self.jobs.contains_key(key);
            if exists && done_at > ticks(self.work_sum) {
                break;
            }
            self.running.pop();
            if let Some(job) = self.jobs.remove(key) {
                self.in_slots -= 1;
                self.statistics.finished += 1;
                self.statistics.total_sojourn += (self.now - job.arrived) as f64;
                events.push(JobEvent::Finished(job));
            }
        }
    }

    fn start_jobs(&mut self, events: &mut Vec<JobEvent>) {
        while self.in_slots < self.slots {
            let Some(key) = self.queue.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            self.queued -= 1;
            let is_cancelled = self.drops.cancelled && job.cancelled;
            let is_overdue = self.drops.overdue && job.expires <= self.now;
            if is_cancelled || is_overdue {
                events.extend(self.jobs.remove(key).map(JobEvent::Dropped));
                continue;
            }
            self.start_job(key, events);
        }
    }

    fn start_job(&mut self, key: JobKey, events: &mut Vec<JobEvent>) {
        let job = &mut self.jobs[key];
        job.started = true;
        let (arrived, work) = (job.arrived, job.work);
        self.in_slots += 1;
        self.statistics.started += 1;
        self.statistics.total_wait += (self.now - arrived) as f64;
        self.push_running(key, work);
        events.push(JobEvent::Started(key));
    }

    fn push_running(&mut self, key: JobKey, work: f64) {
        self.sequence += 1;
        self.running.push((
            Reverse(ticks(self.work_sum + work) + 1),
            Reverse(self.sequence),
            key,
        ));
    }

    /// When the server must be advanced next, unless a call changes its state before.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        let changes = [
            self.next_warm_up_step(),
            self.overdrive.next_change(&self.overdrive_rule),
        ];
        let earliest_change = changes.into_iter().flatten().min();
        let change = earliest_change.map(|at| at.max(self.now + 1));
        self.next_finish().into_iter().chain(change).min()
    }

    /// When the next job in a slot finishes; `None` if no job advances.
    fn next_finish(&self) -> Option<Micros> {
        let &(Reverse(done_at), ..) = self.running.peek()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let work = (done_at as f64 / TICKS_PER_MICROSECOND - self.work_sum).max(0.0);
        let overhead = self.overhead / self.capacity(self.now);
        Some(self.now + (work / rate + overhead).ceil().min(MAX_WAIT) as Micros)
    }

    /// The time of the next speed step of the warm-up. `None` without jobs in slots, since only
    /// they depend on the speed.
    fn next_warm_up_step(&self) -> Option<Micros> {
        let matters = self.in_slots > 0 && self.is_warming_up(self.now);
        let since_start = self.now.saturating_sub(self.started);
        matters.then(|| self.started + self.warm_up.next_step(since_start))
    }

    /// Accepts a job, or returns `None` if the server is down or its slots and queue are full. The
    /// caller must have advanced the server to now.
    pub(crate) fn arrive(&mut self, job: Job, events: &mut Vec<JobEvent>) -> Option<JobKey> {
        let is_full = self.in_slots >= self.slots && self.queued >= self.queue_limit;
        if !self.up || is_full {
            return None;
        }
        let key = self.jobs.insert(job);
        self.queue.push_back(key);
        self.queued += 1;
        self.update(events);
        self.statistics.max_in_system = self.statistics.max_in_system.max(self.in_system() as u32);
        Some(key)
    }

    /// The job with a key, while it is queued or in a slot.
    pub(crate) fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Reduces the work of a job that has just started, for a duplicate whose result the server
    /// only looks up.
    pub(crate) fn shorten(&mut self, key: JobKey, work: f64) {
        if self.jobs.get(key).is_some_and(|job| job.work > work) {
            self.running.retain(|running| running.2 != key);
            self.push_running(key, work);
        }
    }

    /// Marks a job as cancelled by its proxy. If the server drops cancelled jobs, the job is
    /// removed and returned.
    pub(crate) fn cancel(&mut self, key: JobKey, events: &mut Vec<JobEvent>) -> Option<Job> {
        let job = self.jobs.get_mut(key)?;
        job.cancelled = true;
        if !self.drops.cancelled {
            return None;
        }
        if job.started {
            self.in_slots -= 1;
        } else {
            self.queued -= 1;
        }
        let job = self.jobs.remove(key);
        self.update(events);
        job
    }

    /// Adds work, in core-microseconds, that is done before any job advances.
    pub(crate) fn add_overhead(&mut self, work: f64) {
        self.overhead += work;
    }

    /// Sets the slowdown factor of the faults in force, and whether the server is paused.
    pub(crate) fn set_fault(&mut self, slowness: f64, paused: bool) {
        (self.slowness, self.paused) = (slowness, paused);
    }

    /// Ends the server's process. Returns the jobs that were queued or in a slot.
    pub(crate) fn stop(&mut self) -> Vec<Job> {
        self.up = false;
        self.queue.clear();
        self.running.clear();
        (self.queued, self.in_slots) = (0, 0);
        (self.overhead, self.work_done) = (0.0, 0.0);
        self.overdrive = Overdrive::default();
        self.jobs.drain().map(|(_, job)| job).collect()
    }

    /// Starts the server's process, which then warms up.
    pub(crate) fn start(&mut self, now: Micros) {
        (self.up, self.started, self.now) = (true, now, now);
    }

    /// Whether the server is warming up.
    pub(crate) fn is_warming_up(&self, now: Micros) -> bool {
        self.started > 0 && self.speed_share(now) < 1.0
    }
}
