//! The search for a server: the services of the route in turn, the own region and the others, and
//! the fallback to servers that show signs of a fault.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use super::pick::{
    CandidateLoad, CandidateLoads, CapacityCheck, PickArgs, acquire_permit, is_overloaded,
};
use super::selection::{AttemptKind, SelectedServer, Selection};
use crate::candidates::{self, HealthFilter, Locality, Pool, SearchScope};
use crate::endpoint::Endpoint;
use crate::guards::Guard;
use crate::limits::{Permits, RetryBudget};
use crate::reachability::GATE_FAILOVER_TIME;
use crate::rejection::RejectionReason;
use crate::request::Call;
use crate::table::{RegionId, Route, WeightedBackend};

/// A server is unresponsive after this multiple of the average time to the first byte.
const UNRESPONSIVE_FACTOR: f64 = 2.0;
/// Another region is used because of the prefill wait only if the wait there is shorter by this
/// factor.
const SPILLOVER_WAIT_RATIO: f64 = 4.0;

/// The result of a search in which no server is eligible.
const NO_SERVER: Selection =
    Selection::Unavailable(RejectionReason::NoServer { retry_after: None });

/// What one step of a search looks for.
#[derive(Clone, Copy, Debug)]
struct SearchStep {
    scope: SearchScope,
    filter: HealthFilter,
    /// Utilization up to which a server is filled for the request.
    max_utilization: f64,
}

impl Decider {
    /// Searches the services of the route, the one that the traffic split selects first.
    pub(super) fn search<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Selection {
        let mut best = NO_SERVER;
        if call.deadline() <= now {
            return best;
        }
        for service in self.services(now, call, limits) {
            match self.search_service(now, call, service, limits) {
                Selection::Server(selected) => return Selection::Server(selected),
                Selection::PermitIn(delay) => best = Selection::PermitIn(delay),
                Selection::Unavailable(_) if matches!(best, Selection::PermitIn(_)) => {}
                Selection::Unavailable(reason) => best = Selection::Unavailable(reason),
            }
        }
        best
    }

    /// The services that the request may go to, the selected one first.
    fn services<L: RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> SmallVec<[u32; 4]> {
        if call.service.is_none() {
            self.select_service(now, call, limits);
        }
        let backends = call.request.route.spec.backends.iter();
        let others = backends
            .filter(|backend| backend.weight > 0)
            .map(|backend| &backend.service)
            .filter(|name| Some(*name) != call.service.as_ref());
        let in_order = call.service.iter().chain(others);
        in_order
            .filter_map(|name| self.table.service(name))
            .collect()
    }

    /// Selects the service of a new request by the traffic split, and records the request for the
    /// retry budget.
    fn select_service<L: RetryBudget>(&mut self, now: Micros, call: &mut Call, limits: &mut L) {
        let route = &call.request.route;
        let point = self
            .traffic_splits
            .next_point(&route.spec.name, &mut self.rng);
        let backend = backend_at(route, point).or(route.spec.backends.first());
        call.service = backend.map(|backend| backend.service.clone());
        let name = call.service.as_deref();
        if let Some(service) = name.and_then(|name| self.table.service(name)) {
            limits.deposit(now, &self.table.services()[service as usize]);
        }
    }

    fn scope(&self, call: &Call, service: u32) -> SearchScope {
        let route_regions = &call.request.route.spec.allowed_regions;
        let route_regions = self.table.region_set(route_regions);
        let request_regions = self.table.region_set(&call.request.allowed_regions);
        SearchScope {
            service,
            allowed_regions: route_regions.intersection(request_regions),
            own_region: self.table.region(&self.settings.region),
            region_count: self.table.region_count(),
        }
    }

