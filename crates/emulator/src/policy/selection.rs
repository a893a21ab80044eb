//! The rules by which reference policies select an eligible server.

use ironmast_balancer::{Micros, Phase, ServerId, Settings};

use super::endpoints::{Endpoint, Endpoints};
use super::interface::GroundTruth;
use super::request::AcceptedRequest;
use super::warm_up;
use crate::random::{Purpose, Stream};

/// The fraction of a request's latency target within which its response must be expected for the
/// oracle to send it.
const ORACLE_TARGET_SHARE: f64 = 0.9;
/// The minimum wait that the oracle grants a request, however low its value, as a fraction of the
/// time given by [`ORACLE_TARGET_SHARE`].
const ORACLE_MIN_WAIT_SHARE: f64 = 0.1;
/// The weight of the newest request in the oracle's moving average of values.
const ORACLE_AVERAGE_WEIGHT: f64 = 0.01;

/// A rule for selecting a server; see [`PolicyName`](super::PolicyName).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SelectionRule {
    Random,
    RoundRobin,
    ZoneRoundRobin,
    TwoChoices,
    LeastRequests,
    WeightedRoundRobin,
    Oracle,
}

/// The input of a selection besides the endpoints.
pub(super) struct Query<'a> {
    pub now: Micros,
    pub request: &'a AcceptedRequest,
    pub settings: &'a Settings,
    pub truth: &'a dyn GroundTruth,
}

impl Query<'_> {
    fn is_eligible(&self, endpoint: &Endpoint) -> bool {
        let server = &endpoint.listed;
        let effect = &self.settings.classes[self.request.request.class].effect;
        server.phase == Phase::Ready
            && warm_up::may_send(self.settings, endpoint, self.now)
            && self.request.may_be_sent_to(server, effect, self.now)
    }
}

/// A selection rule with its state.
pub(super) struct Selector {
    rule: SelectionRule,
    random: Stream,
    /// The number of selections so far, for round robin.
    turn: usize,
    /// The oracle's moving average of value over work; 0 before the first request.
    value_per_work: f64,
}

impl Selector {
    pub(super) fn new(rule: SelectionRule, seed: u64) -> Self {
        Selector {
            rule,
            random: Stream::new(seed, Purpose::Policy, 0),
            turn: 0,
            value_per_work: 0.0,
        }
    }

    /// Whether a request for which no server is selected is rejected at once instead of queued.
    pub(super) fn rejects_at_once(&self) -> bool {
        self.rule == SelectionRule::Oracle
    }

    /// Selects a server, if one is eligible.
    pub(super) fn select(&mut self, query: &Query, endpoints: &mut Endpoints) -> Option<ServerId> {
        let candidates = candidates(self.rule, endpoints);
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        match self.rule {
            SelectionRule::RoundRobin | SelectionRule::ZoneRoundRobin => {
                self.turn += 1;
                // The index of the proxy is added, so that proxies start at different servers.
                let start = self.turn + query.settings.balancer_index as usize;
                eligible_from(start, candidates, query, endpoints).next()
            }
            SelectionRule::Random => {
                let (start, _) = self.draw_two(count);
                eligible_from(start, candidates, query, endpoints).next()
            }
            SelectionRule::TwoChoices => {
                let (first, second) = self.draw_two(count);
                let first = eligible_from(first, candidates, query, endpoints).next()?;
                let second = eligible_from(second, candidates, query, endpoints).next()?;
                let is_better = in_flight(endpoints, second) < in_flight(endpoints, first);
                Some(if is_better { second } else { first })
            }
            SelectionRule::LeastRequests => {
                let (start, _) = self.draw_two(count);
                eligible_from(start, candidates, query, endpoints)
                    .min_by_key(|id| in_flight(endpoints, *id))
            }
            SelectionRule::WeightedRoundRobin => {
                let eligible: Vec<ServerId> =
                    eligible_from(0, candidates, query, endpoints).collect();
                select_by_weight(&eligible, endpoints)
            }
            SelectionRule::Oracle => self.select_by_truth(query, endpoints),
        }
    }

