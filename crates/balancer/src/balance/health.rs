//! What outcomes, probes and their absence say of servers: outlier ejection, in-flight limits (AIMD),
//! and the failure detector for zones.

use super::Balancer;
use crate::api::{Action, AttemptEnded, ClassId, Micros, Outcome, Phase, ServerId, Settings};
use crate::failure_detector;
use crate::fleet::Load;
use crate::latency::follow;
use crate::node::Node;
use crate::open_request::Attempt;

/// Time constant of measured rates, and the time for which idle connections stay open.
pub(super) const RATE_DECAY_TIME: f64 = 2_000_000.0;
/// Time constant of a server's slowness.
const SLOWNESS_DECAY_TIME: f64 = 10_000_000.0;
/// A response counts as overload from this part of its latency target on, so that it shows before
/// targets are missed.
const OVERLOAD_LATENCY_SHARE: f64 = 0.2;
/// The network latency to another zone is taken for no more than this part of the latency target.
const MAX_NETWORK_LATENCY_SHARE: f64 = 0.2;
/// First in-flight limit of a server, split by the number of balancers.
pub(super) const INITIAL_LIMIT: f64 = 12.0;
/// Numerator of a limit's increase for each response without overload while the zone is in use (by
/// the first limit until the first overload). A limit decreases by the overload of each response
/// that shows it, so it converges to this over the usual overload.
const LIMIT_INCREASE: f64 = 3.0;
/// Smoothing factor of this balancer's share of a server's load, as load reports give it.
const LOAD_SHARE_SMOOTHING: f64 = 0.05;
/// Smoothing factor of a server's average slowness.
const SLOWNESS_SMOOTHING: f64 = 0.5;
/// Failure rate at which a server is ejected.
pub(super) const EJECTION_THRESHOLD: f64 = 0.5;
/// How far softer failures must exceed the other servers' rate.
const EJECTION_MARGIN: f64 = 0.25;
/// A server is probed when a response is overdue by the 0.9 quantile, or for this many maintenance
/// intervals.
const PROBE_AFTER_RUNS: f64 = 5.0;
/// First and longest ejection before a trial request; doubled at each failed trial.
pub(super) const EJECTION_TIME: (Micros, Micros) = (1_000_000, 8_000_000);

impl Balancer {
    /// Judges a server by the end of an attempt that was sent to it at `sent`.
    pub(super) fn record_outcome(
        &mut self,
        ended: &AttemptEnded,
        class: Option<ClassId>,
        sent: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        // Guards a restarted server against being judged by what its last incarnation did.
        let is_same_incarnation = |node: &&Node| sent.is_none_or(|at| at >= node.since);
        let Some(known) = self.fleet.get(ended.server).filter(is_same_incarnation) else {
            return;
        };
        let zone = known.server.zone;
        let peers = self.fleet.zone(zone).without(known);
        let is_own_zone = zone == self.settings.zone;
        let (in_flight, limit) =
            class.map_or((0.0, 0.0), |class| self.zone_load(is_own_zone, class));
        // Guards against slow servers that never show: a client that cancels later than usual had
        // waited too long.
        let is_overdue = class
            .zip(sent)
            .is_some_and(|(class, at)| (now - at) as f64 > self.latencies[class].high);
        let judged = self.fleet.change(ended.server, |node| {
            node.in_flight = node.in_flight.saturating_sub(1);
            node.idle_since = Some(now);
            // Guards good servers' shares and limits: an outcome that is no response, or is this
            // balancer's doing, says nothing of load.
            let indicates_load = ended.outcome.indicates_load();
            if indicates_load || is_overdue {
                let is_slow = is_overdue || ended.outcome != Outcome::Ok;
                node.slowness +=
                    SLOWNESS_SMOOTHING * (f64::from(u8::from(is_slow)) - node.slowness);
            }
            if update_health(node, ended.outcome, sent, &peers, now) {
                actions.push(Action::Log(format!(
                    "server {:016x} set aside: it fails",
                    node.server.id.0
                )));
            }
            let class = class.filter(|_| indicates_load)?;
            let target = self.settings.classes[class].latency_target as f64;
            let evidence = LimitEvidence {
                target,
                max_network_latency: if is_own_zone {
                    0.0
                } else {
                    MAX_NETWORK_LATENCY_SHARE * target
                },
                is_zone_in_use: 2.0 * in_flight >= limit,
                balancers: f64::from(self.settings.balancers),
            };
            update_limit(node, ended, &evidence);
            if ended.outcome == Outcome::Overloaded {
                // Guards against black holes: a server that rejects at once always has capacity,
                // and would be sent ever more.
                node.overloaded_until = now + self.latencies[class].median as Micros;
            }
            Some(class)
        });
        if let Some(class) = judged.flatten() {
            self.record_zone_outcome(ended, class, is_own_zone);
        }
    }

