//! The picker (as in gRPC): picks one server from a pool of candidates by prefix affinity or round
//! robin, and reports why if none has capacity.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use super::candidate_load::{CandidateLoad, CandidateLoads};
use super::selection::{AttemptKind, SelectedServer, Selection};
use crate::affinity::{self, Candidate, LoadBounds};
use crate::candidates::{Locality, SearchScope};
use crate::endpoint::Endpoint;
use crate::guards::Guard;
use crate::limits::Permits;
use crate::rejection::{self, RejectionReason, SlotWait};
use crate::request::Call;
use crate::round_robin::ShuffledRoundRobin;

/// Maximum number of round robins that are kept, one for each combination of service, locality and
/// allowed regions. All are dropped when one more is needed.
const MAX_ROUND_ROBINS: usize = 4096;

/// Key of a round robin: the set of servers that the requests are balanced over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RoundRobinKey {
    service: u32,
    is_local: bool,
    /// Bit set of the allowed regions.
    allowed_regions: u64,
}

/// Whether a pick considers the servers' capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CapacityCheck {
    /// Only servers with capacity for the request are picked.
    Required,
    /// The least loaded server is picked, even if it is at capacity.
    Ignored,
}

/// Parameters of a pick.
#[derive(Clone, Copy, Debug)]
pub(super) struct PickArgs {
    pub(super) scope: SearchScope,
    pub(super) locality: Locality,
    pub(super) capacity: CapacityCheck,
}

