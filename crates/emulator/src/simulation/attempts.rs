//! Attempts of proxies on their way to servers and back.

use std::collections::VecDeque;

use ironmast_balancer::{AttemptEnded, Event, Micros, Outcome, Phase, ServerId};

use super::Simulation;
use super::event::SimulationEvent;
use super::request::{Attempt, RequestOutcome, request_key};
use super::servers::server_number;
use crate::judge::Rule;
use crate::server::Job;

impl Simulation<'_> {
    pub(super) fn attempt(&self, request: u64, n: u8) -> Option<&Attempt> {
        self.requests
            .get(request_key(request))
            .and_then(|t| t.attempts.get(n as usize))
    }

    pub(super) fn send(
        &mut self,
        proxy: u32,
        request: u64,
        server: ServerId,
        timeout: Option<Micros>,
        pending: &mut VecDeque<Event>,
    ) {
        let (now, server) = (self.now, server_number(server));
        let Some(held) = self.requests.get(request_key(request)) else {
            let what = "sent a request that is over or unknown";
            return self.judge.record_violation(
                Rule::OneAnswer,
                now,
                proxy,
                Some(server),
                None,
                what,
            );
        };
        let number = self.operations[held.op].number;
        let wrong = match () {
            () if held.finished => Some((Rule::OneAnswer, "sent a request that has its answer")),
            () if held.attempts.len() >= self.rule_limits.max_attempts => {
                Some((Rule::NoEffectTwice, "more attempts than are allowed"))
            }
            () if held.has_open_attempt() && !self.rule_limits.allow_hedging => Some((
                Rule::NoEffectTwice,
                "two attempts of one request out together",
            )),
            () if server as usize >= self.machines.len() => {
                Some((Rule::NoSendAfterDrain, "sent to an unknown server"))
            }
            () => None,
        };
        let moot = wrong.is_some() || held.expires <= now;
        if let Some((rule, what)) = wrong {
            self.judge
                .record_violation(rule, now, proxy, Some(server), Some(number), what);
        }
        let n = held.attempts.len() as u8;
        if moot {
            let gone = Attempt {
                server: 0,
                incarnation: 0,
                sent: now,
                open: false,
                new_connection: false,
                connected: false,
                job: None,
                outcome: None,
            };
            self.requests[request_key(request)].attempts.push(gone);
            return pending.push_back(Event::AttemptEnded(self.attempt_ended(
                request,
                n,
                Outcome::NotSent,
            )));
        }
        self.check_drain(proxy, server, number);
        self.check_repeat(proxy, server, request, n);
        let machine = &mut self.machines[server as usize];
        let p = &mut self.proxies[proxy as usize];
        let new_connection = !p.connection_pool.take(server, machine.incarnation);
        let way = |what: u64| {
            self.network
                .delay(p.zone, machine.zone, [number, u64::from(n) << 8 | what])
        };
        let at = now + way(0) + if new_connection { way(1) + way(2) } else { 0 };
        self.cross_zone += u64::from(p.zone != machine.zone);
        self.attempts += 1;
        let held = &mut self.requests[request_key(request)];
        let attempt = Attempt {
            server,
            incarnation: machine.incarnation,
            sent: now,
            open: true,
            new_connection,
            connected: !new_connection,
            job: None,
            outcome: None,
        };
        held.attempts.push(attempt);
        if let Some(timeout) = timeout {
            self.queue.push(
                now + timeout,
                SimulationEvent::AttemptTimeout { request, n },
            );
        }
        self.queue
            .push(at, SimulationEvent::RequestAtServer { request, n });
        self.judge.record_fact(2, [number, now, u64::from(server)]);
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn request_at_server(&mut self, request: u64, n: u8) {
        let Some(held) = self.requests.get(request_key(request)) else {
            return;
        };
        let (proxy, op_key, expires) = (held.proxy, held.op, held.expires);
        let Some(attempt) = held.attempts.get(n as usize).filter(|a| a.open) else {
            return;
        };
        let &Attempt {
            server,
            incarnation,
            sent,
            new_connection,
            ..
        } = attempt;
        let zone = self.proxies[proxy as usize].zone;
        let machine = &self.machines[server as usize];
        let number = self.operations[op_key].number;
        let way = self
            .network
            .delay(zone, machine.zone, [number, u64::from(n) << 8 | 3]);
        let lost = sent + self.network.connect_timeout;
        if let Some(until) = self.network.partition_end(zone, machine.zone, self.now) {
            return if new_connection {
                self.schedule_connect_failure(request, n, lost.max(self.now));
            } else {
                self.queue
                    .push(until + way, SimulationEvent::RequestAtServer { request, n });
            };
        }
        if machine.unresponsive {
            // Nothing ever comes; a connection that was open is reset when the machine is back.
            return if new_connection {
                self.schedule_connect_failure(request, n, lost.max(self.now));
            };
        }
        if !machine.server.up || machine.incarnation != incarnation {
            return if new_connection {
                self.schedule_connect_failure(request, n, self.now + way);
            } else {
                self.queue.push(
                    self.now + way,
                    SimulationEvent::ResponseAtProxy {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            };
        }
        let (pool, class) = (
            &self.scenario.pools[machine.pool],
            self.operations[op_key].class,
        );
        if new_connection {
            if pool.connections > 0 && machine.connections >= pool.connections {
                return self.schedule_connect_failure(request, n, self.now + way);
            }
            let machine = &mut self.machines[server as usize];
            machine.connections += 1;
            machine.server.add_overhead(pool.handshake_work_ms * 1e3);
            self.requests[request_key(request)].attempts[n as usize].connected = true;
        }
        self.advance(server);
        let work = self.operations[op_key].work;
        let machine = &self.machines[server as usize];
        if machine.server.is_warming_up(self.now) {
            // Cold is what the rule is about: what else goes wrong there nobody can know
            // beforehand.
            let capacity = machine.server.full_capacity() * machine.server.warmth(self.now);
            let informed = self.proxies[proxy as usize].list_version >= machine.start_version;
            if self
                .judge
                .work_reached_warming_server(self.now, server, proxy, work, capacity, informed)
            {
                self.machines[server as usize].crashed_by_overload = true;
                self.stop_server(server, false);
                return self.queue.push(
                    self.now + way,
                    SimulationEvent::ResponseAtProxy {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            }
        } else {
            self.judge.warm_up_ended(server);
        }
        let position = &self.positions[machine.position as usize];
        let degradation: f64 = position
            .degradations
            .values()
            .filter(|degradation| degradation.class == class && !degradation.unanswered)
            .map(|degradation| degradation.factor)
            .product();
        let job = Job {
            request,
            attempt: n,
            op: op_key,
            class,
            work: work * degradation,
            expires,
            arrived: self.now,
            cancelled: false,
            started: false,
        };
        let machine = &mut self.machines[server as usize];
        let taken = match machine.phase {
            Phase::Ready => machine.server.arrive(job, &mut self.job_events),
            _ => None,
        };
        match taken {
            Some(job) => {
                self.operations[op_key].references += 1;
                self.requests[request_key(request)].attempts[n as usize].job = Some(job);
            }
            None => self.queue.push(
                self.now + way,
                SimulationEvent::ResponseAtProxy {
                    request,
                    n,
                    outcome: Outcome::Overloaded,
                },
            ),
        }
        self.handle_job_events(server);
    }

    pub(super) fn schedule_connect_failure(&mut self, request: u64, n: u8, at: Micros) {
        self.queue.push(
            at,
            SimulationEvent::ResponseAtProxy {
                request,
                n,
                outcome: Outcome::ConnectFailed,
            },
        );
    }

    /// An outcome reaches the proxy.
    pub(super) fn response_at_proxy(&mut self, request: u64, n: u8, outcome: Outcome) {
        let Some(held) = self.requests.get_mut(request_key(request)) else {
            return;
        };
        let proxy = held.proxy;
        let Some(attempt) = held.attempts.get_mut(n as usize).filter(|a| a.open) else {
            return;
        };
        attempt.open = false;
        let (server, incarnation, connected) =
            (attempt.server, attempt.incarnation, attempt.connected);
        if connected && self.machines[server as usize].incarnation == incarnation {
            let idle = &mut self.proxies[proxy as usize].connection_pool;
            if outcome == Outcome::Reset {
                let machine = &mut self.machines[server as usize];
                machine.connections = machine.connections.saturating_sub(1);
            } else if idle.put_back(server, incarnation, self.now) {
                self.queue.push(
                    self.now + self.network.idle_timeout,
                    SimulationEvent::IdleConnections { proxy, server },
                );
            }
        }
        if outcome == Outcome::Ok && !held.finished {
            held.finished = true;
            let op = held.op;
            if !self.operations[op].ended {
                self.retry_or_finish(op, RequestOutcome::Served);
            }
            let ended = self.attempt_ended(request, n, outcome);
            self.deliver(proxy, Event::AttemptEnded(ended));
            return self.drop_finished_request(request);
        }
        self.finish_attempt(request, n, outcome);
    }

    pub(super) fn attempt_ended(&mut self, request: u64, n: u8, outcome: Outcome) -> AttemptEnded {
        let held = &mut self.requests[request_key(request)];
        let attempt = &mut held.attempts[n as usize];
        attempt.outcome = Some(outcome);
        let (id, server) = (request, self.machines[attempt.server as usize].id);
        let (latency, finished) = (self.now - attempt.sent, held.finished);
        AttemptEnded {
            id,
            server,
            attempt: u32::from(n),
            outcome,
            latency,
            finished,
            load: None,
        }
    }

    pub(super) fn finish_attempt(&mut self, request: u64, n: u8, outcome: Outcome) {
        let (ended, proxy) = (
            self.attempt_ended(request, n, outcome),
            self.requests[request_key(request)].proxy,
        );
        self.deliver(proxy, Event::AttemptEnded(ended));
        self.drop_finished_request(request);
    }

    /// The proxy gives an attempt up: its connection closes, and the server hears of it a little
    /// later.
    pub(super) fn abandon_attempt(&mut self, request: u64, n: u8) {
        let held = &mut self.requests[request_key(request)];
        let zone = self.proxies[held.proxy as usize].zone;
        let number = self.operations[held.op].number;
        let attempt = &mut held.attempts[n as usize];
        attempt.open = false;
        let (server, incarnation) = (attempt.server, attempt.incarnation);
        let machine = &mut self.machines[server as usize];
        if attempt.connected && machine.incarnation == incarnation {
            machine.connections = machine.connections.saturating_sub(1);
        }
        let Some(job) = attempt
            .job
            .filter(|_| machine.incarnation == incarnation && !machine.unresponsive)
        else {
            return;
        };
        let way = self
            .network
            .delay(zone, machine.zone, [number, u64::from(n) << 8 | 4]);
        let from = self
            .network
            .partition_end(zone, machine.zone, self.now)
            .unwrap_or(self.now);
        self.queue.push(
            from + way,
            SimulationEvent::CancellationAtServer {
                server,
                incarnation,
                job,
            },
        );
    }
}
