//! Clients: their operations and requests, and their timeouts, retries and disconnects.

use ironmast_balancer::{Event, Micros, Outcome, Request, RequestId};
use smallvec::SmallVec;

use super::event::SimulationEvent;
use super::operation::{Operation, OperationKey};
use super::request::{PendingRequest, RequestOutcome};
use super::{ORIGIN, Simulation};
use crate::judge::{EndedOperation, OperationOutcome, Rule};
use crate::random::{hash_parts, unit_interval};
use crate::scenario::{Class, DeduplicationGroup, EffectSpec, RetryWait, millis, seconds};

/// The random draws of a client for each request. The values are part of the hashes.
#[derive(Clone, Copy)]
enum ClientDraw {
    Timeout = 1,
    WillDisconnect = 2,
    DisconnectTime = 3,
    RetryWait = 4,
}

/// The number of retries of a client, and its wait before each.
struct RetryRule {
    retries: u32,
    wait: RetryWait,
}

impl Simulation<'_> {
    /// Begins an operation at a proxy, if the proxy has clients, and schedules the next arrival.
    pub(super) fn client_arrives(&mut self, number: u32) {
        let proxy = &mut self.proxies[number as usize];
        // Drawn even without clients, so that faults do not change the draws of later operations.
        let class = self.class_mix.class_at(proxy.work.unit());
        let spec = &self.scenario.classes[class];
        let mean_work = spec.work_ms * 1e3;
        let work = proxy.work.sample(spec.distribution, mean_work, spec.cv);
        if proxy.has_clients {
            let operation = self.begin_operation(number, class, work);
            self.send_request(operation);
        }
        self.schedule_arrival(number);
    }

    fn begin_operation(&mut self, proxy: u32, class: usize, work: f64) -> OperationKey {
        self.started_operations += 1;
        self.open_operations += 1;
        self.operations.insert(Operation {
            number: self.started_operations,
            proxy,
            class: class as u8,
            work,
            start: self.now,
            request_count: 0,
            ended: false,
            references: 0,
            executions: SmallVec::new(),
        })
    }

    /// Schedules the next arrival at a proxy.
    pub(super) fn schedule_arrival(&mut self, proxy: u32) {
        let arrivals = &mut self.proxies[proxy as usize].arrivals;
        if let Some(at_s) = arrivals.next_arrival_s(&self.rate_curve) {
            let at = ORIGIN + seconds(at_s);
            self.queue
                .push(at, SimulationEvent::ClientArrival { proxy });
        }
    }

    /// Sends another request for an operation, unless the operation has ended.
    pub(super) fn client_retries(&mut self, key: OperationKey) {
        self.release(key);
        if !self.operations[key].ended {
            self.send_request(key);
        }
    }

    fn send_request(&mut self, key: OperationKey) {
        let operation = &mut self.operations[key];
        operation.request_count += 1;
        operation.references += 1;
        let operation = &self.operations[key];
        let proxy = operation.proxy;
        let expires = self.request_expiry(operation);
        let disconnect_at = self.disconnect_time(operation, expires);
        let id = self.requests.insert(PendingRequest {
            operation: key,
            proxy,
            expires,
            finished: false,
            client_disconnected: false,
            attempts: SmallVec::new(),
        });
        if self.proxies[proxy as usize].policy.is_none() {
            return self.finish_request(id, RequestOutcome::ProxyUnreachable);
        }
        self.queue
            .push(expires, SimulationEvent::RequestDeadline(id));
        if let Some(at) = disconnect_at {
            self.queue.push(at, SimulationEvent::ClientDisconnect(id));
        }
        let request = self.request_for_policy(id, &self.operations[key], expires);
        self.deliver(proxy, Event::Request(request));
    }

    fn request_for_policy(&self, id: RequestId, operation: &Operation, expires: Micros) -> Request {
        let class = usize::from(operation.class);
        let has_key = self.scenario.classes[class].effect == EffectSpec::Deduplicated;
        Request {
            id,
            class,
            tenant: None,
            key: has_key.then_some(operation.number),
            work_hint: self.gives_work_hints.then_some(operation.work as Micros),
            client_retry: operation.request_count > 1,
            expires,
        }
    }

    /// A draw for the newest request of an operation. A hash is used instead of a stream, since the
    /// order of requests depends on the policy.
    fn client_draw(&self, operation: &Operation, draw: ClientDraw) -> f64 {
        unit_interval(hash_parts([
            self.seed,
            operation.number,
            u64::from(operation.request_count),
            draw as u64,
        ]))
    }

    /// When the client's timeout for the newest request ends.
    fn request_expiry(&self, operation: &Operation) -> Micros {
        let deadline_ms = self.class_of(operation).deadline_ms;
        let (from, to) = self.scenario.clients.timeout_share;
        let share = from + (to - from) * self.client_draw(operation, ClientDraw::Timeout);
        let timeout = millis(deadline_ms * share);
        (self.now + timeout).min(operation.start + millis(deadline_ms))
    }

    /// When the client closes its connection before its timeout; `None` if it does not.
    fn disconnect_time(&self, operation: &Operation, expires: Micros) -> Option<Micros> {
        let share = self.scenario.clients.disconnect_share;
        let disconnects =
            share > 0.0 && self.client_draw(operation, ClientDraw::WillDisconnect) < share;
        disconnects.then(|| {
            let part = self.client_draw(operation, ClientDraw::DisconnectTime);
            self.now + ((expires - self.now) as f64 * part) as Micros
        })
    }

    fn class_of(&self, operation: &Operation) -> &Class {
        &self.scenario.classes[usize::from(operation.class)]
    }

    /// Ends a request for its client, which then retries or ends its operation.
    pub(super) fn finish_request(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.finished = true;
        let operation = request.operation;
        self.retry_or_end(operation, outcome);
        self.drop_if_complete(id);
    }

    /// Schedules the client's retry of an operation, or ends the operation if there is none.
    pub(super) fn retry_or_end(&mut self, key: OperationKey, outcome: RequestOutcome) {
        let operation = &self.operations[key];
        if operation.ended {
            return;
        }
        if let Some(at) = self.retry_time(operation, outcome) {
            self.operations[key].references += 1;
            return self.queue.push(at, SimulationEvent::ClientRetry(key));
        }
        let outcome = match outcome {
            RequestOutcome::Served => OperationOutcome::Answered(self.now - operation.start),
            RequestOutcome::Rejected(_) => OperationOutcome::Rejected,
            _ => OperationOutcome::Failed,
        };
        self.operations[key].ended = true;
        self.open_operations -= 1;
        self.report_operation(key, outcome);
    }

    /// Reports the outcome of an operation to the judge.
    pub(super) fn report_operation(&mut self, key: OperationKey, outcome: OperationOutcome) {
        let operation = &self.operations[key];
        self.judge.operation_ended(&EndedOperation {
            number: operation.number,
            proxy: operation.proxy,
            zone: self.proxies[operation.proxy as usize].zone,
            class: usize::from(operation.class),
            start: operation.start,
            outcome,
        });
    }

    /// When the client retries after this outcome; `None` if it does not.
    fn retry_time(&self, operation: &Operation, outcome: RequestOutcome) -> Option<Micros> {
        if matches!(
            outcome,
            RequestOutcome::Served | RequestOutcome::ClientDisconnected
        ) {
            return None;
        }
        let rule = self.retry_rule();
        let at = self.now + self.retry_wait(&rule, operation, outcome) as Micros;
        let deadline = operation.start + millis(self.class_of(operation).deadline_ms);
        let retries = operation.request_count <= rule.retries
            && at < deadline
            && self.may_retry(operation, outcome, at);
        retries.then_some(at)
    }

    fn retry_rule(&self) -> RetryRule {
        match self.retry_storm {
            Some(retries) => RetryRule {
                retries,
                wait: RetryWait::AtOnce,
            },
            None => RetryRule {
                retries: self.scenario.clients.retries,
                wait: self.scenario.clients.retry_wait,
            },
        }
    }

    /// The time that the client waits before its next request, in microseconds.
    fn retry_wait(&self, rule: &RetryRule, operation: &Operation, outcome: RequestOutcome) -> f64 {
        let base = self.scenario.clients.retry_ms * 1e3;
        let draw = self.client_draw(operation, ClientDraw::RetryWait);
        let fixed = base * (0.8 + 0.4 * draw);
        match (rule.wait, outcome) {
            (RetryWait::AtOnce, _) => 0.0,
            (RetryWait::Exponential, _) => {
                let doublings = (operation.request_count - 1).min(20);
                base * f64::from(1u32 << doublings) * draw
            }
            (RetryWait::RetryAfter, RequestOutcome::Rejected(Some(after))) => {
                after as f64 + base * draw
            }
            (RetryWait::Fixed | RetryWait::RetryAfter, _) => fixed,
        }
    }

    /// Whether the class permits another request at that time without a risk that its effect
    /// happens twice.
    fn may_retry(&self, operation: &Operation, outcome: RequestOutcome, at: Micros) -> bool {
        let class = self.class_of(operation);
        let did_not_run = matches!(
            outcome,
            RequestOutcome::Rejected(_) | RequestOutcome::ProxyUnreachable
        );
        match class.effect {
            EffectSpec::Idempotent => true,
            EffectSpec::NonIdempotent => did_not_run,
            EffectSpec::Deduplicated => {
                let window_ends = operation.start + seconds(class.deduplication_window_s);
                did_not_run || class.group == DeduplicationGroup::All && at < window_ends
            }
        }
    }

    /// Releases a reference to an operation. An operation that has ended is removed with its last
    /// reference.
    pub(super) fn release(&mut self, key: OperationKey) {
        let Some(operation) = self.operations.get_mut(key) else {
            return;
        };
        operation.references -= 1;
        if operation.references == 0 && operation.ended {
            self.operations.remove(key);
        }
    }

    /// Handles the end of a client's timeout: open attempts time out, and the client disconnects
    /// after the answer slack.
    pub(super) fn request_deadline(&mut self, id: RequestId) {
        for attempt in self.requests.attempt_ids(id) {
            if self.requests.open_attempt(attempt).is_some() {
                self.abandon_attempt(attempt);
                self.finish_attempt(attempt, Outcome::Timeout);
            }
        }
        if self.requests.get(id).is_some_and(|found| !found.finished) {
            let at = self.now + self.rule_limits.answer_slack;
            self.queue.push(at, SimulationEvent::ClientDisconnect(id));
        }
    }

    /// Closes a client's connection that has no response yet. After the client's timeout and the
    /// answer slack this is a violation.
    pub(super) fn disconnect_client(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|found| !found.finished) else {
            return;
        };
        (request.finished, request.client_disconnected) = (true, true);
        let (proxy, operation) = (request.proxy, request.operation);
        let server = request.attempts.last().map(|attempt| attempt.server);
        let is_late = self.now >= request.expires + self.rule_limits.answer_slack;
        let outcome = if is_late {
            let number = self.operations[operation].number;
            let description = "no final answer by the client's deadline";
            self.record_violation(Rule::OneAnswer, proxy, server, Some(number), description);
            RequestOutcome::Unanswered
        } else {
            RequestOutcome::ClientDisconnected
        };
        self.retry_or_end(operation, outcome);
        self.deliver(proxy, Event::ClientDisconnected { id });
        self.drop_if_complete(id);
    }

    /// Removes a request that is finished and has no open attempt.
    pub(super) fn drop_if_complete(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove_if_complete(id) {
            self.release(request.operation);
        }
    }
}
