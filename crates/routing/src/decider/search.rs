//! Finding a server: the service drawn by weight, the own region and the others, and when each of
//! them is asked.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use super::pick::{CandidateLoad, CandidateLoads, PickArgs, crowded, permitted};
use crate::candidates::{self, HealthFilter, Locality, Pool, Scope};
use crate::decision::ServerHandle;
use crate::endpoints::Endpoint;
use crate::guards::Guard;
use crate::limits::{Permits, RetryBudget};
use crate::reachability;
use crate::rejection::RejectionReason;
use crate::request::Call;

/// A server is quiet after this many times the usual time to a first byte.
const UNRESPONSIVE_FACTOR: f64 = 2.0;
/// Another region is sooner where the wait known of there is by so many times shorter.
const SPILLOVER_WAIT_RATIO: f64 = 4.0;
/// A server for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectedServer {
    pub server: ServerHandle,
    pub trial: bool,
}

/// The end of a search.
#[derive(Clone, Copy, Debug)]
pub(super) enum Selection {
    Server(SelectedServer),
    /// Only cold servers without a permit; one may be there after that long.
    PermitIn(Micros),
    Unavailable(RejectionReason),
}

impl Decider {
    /// Tries the services of the route, the drawn one first.
    pub(super) fn search<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Selection {
        if call.deadline() <= now {
            return Selection::Unavailable(RejectionReason::NoServer { until: None });
        }
        let mut best = Selection::Unavailable(RejectionReason::NoServer { until: None });
        for service in self.services(now, call, limits) {
            match self.search_service(now, call, service, limits) {
                Selection::Server(found) => return Selection::Server(found),
                Selection::PermitIn(wait) => best = Selection::PermitIn(wait),
                Selection::Unavailable(reason) if !matches!(best, Selection::PermitIn(_)) => {
                    best = Selection::Unavailable(reason)
                }
                Selection::Unavailable(_) => {}
            }
        }
        best
    }

    /// The services that the request may go to, the one it is drawn for first. The draw is counted
    /// for the budget.
    fn services<L: RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> SmallVec<[u32; 4]> {
        let route = call.request.route.clone();
        if call.service.is_none() {
            let point = self.traffic_splits.next(&route.spec.name, &mut self.rng);
            let mut point = (point * route.weight as f64) as u64;
            let drawn = route.spec.backends.iter().find(|split| {
                let here = point < u64::from(split.weight);
                point = point.saturating_sub(u64::from(split.weight));
                here
            });
            call.service = drawn
                .or(route.spec.backends.first())
                .map(|split| split.service.clone());
            let service = call
                .service
                .as_deref()
                .and_then(|name| self.table.service(name));
            if let Some(service) = service {
                limits.deposit(now, &self.table.services()[service as usize]);
            }
        }
        let drawn = call.service.clone();
        let others = route
            .spec
            .backends
            .iter()
            .filter(|split| split.weight > 0)
            .map(|split| &split.service);
        let others = others.filter(|name| Some(*name) != drawn.as_ref());
        let order = drawn.iter().chain(others);
        order.filter_map(|name| self.table.service(name)).collect()
    }

