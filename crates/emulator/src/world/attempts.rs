//! Attempts of proxies on their way to servers and back.

use std::collections::VecDeque;

use ironmast_balancer::{AttemptEnded, Event, Micros, Outcome, Phase, ServerId};

use super::World;
use super::event::What;
use super::request::{Attempt, End, key};
use super::servers::number_of;
use crate::judge::Rule;
use crate::server::Job;

impl World<'_> {
    pub(super) fn attempt(&self, request: u64, n: u8) -> Option<&Attempt> {
        self.tries
            .get(key(request))
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
        let (now, server) = (self.now, number_of(server));
        let Some(held) = self.tries.get(key(request)) else {
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
        let number = self.ops[held.op].number;
        let wrong = match () {
            () if held.over => Some((Rule::OneAnswer, "sent a request that has its answer")),
            () if held.attempts.len() >= self.rules.max_attempts => {
                Some((Rule::NoEffectTwice, "more attempts than are allowed"))
            }
            () if held.out() && !self.rules.allow_hedging => Some((
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
                life: 0,
                sent: now,
                out: false,
                fresh: false,
                connected: false,
                job: None,
                outcome: None,
            };
            self.tries[key(request)].attempts.push(gone);
            return pending.push_back(Event::AttemptEnded(self.settled(
                request,
                n,
                Outcome::NotSent,
            )));
        }
        self.check_drain(proxy, server, number);
        self.check_repeat(proxy, server, request, n);
        let machine = &mut self.machines[server as usize];
        let p = &mut self.proxies[proxy as usize];
        let fresh = !p.idle.take(server, machine.life);
        let way = |what: u64| {
            self.network
                .delay(p.zone, machine.zone, [number, u64::from(n) << 8 | what])
        };
        let at = now + way(0) + if fresh { way(1) + way(2) } else { 0 };
        self.cross_zone += u64::from(p.zone != machine.zone);
        self.attempts += 1;
        let held = &mut self.tries[key(request)];
        let attempt = Attempt {
            server,
            life: machine.life,
            sent: now,
            out: true,
            fresh,
            connected: !fresh,
            job: None,
            outcome: None,
        };
        held.attempts.push(attempt);
        if let Some(timeout) = timeout {
            self.queue
                .push(now + timeout, What::TimedOut { request, n });
        }
        self.queue.push(at, What::Reach { request, n });
        self.judge.record_fact(2, [number, now, u64::from(server)]);
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn reach(&mut self, request: u64, n: u8) {
        let Some(held) = self.tries.get(key(request)) else {
            return;
        };
        let (proxy, op_key, expires) = (held.proxy, held.op, held.expires);
        let Some(attempt) = held.attempts.get(n as usize).filter(|a| a.out) else {
            return;
        };
        let &Attempt {
            server,
            life,
            sent,
            fresh,
            ..
        } = attempt;
        let zone = self.proxies[proxy as usize].zone;
        let machine = &self.machines[server as usize];
        let number = self.ops[op_key].number;
        let way = self
            .network
            .delay(zone, machine.zone, [number, u64::from(n) << 8 | 3]);
        let lost = sent + self.network.connect_timeout;
        if let Some(until) = self.network.partition_end(zone, machine.zone, self.now) {
            return if fresh {
                self.unreached(request, n, lost.max(self.now));
            } else {
                self.queue.push(until + way, What::Reach { request, n });
            };
        }
        if machine.vanished {
            // Nothing ever comes; a connection that was open is reset when the machine is back.
            return if fresh {
                self.unreached(request, n, lost.max(self.now));
            };
        }
        if !machine.server.up || machine.life != life {
            return if fresh {
                self.unreached(request, n, self.now + way);
            } else {
                self.queue.push(
                    self.now + way,
                    What::Back {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            };
        }
        let (pool, class) = (&self.scenario.pools[machine.pool], self.ops[op_key].class);
        if fresh {
            if pool.connections > 0 && machine.connections >= pool.connections {
                return self.unreached(request, n, self.now + way);
            }
            let machine = &mut self.machines[server as usize];
            machine.connections += 1;
            machine.server.add_overhead(pool.handshake_work_ms * 1e3);
            self.tries[key(request)].attempts[n as usize].connected = true;
        }
        self.advance(server);
        let work = self.ops[op_key].work;
        let machine = &self.machines[server as usize];
        if machine.server.is_warming_up(self.now) {
            // Cold is what the rule is about: what else goes wrong there nobody can know
            // beforehand.
            let capacity = machine.server.full_capacity() * machine.server.warmth(self.now);
            let informed = self.proxies[proxy as usize].version >= machine.told_at;
            if self
                .judge
                .work_reached_warming_server(self.now, server, proxy, work, capacity, informed)
            {
                self.machines[server as usize].fallen = true;
                self.end_server(server, false);
                return self.queue.push(
                    self.now + way,
                    What::Back {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            }
        } else {
            self.judge.warm_up_ended(server);
        }
        let place = &self.places[machine.place as usize];
        let degradation: f64 = place
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
            Phase::Ready => machine.server.arrive(job, &mut self.happened),
            _ => None,
        };
        match taken {
            Some(job) => {
                self.ops[op_key].holds += 1;
                self.tries[key(request)].attempts[n as usize].job = Some(job);
            }
            None => self.queue.push(
                self.now + way,
                What::Back {
                    request,
                    n,
                    outcome: Outcome::Overloaded,
                },
            ),
        }
        self.touched(server);
    }

    pub(super) fn unreached(&mut self, request: u64, n: u8, at: Micros) {
        self.queue.push(
            at,
            What::Back {
                request,
                n,
                outcome: Outcome::ConnectFailed,
            },
        );
    }

    /// An outcome reaches the proxy.
    pub(super) fn back(&mut self, request: u64, n: u8, outcome: Outcome) {
        let Some(held) = self.tries.get_mut(key(request)) else {
            return;
        };
        let proxy = held.proxy;
        let Some(attempt) = held.attempts.get_mut(n as usize).filter(|a| a.out) else {
            return;
        };
        attempt.out = false;
        let (server, life, connected) = (attempt.server, attempt.life, attempt.connected);
        if connected && self.machines[server as usize].life == life {
            let idle = &mut self.proxies[proxy as usize].idle;
            if outcome == Outcome::Reset {
                let machine = &mut self.machines[server as usize];
                machine.connections = machine.connections.saturating_sub(1);
            } else if idle.put_back(server, life, self.now) {
                self.queue.push(
                    self.now + self.network.idle_timeout,
                    What::Idle { proxy, server },
                );
            }
        }
        if outcome == Outcome::Ok && !held.over {
            held.over = true;
            let op = held.op;
            if !self.ops[op].ended {
                self.after_try(op, End::Served);
            }
            let settled = self.settled(request, n, outcome);
            self.tell(proxy, Event::AttemptEnded(settled));
            return self.drop_try(request);
        }
        self.settle(request, n, outcome);
    }

    pub(super) fn settled(&mut self, request: u64, n: u8, outcome: Outcome) -> AttemptEnded {
        let held = &mut self.tries[key(request)];
        let attempt = &mut held.attempts[n as usize];
        attempt.outcome = Some(outcome);
        let (id, server) = (request, self.machines[attempt.server as usize].id);
        let (latency, finished) = (self.now - attempt.sent, held.over);
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

    pub(super) fn settle(&mut self, request: u64, n: u8, outcome: Outcome) {
        let (settled, proxy) = (
            self.settled(request, n, outcome),
            self.tries[key(request)].proxy,
        );
        self.tell(proxy, Event::AttemptEnded(settled));
        self.drop_try(request);
    }

    /// The proxy gives an attempt up: its connection closes, and the server hears of it a little
    /// later.
    pub(super) fn call_off(&mut self, request: u64, n: u8) {
        let held = &mut self.tries[key(request)];
        let zone = self.proxies[held.proxy as usize].zone;
        let number = self.ops[held.op].number;
        let attempt = &mut held.attempts[n as usize];
        attempt.out = false;
        let (server, life) = (attempt.server, attempt.life);
        let machine = &mut self.machines[server as usize];
        if attempt.connected && machine.life == life {
            machine.connections = machine.connections.saturating_sub(1);
        }
        let Some(job) = attempt
            .job
            .filter(|_| machine.life == life && !machine.vanished)
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
        self.queue
            .push(from + way, What::CallOff { server, life, job });
    }
}
