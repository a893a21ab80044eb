//! Attempts: sending to servers, admission there, outcomes, timeouts and cancellation.

use std::collections::VecDeque;

use ironmast_balancer::{AttemptEnded, Event, Micros, Outcome, Phase, RequestId, ServerId};

use super::event::SimulationEvent;
use super::ids::{AttemptId, AttemptMessage, ServerIncarnation};
use super::request::{Attempt, RequestOutcome};
use super::servers::server_number;
use super::{Fact, Simulation};
use crate::judge::{Rule, WarmUpWork};
use crate::server::{Job, JobKey};

/// An attempt whose request has reached the zone of its server.
struct ArrivingAttempt {
    id: AttemptId,
    /// The number of the proxy.
    proxy: u32,
    /// The number of the server.
    server: u32,
    /// The server's incarnation when the attempt was sent.
    incarnation: u32,
    new_connection: bool,
    /// When the attempt times out if its new connection is not confirmed.
    connect_timeout_at: Micros,
    /// The network delay of an immediate answer to an attempt that is not accepted.
    answer_delay: Micros,
}

/// The result of a server's admission of the job of an attempt.
enum Admission {
    Accepted(JobKey),
    Rejected,
    /// The server crashed, since it was overloaded during its warm-up.
    Crashed,
}