    fn scope(&self, call: &Call, service: u32) -> Scope {
        let route = self
            .table
            .region_set(&call.request.route.spec.allowed_regions);
        let own = self.table.region_set(&call.request.allowed_regions);
        Scope {
            service,
            allowed: route.and(own),
            own: self.table.region(&self.settings.region),
            regions: self.table.region_count(),
        }
    }

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
                until: Some(reachability::GATE_FAILOVER_TIME),
            });
        }
        if let Some(found) = self.trial(now, call, &scope, limits) {
            return Selection::Server(found);
        }
        for trust in HealthFilter::FALLBACK_ORDER {
            if let Some(search) = self.search_trusted(now, call, scope, trust, limits) {
                return search;
            }
        }
        Selection::Unavailable(RejectionReason::NoServer {
            until: self.next_trial(now, &scope),
        })
    }

    /// A trial at a server whose ejection is over.
    fn trial<L: Permits>(
        &self,
        now: Micros,
        call: &Call,
        scope: &Scope,
        limits: &mut L,
    ) -> Option<SelectedServer> {
        // A trial may fail: the request must have another attempt, and nothing behind it yet.
        let most = call.request.route.spec.max_attempts as usize;
        let spare = call.attempts() == 0 && most > 1 || !Guard::TrialFirst.on();
        let slot = candidates::trial(&self.endpoints, scope, call, now).filter(|_| spare)?;
        let node = self.endpoints.at(slot)?;
        permitted(now, node, limits).ok()?;
        Some(SelectedServer {
            server: node.handle,
            trial: true,
        })
    }

    /// The own region, then the others. None where nobody is there that is trusted so far.
    fn search_trusted<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        scope: Scope,
        trust: HealthFilter,
        limits: &mut L,
    ) -> Option<Selection> {
        let level = self.level(
            call,
            scope.service,
            call.request.route.spec.priority,
            call.chance,
        );
        let mut seen: Option<Selection> = None;
        let mut all = CandidateLoads::new();
        let sooner = self.sooner_elsewhere(now, call, &scope, trust, level);
        for reach in if sooner {
            [Locality::Remote, Locality::Local]
        } else {
            [Locality::Local, Locality::Remote]
        } {
            let pool = self.pool(now, &scope, reach, call, trust);
            if pool.is_empty() {
                continue;
            }
            // For want of room or for a wait another region is used only while it has plenty.
            let spills_over = reach == Locality::Remote
                && (sooner || matches!(seen, Some(Selection::Unavailable(_))));
            let most = if spills_over {
                self.settings.spillover_max_load
            } else {
                f64::INFINITY
            };
            let ask = PickArgs {
                scope,
                reach,
                any: false,
            };
            let offers = self.offers(now, call, scope.service, &pool, level.min(most));
            let found = self.pick(now, call, &offers, ask, limits);
            if let Selection::Server(found) = found {
                return Some(Selection::Server(found));
            }
            all.extend(offers);
            // The shorter way to an answer is a permit.
            seen = seen
                .filter(|seen| matches!(seen, Selection::PermitIn(_)))
                .or(Some(found));
        }
        let full = matches!(seen, Some(Selection::Unavailable(_)));
        // Guards streams under way, and requests while places are free, against refusals.
        if full && (call.head_forwarded || Guard::FreeSlots.on() && !crowded(&all)) {
            let nearest = if scope
                .own
                .is_some_and(|own| all.iter().any(|o| self.in_region(o, own)))
            {
                Locality::Local
            } else {
                Locality::Remote
            };
            let pool = self.pool(now, &scope, nearest, call, trust);
            let offers = self.offers(now, call, scope.service, &pool, level);
            let ask = PickArgs {
                scope,
                reach: nearest,
                any: true,
            };
            return Some(self.pick(now, call, &offers, ask, limits));
        }
        seen
    }

    /// True where prompts wait long at every server of the own region, and far less at one of
    /// another that has room. What other gates have there is not known: that one must look better
    /// by a multiple.
    fn sooner_elsewhere(
        &self,
        now: Micros,
        call: &Call,
        scope: &Scope,
        trust: HealthFilter,
        level: f64,
    ) -> bool {
        let shortest = |reach, most: f64| {
            let pool = self.pool(now, scope, reach, call, trust);
            let offers = self.offers(now, call, scope.service, &pool, level.min(most));
            offers
                .iter()
                .filter(|offer| offer.room)
                .map(|offer| offer.wait)
                .min_by(f64::total_cmp)
        };
        let long = call.latency_objective() as f64 * self.settings.spillover_min_wait;
        let here = shortest(Locality::Local, f64::INFINITY)
            .filter(|wait| *wait > long && Guard::SpilloverWait.on());
        let Some(here) = here else { return false };
        shortest(Locality::Remote, self.settings.spillover_max_load)
            .is_some_and(|there| there * SPILLOVER_WAIT_RATIO <= here)
    }

    /// The candidates of a reach; quiet ones only where all are.
    fn pool(
        &self,
        now: Micros,
        scope: &Scope,
        reach: Locality,
        call: &Call,
        trust: HealthFilter,
    ) -> Pool {
        let usual = self.baselines.first(&call.request.route) * UNRESPONSIVE_FACTOR;
        let patience = self.settings.unresponsive_after.max(usual as Micros);
        let dark = self.unreachable_regions(now, scope, reach);
        let suspect = |node: &Endpoint| {
            node.is_unresponsive(now, patience) || node.is_suspected_by_peers(now)
        };
        // What has failed once goes where somebody is known to answer.
        let is_again = call.arrived_attempts() > 0 && Guard::RetryAtLiveServer.on();
        let shun = |node: &Endpoint| {
            Guard::UnresponsiveLast.on() && suspect(node)
                || dark.contains(node.region)
                || is_again && !node.was_heard_recently(now)
        };
        candidates::pool(&self.endpoints, scope, reach, call, trust, now, shun)
    }

    fn in_region(&self, offer: &CandidateLoad, region: u8) -> bool {
        self.endpoints
            .at(offer.slot)
            .is_some_and(|node| node.region == region)
    }

    /// When the next ejection ends.
    fn next_trial(&self, now: Micros, scope: &Scope) -> Option<Micros> {
        let nodes = [Locality::Local, Locality::Remote]
            .into_iter()
            .flat_map(|reach| scope.servers(&self.endpoints, reach));
        let until = nodes
            .filter(|node| node.is_eligible())
            .filter_map(|node| node.health.ejected());
        until.map(|ejected| ejected.until.saturating_sub(now)).min()
    }
}
