//! The search for a server: over the services of the route, the own region and then the others,
//! with a fallback to servers that show signs of a fault.

use ironmast_balancer::Micros;

use super::Decider;
use super::candidate_load::{CandidateLoad, CandidateLoads, is_overloaded};
use super::pick::{CapacityCheck, PickArgs, acquire_permit};
use super::pool::SearchStep;
use super::selection::{AttemptKind, SelectedServer, Selection};
use crate::candidates::{self, HealthFilter, Locality, SearchScope};
use crate::guards::Guard;
use crate::limits::{Permits, RetryBudget};
use crate::reachability::GATE_FAILOVER_TIME;
use crate::rejection::RejectionReason;
use crate::request::Call;
use crate::table::RegionId;

/// The result of a search in which no server is eligible.
const NO_SERVER: Selection =
    Selection::Unavailable(RejectionReason::NoServer { retry_after: None });

impl Decider {
    /// Searches the services of the route, beginning with the one that the traffic split selected.
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
            best = match (best, self.search_service(now, call, service, limits)) {
                (_, Selection::Server(selected)) => return Selection::Server(selected),
                (Selection::PermitIn(earlier), Selection::PermitIn(delay)) => {
                    Selection::PermitIn(earlier.min(delay))
                }
                (Selection::PermitIn(earlier), Selection::Unavailable(_)) => {
                    Selection::PermitIn(earlier)
                }
                (_, selection) => selection,
            };
        }
        best
    }

    /// The service and the regions that both the route and the request allow.
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

    /// Searches the servers of one service, unless all are in unreachable regions: first a server
    /// that is due for a trial, then the candidates under each health filter, the strictest first.
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

    /// A server whose ejection is over and that the request may try.
    fn trial<L: Permits>(
        &self,
        now: Micros,
        call: &Call,
        scope: &SearchScope,
        limits: &mut L,
    ) -> Option<SelectedServer> {
        // A trial may fail, so it must be the first attempt of a request that may be retried.
        let max_attempts = call.request.route.spec.max_attempts;
        let can_retry = call.attempts() == 0 && max_attempts > 1 || !Guard::TrialFirst.on();
        let index = candidates::trial_server(&self.endpoints, scope, call, now);
        let endpoint = self.endpoints.at(index.filter(|_| can_retry)?)?;
        acquire_permit(now, endpoint, limits).ok()?;
        Some(SelectedServer {
            server: endpoint.handle,
            kind: AttemptKind::Trial,
        })
    }

    /// Searches the own region, then the others; the other way around if the prefill wait spills
    /// over. `None` if no server passes the health filter.
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
            max_utilization: self.max_utilization(
                call,
                scope.service,
                priority,
                call.admission_draw,
            ),
        };
        let mut best: Option<Selection> = None;
        let mut all_loads = CandidateLoads::new();
        let spills_over_for_wait = self.spills_over_for_wait(now, call, &step);
        for locality in search_order(spills_over_for_wait) {
            let pool = self.pool(now, call, &step, locality);
            if pool.is_empty() {
                continue;
            }
            let lacks_capacity = matches!(best, Some(Selection::Unavailable(_)));
            let spills_over =
                locality == Locality::Remote && (spills_over_for_wait || lacks_capacity);
            let max_utilization = if spills_over {
                // Another region takes spillover only while it has ample capacity.
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
            // A wait for a permit leads to a response sooner than a rejection and a retry do.
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

    /// Picks the least loaded server, even if it is at capacity: in the own region if it has
    /// candidates, otherwise in the others.
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

    fn is_in_region(&self, candidate: &CandidateLoad, region: RegionId) -> bool {
        let endpoint = self.endpoints.at(candidate.endpoint_index);
        endpoint.is_some_and(|endpoint| endpoint.region == region)
    }

    /// Time until the earliest end of an ejection of an otherwise eligible server; `None` if none
    /// is ejected.
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

/// The order in which the localities are searched: the own region first, unless its prefill wait
/// makes another region the better choice.
fn search_order(spills_over_for_wait: bool) -> [Locality; 2] {
    if spills_over_for_wait {
        [Locality::Remote, Locality::Local]
    } else {
        [Locality::Local, Locality::Remote]
    }
}

/// True if the request is sent although no candidate has capacity: because the head of its response
/// has been forwarded, or because the candidates are not loaded enough to justify a rejection.
fn may_ignore_capacity(call: &Call, candidates: &CandidateLoads) -> bool {
    call.head_forwarded || Guard::FreeSlots.on() && !is_overloaded(candidates)
}
