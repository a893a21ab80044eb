//! The life cycle of a request: accepted, sent or queued, processed when it is due, answered.

use super::Balancer;
use super::health::EJECTION_TIME;
use crate::api::{Action, ClassId, Effect, Micros, Outcome, Request, RequestId};
use crate::locality::Locality;
use crate::open_request::{Attempt, OpenRequest, QueuePosition};
use crate::rng::{mix, unit};

/// Fraction of its time after which a request that no server has received is rejected: the client
/// gains nothing by a longer wait.
const UNSENT_TIME_SHARE: f64 = 0.15;

impl Balancer {
    /// Sends or queues a new request; rejects it if its class is unknown or its client has given up.
    pub(super) fn accept_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let (id, now) = (request.id, self.now);
        if request.class >= self.latencies.len() || request.expires <= now {
            return actions.push(self.rejection(id, request.class));
        }
        self.peer_load.count_request(now);
        self.deposit_retry_budget();
        // Rule 1: the request is ended in any case before its client gives up.
        let end_at = request.expires.saturating_sub(self.settings.tick);
        self.due_requests.insert((end_at, id));
        let class = &self.settings.classes[request.class];
        // A request waits for capacity in the own zone for the same fraction of its latency target
        // as crossing zones costs of its value.
        let spill_wait = self.settings.penalties.cross_zone * class.latency_target as f64;
        let unsent_wait = (request.expires - now) as f64 * UNSENT_TIME_SHARE;
        let open = OpenRequest {
            queue_position: QueuePosition::new(class.value, now, id),
            spill_at: now + spill_wait as Micros,
            target_at: now + class.latency_target,
            unsent_until: now + unsent_wait as Micros,
            end_at,
            request,
            attempts: Vec::new(),
            done: false,
            streaming: false,
        };
        self.open_requests.insert(id, open);
        self.send_or_queue(id, actions);
    }

    /// Sends a request, or queues it until there is capacity; returns whether it left the queue.
    pub(super) fn send_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.open_requests.get(&id) else {
            return false;
        };
        let (candidates, key) = (self.candidates(open), open.request.key);
        let position = open.queue_position;
        let median_latency = self.latencies[open.request.class].median as Micros;
        let target_reachable_until = open.target_at.saturating_sub(median_latency);
        let wake_ups =
            [open.spill_at, target_reachable_until, open.unsent_until].map(|at| (at, id));
        if candidates.is_empty() && self.failure_detector.is_isolated(&self.fleet) {
            // Ends it at once: waiting is useless while this balancer itself is partitioned off.
            self.end(id, actions);
            return true;
        }
        let Some(server) = self.pick(&candidates, key) else {
            if self.queue.insert(position) {
                self.due_requests.extend(wake_ups);
            }
            return false;
        };
        self.send(id, server, actions);
        true
    }

    /// Processes a request that is due: ends it, sends it if it is queued, or hedges it.
    pub(super) fn request_due(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self
            .open_requests
            .get(&id)
            .filter(|open| !open.done && !open.streaming)
        else {
            return;
        };
        // Whether a response can still arrive within the latency target.
        let median_latency = self.latencies[open.request.class].median as Micros;
        let is_in_time = self.now + median_latency < open.target_at;
        // A request that no server has received by then is rejected, so that its client can move on.
        let never_connected = |attempt: &Attempt| attempt.outcome == Some(Outcome::ConnectFailed);
        let is_unsent = open.attempts.iter().all(never_connected);
        let is_useful = is_in_time && !(is_unsent && self.now >= open.unsent_until);
        let may_hedge = self.settings.classes[open.request.class].effect == Effect::Idempotent
            && self.retry_budget >= 1.0;
        match open.in_flight() {
            _ if self.now >= open.end_at => self.end(id, actions),
            0 if is_useful => _ = self.send_or_queue(id, actions),
            0 => self.end(id, actions),
            1 if is_useful && may_hedge && open.has_attempts_left(&self.settings.limits) => {
                let (candidates, key) = (self.candidates(open), open.request.key);
                if let Some(server) = self.pick(&candidates, key) {
                    self.retry_budget -= 1.0;
                    self.send(id, server, actions);
                }
            }
            _ => {}
        }
    }

    /// Closes a request whose client has its final answer or has disconnected: cancels attempts in
    /// flight, and drops the request once all have ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        let stop = self.settings.limits.cancel && !open.done && !open.streaming;
        let attempts = open.attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, attempt)| stop && attempt.is_in_flight());
        actions.extend(in_flight.map(|(number, _)| Action::Cancel {
            id,
            attempt: number as u32,
        }));
        open.done = true;
        self.queue.remove(&open.queue_position);
        if open.in_flight() == 0 {
            self.open_requests.remove(&id);
        }
    }

    /// Gives up a request: fails it if an attempt may have run, and rejects it otherwise.
    pub(super) fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else {
            return;
        };
        // Rule 2: a rejection permits a retry, so it is sent only if no attempt can have run.
        let may_have_run = open.attempts.iter().any(Attempt::may_have_run);
        actions.push(if may_have_run {
            Action::Fail { id }
        } else {
            self.rejection(id, open.request.class)
        });
        self.close(id, actions);
    }

    /// A rejection with a retry delay: the estimated time in which the usable servers serve the queue,
    /// or the first ejection time if no server is usable. Jitter derived from the request's id keeps
    /// clients from retrying simultaneously.
    pub(super) fn rejection(&self, id: RequestId, class: ClassId) -> Action {
        let limit = |locality| self.fleet.load(locality).healthy_limit.value();
        let capacity: f64 = Locality::ALL.map(limit).iter().sum();
        let latency = self.latencies.get(class);
        let median_latency = latency.map_or(0.0, |latency| latency.median);
        let wait = if capacity > 0.0 {
            median_latency * (1.0 + self.queue.len() as f64 / capacity)
        } else {
            EJECTION_TIME.first as f64
        };
        let jitter = 0.5 + unit(mix(self.subset_salt ^ id));
        let max_delay = self.settings.limits.max_retry_after;
        Action::Reject {
            id,
            retry_after: Some(((wait * jitter) as Micros).min(max_delay)),
        }
    }
}