impl Decider {
    /// Picks a candidate by prefix affinity or round robin. A server that is warming up is picked
    /// only with a permit; without one, the next candidate is tried.
    pub(super) fn pick<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        candidates: &CandidateLoads,
        args: PickArgs,
        limits: &mut L,
    ) -> Selection {
        let ignores_capacity = args.capacity == CapacityCheck::Ignored;
        let is_usable = |candidate: &&CandidateLoad| candidate.has_capacity || ignores_capacity;
        let mut usable: CandidateLoads = candidates.iter().filter(is_usable).copied().collect();
        if usable.is_empty() {
            return Selection::Unavailable(self.overload_reason(now, call, candidates));
        }
        // Servers whose KV cache has capacity for the complete request come first, but a lack of it
        // alone rejects no request.
        if usable.iter().any(|candidate| candidate.has_kv_cache) {
            usable.retain(|candidate| candidate.has_kv_cache);
        }
        if call.affinity_key.is_none() {
            usable.sort_unstable_by_key(|candidate| candidate.endpoint_index);
        }
        let mut earliest_permit: Option<Micros> = None;
        while let Some(index) = self.choose(call, &usable, args) {
            let Some(endpoint) = self.endpoints.at(usable[index].endpoint_index) else {
                break;
            };
            match acquire_permit(now, endpoint, limits) {
                Ok(()) => {
                    return Selection::Server(SelectedServer {
                        server: endpoint.handle,
                        kind: AttemptKind::Regular,
                    });
                }
                Err(delay) => {
                    let earliest = earliest_permit.map_or(delay, |earliest| earliest.min(delay));
                    earliest_permit = Some(earliest);
                }
            }
            usable.remove(index);
        }
        Selection::PermitIn(earliest_permit.unwrap_or(0))
    }

    /// Index of the usable candidate to try next; `None` if there is none.
    fn choose(&mut self, call: &Call, usable: &CandidateLoads, args: PickArgs) -> Option<usize> {
        if usable.is_empty() {
            return None;
        }
        if args.capacity == CapacityCheck::Ignored {
            return least_loaded(usable);
        }
        match call.affinity_key {
            Some(key) => self.choose_by_affinity(call, key, usable, args.scope.service),
            None => self.choose_by_round_robin(usable, args),
        }
    }

    /// Index of the candidate that the affinity key is assigned to within the load bounds.
    fn choose_by_affinity(
        &self,
        call: &Call,
        key: u64,
        usable: &CandidateLoads,
        service: u32,
    ) -> Option<usize> {
        let candidates: SmallVec<[Candidate; 64]> = usable
            .iter()
            .map(|candidate| Candidate {
                hash: candidate.hash,
                utilization: candidate.utilization,
                prefill_wait: candidate.prefill_wait,
            })
            .collect();
        let prefill_time = self.prefill_rate(service).time_for(call.shared_tokens);
        let bounds = LoadBounds {
            excess: self.settings.affinity_load_excess,
            floor: self.settings.affinity_load_floor,
            extra_wait: self.settings.affinity_wait_factor * prefill_time,
        };
        affinity::choose(key, &candidates, bounds)
    }

    /// Index of the next candidate in the round robin, which takes the load and the own zone into
    /// account. `usable` must be in ascending order of the indexes in the endpoint table.
    fn choose_by_round_robin(&mut self, usable: &CandidateLoads, args: PickArgs) -> Option<usize> {
        let key = RoundRobinKey {
            service: args.scope.service,
            is_local: args.locality == Locality::Local,
            allowed_regions: args.scope.allowed_regions.bits(),
        };
        let is_at_capacity = self.round_robins.len() >= MAX_ROUND_ROBINS;
        if is_at_capacity && !self.round_robins.contains_key(&key) {
            self.round_robins.clear();
        }
        let mut round_robin = self.round_robins.remove(&key).unwrap_or_default();
        self.refresh_members(&mut round_robin, args);
        let (endpoints, zone) = (&self.endpoints, &self.settings.zone);
        let position = |endpoint_index: u32| {
            let by_index = |candidate: &CandidateLoad| candidate.endpoint_index;
            usable.binary_search_by_key(&endpoint_index, by_index).ok()
        };
        let objective = self.shortest_objective(args.scope.service).max(1.0);
        let load = |endpoint_index: u32| {
            let candidate = &usable[position(endpoint_index)?];
            Some(
                candidate
                    .utilization
                    .max(candidate.prefill_wait / objective),
            )
        };
        let is_in_own_zone = |endpoint_index: u32| {
            let endpoint = endpoints.at(endpoint_index);
            endpoint.is_some_and(|endpoint| *endpoint.spec.zone == **zone)
        };
        let picked = round_robin.pick(&mut self.rng, load, is_in_own_zone);
        self.round_robins.insert(key, round_robin);
        picked.and_then(position)
    }

    /// Updates the members of a round robin if the table has changed since the last pick.
    fn refresh_members(&self, round_robin: &mut ShuffledRoundRobin, args: PickArgs) {
        let table_version = self.endpoints.table_version();
        if round_robin.table_version != table_version {
            let servers = args.scope.servers(&self.endpoints, args.locality);
            let mut members: Vec<u32> = servers.map(|endpoint| endpoint.handle.index).collect();
            members.sort_unstable();
            round_robin.set_members(members);
            round_robin.table_version = table_version;
        }
    }

    /// The reason why no candidate has capacity for the request, and the estimated time until one
    /// has.
    fn overload_reason(
        &self,
        now: Micros,
        call: &Call,
        candidates: &CandidateLoads,
    ) -> RejectionReason {
        let response_time = self.response_time(call);
        let in_flight: u32 = candidates
            .iter()
            .filter_map(|candidate| self.endpoints.at(candidate.endpoint_index))
            .map(|endpoint| endpoint.occupancy.in_flight)
            .sum();
        let backoffs = candidates
            .iter()
            .map(|candidate| candidate.backoff_until.saturating_sub(now));
        let wait = SlotWait {
            backoff: backoffs.min().unwrap_or(0),
            interval: rejection::slot_interval(response_time, f64::from(in_flight)),
        };
        let mut candidates = candidates.iter();
        if candidates.any(|candidate| candidate.has_capacity_for_urgent) {
            RejectionReason::ReservedForPriority(wait)
        } else {
            RejectionReason::Full(wait)
        }
    }
}

/// Acquires a permit if the server is warming up; any other server needs none.
///
/// # Errors
/// Returns the time after which a permit may be available, in microseconds.
pub(super) fn acquire_permit<L: Permits>(
    now: Micros,
    endpoint: &Endpoint,
    limits: &mut L,
) -> Result<(), Micros> {
    if endpoint.spec.warming_up && Guard::Permit.on() {
        let permit = limits.try_acquire(now, &endpoint.spec);
        permit.map_err(|retry_after| retry_after.0)
    } else {
        Ok(())
    }
}

/// Index of the candidate with the lowest utilization. Candidates in backoff come last, the
/// earliest end of a backoff first.
fn least_loaded(candidates: &CandidateLoads) -> Option<usize> {
    let indexed = candidates.iter().enumerate();
    let least = indexed.min_by(|(_, one), (_, other)| {
        let by_backoff = one.backoff_until.cmp(&other.backoff_until);
        by_backoff.then(one.utilization.total_cmp(&other.utilization))
    });
    least.map(|(index, _)| index)
}
