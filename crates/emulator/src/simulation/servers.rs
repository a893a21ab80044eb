//! Servers with their surroundings: processes that start and end, jobs that begin and leave.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Outcome, Phase, ServerId};
use slotmap::Key as _;

use super::Simulation;
use super::event::SimulationEvent;
use super::request::{Attempt, request_key};
use crate::fault_schedule::Degradation;
use crate::judge::Rule;
use crate::random::hash_parts;
use crate::scenario::{DeduplicationGroup, EffectSpec, seconds};
use crate::server::{Job, JobEvent, JobKey, Server};

/// A server with its surroundings. Its number is its position; a replacement has a new one.
pub(super) struct Machine {
    pub(super) server: Server,
    pub(super) id: ServerId,
    pub(super) zone: usize,
    pub(super) position: u32,
    pub(super) pool: usize,
    pub(super) incarnation: u32,
    pub(super) connections: u32,
    pub(super) phase: Phase,
    /// Its machine gives no sign.
    pub(super) unresponsive: bool,
    /// Pushed over while cold: it stays down.
    pub(super) crashed_by_overload: bool,
    /// The version of the list that first showed its latest start.
    pub(super) start_version: usize,
    pub(super) next_wakeup: Micros,
    /// Busy share at each sample, and what was counted at the last one.
    pub(super) utilization: Vec<f32>,
    pub(super) last_sample: (f64, f64),
}

/// A position that a server stands at: its address.
pub(super) struct Position {
    pub(super) machine: u32,
    pub(super) slowdowns: BTreeMap<usize, f64>,
    pub(super) degradations: BTreeMap<usize, Degradation>,
    pub(super) pauses: u32,
    pub(super) outages: u32,
}

pub(super) fn server_id(number: u32) -> ServerId {
    // The order of the ids tells nothing; the low half leads back to the server.
    ServerId(hash_parts([u64::from(number), 0x5e, 0, 0]) << 32 | u64::from(number))
}

pub(super) fn server_number(id: ServerId) -> u32 {
    id.0 as u32
}

/// Looking up a repeat costs a server this much work.
const DUPLICATE_LOOKUP_WORK: f64 = 200.0;

