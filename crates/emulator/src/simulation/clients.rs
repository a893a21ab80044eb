//! Clients: their requests, how these end, and when they try again or leave.

use ironmast_balancer::{Event, Micros, Outcome, Request};
use slotmap::{DefaultKey, Key as _};
use smallvec::SmallVec;

use super::Simulation;
use super::event::SimulationEvent;
use super::request::{PendingRequest, RequestOutcome, request_key};
use crate::judge::{EndedOperation, OperationOutcome, Rule};
use crate::random::{hash_parts, unit_interval};
use crate::scenario::{DeduplicationGroup, EffectSpec, RetryWait, millis, seconds};

impl Simulation<'_> {
    pub(super) fn send_request(&mut self, key: DefaultKey) {
        let op = &mut self.operations[key];
        op.request_count += 1;
        let (proxy, class, number) = (op.proxy, op.class as usize, op.number);
        let spec = &self.scenario.classes[class];
        let clients = &self.scenario.clients;
        let draw = |what: u64| {
            unit_interval(hash_parts([
                self.seed,
                number,
                u64::from(op.request_count),
                what,
            ]))
        };
        let (from, to) = clients.timeout_share;
        let patience = millis(spec.deadline_ms * (from + (to - from) * draw(1)));
        let expires = (self.now + patience).min(op.start + millis(spec.deadline_ms));
        let walks =
            (clients.disconnect_share > 0.0 && draw(2) < clients.disconnect_share).then(|| draw(3));
        let hint = self.gives_work_hints.then_some(op.work as Micros);
        let subject = (spec.effect == EffectSpec::Deduplicated).then_some(number);
        let again = op.request_count > 1;
        op.references += 1;
        let request = self
            .requests
            .insert(PendingRequest {
                op: key,
                proxy,
                expires,
                finished: false,
                client_left: false,
                attempts: SmallVec::new(),
            })
            .data()
            .as_ffi();
        if self.proxies[proxy as usize].policy.is_none() {
            return self.finish_request(request, RequestOutcome::ProxyUnreachable);
        }
        self.queue
            .push(expires, SimulationEvent::RequestDeadline(request));
        if let Some(part) = walks {
            let at = self.now + ((expires - self.now) as f64 * part) as Micros;
            self.queue
                .push(at, SimulationEvent::ClientDisconnect(request));
        }
        let request = Request {
            id: request,
            class,
            tenant: None,
            key: subject,
            work_hint: hint,
            client_retry: again,
            expires,
        };
        self.deliver(proxy, Event::Request(request));
    }

    /// A try is over for its client: the operation ends with it, or the client tries again.
    pub(super) fn finish_request(&mut self, request: u64, end: RequestOutcome) {
        let Some(held) = self.requests.get_mut(request_key(request)) else {
            return;
        };
        held.finished = true;
        let op = held.op;
        if !self.operations[op].ended {
            self.retry_or_finish(op, end);
        }
        self.drop_finished_request(request);
    }

    pub(super) fn retry_or_finish(&mut self, key: DefaultKey, end: RequestOutcome) {
        let op = &self.operations[key];
        let (spec, clients) = (
            &self.scenario.classes[op.class as usize],
            &self.scenario.clients,
        );
        let (retries, at_once) = match self.retry_storm {
            Some(retries) => (retries, true),
            None => (clients.retries, clients.retry_wait == RetryWait::AtOnce),
        };
        let draw = unit_interval(hash_parts([
            self.seed,
            op.number,
            u64::from(op.request_count),
            4,
        ]));
        let first = clients.retry_ms * 1e3;
        let wait = match clients.retry_wait {
            _ if at_once => 0.0,
            RetryWait::AtOnce => 0.0,
            RetryWait::Fixed => first * (0.8 + 0.4 * draw),
            RetryWait::Exponential => {
                first * f64::from(1u32 << (op.request_count - 1).min(20)) * draw
            }
            RetryWait::RetryAfter => match end {
                RequestOutcome::Rejected(Some(after)) => after as f64 + first * draw,
                _ => first * (0.8 + 0.4 * draw),
            },
        };
        let at = self.now + wait as Micros;
        let deadline = op.start + millis(spec.deadline_ms);
        let harmless = matches!(
            end,
            RequestOutcome::Rejected(_) | RequestOutcome::ProxyUnreachable
        );
        let permitted = match spec.effect {
            EffectSpec::Idempotent => true,
            EffectSpec::NonIdempotent => harmless,
            EffectSpec::Deduplicated => {
                harmless
                    || spec.group == DeduplicationGroup::All
                        && at < op.start + seconds(spec.deduplication_window_s)
            }
        };
        let gone = matches!(end, RequestOutcome::Served | RequestOutcome::ClientLeft);
        if !gone && permitted && op.request_count <= retries && at < deadline {
            self.operations[key].references += 1;
            return self.queue.push(at, SimulationEvent::ClientRetry(key));
        }
        let outcome = match end {
            RequestOutcome::Served => OperationOutcome::Answered(self.now - op.start),
            RequestOutcome::Rejected(_) => OperationOutcome::Rejected,
            _ => OperationOutcome::Failed,
        };
        let (zone, op) = (
            self.proxies[op.proxy as usize].zone,
            &mut self.operations[key],
        );
        op.ended = true;
        self.open_operations -= 1;
        let (number, proxy, class, start) = (op.number, op.proxy, op.class as usize, op.start);
        self.judge.operation_ended(&EndedOperation {
            number,
            proxy,
            zone,
            class,
            start,
            outcome,
        });
    }

    pub(super) fn release(&mut self, key: DefaultKey) {
        let Some(op) = self.operations.get_mut(key) else {
            return;
        };
        op.references -= 1;
        if op.references == 0 && op.ended {
            self.operations.remove(key);
        }
    }

    /// The client's time is up: what is still out times out, and a little later the client is gone.
    pub(super) fn request_deadline(&mut self, request: u64) {
        let Some(held) = self.requests.get(request_key(request)) else {
            return;
        };
        for n in 0..held.attempts.len() as u8 {
            if self.attempt(request, n).is_some_and(|a| a.open) {
                self.abandon_attempt(request, n);
                self.finish_attempt(request, n, Outcome::Timeout);
            }
        }
        if self
            .requests
            .get(request_key(request))
            .is_some_and(|t| !t.finished)
        {
            self.queue.push(
                self.now + self.rule_limits.answer_slack,
                SimulationEvent::ClientDisconnect(request),
            );
        }
    }

    pub(super) fn disconnect_client(&mut self, request: u64) {
        let Some(held) = self
            .requests
            .get(request_key(request))
            .filter(|t| !t.finished)
        else {
            return;
        };
        let (proxy, late) = (
            held.proxy,
            self.now >= held.expires + self.rule_limits.answer_slack,
        );
        if late {
            let (server, number) = (
                held.attempts.last().map(|a| a.server),
                self.operations[held.op].number,
            );
            let what = "no final answer by the client's deadline";
            self.judge.record_violation(
                Rule::OneAnswer,
                self.now,
                proxy,
                server,
                Some(number),
                what,
            );
        }
        let held = &mut self.requests[request_key(request)];
        (held.finished, held.client_left) = (true, true);
        let op = held.op;
        if !self.operations[op].ended {
            self.retry_or_finish(
                op,
                if late {
                    RequestOutcome::Unanswered
                } else {
                    RequestOutcome::ClientLeft
                },
            );
        }
        self.deliver(proxy, Event::ClientDisconnected { id: request });
        self.drop_finished_request(request);
    }

    /// Forgets a try that is over and has nothing out.
    pub(super) fn drop_finished_request(&mut self, request: u64) {
        if self
            .requests
            .get(request_key(request))
            .is_some_and(|t| t.finished && !t.has_open_attempt())
            && let Some(held) = self.requests.remove(request_key(request))
        {
            self.release(held.op);
        }
    }
}
