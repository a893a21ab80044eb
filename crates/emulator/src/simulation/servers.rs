//! Machines, the server processes that they run one after another, and the jobs of the servers.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Outcome, Phase, ServerId};

use super::event::SimulationEvent;
use super::ids::{AttemptId, AttemptMessage, ServerIncarnation};
use super::operation::Execution;
use super::{Fact, Simulation};
use crate::fault_schedule::Degradation;
use crate::judge::Rule;
use crate::random::hash_parts;
use crate::scenario::{DeduplicationGroup, EffectSpec, seconds};
use crate::server::{Job, JobEvent, JobKey, Server};

/// The core time in use and available so far, in microseconds.
#[derive(Clone, Copy, Default)]
pub(super) struct CoreTime {
    /// The core time in use.
    pub(super) busy: f64,
    /// The core time while the server was up.
    pub(super) available: f64,
}

/// A machine that runs a server. The index of the machine is the server's number; a replacement
/// machine has a new number.
pub(super) struct Machine {
    /// The model of the server.
    pub(super) server: Server,
    /// The server's id in the endpoint list.
    pub(super) id: ServerId,
    /// The index of the zone.
    pub(super) zone: usize,
    /// The index of the position, which a replacement machine takes over.
    pub(super) position: u32,
    /// The index of the pool.
    pub(super) pool: usize,
    /// The number of times that the server has stopped.
    pub(super) incarnation: u32,
    /// The number of open connections to the current incarnation.
    pub(super) connections: u32,
    /// The phase of the server while it is up.
    pub(super) phase: Phase,
    /// Whether the machine failed silently and answers nothing that is sent to it.
    pub(super) unresponsive: bool,
    /// Whether the server crashed by overload during its warm-up. Such a server is not started
    /// again.
    pub(super) crashed_by_overload: bool,
    /// The first version of the endpoint list that shows the latest start of the server.
    pub(super) start_version: usize,
    /// The time of the valid [`SimulationEvent::ServerDeadline`]; those for other times are
    /// ignored.
    pub(super) next_deadline: Micros,
    /// The share of core time in use in each sample interval; NaN if the server was down
    /// throughout.
    pub(super) utilization: Vec<f32>,
    /// The core time at the last sample.
    pub(super) last_sample: CoreTime,
}

impl Machine {
    /// Counts connections as closed.
    pub(super) fn close_connections(&mut self, count: u32) {
        self.connections = self.connections.saturating_sub(count);
    }
}

/// A place of the fleet for one machine, with the faults in force there.
#[derive(Default)]
pub(super) struct Position {
    /// The number of the current machine.
    pub(super) machine: u32,
    /// The slowdown factors of the server, by the index of the fault.
    pub(super) slowdowns: BTreeMap<usize, f64>,
    /// The degraded classes, by the index of the fault.
    pub(super) degradations: BTreeMap<usize, Degradation>,
    /// The number of faults that pause the server.
    pub(super) pauses: u32,
    /// The number of faults that stopped the server.
    pub(super) outages: u32,
}

/// The id of a server. The lower 32 bits are the number; the upper 32 are a hash, so that the order
/// of the ids is unrelated to that of the numbers.
pub(super) fn server_id(number: u32) -> ServerId {
    ServerId(hash_parts([u64::from(number), 0x5e, 0, 0]) << 32 | u64::from(number))
}

/// The number of the server with an id.
pub(super) fn server_number(id: ServerId) -> u32 {
    id.0 as u32
}

/// The work of a duplicate, whose result the server only looks up, in core-microseconds.
const DUPLICATE_LOOKUP_WORK: f64 = 200.0;