impl Simulation<'_> {
    pub(super) fn advance(&mut self, server: u32) {
        let mut job_events = std::mem::take(&mut self.job_events);
        self.machines[server as usize]
            .server
            .advance(self.now, &mut job_events);
        self.job_events = job_events;
    }

    /// Handles the job events of a server, and schedules when it must be advanced next.
    pub(super) fn handle_job_events(&mut self, server: u32) {
        let mut job_events = std::mem::take(&mut self.job_events);
        for what in job_events.drain(..) {
            match what {
                JobEvent::Started(job) => self.job_started(server, job),
                JobEvent::Finished(job) => self.job_ended(server, &job, Outcome::Ok),
                JobEvent::Dropped(job) => self.job_ended(server, &job, Outcome::Overloaded),
            }
        }
        self.job_events = job_events;
        let machine = &mut self.machines[server as usize];
        if let Some(at) = machine
            .server
            .next_deadline()
            .map(|due| due.max(self.now + 1))
            && at < machine.next_wakeup
        {
            machine.next_wakeup = at;
            self.queue
                .push(at, SimulationEvent::ServerDeadline { server, at });
        }
    }

    /// A request begins to run: this is where an effect happens.
    pub(super) fn job_started(&mut self, server: u32, job_key: JobKey) {
        let machine = &self.machines[server as usize];
        let Some(job) = machine.server.job(job_key) else {
            return;
        };
        let (zone, op_key) = (machine.zone, job.op);
        let op = &mut self.operations[op_key];
        let spec = &self.scenario.classes[op.class as usize];
        let (now, number, proxy) = (self.now, op.number, op.proxy);
        match spec.effect {
            EffectSpec::Idempotent => {}
            EffectSpec::NonIdempotent if op.executions.is_empty() => {}
            EffectSpec::NonIdempotent => {
                let what = format!("`{}` ran again, which it must never", spec.name);
                self.judge.record_violation(
                    Rule::NoEffectTwice,
                    now,
                    proxy,
                    Some(server),
                    Some(number),
                    what,
                );
            }
            EffectSpec::Deduplicated => {
                let window = seconds(spec.deduplication_window_s);
                let same =
                    |run: &&(usize, Micros)| spec.group == DeduplicationGroup::All || run.0 == zone;
                if op
                    .executions
                    .iter()
                    .filter(same)
                    .any(|run| now < run.1 + window)
                {
                    // The server knows it: a repeat is looked up and answered, and has no effect.
                    self.machines[server as usize]
                        .server
                        .shorten(job_key, DUPLICATE_LOOKUP_WORK);
                    return self.judge.record_fact(4, [number, now, u64::from(server)]);
                }
                // An attempt that was given up and yet ran, long after: no policy could know, and
                // no rule is broken, but the effect is there and is counted.
                self.late_repeats += u64::from(!op.executions.is_empty());
            }
        }
        op.executions.push((zone, now));
        self.judge.record_fact(3, [number, now, u64::from(server)]);
    }

    /// Sends what a server in `zone` responds to a job, unless its proxy no longer waits.
    /// `leg` names the message, so that its latency is its own.
    pub(super) fn send_response(&mut self, zone: usize, job: &Job, outcome: Outcome, leg: u64) {
        let Some(held) = self
            .requests
            .get(request_key(job.request))
            .filter(|_| !job.cancelled)
        else {
            return;
        };
        let to = self.proxies[held.proxy as usize].zone;
        let (number, n) = (self.operations[held.op].number, job.attempt);
        let way = self
            .network
            .delay(zone, to, [number, u64::from(n) << 8 | leg]);
        let from = self
            .network
            .partition_end(zone, to, self.now)
            .unwrap_or(self.now);
        self.queue.push(
            from + way,
            SimulationEvent::ResponseAtProxy {
                request: job.request,
                n,
                outcome,
            },
        );
    }

    pub(super) fn job_ended(&mut self, server: u32, job: &Job, outcome: Outcome) {
        let machine = &self.machines[server as usize];
        let position = &self.positions[machine.position as usize];
        let silent = position
            .degradations
            .values()
            .any(|degradation| degradation.class == job.class && degradation.unanswered);
        let zone = machine.zone;
        if !silent {
            self.send_response(zone, job, outcome, 5);
        }
        self.release(job.op);
    }

    /// A server's process ends, or its machine vanishes.
    pub(super) fn stop_server(&mut self, server: u32, silent: bool) {
        self.advance(server);
        self.handle_job_events(server);
        let machine = &mut self.machines[server as usize];
        if !machine.server.up {
            return;
        }
        let zone = machine.zone;
        let jobs = machine.server.stop();
        machine.incarnation += 1;
        machine.unresponsive = silent;
        (machine.connections, machine.next_wakeup) = (0, Micros::MAX);
        self.judge.warm_up_ended(server);
        for job in jobs {
            if !silent {
                self.send_response(zone, &job, Outcome::Reset, 6);
            }
            self.release(job.op);
        }
        let gone = seconds(self.scenario.discovery.removal_delay_s);
        self.queue
            .push(self.now + gone, SimulationEvent::ListUpdate(server));
    }

    /// A server's process starts, cold; connections that led to its last incarnation are reset.
    pub(super) fn start_server(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        if machine.server.up || machine.crashed_by_overload || machine.phase == Phase::Gone {
            return;
        }
        let was_silent = std::mem::replace(&mut machine.unresponsive, false);
        machine.server.start(self.now);
        machine.start_version = usize::MAX;
        let incarnation = machine.incarnation;
        let zone = machine.zone;
        self.apply_faults(server);
        let start = seconds(self.scenario.discovery.start_delay_s);
        self.queue
            .push(self.now + start, SimulationEvent::ListUpdate(server));
        if was_silent {
            let stuck = |a: &Attempt| {
                a.open && a.server == server && a.incarnation < incarnation && a.connected
            };
            let found: Vec<(u64, u8, u32)> = self
                .requests
                .iter()
                .flat_map(|(key, t)| {
                    let stuck = t.attempts.iter().enumerate().filter(|(_, a)| stuck(a));
                    stuck.map(move |(n, _)| (key.data().as_ffi(), n as u8, t.proxy))
                })
                .collect();
            for (request, n, proxy) in found {
                let way = self
                    .network
                    .base_delay(zone, self.proxies[proxy as usize].zone);
                self.queue.push(
                    self.now + way,
                    SimulationEvent::ResponseAtProxy {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            }
        }
    }

    /// Applies the faults in force at the position of a server to its speed.
    pub(super) fn apply_faults(&mut self, server: u32) {
        self.advance(server);
        let machine = &mut self.machines[server as usize];
        let position = &self.positions[machine.position as usize];
        machine
            .server
            .set_fault(position.slowdowns.values().product(), position.pauses > 0);
        machine.next_wakeup = Micros::MAX;
        self.handle_job_events(server);
    }
}
