//! Servers with their surroundings: processes that start and end, jobs that begin and leave.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Outcome, Phase, ServerId};
use slotmap::Key as _;

use super::World;
use super::event::What;
use super::request::{Attempt, key};
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
    pub(super) place: u32,
    pub(super) pool: usize,
    pub(super) life: u32,
    pub(super) connections: u32,
    pub(super) phase: Phase,
    /// Its machine gives no sign.
    pub(super) vanished: bool,
    /// Pushed over while cold: it stays down.
    pub(super) fallen: bool,
    /// The change of the list that told of its latest start.
    pub(super) told_at: usize,
    pub(super) armed: Micros,
    /// Busy share at each sample, and what was counted at the last one.
    pub(super) busy: Vec<f32>,
    pub(super) before: (f64, f64),
}

/// A place that a server stands at: its address.
pub(super) struct Place {
    pub(super) machine: u32,
    pub(super) slow: BTreeMap<usize, f64>,
    pub(super) degradations: BTreeMap<usize, Degradation>,
    pub(super) stopped: u32,
    pub(super) lost: u32,
}

pub(super) fn server_id(number: u32) -> ServerId {
    // The order of the ids tells nothing; the low half leads back to the server.
    ServerId(hash_parts([u64::from(number), 0x5e, 0, 0]) << 32 | u64::from(number))
}

pub(super) fn number_of(id: ServerId) -> u32 {
    id.0 as u32
}

/// Looking up a repeat costs a server this much work.
const LOOK_UP: f64 = 200.0;

impl World<'_> {
    pub(super) fn advance(&mut self, server: u32) {
        let mut happened = std::mem::take(&mut self.happened);
        self.machines[server as usize]
            .server
            .advance(self.now, &mut happened);
        self.happened = happened;
    }

    /// Carries out what happened at a server, and looks at it again when it wants to be.
    pub(super) fn touched(&mut self, server: u32) {
        let mut happened = std::mem::take(&mut self.happened);
        for what in happened.drain(..) {
            match what {
                JobEvent::Started(job) => self.began(server, job),
                JobEvent::Finished(job) => self.left_server(server, &job, Outcome::Ok),
                JobEvent::Dropped(job) => self.left_server(server, &job, Outcome::Overloaded),
            }
        }
        self.happened = happened;
        let machine = &mut self.machines[server as usize];
        if let Some(at) = machine
            .server
            .next_deadline()
            .map(|due| due.max(self.now + 1))
            && at < machine.armed
        {
            machine.armed = at;
            self.queue.push(at, What::Look { server, at });
        }
    }

    /// A request begins to run: this is where an effect happens.
    pub(super) fn began(&mut self, server: u32, job_key: JobKey) {
        let machine = &self.machines[server as usize];
        let Some(job) = machine.server.job(job_key) else {
            return;
        };
        let (zone, op_key) = (machine.zone, job.op);
        let op = &mut self.ops[op_key];
        let spec = &self.scenario.classes[op.class as usize];
        let (now, number, proxy) = (self.now, op.number, op.proxy);
        match spec.effect {
            EffectSpec::Idempotent => {}
            EffectSpec::NonIdempotent if op.runs.is_empty() => {}
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
                if op.runs.iter().filter(same).any(|run| now < run.1 + window) {
                    // The server knows it: a repeat is looked up and answered, and has no effect.
                    self.machines[server as usize]
                        .server
                        .shorten(job_key, LOOK_UP);
                    return self.judge.record_fact(4, [number, now, u64::from(server)]);
                }
                // An attempt that was given up and yet ran, long after: no policy could know, and
                // no rule is broken, but the effect is there and is counted.
                self.late_repeats += u64::from(!op.runs.is_empty());
            }
        }
        op.runs.push((zone, now));
        self.judge.record_fact(3, [number, now, u64::from(server)]);
    }

    /// What a server in `zone` says of a job goes on its way, unless its proxy no longer waits.
    /// `leg` names the message, so that its latency is its own.
    pub(super) fn reply(&mut self, zone: usize, job: &Job, outcome: Outcome, leg: u64) {
        let Some(held) = self.tries.get(key(job.request)).filter(|_| !job.cancelled) else {
            return;
        };
        let to = self.proxies[held.proxy as usize].zone;
        let (number, n) = (self.ops[held.op].number, job.attempt);
        let way = self
            .network
            .delay(zone, to, [number, u64::from(n) << 8 | leg]);
        let from = self
            .network
            .partition_end(zone, to, self.now)
            .unwrap_or(self.now);
        self.queue.push(
            from + way,
            What::Back {
                request: job.request,
                n,
                outcome,
            },
        );
    }

    pub(super) fn left_server(&mut self, server: u32, job: &Job, outcome: Outcome) {
        let machine = &self.machines[server as usize];
        let place = &self.places[machine.place as usize];
        let silent = place
            .degradations
            .values()
            .any(|degradation| degradation.class == job.class && degradation.unanswered);
        let zone = machine.zone;
        if !silent {
            self.reply(zone, job, outcome, 5);
        }
        self.release(job.op);
    }

    /// A server's process ends, or its machine vanishes.
    pub(super) fn end_server(&mut self, server: u32, silent: bool) {
        self.advance(server);
        self.touched(server);
        let machine = &mut self.machines[server as usize];
        if !machine.server.up {
            return;
        }
        let zone = machine.zone;
        let jobs = machine.server.stop();
        machine.life += 1;
        machine.vanished = silent;
        (machine.connections, machine.armed) = (0, Micros::MAX);
        self.judge.warm_up_ended(server);
        for job in jobs {
            if !silent {
                self.reply(zone, &job, Outcome::Reset, 6);
            }
            self.release(job.op);
        }
        let gone = seconds(self.scenario.discovery.removal_delay_s);
        self.queue.push(self.now + gone, What::Visible(server));
    }

    /// A server's process starts, cold; connections that led to its last life are reset.
    pub(super) fn start_server(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        if machine.server.up || machine.fallen || machine.phase == Phase::Gone {
            return;
        }
        let was_silent = std::mem::replace(&mut machine.vanished, false);
        machine.server.start(self.now);
        machine.told_at = usize::MAX;
        let life = machine.life;
        let zone = machine.zone;
        self.hamper(server);
        let start = seconds(self.scenario.discovery.start_delay_s);
        self.queue.push(self.now + start, What::Visible(server));
        if was_silent {
            let stuck = |a: &Attempt| a.out && a.server == server && a.life < life && a.connected;
            let found: Vec<(u64, u8, u32)> = self
                .tries
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
                    What::Back {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            }
        }
    }

    /// What goes on round a server makes it slower, or stop.
    pub(super) fn hamper(&mut self, server: u32) {
        self.advance(server);
        let machine = &mut self.machines[server as usize];
        let place = &self.places[machine.place as usize];
        machine
            .server
            .set_fault(place.slow.values().product(), place.stopped > 0);
        machine.armed = Micros::MAX;
        self.touched(server);
    }
}
