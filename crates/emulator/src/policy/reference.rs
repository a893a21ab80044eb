//! The reference policies: textbook selection rules with the minimum that the judge's four rules
//! require.
//!
//! Reference policies retry if the class permits it, answer in time, send nothing to draining
//! servers and share servers that are warming up. They neither check health nor limit load.

use std::collections::BTreeMap;

use ironmast_balancer::{
    Action, AttemptEnded, Effect, Event, Listing, Micros, Request, RequestId, Scope, Settings,
};

use super::endpoints::Endpoints;
use super::interface::{GroundTruth, Policy};
use super::request::{AcceptedRequest, Attempt};
use super::selection::{Query, SelectionRule, Selector};
use crate::random::{hash_parts, unit_interval};

/// The time for which requests without an eligible server are queued before the next selection.
const SELECTION_INTERVAL: Micros = 5_000;
/// The delay before a failed query of discovery is repeated.
const DISCOVERY_RETRY_DELAY: Micros = 500_000;
/// The mean Retry-After of rejections, in microseconds. The jitter is 50 % either way.
const MEAN_RETRY_AFTER: f64 = 200_000.0;

/// The token of the timer for the next selection. The token of a request's timer is its id.
const SELECTION_TIMER: u64 = u64::MAX;
/// The token of the timer for the next query of discovery.
const DISCOVERY_TIMER: u64 = u64::MAX - 1;

/// A reference policy of one proxy, with its selection rule.
pub(super) struct Reference {
    settings: Settings,
    selector: Selector,
    endpoints: Endpoints,
    requests: BTreeMap<RequestId, AcceptedRequest>,
    /// Requests that wait for an eligible server.
    queue: Vec<RequestId>,
    /// Whether the timer [`SELECTION_TIMER`] is pending.
    selection_scheduled: bool,
    subscribed: bool,
}

impl Reference {
    pub(super) fn new(rule: SelectionRule, settings: Settings, seed: u64) -> Self {
        Reference {
            selector: Selector::new(rule, seed),
            endpoints: Endpoints::new(settings.zone),
            settings,
            requests: BTreeMap::new(),
            queue: Vec::new(),
            selection_scheduled: false,
            subscribed: false,
        }
    }

    fn update_endpoints(&mut self, listing: Listing, actions: &mut Vec<Action>) {
        if listing.scope == Scope::Failed {
            actions.push(Action::Timer {
                delay: DISCOVERY_RETRY_DELAY,
                token: DISCOVERY_TIMER,
            });
        } else {
            self.endpoints.update(listing);
        }
    }

    fn accept(
        &mut self,
        now: Micros,
        request: Request,
        truth: &dyn GroundTruth,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id;
        let answer_by = request.expires.saturating_sub(self.settings.tick);
        actions.push(Action::Timer {
            delay: answer_by.saturating_sub(now),
            token: id,
        });
        self.requests.insert(id, AcceptedRequest::new(request));
        self.dispatch(now, id, truth, actions);
    }

    /// Sends a request to a server, queues it if none is eligible, or rejects it.
    fn dispatch(
        &mut self,
        now: Micros,
        id: RequestId,
        truth: &dyn GroundTruth,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let query = Query {
            now,
            request,
            settings: &self.settings,
            truth,
        };
        let selected = self.selector.select(&query, &mut self.endpoints);
        let Some(server) = selected else {
            if self.selector.rejects_at_once() {
                self.give_up(id, actions);
            } else {
                self.enqueue(id, actions);
            }
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        endpoint.in_flight += 1;
        endpoint.last_sent = now;
        request.attempts.push(Attempt {
            server,
            zone: endpoint.listed.zone,
            sent_at: now,
            outcome: None,
        });
        actions.push(Action::Send {
            id,
            server,
            timeout: None,
            start_deadline: None,
        });
    }

    fn enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.queue.push(id);
        if !self.selection_scheduled {
            self.selection_scheduled = true;
            actions.push(Action::Timer {
                delay: SELECTION_INTERVAL,
                token: SELECTION_TIMER,
            });
        }
    }

    fn dispatch_queue(&mut self, now: Micros, truth: &dyn GroundTruth, actions: &mut Vec<Action>) {
        self.selection_scheduled = false;
        for id in std::mem::take(&mut self.queue) {
            let is_open = self.requests.get(&id).is_some_and(|request| !request.ended);
            if is_open {
                self.dispatch(now, id, truth, actions);
            }
        }
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        ended: &AttemptEnded,
        truth: &dyn GroundTruth,
        actions: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(ended.server) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
        let Some(request) = self.requests.get_mut(&ended.id) else {
            return;
        };
        if let Some(attempt) = request.attempts.get_mut(ended.attempt as usize) {
            attempt.outcome = Some(ended.outcome);
        }
        if ended.finished || request.ended {
            self.end(ended.id, actions);
            return;
        }
        if !request.is_idle() {
            return;
        }
        let attempts_left = request.attempts.len() < self.settings.limits.max_attempts as usize;
        let may_retry = match self.settings.classes[request.request.class].effect {
            Effect::NonIdempotent => ended.outcome.never_ran(),
            Effect::Idempotent | Effect::Deduplicated { .. } => true,
        };
        if attempts_left && may_retry {
            self.dispatch(now, ended.id, truth, actions);
        } else {
            self.give_up(ended.id, actions);
        }
    }

    /// Ends a request without success: rejects it if no server can have executed it, and reports a
    /// failure otherwise.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.ended {
            return;
        }
        actions.push(if request.may_have_run() {
            Action::Fail { id }
        } else {
            let jitter = 0.5 + unit_interval(hash_parts([id, 2, 3, 4]));
            Action::Reject {
                id,
                retry_after: Some((MEAN_RETRY_AFTER * jitter) as Micros),
            }
        });
        self.end(id, actions);
    }

    /// Ends a request that has its final answer or whose client has disconnected, and cancels its
    /// attempts in flight.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.ended = true;
        if request.is_idle() {
            self.requests.remove(&id);
            return;
        }
        if !self.settings.limits.cancel {
            return;
        }
        for (attempt, state) in request.attempts.iter().enumerate() {
            if state.outcome.is_none() {
                let attempt = attempt as u32;
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }
}

impl Policy for Reference {
    fn handle(
        &mut self,
        now: Micros,
        event: Event,
        truth: &dyn GroundTruth,
        actions: &mut Vec<Action>,
    ) {
        if !self.subscribed {
            self.subscribed = true;
            actions.push(Action::Subscribe);
        }
        match event {
            Event::Members(listing) => self.update_endpoints(listing, actions),
            Event::Request(request) => self.accept(now, request, truth, actions),
            Event::AttemptEnded(ended) => self.attempt_ended(now, &ended, truth, actions),
            Event::ClientDisconnected { id } => self.end(id, actions),
            Event::Timer { token } => match token {
                SELECTION_TIMER => self.dispatch_queue(now, truth, actions),
                DISCOVERY_TIMER => actions.push(Action::Subscribe),
                request => self.give_up(request, actions),
            },
            Event::ResponseStarted { .. }
            | Event::RequestComplete { .. }
            | Event::ProbeEnded { .. }
            | Event::PeerMessage { .. } => {}
        }
    }
}
