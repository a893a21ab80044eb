//! Outlier ejection from the outcomes of attempts, and maintenance of the measurements of servers.

use super::capacity::{LimitInputs, update_limit};
use super::{Balancer, RATE_DECAY_TIME};
use crate::api::{Action, AttemptEnded, ClassId, Micros, Outcome, Phase};
use crate::fleet::Load;
use crate::locality::Locality;
use crate::node::{EjectionTime, Node};

/// Time constant by which a server's slowness decays, in microseconds.
const SLOWNESS_DECAY_TIME: f64 = 10_000_000.0;
/// Upper bound of the assumed network latency to another zone, as a fraction of the latency target.
const MAX_NETWORK_LATENCY_SHARE: f64 = 0.2;
/// Smoothing factor of a server's average slowness.
const SLOWNESS_SMOOTHING: f64 = 0.5;
/// Failure rate at which a server is ejected.
pub(super) const EJECTION_THRESHOLD: f64 = 0.5;
/// Margin over the mean failure rate of the zone's other servers; not required for failed connections.
const EJECTION_MARGIN: f64 = 0.25;
/// Failure rate below which the ejection backoff is reset.
const RECOVERED_FAILURE_RATE: f64 = 0.05;
/// Ejection time before a trial request, in microseconds; doubled after each failed trial.
pub(super) const EJECTION_TIME: EjectionTime = EjectionTime {
    first: 1_000_000,
    longest: 8_000_000,
};

impl Balancer {
    /// Updates the measurements of a server with the end of an attempt that was sent to it at `sent`.
    pub(super) fn record_outcome(
        &mut self,
        ended: &AttemptEnded,
        class: Option<ClassId>,
        sent: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        // Outcomes of attempts at an earlier incarnation do not count against a restarted server.
        let is_same_incarnation = |node: &&Node| sent.is_none_or(|at| at >= node.since);
        let Some(known) = self.fleet.get(ended.server).filter(is_same_incarnation) else {
            return;
        };
        let peers = self.fleet.zone(known.server.zone).without(known);
        let locality = self.fleet.locality(known.server.zone);
        let inputs = class.map(|class| self.limit_inputs(class, locality));
        // An overdue attempt counts as slow however it ends: otherwise a slow server whose clients
        // disconnect before its responses arrive would never be noticed.
        let is_overdue = class
            .zip(sent)
            .is_some_and(|(class, at)| (now - at) as f64 > self.latencies[class].p90);
        let counted_class = self.fleet.change(ended.server, |node| {
            node.in_flight = node.in_flight.saturating_sub(1);
            node.idle_since = Some(now);
            // An outcome that is no response, or is caused by this balancer, says nothing of load
            // and must not lower a healthy server's share or limit.
            let indicates_load = ended.outcome.indicates_load();
            if indicates_load || is_overdue {
                let is_slow = is_overdue || ended.outcome != Outcome::Ok;
                let sample = f64::from(u8::from(is_slow));
                node.slowness += SLOWNESS_SMOOTHING * (sample - node.slowness);
            }
            if update_health(node, ended.outcome, sent, &peers, now) {
                let id = node.server.id;
                let text = format!("server {id} ejected until a trial succeeds: its attempts fail");
                actions.push(Action::Log(text));
            }
            let (class, inputs) = class.zip(inputs).filter(|_| indicates_load)?;
            update_limit(node, ended, &inputs);
            if ended.outcome == Outcome::Overloaded {
                // A server that rejects immediately always has capacity and would otherwise attract
                // ever more requests.
                node.overloaded_until = now + self.latencies[class].median as Micros;
            }
            Some(class)
        });
        if let Some(class) = counted_class.flatten() {
            self.record_load_sample(ended, class, locality);
        }
    }

    /// The inputs of limit updates for the servers of a locality.
    fn limit_inputs(&self, class: ClassId, locality: Locality) -> LimitInputs {
        let load = self.locality_load(locality, class);
        let target = self.settings.classes[class].latency_target as f64;
        LimitInputs {
            target,
            max_network_latency: match locality {
                Locality::Local => 0.0,
                Locality::Remote => MAX_NETWORK_LATENCY_SHARE * target,
            },
            is_locality_in_use: 2.0 * load.in_flight >= load.limit,
            balancers: f64::from(self.settings.balancers),
        }
    }

    /// Pauses a locality whose limits sum to less than one, and updates the latency quantiles.
    fn record_load_sample(&mut self, ended: &AttemptEnded, class: ClassId, locality: Locality) {
        let balancers = f64::from(self.settings.balancers);
        let limit = self.locality_load(locality, class).limit;
        let is_ok = ended.outcome == Outcome::Ok;
        if limit < 1.0 {
            let took = if is_ok {
                ended.latency as f64
            } else {
                self.latencies[class].median
            };
            let pause = (1.0 / limit.max(1.0 / balancers) - 1.0) * took;
            self.paused_until[locality] = self.now + pause as Micros;
        }
        if is_ok {
            self.latencies[class].record(ended.latency);
        }
    }