impl Simulation<'_> {
    /// Advances a server to now.
    pub(super) fn advance(&mut self, server: u32) {
        self.machines[server as usize]
            .server
            .advance(self.now, &mut self.job_events);
    }

    /// Handles the job events of a server, and schedules its next deadline.
    pub(super) fn handle_job_events(&mut self, server: u32) {
        let mut job_events = std::mem::take(&mut self.job_events);
        for event in job_events.drain(..) {
            match event {
                JobEvent::Started(job) => self.job_started(server, job),
                JobEvent::Finished(job) => self.job_ended(server, &job, Outcome::Ok),
                JobEvent::Dropped(job) => self.job_ended(server, &job, Outcome::Overloaded),
            }
        }
        self.job_events = job_events;
        let machine = &mut self.machines[server as usize];
        let Some(due) = machine.server.next_deadline() else {
            return;
        };
        let at = due.max(self.now + 1);
        if at < machine.next_deadline {
            machine.next_deadline = at;
            self.queue
                .push(at, SimulationEvent::ServerDeadline { server, at });
        }
    }

    /// Advances a server at its deadline, unless the deadline has been rescheduled.
    pub(super) fn server_deadline(&mut self, server: u32, at: Micros) {
        let machine = &mut self.machines[server as usize];
        if machine.next_deadline == at {
            machine.next_deadline = Micros::MAX;
            self.advance(server);
            self.handle_job_events(server);
        }
    }

    /// Cancels a job at a server that notices that the proxy abandoned the attempt.
    pub(super) fn cancellation_at_server(&mut self, at: ServerIncarnation, job: JobKey) {
        if self.machines[at.server as usize].incarnation != at.incarnation {
            return;
        }
        self.advance(at.server);
        let server = &mut self.machines[at.server as usize].server;
        if let Some(job) = server.cancel(job, &mut self.job_events) {
            self.release(job.operation);
        }
        self.handle_job_events(at.server);
    }

    /// Handles the start of a job, which is when its effect happens.
    fn job_started(&mut self, server: u32, job_key: JobKey) {
        let machine = &self.machines[server as usize];
        let Some(job) = machine.server.job(job_key) else {
            return;
        };
        let execution = Execution {
            zone: machine.zone,
            at: self.now,
        };
        let operation_key = job.operation;
        let operation = &self.operations[operation_key];
        let (number, proxy) = (operation.number, operation.proxy);
        let class = &self.scenario.classes[usize::from(operation.class)];
        let is_first = operation.executions.is_empty();
        let parts = [number, self.now, u64::from(server)];
        match class.effect {
            EffectSpec::Deduplicated if self.is_duplicate(job, execution) => {
                let server = &mut self.machines[server as usize].server;
                server.shorten(job_key, DUPLICATE_LOOKUP_WORK);
                return self.record_fact(Fact::DuplicateDropped, parts);
            }
            // A repeat outside the deduplication group or window comes from an attempt that was
            // abandoned and still ran, long after. No policy could know of it, so that no rule is
            // broken, but the second effect is counted.
            EffectSpec::Deduplicated => self.traffic.late_repeats += u64::from(!is_first),
            EffectSpec::NonIdempotent if !is_first => {
                let rule = Rule::NoEffectTwice;
                let description = format!("`{}` ran again though it is not idempotent", class.name);
                self.record_violation(rule, proxy, Some(server), Some(number), description);
            }
            EffectSpec::NonIdempotent | EffectSpec::Idempotent => {}
        }
        self.operations[operation_key].executions.push(execution);
        self.record_fact(Fact::Executed, parts);
    }

    /// Whether the servers still know an earlier execution of the job's operation.
    fn is_duplicate(&self, job: &Job, execution: Execution) -> bool {
        let class = &self.scenario.classes[usize::from(job.class)];
        let window = seconds(class.deduplication_window_s);
        let is_known = |earlier: &Execution| {
            let is_in_group =
                class.group == DeduplicationGroup::All || earlier.zone == execution.zone;
            is_in_group && execution.at < earlier.at + window
        };
        let operation = &self.operations[job.operation];
        operation.executions.iter().any(is_known)
    }

    /// Sends the outcome of a job from a server in `zone`, unless the proxy abandoned the attempt.
    fn send_response(&mut self, zone: usize, job: &Job, outcome: Outcome, message: AttemptMessage) {
        let Some(request) = self.requests.get(job.request).filter(|_| !job.cancelled) else {
            return;
        };
        let to = self.proxies[request.proxy as usize].zone;
        let attempt = AttemptId {
            request: job.request,
            index: job.attempt,
        };
        let delay = self.attempt_delay(zone, to, attempt, message);
        let at = self.after_partition(zone, to) + delay;
        self.schedule_response(attempt, outcome, at);
    }

    /// Handles the end of a job: sends the response, unless a grey failure withholds it.
    fn job_ended(&mut self, server: u32, job: &Job, outcome: Outcome) {
        let is_unanswered = self
            .degradations(server)
            .any(|degradation| degradation.class == job.class && degradation.unanswered);
        if !is_unanswered {
            let zone = self.machines[server as usize].zone;
            self.send_response(zone, job, outcome, AttemptMessage::Response);
        }
        self.release(job.operation);
    }

    /// The grey failures in force at the position of a server.
    pub(super) fn degradations(&self, server: u32) -> impl Iterator<Item = &Degradation> {
        let position = self.machines[server as usize].position;
        self.positions[position as usize].degradations.values()
    }

    /// Stops a server's process. If `silent`, its machine fails without resetting connections.
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
        machine.connections = 0;
        machine.next_deadline = Micros::MAX;
        self.judge.warm_up_ended(server);
        for job in jobs {
            if !silent {
                self.send_response(zone, &job, Outcome::Reset, AttemptMessage::Reset);
            }
            self.release(job.operation);
        }
        let delay = seconds(self.scenario.discovery.removal_delay_s);
        self.queue
            .push(self.now + delay, SimulationEvent::ListUpdate { server });
    }

    /// Starts a server's process, which then warms up. Connections to an incarnation that failed
    /// silently are reset.
    pub(super) fn start_server(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        if machine.server.up || machine.crashed_by_overload || machine.phase == Phase::Gone {
            return;
        }
        let was_unresponsive = std::mem::replace(&mut machine.unresponsive, false);
        machine.server.start(self.now);
        machine.start_version = usize::MAX;
        self.apply_faults(server);
        let delay = seconds(self.scenario.discovery.start_delay_s);
        self.queue
            .push(self.now + delay, SimulationEvent::ListUpdate { server });
        if was_unresponsive {
            self.reset_old_connections(server);
        }
    }

    /// Resets the connections to earlier incarnations of a server.
    fn reset_old_connections(&mut self, server: u32) {
        let (zone, incarnation) = {
            let machine = &self.machines[server as usize];
            (machine.zone, machine.incarnation)
        };
        let mut resets = Vec::new();
        for (id, request) in self.requests.iter() {
            let proxy_zone = self.proxies[request.proxy as usize].zone;
            let at = self.now + self.network.base_delay(zone, proxy_zone);
            for attempt in self.requests.attempt_ids(id) {
                let found = &self.requests[attempt];
                let is_earlier = found.server == server && found.incarnation < incarnation;
                if is_earlier && found.open && found.connected {
                    resets.push((attempt, at));
                }
            }
        }
        for (attempt, at) in resets {
            self.schedule_response(attempt, Outcome::Reset, at);
        }
    }

    /// Applies the faults in force at the position of a server to its speed.
    pub(super) fn apply_faults(&mut self, server: u32) {
        self.advance(server);
        let machine = &mut self.machines[server as usize];
        let position = &self.positions[machine.position as usize];
        let slowness = position.slowdowns.values().product();
        machine.server.set_fault(slowness, position.pauses > 0);
        machine.next_deadline = Micros::MAX;
        self.handle_job_events(server);
    }
}