    /// Pauses a zone whose limits sum below one, and updates the latency quantiles.
    fn record_zone_outcome(&mut self, ended: &AttemptEnded, class: ClassId, is_own_zone: bool) {
        let balancers = f64::from(self.settings.balancers);
        let limit = self.zone_load(is_own_zone, class).1;
        let is_ok = ended.outcome == Outcome::Ok;
        if limit < 1.0 {
            let took = if is_ok {
                ended.latency as f64
            } else {
                self.latencies[class].median
            };
            self.paused_until[usize::from(is_own_zone)] =
                self.now + ((1.0 / limit.max(1.0 / balancers) - 1.0) * took) as Micros;
        }
        if is_ok {
            follow(&mut self.latencies[class].median, ended.latency, 0.5);
            follow(&mut self.latencies[class].high, ended.latency, 0.9);
        }
    }

    /// A health check ended. An answer ends an ejection, on probation: it shows that the server is
    /// reachable, not that it serves. Without one the server is ejected, longer each time.
    pub(super) fn probe_ended(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        actions: &mut Vec<Action>,
    ) {
        let (now, is_reachable) = (
            self.now,
            matches!(outcome, Outcome::Ok | Outcome::Overloaded),
        );
        // Guards against returning late to a zone of which nothing is usable.
        let is_zone_down = self
            .fleet
            .get(server)
            .is_some_and(|node| self.fleet.zone(node.server.zone).healthy == 0);
        self.fleet.change(server, |node| {
            if !is_reachable {
                let max_backoff = if is_zone_down {
                    2 * EJECTION_TIME.0
                } else {
                    EJECTION_TIME.1
                };
                node.backoff = (node.backoff * 2).clamp(EJECTION_TIME.0, max_backoff);
                node.ejected = Some((node.ejected.map_or(now, |a| a.0), now + node.backoff));
            } else if node.ejected.take().is_some() {
                node.failure_rate = EJECTION_THRESHOLD / 2.0;
            }
        });
        self.record_sign(
            server,
            is_reachable || failure_detector::sign_of(outcome, took) == Some(true),
            actions,
        );
    }

    /// A server gave a sign of life, or none when one was due. An unreachable zone is not usable until
    /// a probe is answered; attempts in flight there are cancelled if a retry is safe and of use.
    pub(super) fn record_sign(&mut self, server: ServerId, sign: bool, actions: &mut Vec<Action>) {
        let finding =
            self.failure_detector
                .heard(&self.fleet, server, sign, self.now, &mut self.rng);
        actions.extend(finding.log.map(Action::Log));
        actions.extend(
            finding
                .probe
                .into_iter()
                .map(|server| Action::Probe { server }),
        );
        let (
            Settings {
                limits, classes, ..
            },
            detector,
        ) = (&self.settings, &self.failure_detector);
        // All requests are checked only without a sign: responses are many.
        for (&id, open) in self.open_requests.iter().take(if sign || !limits.cancel {
            0
        } else {
            self.open_requests.len()
        }) {
            let (class, usual) = (
                &classes[open.request.class],
                &self.latencies[open.request.class],
            );
            let is_unreachable = |attempt: &Attempt| {
                attempt.server == server || detector.is_unreachable(attempt.zone)
            };
            let is_useful = self.now + (usual.median as Micros) < open.target_at;
            let stranded_attempt = open
                .stranded_attempt(class, limits, is_unreachable)
                .filter(|_| is_useful);
            actions.extend(stranded_attempt.map(|attempt| Action::Cancel { id, attempt }));
        }
    }

    /// Runs periodically: decays measurements, probes, and grants warming servers their requests.
    pub(super) fn maintain(&mut self, actions: &mut Vec<Action>) {
        let decay = |time: f64| 1.0 - self.maintenance_interval as f64 / time;
        let (now, slowness, rate) = (self.now, decay(SLOWNESS_DECAY_TIME), decay(RATE_DECAY_TIME));
        let detector = &self.failure_detector;
        self.fleet.maintain(|node| {
            (node.slowness, node.recent_successes) =
                (node.slowness * slowness, node.recent_successes * rate);
            // Guards the servers' connection tables against many balancers' idle connections.
            if node.in_flight == 0
                && node
                    .idle_since
                    .is_some_and(|at| (now - at) as f64 > RATE_DECAY_TIME)
            {
                node.idle_since = None;
                actions.push(Action::CloseIdle {
                    server: node.server.id,
                });
            }
            // Guards against permanent ejection where no class is idempotent: a probe is the trial,
            // and costs no request.
            let is_reachable =
                node.server.phase == Phase::Ready && !detector.is_unreachable(node.server.zone);
            let ready = self.settings.limits.probes && is_reachable;
            if let Some((_, until)) = node
                .ejected
                .as_mut()
                .filter(|(_, until)| ready && *until <= now)
            {
                *until = now + node.backoff;
                actions.push(Action::Probe {
                    server: node.server.id,
                });
            }
        });
        if self.settings.limits.probes {
            let overdue = self.latencies.iter().map(|latency| latency.high).fold(
                PROBE_AFTER_RUNS * self.maintenance_interval as f64,
                f64::min,
            );
            let due = self
                .failure_detector
                .due(&self.fleet, now, overdue as Micros, &mut self.rng);
            actions.extend(due.into_iter().map(|server| Action::Probe { server }));
        }
        self.grant_warm_up();
        // Guards the busiest of many balancers against an even share of limits, most of which the
        // others do not use.
        self.fleet.scale(self.peer_load.update_shares(now));
        actions.extend(
            self.peer_load
                .due(now)
                .map(|data| Action::SendToPeers { to: None, data }),
        );
    }
}