    /// Decays the measurements of servers, closes idle connections, and probes ejected servers whose
    /// trial is due.
    pub(super) fn maintain_servers(&mut self, actions: &mut Vec<Action>) {
        let decay = |time: f64| 1.0 - self.maintenance_interval as f64 / time;
        let (slowness, rate) = (decay(SLOWNESS_DECAY_TIME), decay(RATE_DECAY_TIME));
        let now = self.now;
        let detector = &self.failure_detector;
        self.fleet.maintain(|node| {
            let server = node.server.id;
            node.slowness *= slowness;
            node.recent_successes *= rate;
            // Idle connections of many balancers would fill the servers' connection tables.
            let is_idle = |at| node.in_flight == 0 && (now - at) as f64 > RATE_DECAY_TIME;
            if node.idle_since.is_some_and(is_idle) {
                node.idle_since = None;
                actions.push(Action::CloseIdle { server });
            }
            // A probe as the trial risks no request, and ends ejections also where no class is
            // idempotent; they would be permanent otherwise.
            let is_reachable =
                node.server.phase == Phase::Ready && !detector.is_unreachable(node.server.zone);
            if self.settings.limits.probes && is_reachable && node.start_due_trial(now) {
                actions.push(Action::Probe { server });
            }
        });
    }
}

/// Updates a server's failure rate and ends or starts its ejection; returns whether one starts.
fn update_health(
    node: &mut Node,
    outcome: Outcome,
    sent: Option<Micros>,
    peers: &Load,
    now: Micros,
) -> bool {
    let FailureSample { failed, smoothing } = FailureSample::of(outcome);
    node.failure_rate += smoothing * (failed - node.failure_rate);
    if outcome == Outcome::Ok {
        record_success(node, sent);
    }
    // Except for failed connections, at most half of a zone is ejected: overload must not empty it.
    let is_majority = 2 * (peers.ejected_total + 1) > peers.count + 1;
    // If all of a zone fails alike, the cause is load, not an unhealthy server. A failed connection is
    // unambiguous.
    let mean_failure_rate = peers.failure_rate.value() / peers.count.max(1) as f64;
    let stands_out = outcome == Outcome::ConnectFailed
        || node.failure_rate - mean_failure_rate >= EJECTION_MARGIN && !is_majority;
    let is_due = node.ejected.is_none_or(|ejection| ejection.until <= now);
    let starts = failed > 0.0 && node.failure_rate >= EJECTION_THRESHOLD && stands_out && is_due;
    if starts {
        node.eject(now, now, &EJECTION_TIME);
    }
    starts
}

/// The contribution of an outcome to a server's failure rate.
struct FailureSample {
    /// 1 for a failure, 0 for a success.
    failed: f64,
    /// Smoothing factor of the rate.
    smoothing: f64,
}

impl FailureSample {
    fn of(outcome: Outcome) -> Self {
        let (failed, smoothing) = match outcome {
            Outcome::Ok => (0.0, 0.25),
            Outcome::ServerError | Outcome::Timeout => (1.0, 0.25),
            // Two of them in a row reach the threshold; one does not, even after some broken responses.
            Outcome::ConnectFailed => (1.0, 0.3),
            // Weighted low: a healthy server may break a single response, and a dead one refuses the
            // next connection.
            Outcome::Reset | Outcome::MalformedResponse => (1.0, 0.1),
            // A rejection as overloaded shows load, not failure; a cancelled or unsent attempt was
            // ended by this balancer, and a client error is due to the request.
            Outcome::Overloaded | Outcome::Cancelled | Outcome::NotSent | Outcome::ClientError => {
                (0.0, 0.0)
            }
        };
        FailureSample { failed, smoothing }
    }
}

/// Records a successful response to an attempt that was sent at `sent`.
fn record_success(node: &mut Node, sent: Option<Micros>) {
    node.recent_successes += 1.0;
    // Resets the ejection backoff of a server that has recovered.
    if node.failure_rate < RECOVERED_FAILURE_RATE && node.ejected.is_none() {
        node.backoff = 0;
    }
    // A success ends an ejection only if it was sent after the ejection started.
    let was_sent_since = |since| sent.is_some_and(|at| at >= since);
    if node
        .ejected
        .is_some_and(|ejection| was_sent_since(ejection.since))
    {
        node.ejected = None;
        node.failure_rate = 0.0;
        node.backoff = 0;
    }
}
