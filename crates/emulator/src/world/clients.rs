//! Clients: their tries, how these end, and when they try again or leave.

use ironmast_balancer::{Event, Micros, Outcome, Request};
use slotmap::{DefaultKey, Key as _};
use smallvec::SmallVec;

use super::World;
use super::event::What;
use super::request::{End, Try, key};
use crate::judge::{EndedOperation, OperationOutcome, Rule};
use crate::random::{hash_parts, unit_interval};
use crate::scenario::{DeduplicationGroup, EffectSpec, RetryWait, millis, seconds};

impl World<'_> {
    pub(super) fn begin_try(&mut self, key: DefaultKey) {
        let op = &mut self.ops[key];
        op.tries += 1;
        let (proxy, class, number) = (op.proxy, op.class as usize, op.number);
        let spec = &self.scenario.classes[class];
        let clients = &self.scenario.clients;
        let draw =
            |what: u64| unit_interval(hash_parts([self.seed, number, u64::from(op.tries), what]));
        let (from, to) = clients.timeout_share;
        let patience = millis(spec.deadline_ms * (from + (to - from) * draw(1)));
        let expires = (self.now + patience).min(op.start + millis(spec.deadline_ms));
        let walks =
            (clients.disconnect_share > 0.0 && draw(2) < clients.disconnect_share).then(|| draw(3));
        let hint = self.hints.then_some(op.work as Micros);
        let subject = (spec.effect == EffectSpec::Deduplicated).then_some(number);
        let again = op.tries > 1;
        op.holds += 1;
        let request = self
            .tries
            .insert(Try {
                op: key,
                proxy,
                expires,
                over: false,
                left: false,
                attempts: SmallVec::new(),
            })
            .data()
            .as_ffi();
        if self.proxies[proxy as usize].policy.is_none() {
            return self.end_try(request, End::Unreachable);
        }
        self.queue.push(expires, What::Expire(request));
        if let Some(part) = walks {
            let at = self.now + ((expires - self.now) as f64 * part) as Micros;
            self.queue.push(at, What::Leave(request));
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
        self.tell(proxy, Event::Request(request));
    }

    /// A try is over for its client: the operation ends with it, or the client tries again.
    pub(super) fn end_try(&mut self, request: u64, end: End) {
        let Some(held) = self.tries.get_mut(key(request)) else {
            return;
        };
        held.over = true;
        let op = held.op;
        if !self.ops[op].ended {
            self.after_try(op, end);
        }
        self.drop_try(request);
    }

    pub(super) fn after_try(&mut self, key: DefaultKey, end: End) {
        let op = &self.ops[key];
        let (spec, clients) = (
            &self.scenario.classes[op.class as usize],
            &self.scenario.clients,
        );
        let (retries, at_once) = match self.storm {
            Some(retries) => (retries, true),
            None => (clients.retries, clients.retry_wait == RetryWait::AtOnce),
        };
        let draw = unit_interval(hash_parts([self.seed, op.number, u64::from(op.tries), 4]));
        let first = clients.retry_ms * 1e3;
        let wait = match clients.retry_wait {
            _ if at_once => 0.0,
            RetryWait::AtOnce => 0.0,
            RetryWait::Fixed => first * (0.8 + 0.4 * draw),
            RetryWait::Exponential => first * f64::from(1u32 << (op.tries - 1).min(20)) * draw,
            RetryWait::RetryAfter => match end {
                End::Refused(Some(after)) => after as f64 + first * draw,
                _ => first * (0.8 + 0.4 * draw),
            },
        };
        let at = self.now + wait as Micros;
        let deadline = op.start + millis(spec.deadline_ms);
        let harmless = matches!(end, End::Refused(_) | End::Unreachable);
        let permitted = match spec.effect {
            EffectSpec::Idempotent => true,
            EffectSpec::NonIdempotent => harmless,
            EffectSpec::Deduplicated => {
                harmless
                    || spec.group == DeduplicationGroup::All
                        && at < op.start + seconds(spec.deduplication_window_s)
            }
        };
        let gone = matches!(end, End::Served | End::Walked);
        if !gone && permitted && op.tries <= retries && at < deadline {
            self.ops[key].holds += 1;
            return self.queue.push(at, What::Again(key));
        }
        let outcome = match end {
            End::Served => OperationOutcome::Answered(self.now - op.start),
            End::Refused(_) => OperationOutcome::Rejected,
            _ => OperationOutcome::Failed,
        };
        let (zone, op) = (self.proxies[op.proxy as usize].zone, &mut self.ops[key]);
        op.ended = true;
        self.open_ops -= 1;
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
        let Some(op) = self.ops.get_mut(key) else {
            return;
        };
        op.holds -= 1;
        if op.holds == 0 && op.ended {
            self.ops.remove(key);
        }
    }

    /// The client's time is up: what is still out times out, and a little later the client is gone.
    pub(super) fn expire(&mut self, request: u64) {
        let Some(held) = self.tries.get(key(request)) else {
            return;
        };
        for n in 0..held.attempts.len() as u8 {
            if self.attempt(request, n).is_some_and(|a| a.out) {
                self.call_off(request, n);
                self.settle(request, n, Outcome::Timeout);
            }
        }
        if self.tries.get(key(request)).is_some_and(|t| !t.over) {
            self.queue
                .push(self.now + self.rules.slack, What::Leave(request));
        }
    }

    pub(super) fn leave(&mut self, request: u64) {
        let Some(held) = self.tries.get(key(request)).filter(|t| !t.over) else {
            return;
        };
        let (proxy, late) = (held.proxy, self.now >= held.expires + self.rules.slack);
        if late {
            let (server, number) = (
                held.attempts.last().map(|a| a.server),
                self.ops[held.op].number,
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
        let held = &mut self.tries[key(request)];
        (held.over, held.left) = (true, true);
        let op = held.op;
        if !self.ops[op].ended {
            self.after_try(op, if late { End::Unanswered } else { End::Walked });
        }
        self.tell(proxy, Event::ClientDisconnected { id: request });
        self.drop_try(request);
    }

    /// Forgets a try that is over and has nothing out.
    pub(super) fn drop_try(&mut self, request: u64) {
        if self
            .tries
            .get(key(request))
            .is_some_and(|t| t.over && !t.out())
            && let Some(held) = self.tries.remove(key(request))
        {
            self.release(held.op);
        }
    }
}
