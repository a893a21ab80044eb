//! One server: a queue, slots, and cores that those in the slots share.
//!
//! Work is counted in microseconds on a core of speed 1. Each job in a slot runs at `speed x warmth
//! / slowness x min(1, cores / jobs)`; since all run alike, one running sum of work done per job
//! serves them all, and a job is finished when the sum has grown by its work. The server does no
//! I/O: it is told of time, tells when it wants to be looked at, and what began, finished or was
//! dropped.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use ironmast_balancer::Micros;
use slotmap::{DefaultKey, SlotMap};

use crate::scenario::Pool;

/// A job's place at its server.
pub(crate) type JobKey = DefaultKey;
/// Steps in which a cold server's speed climbs.
const RAMP_STEPS: f64 = 64.0;

/// A request at a server.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The try it belongs to, and the attempt's number.
    pub request: u64,
    /// See `request`.
    pub attempt: u8,
    /// Where the caller keeps the operation.
    pub op: DefaultKey,
    /// Its class.
    pub class: u8,
    /// Work, in core-microseconds.
    pub work: f64,
    /// When its client gives up.
    pub expires: Micros,
    /// When it came.
    pub came: Micros,
    /// Its client's proxy no longer waits.
    pub cancelled: bool,
    /// It is in a slot.
    pub began: bool,
}

/// What happened at a server.
#[derive(Debug)]
pub(crate) enum Happened {
    /// A job went into a slot.
    Began(JobKey),
    /// A job's work is done.
    Finished(Job),
    /// A job left the queue without having begun.
    Dropped(Job),
}

/// What a server did so far, as integrals over time.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Core-microseconds in use.
    pub busy: f64,
    /// Core-microseconds that were there.
    pub there: f64,
    /// Requests waiting x microseconds.
    pub waiting: f64,
    /// Requests held (waiting or in work) x microseconds.
    pub held: f64,
    /// Jobs that left the queue for a slot, and the sum of their waits.
    pub began: u64,
    /// See `began`.
    pub waits: f64,
    /// Jobs finished, and the sum of their times here.
    pub finished: u64,
    /// See `finished`.
    pub stays: f64,
    /// Microseconds during which at least so many were held, for 1, 2, ...
    pub at_least: [f64; 16],
    /// Most held at once.
    pub most: u32,
}

/// One server.
pub(crate) struct Server {
    cores: f64,
    slots: usize,
    queue_most: usize,
    speed: f64,
    cold: (f64, f64, f64),
    overdrive: (f64, Micros, f64, Micros),
    drops: (bool, bool),
    /// Whether it takes jobs.
    pub up: bool,
    /// When its process started; 0: long ago.
    pub started: Micros,
    jobs: SlotMap<JobKey, Job>,
    queue: VecDeque<JobKey>,
    waiting: usize,
    /// Those in slots, by the sum at which they are done.
    running: BinaryHeap<(Reverse<u64>, Reverse<u64>, JobKey)>,
    in_work: usize,
    number: u64,
    /// Work done per job in a slot since the start.
    sum: f64,
    /// Work that is owed before any job moves on: handshakes, probes.
    owed: f64,
    /// How many times slower it is, by what goes on round it.
    slowness: f64,
    stopped: bool,
    over_since: Option<Micros>,
    overdriven: bool,
    calm_since: Option<Micros>,
    done_work: f64,
    now: Micros,
    /// What it did so far.
    pub tally: Tally,
    fine: bool,
}

/// A sum of work as an integer that sorts like it: 2^-10 of a core-microsecond.
fn ticks(sum: f64) -> u64 {
    (sum * 1024.0) as u64
}

impl Server {
    /// A server that is up and warm. `fine`: keep the distribution of how many are held.
    pub(crate) fn new(pool: &Pool, speed: f64, now: Micros, fine: bool) -> Self {
        Server {
            cores: f64::from(pool.cores),
            slots: pool.in_work() as usize,
            queue_most: pool.queue as usize,
            speed,
            cold: (pool.cold_share, pool.cold_s * 1e6, pool.cold_work_s * 1e6),
            overdrive: (
                pool.overdrive_ratio,
                (pool.overdrive_s * 1e6) as Micros,
                pool.overdrive_factor,
                (pool.recover_s * 1e6) as Micros,
            ),
            drops: (pool.drops_cancelled, pool.drops_overdue),
            up: true,
            started: 0,
            jobs: SlotMap::new(),
            queue: VecDeque::new(),
            waiting: 0,
            running: BinaryHeap::new(),
            in_work: 0,
            number: 0,
            sum: 0.0,
            owed: 0.0,
            slowness: 1.0,
            stopped: false,
            over_since: None,
            overdriven: false,
            calm_since: None,
            done_work: 0.0,
            now,
            tally: Tally::default(),
            fine,
        }
    }