impl Simulation<'_> {
    /// Sends an attempt of a policy to a server, after checks of the rules.
    pub(super) fn send(
        &mut self,
        proxy: u32,
        id: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        pending: &mut VecDeque<Event>,
    ) {
        let server = server_number(server);
        let Some(request) = self.requests.get(id) else {
            let description = "sent an attempt of a request that is unknown or already complete";
            return self.record_violation(Rule::OneAnswer, proxy, Some(server), None, description);
        };
        let (expires, index) = (request.expires, request.attempts.len() as u8);
        let attempt = AttemptId { request: id, index };
        if self.is_forbidden(proxy, server, id) || expires <= self.now {
            let not_sent = Attempt::not_sent(self.now);
            self.requests[id].attempts.push(not_sent);
            let ended = self.end_attempt(attempt, Outcome::NotSent);
            return pending.push_back(Event::AttemptEnded(ended));
        }
        let number = self.operation_number(id);
        self.check_drain(proxy, server, number);
        self.check_repeat(proxy, server, attempt);
        let arrives_at = self.open_attempt(proxy, server, attempt);
        if let Some(timeout) = timeout {
            let at = self.now + timeout;
            self.queue
                .push(at, SimulationEvent::AttemptTimeout(attempt));
        }
        self.queue
            .push(arrives_at, SimulationEvent::RequestAtServer(attempt));
        self.record_fact(Fact::AttemptSent, [number, self.now, u64::from(server)]);
    }

    /// Adds an attempt over an idle connection, or a new one if there is none. Returns when the
    /// attempt reaches the server.
    fn open_attempt(&mut self, proxy: u32, server: u32, id: AttemptId) -> Micros {
        let machine = &self.machines[server as usize];
        let (from, to, incarnation) = (
            self.proxies[proxy as usize].zone,
            machine.zone,
            machine.incarnation,
        );
        let pool = &mut self.proxies[proxy as usize].connection_pool;
        let new_connection = !pool.take(server, incarnation);
        let delay = |message| self.attempt_delay(from, to, id, message);
        let connect = if new_connection {
            delay(AttemptMessage::Connect) + delay(AttemptMessage::ConnectConfirmed)
        } else {
            0
        };
        let arrives_at = self.now + delay(AttemptMessage::Request) + connect;
        self.traffic.attempts += 1;
        self.traffic.cross_zone += u64::from(from != to);
        self.requests[id.request].attempts.push(Attempt {
            server,
            incarnation,
            sent: self.now,
            open: true,
            new_connection,
            connected: !new_connection,
            job: None,
            outcome: None,
        });
        arrives_at
    }

    fn operation_number(&self, id: RequestId) -> u64 {
        self.operations[self.requests[id].operation].number
    }

    /// The network delay of a message of an attempt between two zones.
    pub(super) fn attempt_delay(
        &self,
        from: usize,
        to: usize,
        id: AttemptId,
        message: AttemptMessage,
    ) -> Micros {
        let number = self.operation_number(id.request);
        let message = u64::from(id.index) << 8 | message as u64;
        self.network.delay(from, to, [number, message])
    }

    /// Handles the arrival of an attempt's request at its server, unless the proxy abandoned the
    /// attempt.
    pub(super) fn request_at_server(&mut self, id: AttemptId) {
        let Some(arriving) = self.arriving_attempt(id) else {
            return;
        };
        if !self.reach_process(&arriving) || !self.connect(&arriving) {
            return;
        }
        self.advance(arriving.server);
        let outcome = match self.admit(&arriving) {
            Admission::Accepted(job) => {
                let operation = self.requests[id.request].operation;
                self.operations[operation].references += 1;
                self.requests[id].job = Some(job);
                None
            }
            Admission::Rejected => Some(Outcome::Overloaded),
            Admission::Crashed => Some(Outcome::Reset),
        };
        if let Some(outcome) = outcome {
            self.schedule_response(id, outcome, self.now + arriving.answer_delay);
        }
        self.handle_job_events(arriving.server);
    }

    fn arriving_attempt(&self, id: AttemptId) -> Option<ArrivingAttempt> {
        let attempt = self.requests.open_attempt(id)?;
        let proxy = self.requests[id.request].proxy;
        let from = self.proxies[proxy as usize].zone;
        let to = self.machines[attempt.server as usize].zone;
        Some(ArrivingAttempt {
            id,
            proxy,
            server: attempt.server,
            incarnation: attempt.incarnation,
            new_connection: attempt.new_connection,
            connect_timeout_at: attempt.sent + self.network.connect_timeout,
            answer_delay: self.attempt_delay(from, to, id, AttemptMessage::NotAccepted),
        })
    }

    /// Whether an attempt reaches the process that it was sent to. If not, its outcome or the next
    /// delivery is scheduled, except at an unresponsive machine over an old connection.
    fn reach_process(&mut self, arriving: &ArrivingAttempt) -> bool {
        let from = self.proxies[arriving.proxy as usize].zone;
        let machine = &self.machines[arriving.server as usize];
        let partition_end = self.network.partition_end(from, machine.zone, self.now);
        let is_running = machine.server.up && machine.incarnation == arriving.incarnation;
        if partition_end.is_none() && !machine.unresponsive && is_running {
            return true;
        }
        let is_silent = partition_end.is_some() || machine.unresponsive;
        if arriving.new_connection {
            let at = if is_silent {
                arriving.connect_timeout_at.max(self.now)
            } else {
                self.now + arriving.answer_delay
            };
            self.schedule_response(arriving.id, Outcome::ConnectFailed, at);
        } else if let Some(until) = partition_end {
            let at = until + arriving.answer_delay;
            self.queue
                .push(at, SimulationEvent::RequestAtServer(arriving.id));
        } else if !is_silent {
            let at = self.now + arriving.answer_delay;
            self.schedule_response(arriving.id, Outcome::Reset, at);
        }
        // An unresponsive machine resets its old connections only when its server starts again.
        false
    }

    /// Opens the connection of an attempt that needs a new one. Returns false if the server is at
    /// its connection limit.
    fn connect(&mut self, arriving: &ArrivingAttempt) -> bool {
        if !arriving.new_connection {
            return true;
        }
        let machine = &mut self.machines[arriving.server as usize];
        let pool = &self.scenario.pools[machine.pool];
        if pool.connections > 0 && machine.connections >= pool.connections {
            let at = self.now + arriving.answer_delay;
            self.schedule_response(arriving.id, Outcome::ConnectFailed, at);
            return false;
        }
        machine.connections += 1;
        machine.server.add_overhead(pool.handshake_work_ms * 1e3);
        self.requests[arriving.id].connected = true;
        true
    }

    /// Decides whether a server accepts the job of an attempt. The caller must have advanced the
    /// server to now.
    fn admit(&mut self, arriving: &ArrivingAttempt) -> Admission {
        let request = &self.requests[arriving.id.request];
        let operation = &self.operations[request.operation];
        let job = Job {
            request: arriving.id.request,
            attempt: arriving.id.index,
            operation: request.operation,
            class: operation.class,
            work: operation.work * self.degradation_factor(arriving.server, operation.class),
            expires: request.expires,
            arrived: self.now,
            cancelled: false,
            started: false,
        };
        let work = operation.work;
        if self.is_overloaded_in_warm_up(arriving, work) {
            self.machines[arriving.server as usize].crashed_by_overload = true;
            self.stop_server(arriving.server, false);
            return Admission::Crashed;
        }
        let machine = &mut self.machines[arriving.server as usize];
        if machine.phase != Phase::Ready {
            return Admission::Rejected;
        }
        machine
            .server
            .arrive(job, &mut self.job_events)
            .map_or(Admission::Rejected, Admission::Accepted)
    }

    /// Whether this work overloads a server during its warm-up. Overload at other times is not
    /// judged, since policies cannot foresee its other causes.
    fn is_overloaded_in_warm_up(&mut self, arriving: &ArrivingAttempt, work: f64) -> bool {
        let machine = &self.machines[arriving.server as usize];
        if !machine.server.is_warming_up(self.now) {
            self.judge.warm_up_ended(arriving.server);
            return false;
        }
        let capacity = machine.server.full_capacity() * machine.server.speed_share(self.now);
        let proxy = &self.proxies[arriving.proxy as usize];
        self.judge.work_reached_warming_server(WarmUpWork {
            at: self.now,
            server: arriving.server,
            proxy: arriving.proxy,
            work,
            capacity,
            informed: proxy.list_version >= machine.start_version,
        })
    }

    /// The product of the slowdown factors of a class at a server from grey failures that still let
    /// its requests be answered.
    fn degradation_factor(&self, server: u32, class: u8) -> f64 {
        self.degradations(server)
            .filter(|degradation| degradation.class == class && !degradation.unanswered)
            .map(|degradation| degradation.factor)
            .product()
    }

    /// Schedules the arrival of an attempt's outcome at the proxy.
    pub(super) fn schedule_response(&mut self, attempt: AttemptId, outcome: Outcome, at: Micros) {
        self.queue
            .push(at, SimulationEvent::ResponseAtProxy { attempt, outcome });
    }

    /// Handles the arrival of an attempt's outcome at the proxy, unless the proxy abandoned the
    /// attempt.
    pub(super) fn response_at_proxy(&mut self, id: AttemptId, outcome: Outcome) {
        if self.requests.open_attempt(id).is_none() {
            return;
        }
        self.requests[id].open = false;
        self.reuse_or_close_connection(id, outcome);
        let request = &mut self.requests[id.request];
        if outcome == Outcome::Ok && !request.finished {
            request.finished = true;
            let operation = request.operation;
            self.retry_or_end(operation, RequestOutcome::Served);
        }
        self.finish_attempt(id, outcome);
    }

    /// Returns the connection of an ended attempt to the pool, or counts it as closed if it was
    /// reset.
    fn reuse_or_close_connection(&mut self, id: AttemptId, outcome: Outcome) {
        let attempt = &self.requests[id];
        let (server, incarnation) = (attempt.server, attempt.incarnation);
        let machine = &mut self.machines[server as usize];
        if !attempt.connected || machine.incarnation != incarnation {
            return;
        }
        if outcome == Outcome::Reset {
            return machine.close_connections(1);
        }
        let proxy = self.requests[id.request].proxy;
        let pool = &mut self.proxies[proxy as usize].connection_pool;
        if pool.put_back(server, incarnation, self.now) {
            let at = self.now + self.network.idle_timeout;
            self.queue
                .push(at, SimulationEvent::IdleConnections { proxy, server });
        }
    }

    /// Records the outcome of an attempt and returns the event for its policy.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> AttemptEnded {
        let finished = self.requests[id.request].finished;
        let attempt = &mut self.requests[id];
        attempt.outcome = Some(outcome);
        AttemptEnded {
            id: id.request,
            server: self.machines[attempt.server as usize].id,
            attempt: u32::from(id.index),
            outcome,
            latency: self.now - attempt.sent,
            finished,
            load: None,
        }
    }

    /// Records the outcome of an attempt and notifies the policy.
    pub(super) fn finish_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let ended = self.end_attempt(id, outcome);
        let proxy = self.requests[id.request].proxy;
        self.deliver(proxy, Event::AttemptEnded(ended));
        self.drop_if_complete(id.request);
    }

    /// Handles the end of the timeout that the policy set for an attempt.
    pub(super) fn attempt_timeout(&mut self, id: AttemptId) {
        if self.requests.open_attempt(id).is_some() {
            self.abandon_attempt(id);
            self.finish_attempt(id, Outcome::Timeout);
        }
    }

    /// Abandons an attempt: the proxy closes its connection, which the server notices after the
    /// network delay.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId) {
        let from = self.proxies[self.requests[id.request].proxy as usize].zone;
        let attempt = &mut self.requests[id];
        attempt.open = false;
        let (server, incarnation) = (attempt.server, attempt.incarnation);
        let machine = &mut self.machines[server as usize];
        if machine.incarnation != incarnation {
            return;
        }
        if attempt.connected {
            machine.close_connections(1);
        }
        let job = attempt.job.filter(|_| !machine.unresponsive);
        if let Some(job) = job {
            let to = machine.zone;
            let delay = self.attempt_delay(from, to, id, AttemptMessage::Cancellation);
            let at = self.after_partition(from, to) + delay;
            let server = ServerIncarnation {
                server,
                incarnation,
            };
            self.queue
                .push(at, SimulationEvent::CancellationAtServer { server, job });
        }
    }

    /// The end of the partition between two zones, or now if none is in force.
    pub(super) fn after_partition(&self, from: usize, to: usize) -> Micros {
        self.network
            .partition_end(from, to, self.now)
            .unwrap_or(self.now)
    }
}
