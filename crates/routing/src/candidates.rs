//! Candidates: the servers that may serve a request. The eligible servers of the gate's own region
//! come first; those of the other allowed regions are used if it has none (KEP-4444's `PreferClose`
//! with the region as the unit of locality).

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::endpoint::Endpoint;
use crate::endpoints::Endpoints;
use crate::guards::Guard;
use crate::request::Call;
use crate::table::{RegionId, RegionSet};

/// Indexes in the endpoint table of the servers that a request may be sent to.
pub(crate) type Pool = SmallVec<[u32; 64]>;

/// The signs of a fault that exclude a server. The filter is relaxed step by step when no server
/// would be left otherwise (compare Envoy's panic mode).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthFilter {
    /// Only servers without any sign of a fault.
    Healthy,
    /// Ejected servers too: if all are ejected, the cause is not a single server.
    AllowEjected,
    /// All eligible servers, including ejected ones and those whose heartbeats are missing.
    AllowMissingHeartbeats,
}

impl HealthFilter {
    /// The filters in the order in which they are applied, the strictest one first.
    pub(crate) const FALLBACK_ORDER: [HealthFilter; 3] = [
        HealthFilter::Healthy,
        HealthFilter::AllowEjected,
        HealthFilter::AllowMissingHeartbeats,
    ];
}

/// The regions that are searched, relative to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// The gate's own region.
    Local,
    /// Every other region that is allowed.
    Remote,
}

/// The service and regions whose servers are searched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SearchScope {
    /// Index of the service.
    pub(crate) service: u32,
    /// Regions that the route and the request allow.
    pub(crate) allowed_regions: RegionSet,
    /// The gate's own region, if any server is listed there.
    pub(crate) own_region: Option<RegionId>,
    /// Number of regions in the table.
    pub(crate) region_count: usize,
}

impl SearchScope {
    /// The allowed regions of a locality.
    pub(crate) fn regions(&self, locality: Locality) -> impl Iterator<Item = RegionId> + '_ {
        let all = 0..self.region_count as RegionId;
        let is_in_locality = move |region: &RegionId| {
            let is_own = Some(*region) == self.own_region && Guard::OwnRegion.on();
            is_own == (locality == Locality::Local)
        };
        let is_allowed = |region: &RegionId| {
            self.allowed_regions.contains(*region) || !Guard::AllowedRegions.on()
        };
        all.filter(is_in_locality).filter(is_allowed)
    }

    /// The listed servers of a locality.
    pub(crate) fn servers<'a>(
        &'a self,
        endpoints: &'a Endpoints,
        locality: Locality,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.regions(locality)
            .flat_map(|region| endpoints.members(self.service, region))
    }
}

/// True if the request may be sent to the server under the health filter.
pub(crate) fn is_candidate(
    endpoint: &Endpoint,
    call: &Call,
    filter: HealthFilter,
    now: Micros,
) -> bool {
    // Draining, evacuated and displaced servers are never used, even if no other is left.
    if !endpoint.is_eligible() || call.was_tried(endpoint.handle) {
        return false;
    }
    let is_lost = endpoint.is_presumed_lost(now);
    let is_ejected = endpoint.outlier.ejection().is_some() && Guard::Ejected.on();
    match filter {
        HealthFilter::Healthy => !is_lost && !is_ejected,
        HealthFilter::AllowEjected => !is_lost,
        HealthFilter::AllowMissingHeartbeats => true,
    }
}

/// The candidates of a locality. Servers that do not serve the request's model are left out if
/// another one does, and those for which `is_avoided` holds are left out if another is left.
pub(crate) fn pool(
    endpoints: &Endpoints,
    scope: &SearchScope,
    locality: Locality,
    call: &Call,
    filter: HealthFilter,
    now: Micros,
    is_avoided: impl Fn(&Endpoint) -> bool,
) -> Pool {
    let mut pool = Pool::new();
    // The highest grade found. The pool holds only servers of that grade.
    let mut best = Grade::default();
    let servers = scope.servers(endpoints, locality);
    for endpoint in servers.filter(|endpoint| is_candidate(endpoint, call, filter, now)) {
        let grade = Grade {
            serves_model: endpoint.serves_model(call.model),
            is_preferred: !is_avoided(endpoint),
        };
        if grade > best {
            pool.clear();
            best = grade;
        }
        if grade == best {
            pool.push(endpoint.handle.index);
        }
    }
    pool
}

/// How well a server suits a request. The order of the fields is their order of importance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Grade {
    serves_model: bool,
    /// The server is none of those to be avoided.
    is_preferred: bool,
}

/// Index of a server in the gate's own region whose ejection is over and that the request may try.
/// Only an idempotent request may, because the trial may fail.
pub(crate) fn trial_server(
    endpoints: &Endpoints,
    scope: &SearchScope,
    call: &Call,
    now: Micros,
) -> Option<u32> {
    if !call.is_idempotent() && Guard::TrialIdempotent.on() {
        return None;
    }
    let is_due = |endpoint: &&Endpoint| {
        endpoint.outlier.is_trial_due(now)
            && is_candidate(endpoint, call, HealthFilter::AllowEjected, now)
    };
    let mut servers = scope.servers(endpoints, Locality::Local);
    servers.find(is_due).map(|endpoint| endpoint.handle.index)
}