    /// Part of its full speed that it has, 0 to 1.
    pub(crate) fn warmth(&self, now: Micros) -> f64 {
        let (share, over, by_work) = self.cold;
        if self.started == 0 || share >= 1.0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.started) as f64 / over;
        let by_work = if by_work > 0.0 {
            self.done_work / by_work
        } else {
            0.0
        };
        let step = ((by_time.max(by_work) * RAMP_STEPS).floor() / RAMP_STEPS).min(1.0);
        share + (1.0 - share) * step
    }

    /// Core-microseconds of work it can do in a microsecond, all cores together.
    pub(crate) fn capacity(&self, now: Micros) -> f64 {
        let overdriven = if self.overdriven {
            self.overdrive.2
        } else {
            1.0
        };
        let stopped = if self.stopped { 0.0 } else { 1.0 };
        stopped * self.cores * self.speed * self.warmth(now) / self.slowness / overdriven
    }

    /// Capacity when warm and well.
    pub(crate) fn size(&self) -> f64 {
        self.cores * self.speed
    }

    /// Requests waiting or in work.
    pub(crate) fn held(&self) -> usize {
        self.waiting + self.in_work
    }

    /// Microseconds that a job that came now would wait, and until it would be done, if nothing
    /// else came: the true state.
    pub(crate) fn would_take(&self, now: Micros, work: f64) -> (f64, f64) {
        if !self.up || self.stopped {
            return (f64::INFINITY, f64::INFINITY);
        }
        let capacity = self.capacity(now);
        let core = capacity / self.cores;
        let ahead = (self.held() as f64 + 1.0 - self.cores).max(0.0);
        let waits = self.owed / capacity + ahead / self.cores * work / core;
        (waits, waits + work / core)
    }

    /// Whether one more would be more than it bears for long.
    pub(crate) fn near_overdrive(&self) -> bool {
        self.overdrive.0 > 0.0 && self.held() as f64 + 1.0 > self.overdrive.0 * self.cores
    }

    fn rate(&self) -> f64 {
        let sharing = (self.cores / self.in_work.max(1) as f64).min(1.0);
        self.capacity(self.now) / self.cores * sharing
    }

    /// Lets time pass up to `now`.
    pub(crate) fn advance(&mut self, now: Micros, out: &mut Vec<Happened>) {
        while self.now < now {
            // The next moment at which something changes by itself, or the end of the stretch.
            let next = self.due().map_or(now, |due| due.clamp(self.now + 1, now));
            self.pass(next);
            self.settle(out);
        }
    }

    fn pass(&mut self, to: Micros) {
        let dt = (to - self.now) as f64;
        let (held, in_work) = (self.held(), self.in_work as f64);
        let t = &mut self.tally;
        if self.up {
            t.there += self.cores * dt;
            t.busy += in_work.min(self.cores) * dt;
            t.waiting += self.waiting as f64 * dt;
            t.held += held as f64 * dt;
            if self.fine {
                t.at_least.iter_mut().take(held).for_each(|v| *v += dt);
            }
        }
        let capacity = self.capacity(self.now);
        let paid = self.owed.min(dt * capacity);
        self.owed -= paid;
        let dt = if capacity > 0.0 {
            dt - paid / capacity
        } else {
            dt
        };
        let step = dt * self.rate();
        self.sum += step;
        self.done_work += step * in_work;
        self.now = to;
    }

    /// Ends what is done, fills free slots, and notes whether it is overdriven.
    fn settle(&mut self, out: &mut Vec<Happened>) {
        while let Some(&(Reverse(at), _, key)) = self.running.peek() {
            let live = self.jobs.contains_key(key);
            if live && at > ticks(self.sum) {
                break;
            }
            self.running.pop();
            if let Some(job) = self.jobs.remove(key) {
                self.in_work -= 1;
                self.tally.finished += 1;
                self.tally.stays += (self.now - job.came) as f64;
                out.push(Happened::Finished(job));
            }
        }
        while self.in_work < self.slots {
            let Some(key) = self.queue.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            self.waiting -= 1;
            if self.drops.0 && job.cancelled || self.drops.1 && job.expires <= self.now {
                out.extend(self.jobs.remove(key).map(Happened::Dropped));
                continue;
            }
            self.begin(key, out);
        }
        let (ratio, after, _, rest) = self.overdrive;
        if ratio > 0.0 {
            let over = self.held() as f64 > ratio * self.cores;
            self.over_since = if over {
                self.over_since.or(Some(self.now))
            } else {
                None
            };
            let calm = self.overdriven && self.in_work as f64 <= self.cores / 2.0;
            self.calm_since = if calm {
                self.calm_since.or(Some(self.now))
            } else {
                None
            };
            if self.over_since.is_some_and(|at| self.now >= at + after) {
                self.overdriven = true;
            }
            if self.calm_since.is_some_and(|at| self.now >= at + rest) {
                (self.overdriven, self.calm_since) = (false, None);
            }
        }
    }

    fn begin(&mut self, key: JobKey, out: &mut Vec<Happened>) {
        let job = &mut self.jobs[key];
        job.began = true;
        self.in_work += 1;
        self.tally.began += 1;
        self.tally.waits += (self.now - job.came) as f64;
        self.number += 1;
        self.running.push((
            Reverse(ticks(self.sum + job.work) + 1),
            Reverse(self.number),
            key,
        ));
        out.push(Happened::Began(key));
    }

    /// When it wants to be looked at, if nothing else happens.
    pub(crate) fn due(&self) -> Option<Micros> {
        let mut due = Micros::MAX;
        let rate = self.rate();
        if let Some(&(Reverse(at), ..)) = self.running.peek()
            && rate > 0.0
        {
            let left = (at as f64 / 1024.0 - self.sum).max(0.0) / rate;
            let owed = self.owed / self.capacity(self.now);
            due = self.now + (left + owed).ceil().min(1e15) as Micros;
        }
        if self.in_work > 0 && self.started > 0 && self.warmth(self.now) < 1.0 {
            let step = self.cold.1 / RAMP_STEPS;
            let passed = (self.now.saturating_sub(self.started) as f64 / step).floor() + 1.0;
            due = due.min((self.started + (passed * step).ceil() as Micros).max(self.now + 1));
        }
        let (_, after, _, rest) = self.overdrive;
        if let Some(at) = self.over_since.filter(|_| !self.overdriven) {
            due = due.min((at + after).max(self.now + 1));
        }
        if let Some(at) = self.calm_since {
            due = due.min((at + rest).max(self.now + 1));
        }
        (due != Micros::MAX).then_some(due)
    }

    /// Takes a job, or turns it away where the queue is full. Time has been passed up to now.
    pub(crate) fn arrive(&mut self, job: Job, out: &mut Vec<Happened>) -> Option<JobKey> {
        if !self.up || self.in_work >= self.slots && self.waiting >= self.queue_most {
            return None;
        }
        let key = self.jobs.insert(job);
        self.queue.push_back(key);
        self.waiting += 1;
        self.settle(out);
        self.tally.most = self.tally.most.max(self.held() as u32);
        Some(key)
    }

    /// The job at a key.
    pub(crate) fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Gives a job that has just begun other work: a repeat that the server only looks up.
    pub(crate) fn shorten(&mut self, key: JobKey, work: f64) {
        if self.jobs.get(key).is_some_and(|job| job.work > work) {
            self.number += 1;
            self.running.retain(|entry| entry.2 != key);
            self.running.push((
                Reverse(ticks(self.sum + work) + 1),
                Reverse(self.number),
                key,
            ));
        }
    }

    /// Its proxy no longer waits for a job. It goes where the server notices that, and is given
    /// back.
    pub(crate) fn cancel(&mut self, key: JobKey, out: &mut Vec<Happened>) -> Option<Job> {
        let job = self.jobs.get_mut(key)?;
        job.cancelled = true;
        if !self.drops.0 {
            return None;
        }
        if job.began {
            self.in_work -= 1;
        } else {
            self.waiting -= 1;
        }
        let job = self.jobs.remove(key);
        self.settle(out);
        job
    }

    /// Owes some work before any job moves on.
    pub(crate) fn owe(&mut self, work: f64) {
        self.owed += work;
    }

    /// Sets how many times slower it is, and whether it stands still.
    pub(crate) fn hamper(&mut self, slowness: f64, stopped: bool) {
        (self.slowness, self.stopped) = (slowness, stopped);
    }

    /// Its process ends; what it held is given back.
    pub(crate) fn end(&mut self) -> Vec<Job> {
        self.up = false;
        self.queue.clear();
        self.running.clear();
        (self.waiting, self.in_work, self.owed, self.done_work) = (0, 0, 0.0, 0.0);
        (self.over_since, self.calm_since, self.overdriven) = (None, None, false);
        self.jobs.drain().map(|(_, job)| job).collect()
    }

    /// A process starts, cold.
    pub(crate) fn start(&mut self, now: Micros) {
        (self.up, self.started, self.now) = (true, now, now);
    }

    /// Whether it is on its way from cold to warm.
    pub(crate) fn is_cold(&self, now: Micros) -> bool {
        self.started > 0 && self.warmth(now) < 1.0
    }
}
