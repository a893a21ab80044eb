//! The load of each candidate for a request, and whether the candidate has capacity for it.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use crate::admission::{self, AdmissionInputs, MIN_OVERLOAD_SHARE};
use crate::candidates::Pool;
use crate::endpoint::Endpoint;
use crate::load::Load;
use crate::occupancy::PoolAverages;
use crate::request::Call;

/// The load of one candidate, and whether it has capacity for the request.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each tested by one step of the pick"
)]
pub(super) struct CandidateLoad {
    /// Index of the server in the endpoint table.
    pub(super) endpoint_index: u32,
    /// Hash of the instance ID.
    pub(super) hash: u64,
    load: Load,
    /// Used fraction of the server's capacity; above 1 while requests queue.
    pub(super) utilization: f64,
    /// Time until the prompts pending at the server have been prefilled, in microseconds.
    pub(super) prefill_wait: f64,
    /// The server has capacity for this request.
    pub(super) has_capacity: bool,
    /// The server has capacity for a request of the highest priority.
    pub(super) has_capacity_for_urgent: bool,
    /// The KV cache of the server has capacity for the complete request.
    pub(super) has_kv_cache: bool,
    /// Requests are waiting in the queue of the server.
    has_queue: bool,
    /// End of the server's backoff after it rejected a request for overload.
    pub(super) backoff_until: Micros,
}

/// The loads of a pool of candidates.
pub(super) type CandidateLoads = SmallVec<[CandidateLoad; 64]>;

impl Decider {
    /// The admission limit: the utilization below which a server of the service accepts a request
    /// with this priority and random number (see [`admission::max_utilization`]).
    pub(super) fn max_utilization(
        &self,
        call: &Call,
        service: u32,
        priority: u32,
        chance: f64,
    ) -> f64 {
        let inputs = AdmissionInputs {
            priority,
            admission_draw: chance,
            response_time: self.response_time(call),
            // All routes of the service share one objective: otherwise a less urgent request with a
            // longer objective would be admitted before a more urgent one.
            objective: self.shortest_objective(service),
        };
        admission::max_utilization(&self.settings, inputs)
    }

    /// Average duration of a response of the request's service, in microseconds.
    pub(super) fn response_time(&self, call: &Call) -> f64 {
        let service = call.service.as_deref().unwrap_or_default();
        self.baselines.response(service, &call.request.route)
    }

    /// The load of each candidate of a pool.
    pub(super) fn candidate_loads(
        &self,
        now: Micros,
        call: &Call,
        service: u32,
        pool: &Pool,
        max_utilization: f64,
    ) -> CandidateLoads {
        let max_age = self.settings.load_report_max_age;
        let endpoints = || pool.iter().filter_map(|index| self.endpoints.at(*index));
        let occupancies = endpoints().map(|endpoint| &endpoint.occupancy);
        let averages = PoolAverages::of(occupancies, now, max_age);
        let demand = call.token_demand();
        let max_utilization_for_urgent = self.max_utilization(call, service, 0, 0.0);
        let prefill_rate = self.prefill_rate(service);
        let candidate = |endpoint: &Endpoint| {
            let occupancy = &endpoint.occupancy;
            let load = occupancy.load(now, max_age, &endpoint.limits, averages);
            let utilization = load.utilization();
            let is_available = occupancy.backoff_until() <= now
                && occupancy.has_connection_capacity(&endpoint.limits);
            CandidateLoad {
                endpoint_index: endpoint.handle.index,
                hash: endpoint.hash,
                load,
                utilization,
                prefill_wait: prefill_rate.time_for(endpoint.prefill_backlog.total(now)),
                has_capacity: is_available && utilization < max_utilization,
                has_capacity_for_urgent: is_available && utilization < max_utilization_for_urgent,
                // Shared prefixes are looked up only if the complete request does not fit.
                has_kv_cache: load.has_kv_cache_for(demand.total())
                    || load.has_kv_cache_for(occupancy.added_tokens(demand)),
                has_queue: occupancy.has_queue(now, max_age),
                backoff_until: occupancy.backoff_until(),
            }
        };
        let mut candidates = CandidateLoads::with_capacity(pool.len());
        candidates.extend(endpoints().map(candidate));
        candidates
    }
}

/// True if the candidates are loaded enough to reject a request for lack of capacity: at least
/// [`MIN_OVERLOAD_SHARE`] of their slots are in use, or requests are waiting.
pub(super) fn is_overloaded(candidates: &CandidateLoads) -> bool {
    let slots: f64 = candidates
        .iter()
        .map(|candidate| candidate.load.slots)
        .sum();
    let active: f64 = candidates
        .iter()
        .map(|candidate| candidate.load.active)
        .sum();
    let has_queue = || candidates.iter().any(|candidate| candidate.has_queue);
    active >= MIN_OVERLOAD_SHARE * slots || has_queue()
}