    /// Searches the servers of one service.
    fn search_service<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        service: u32,
        limits: &mut L,
    ) -> Selection {
        let scope = self.scope(call, service);
        if self.is_only_in_unreachable_regions(now, &scope) {
            return Selection::Unavailable(RejectionReason::NoServer {
                retry_after: Some(GATE_FAILOVER_TIME),
            });
        }
        if let Some(selected) = self.trial(now, call, &scope, limits) {
            return Selection::Server(selected);
        }
        for filter in HealthFilter::FALLBACK_ORDER {
            if let Some(selection) = self.search_filtered(now, call, scope, filter, limits) {
                return selection;
            }
        }
        Selection::Unavailable(RejectionReason::NoServer {
            retry_after: self.time_until_trial(now, &scope),
        })
    }

    /// A trial at a server whose ejection is over.
    fn trial<L: Permits>(
        &self,
        now: Micros,
        call: &Call,
        scope: &SearchScope,
        limits: &mut L,
    ) -> Option<SelectedServer> {
        // A trial may fail, so it must be the first attempt of a request that may make another.
        let max_attempts = call.request.route.spec.max_attempts;
        let may_fail = call.attempts() == 0 && max_attempts > 1 || !Guard::TrialFirst.on();
        let index = candidates::trial_server(&self.endpoints, scope, call, now);
        let endpoint = self.endpoints.at(index.filter(|_| may_fail)?)?;
        acquire_permit(now, endpoint, limits).ok()?;
        Some(SelectedServer {
            server: endpoint.handle,
            kind: AttemptKind::Trial,
        })
    }

    /// Searches the own region, then the others. `None` if no server passes the health filter.
    fn search_filtered<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        scope: SearchScope,
        filter: HealthFilter,
        limits: &mut L,
    ) -> Option<Selection> {
        let priority = call.request.route.spec.priority;
        let step = SearchStep {
            scope,
            filter,
            max_utilization: self.max_utilization(call, scope.service, priority, call.chance),
        };
        let mut best: Option<Selection> = None;
        let mut all_loads = CandidateLoads::new();
        let spills_for_wait = self.spills_for_wait(now, call, &step);
        for locality in search_order(spills_for_wait) {
            let pool = self.pool(now, call, &step, locality);
            if pool.is_empty() {
                continue;
            }
            let lacks_capacity = matches!(best, Some(Selection::Unavailable(_)));
            let spills_over = locality == Locality::Remote && (spills_for_wait || lacks_capacity);
            let max_utilization = if spills_over {
                // Another region gets this region's overflow only while it has ample capacity.
                step.max_utilization.min(self.settings.spillover_max_load)
            } else {
                step.max_utilization
            };
            let args = PickArgs {
                scope,
                locality,
                capacity: CapacityCheck::Required,
            };
            let loads = self.candidate_loads(now, call, scope.service, &pool, max_utilization);
            let selection = self.pick(now, call, &loads, args, limits);
            if let Selection::Server(selected) = selection {
                return Some(Selection::Server(selected));
            }
            all_loads.extend(loads);
            // Waiting for a permit leads to a response sooner than a rejection does.
            best = best
                .filter(|best| matches!(best, Selection::PermitIn(_)))
                .or(Some(selection));
        }
        let is_rejected = matches!(best, Some(Selection::Unavailable(_)));
        if is_rejected && may_ignore_capacity(call, &all_loads) {
            return Some(self.pick_least_loaded(now, call, &step, &all_loads, limits));
        }
        best
    }

    /// Picks the least loaded server of the nearest locality that has candidates, even if it is at
    /// capacity.
    fn pick_least_loaded<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        step: &SearchStep,
        candidates: &CandidateLoads,
        limits: &mut L,
    ) -> Selection {
        let has_local = step.scope.own_region.is_some_and(|own| {
            let mut candidates = candidates.iter();
            candidates.any(|candidate| self.is_in_region(candidate, own))
        });
        let locality = if has_local {
            Locality::Local
        } else {
            Locality::Remote
        };
        let pool = self.pool(now, call, step, locality);
        let service = step.scope.service;
        let loads = self.candidate_loads(now, call, service, &pool, step.max_utilization);
        let args = PickArgs {
            scope: step.scope,
            locality,
            capacity: CapacityCheck::Ignored,
        };
        self.pick(now, call, &loads, args, limits)
    }

    /// True if the prefill wait is long at every server of the own region and far shorter at one of
    /// another region that has capacity. What other gates have pending there is not known, so the
    /// difference must be large.
    fn spills_for_wait(&self, now: Micros, call: &Call, step: &SearchStep) -> bool {
        let shortest_wait = |locality, max_utilization: f64| {
            let pool = self.pool(now, call, step, locality);
            let max_utilization = step.max_utilization.min(max_utilization);
            let service = step.scope.service;
            let loads = self.candidate_loads(now, call, service, &pool, max_utilization);
            let usable = loads.iter().filter(|candidate| candidate.has_capacity);
            let waits = usable.map(|candidate| candidate.prefill_wait);
            waits.min_by(f64::total_cmp)
        };
        let min_wait = call.latency_objective() as f64 * self.settings.spillover_min_wait;
        let Some(local) = shortest_wait(Locality::Local, f64::INFINITY) else {
            return false;
        };
        if local <= min_wait || !Guard::SpilloverWait.on() {
            return false;
        }
        let remote = shortest_wait(Locality::Remote, self.settings.spillover_max_load);
        remote.is_some_and(|remote| remote * SPILLOVER_WAIT_RATIO <= local)
    }

    /// The candidates of a locality. Servers that may be dead are used only if there are no others.
    fn pool(&self, now: Micros, call: &Call, step: &SearchStep, locality: Locality) -> Pool {
        let scope = &step.scope;
        let first_byte = self.baselines.first_byte(&call.request.route);
        let timeout = (first_byte * UNRESPONSIVE_FACTOR) as Micros;
        let timeout = self.settings.unresponsive_after.max(timeout);
        let unreachable = self.unreachable_regions(now, scope, locality);
        let is_suspect = |endpoint: &Endpoint| {
            endpoint.is_unresponsive(now, timeout) || endpoint.is_suspected_by_peers(now)
        };
        // A retry goes to a server from which something was received recently.
        let needs_live_server = call.arrived_attempts() > 0 && Guard::RetryAtLiveServer.on();
        let is_avoided = |endpoint: &Endpoint| {
            Guard::UnresponsiveLast.on() && is_suspect(endpoint)
                || unreachable.contains(endpoint.region)
                || needs_live_server && !endpoint.was_heard_recently(now)
        };
        candidates::pool(
            &self.endpoints,
            scope,
            locality,
            call,
            step.filter,
            now,
            is_avoided,
        )
    }

    fn is_in_region(&self, candidate: &CandidateLoad, region: RegionId) -> bool {
        let endpoint = self.endpoints.at(candidate.endpoint_index);
        endpoint.is_some_and(|endpoint| endpoint.region == region)
    }

    /// Time until the next ejection of an otherwise eligible server is over.
    fn time_until_trial(&self, now: Micros, scope: &SearchScope) -> Option<Micros> {
        let servers = [Locality::Local, Locality::Remote]
            .into_iter()
            .flat_map(|locality| scope.servers(&self.endpoints, locality));
        let eligible = servers.filter(|endpoint| endpoint.is_eligible());
        let ejections = eligible.filter_map(|endpoint| endpoint.outlier.ejection());
        ejections
            .map(|ejection| ejection.until.saturating_sub(now))
            .min()
    }
}

/// The backend at a point in `[0, 1)` of the route's total weight.
fn backend_at(route: &Route, point: f64) -> Option<&WeightedBackend> {
    let mut remaining = (point * route.total_weight as f64) as u64;
    route.spec.backends.iter().find(|backend| {
        let weight = u64::from(backend.weight);
        let is_here = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_here
    })
}

/// The order in which the localities are searched: the own region first, unless its prefill wait
/// makes another region the better choice.
fn search_order(spills_for_wait: bool) -> [Locality; 2] {
    if spills_for_wait {
        [Locality::Remote, Locality::Local]
    } else {
        [Locality::Local, Locality::Remote]
    }
}

/// True if the request is not rejected although no candidate has capacity: because its stream has
/// begun, or because the candidates are not loaded enough for a rejection.
fn may_ignore_capacity(call: &Call, candidates: &CandidateLoads) -> bool {
    call.head_forwarded || Guard::FreeSlots.on() && !is_overloaded(candidates)
}
