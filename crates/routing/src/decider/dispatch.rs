//! Dispatch of a request to a server: the search, the retry budget, and the new attempt.

use ironmast_balancer::Micros;

use super::Decider;
use super::selection::{AttemptKind, SelectedServer, Selection};
use crate::decision::{Decision, Dispatch};
use crate::endpoint::Endpoint;
use crate::guards::Guard;
use crate::limits::{Permits, RetryBudget};
use crate::outcome::Outcome;
use crate::prefill;
use crate::priority::{self, LOWEST_PRIORITY};
use crate::rejection::RejectionReason;
use crate::request::{Attempt, Call};
use crate::retry::{self, NextStep};

/// Interval at which a request searches again while no server is listed for it, in microseconds.
const DISCOVERY_RETRY_DELAY: Micros = 30_000;

impl Decider {
    /// Assigns the request to a server, or delays, rejects or ends it if none accepts it.
    pub(super) fn assign<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Decision {
        match self.search(now, call, limits) {
            Selection::Server(selected) if self.withdraw_retry(now, call, selected, limits) => {
                Decision::Send(self.dispatch(now, call, selected))
            }
            Selection::Server(_) => {
                let retry_after = call.longest_retry_after;
                let reason = RejectionReason::AttemptsExhausted { retry_after };
                self.handle_unassigned(now, call, reason)
            }
            Selection::PermitIn(delay) => self.delay_for_permit(now, call, delay),
            Selection::Unavailable(RejectionReason::NoServer { retry_after: None })
                if self.may_await_discovery(now, call) =>
            {
                Decision::Delay {
                    until: now + DISCOVERY_RETRY_DELAY,
                }
            }
            Selection::Unavailable(reason) => self.handle_unassigned(now, call, reason),
        }
    }

    /// Ends the attempt in flight, which has stalled, and assigns the request to another server.
    /// Returns `None`, and leaves the attempt as it is, if no other server accepts the request now,
    /// or if the retry budget is exhausted.
    pub(super) fn fail_over<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Option<Dispatch> {
        let outcome = if call.head_forwarded {
            Outcome::Truncated { last_event: None }
        } else {
            Outcome::Timeout
        };
        if retry::next_step(call, &outcome, now) != NextStep::Retry {
            return None;
        }
        let Selection::Server(selected) = self.search(now, call, limits) else {
            return None;
        };
        if !self.withdraw_retry(now, call, selected, limits) {
            return None;
        }
        self.finish_attempt(now, call, &outcome);
        Some(self.dispatch(now, call, selected))
    }

    /// True if the request may wait for a server to be discovered: before its first attempt, and at
    /// most for half of the time from its start to its deadline.
    fn may_await_discovery(&self, now: Micros, call: &Call) -> bool {
        let time = call.deadline().saturating_sub(call.started_at);
        let is_in_first_half = now < call.started_at + time / 2;
        let is_discovering = now < self.discovery_until && Guard::Discovery.on();
        is_discovering && is_in_first_half && call.attempts() == 0
    }

    /// Withdraws a retry from the budget of the server's service if the next attempt is a retry,
    /// that is, if an earlier attempt may have arrived. Returns false if the budget is exhausted.
    ///
    /// The withdrawal for a retry that was never sent is used for the next one.
    fn withdraw_retry<L: RetryBudget>(
        &self,
        now: Micros,
        call: &mut Call,
        selected: SelectedServer,
        limits: &mut L,
    ) -> bool {
        let is_retry = call.arrived_attempts() > 0 && Guard::RetryBudget.on();
        if is_retry && !call.is_retry_withdrawn {
            let endpoint = self.endpoints.get(selected.server);
            let service = endpoint.and_then(|endpoint| self.table.service(&endpoint.spec.service));
            call.is_retry_withdrawn = service.is_some_and(|service| {
                limits.withdraw(now, &self.table.services()[service as usize])
            });
        } else {
            // No withdrawal is needed, or the one for a retry that was never sent is still unused.
            call.is_retry_withdrawn = true;
        }
        call.is_retry_withdrawn
    }

    /// Records an attempt at the selected server, and returns the parameters for sending it.
    fn dispatch(&mut self, now: Micros, call: &mut Call, selected: SelectedServer) -> Dispatch {
        let priority = self.queue_priority(call, selected);
        let endpoint = self
            .endpoints
            .get_mut(selected.server)
            .expect("a server that was just selected is known");
        let pending_tokens = occupy(now, endpoint, call);
        let backlog = endpoint.prefill_backlog.total(now);
        endpoint.outlier.has_trial |= selected.kind == AttemptKind::Trial;
        self.reachability.record_attempt(now, &endpoint.spec.region);
        let timeout = call.deadline().saturating_sub(now);
        let dispatch = Dispatch {
            attempt: call.attempts.len() as u32 + 1,
            server: selected.server,
            address: endpoint.spec.address,
            expect_instance: endpoint.spec.instance.clone(),
            service: endpoint.spec.service.clone(),
            warming_up: endpoint.spec.warming_up,
            crosses_region: *endpoint.spec.region != *self.settings.region,
            priority,
            timeout,
            deadline_ms: (timeout / 1000).max(1),
            resume_after: call.last_event,
            check_at: None,
        };
        call.service = Some(dispatch.service.clone());
        call.is_retry_withdrawn = false;
        call.last_byte_at = now;
        let is_retry = call.arrived_attempts() > 0;
        call.attempts.push(Attempt {
            server: selected.server,
            sent_at: now,
            first_byte_at: None,
            outcome: None,
            is_trial: selected.kind == AttemptKind::Trial,
            is_retry,
            pending_tokens,
            backlog,
        });
        Dispatch {
            check_at: self.stalls_at(call),
            ..dispatch
        }
    }

    /// Queue priority of the request at the selected server, the value of the `Priority` header.
    fn queue_priority(&self, call: &Call, selected: SelectedServer) -> u8 {
        let endpoint = self.endpoints.get(selected.server);
        let service = endpoint.and_then(|endpoint| self.table.service(&endpoint.spec.service));
        let shortest = service.map_or(0.0, |service| self.shortest_objective(service));
        let priority = priority::queue_priority(
            call.request.route.spec.priority,
            call.latency_objective() as f64,
            shortest,
        );
        priority.min(LOWEST_PRIORITY) as u8
    }
}

/// Adds the request to the server's occupancy and prefill backlog. Returns the number of tokens
/// that it adds to the backlog.
fn occupy(now: Micros, endpoint: &mut Endpoint, call: &Call) -> u64 {
    let demand = call.token_demand();
    let shares_prefix = endpoint.occupancy.added_tokens(demand) < demand.total();
    if endpoint.occupancy.in_flight == 0 {
        endpoint.in_flight_since = now;
    }
    endpoint.occupancy.add(demand);
    let cached = if shares_prefix { call.shared_tokens } else { 0 };
    let pending_tokens = prefill::pending_tokens(call.request.prompt_tokens, cached);
    endpoint.prefill_backlog.add(pending_tokens);
    pending_tokens
}