    /// Draws two positions below `count`. Rules that use one position draw two as well, so that the
    /// digests of recorded runs do not change.
    fn draw_two(&mut self, count: usize) -> (usize, usize) {
        (self.random.below(count), self.random.below(count))
    }

    /// Selects the server that answers first, if it answers in time. Requests of less value per
    /// work than the moving average have a shorter limit on their wait, so that they are the first
    /// to be rejected when servers are busy.
    fn select_by_truth(&mut self, query: &Query, endpoints: &Endpoints) -> Option<ServerId> {
        let request = &query.request.request;
        let work = request.work_hint.unwrap_or(0) as f64;
        let zone = query.settings.zone;
        let (estimate, server) = eligible_from(0, endpoints.ready(), query, endpoints)
            .map(|id| {
                let estimate = query.truth.estimate_response(id, zone, request.class, work);
                (estimate, id)
            })
            .min_by(|(a, _), (b, _)| a.total.total_cmp(&b.total))?;
        let class = &query.settings.classes[request.class];
        let wait_share = self.wait_share(class.value / work.max(1.0));
        let limit = ORACLE_TARGET_SHARE * class.latency_target as f64;
        (estimate.total <= limit && estimate.wait <= limit * wait_share).then_some(server)
    }

    /// The share of its time limit that a request may wait: its value per work relative to the
    /// moving average, which is then updated with it.
    fn wait_share(&mut self, value_per_work: f64) -> f64 {
        let average = self.value_per_work;
        self.value_per_work += ORACLE_AVERAGE_WEIGHT * (value_per_work - average);
        if average > 0.0 {
            (value_per_work / average).clamp(ORACLE_MIN_WAIT_SHARE, 1.0)
        } else {
            1.0
        }
    }
}

/// The servers that a rule considers, before the check of eligibility.
fn candidates(rule: SelectionRule, endpoints: &Endpoints) -> &[ServerId] {
    let in_own_zone = endpoints.ready_in_own_zone();
    if rule == SelectionRule::ZoneRoundRobin && !in_own_zone.is_empty() {
        in_own_zone
    } else {
        endpoints.ready()
    }
}

/// The eligible candidates in cyclic order from a position.
fn eligible_from<'a>(
    start: usize,
    candidates: &'a [ServerId],
    query: &'a Query<'a>,
    endpoints: &'a Endpoints,
) -> impl Iterator<Item = ServerId> + 'a {
    let count = candidates.len();
    (0..count)
        .map(move |step| candidates[(start + step) % count])
        .filter(|id| {
            endpoints
                .get(*id)
                .is_some_and(|endpoint| query.is_eligible(endpoint))
        })
}

fn in_flight(endpoints: &Endpoints, id: ServerId) -> u64 {
    endpoints.get(id).map_or(0, |endpoint| endpoint.in_flight)
}

/// Selects by smooth weighted round robin: each server gains credit in proportion to its capacity,
/// one request in total, and the server with the most credit is selected and loses one request.
fn select_by_weight(eligible: &[ServerId], endpoints: &mut Endpoints) -> Option<ServerId> {
    let total: f64 = eligible
        .iter()
        .filter_map(|id| endpoints.get(*id))
        .map(|endpoint| endpoint.listed.size)
        .sum();
    let mut best: Option<(ServerId, f64)> = None;
    for &id in eligible {
        let endpoint = endpoints.get_mut(id)?;
        endpoint.credit += endpoint.listed.size / total;
        if best.is_none_or(|(_, credit)| endpoint.credit > credit) {
            best = Some((id, endpoint.credit));
        }
    }
    let (id, _) = best?;
    endpoints.get_mut(id)?.credit -= 1.0;
    Some(id)
}