/// Updates a server's failure rate and ends or starts its ejection; returns whether it starts.
fn update_health(
    node: &mut Node,
    outcome: Outcome,
    sent: Option<Micros>,
    peers: &Load,
    now: Micros,
) -> bool {
    // "Overloaded" is load, not ill health; a cancelled or unsent attempt is our own doing.
    let (failed, smoothing) = match outcome {
        Outcome::Ok => (0.0, 0.25),
        Outcome::ServerError | Outcome::Timeout => (1.0, 0.25),
        // Twice in a row, whatever else failed: guards good servers against one lost connection.
        Outcome::ConnectFailed => (1.0, 0.3),
        // Guards good servers against one malformed or broken response: a dead server refuses the
        // next connection.
        Outcome::Reset | Outcome::MalformedResponse => (1.0, 0.1),
        Outcome::Overloaded | Outcome::Cancelled | Outcome::NotSent | Outcome::ClientError => {
            (0.0, 0.0)
        }
    };
    node.failure_rate += smoothing * (failed - node.failure_rate);
    if outcome == Outcome::Ok {
        node.recent_successes += 1.0;
        // Guards a server that is healthy again against the long ejections of its past.
        if node.failure_rate < 0.05 && node.ejected.is_none() {
            node.backoff = 0;
        }
        // A success ends an ejection only if it was sent after the ejection started.
        let is_later = |(since, _)| sent.is_some_and(|at| at >= since);
        if node.ejected.is_some_and(is_later) {
            (node.ejected, node.failure_rate, node.backoff) = (None, 0.0, 0);
        }
    }
    // At most half of a zone is ejected: guards an overloaded one against losing server by server.
    let is_majority = 2 * (peers.ejected_total + 1) > peers.count + 1;
    // If all of a zone fails alike, that is its load, not an unhealthy server; failed connections
    // are plain.
    let usual = peers.failure_rate.value() / peers.count.max(1) as f64;
    let stands_out =
        smoothing > 0.25 || node.failure_rate - usual >= EJECTION_MARGIN && !is_majority;
    let is_due = node.ejected.is_none_or(|(_, until)| until <= now);
    let starts = failed > 0.0 && node.failure_rate >= EJECTION_THRESHOLD && stands_out && is_due;
    if starts {
        node.backoff = (node.backoff * 2).clamp(EJECTION_TIME.0, EJECTION_TIME.1);
        node.ejected = Some((now, now + node.backoff));
    }
    starts
}

/// What a limit depends on besides the server and the outcome.
struct LimitEvidence {
    /// The latency target of the class.
    target: f64,
    max_network_latency: f64,
    /// Half of the zone's limit or more is in flight.
    is_zone_in_use: bool,
    balancers: f64,
}

/// Updates a server's in-flight limit: additive increase, decrease by the overload that shows.
fn update_limit(node: &mut Node, ended: &AttemptEnded, evidence: &LimitEvidence) {
    let balancers = evidence.balancers;
    // Limits are split evenly, unless load reports tell this balancer's share of the load.
    let in_flight = f64::from(node.in_flight + 1);
    if let Some(active) = ended.load.and_then(|load| load.active) {
        let share = (in_flight / active.max(in_flight)).max(1.0 / balancers);
        node.load_share += LOAD_SHARE_SMOOTHING * (share - node.load_share);
    }
    // Guards other zones' servers: the network latency, for which the shortest response stands, is
    // not load. Otherwise their limits would stay at the least, and they would be no way out.
    node.min_latency = node.min_latency.min(ended.latency);
    let network_latency = (node.min_latency as f64).min(evidence.max_network_latency);
    let part = if ended.outcome == Outcome::Ok {
        (ended.latency as f64 - network_latency) / evidence.target
    } else {
        1.0
    };
    let overload =
        ((part - OVERLOAD_LATENCY_SHARE) / (1.0 - OVERLOAD_LATENCY_SHARE)).clamp(0.0, 1.0);
    if overload > 0.0 {
        node.limit = (node.limit - overload * node.limit.min(1.0)).max(1.0 / balancers);
        node.was_overloaded = true;
    } else if evidence.is_zone_in_use {
        let increase = if node.was_overloaded {
            LIMIT_INCREASE / node.limit.max(1.0)
        } else {
            INITIAL_LIMIT
        };
        node.limit += (increase * node.load_share).min(1.0);
    }
}
