//! Who may serve a request: KEP-4444 `PreferClose` over regions. The usable servers of the gate's
//! own region, else those of all regions that the route allows.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::endpoints::{Endpoint, Endpoints};
use crate::guards::Guard;
use crate::request::Call;
use crate::table::{RegionId, RegionSet};

/// Servers that a request may go to, by slot.
pub(crate) type Pool = SmallVec<[u32; 64]>;

/// What is overlooked where nobody would be left otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthFilter {
    /// Only servers that health and heartbeats speak for.
    Healthy,
    /// Ejection ones too: where all are, health tells of something else.
    AllowEjected,
    /// Those whose heartbeats are missing too.
    AllowMissingHeartbeats,
}

impl HealthFilter {
    /// From the strictest on.
    pub const FALLBACK_ORDER: [HealthFilter; 3] = [
        HealthFilter::Healthy,
        HealthFilter::AllowEjected,
        HealthFilter::AllowMissingHeartbeats,
    ];
}

/// Which regions are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// The gate's own region.
    Local,
    /// Every other region that is allowed.
    Remote,
}

/// Whose servers are asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    pub service: u32,
    pub allowed: RegionSet,
    /// The gate's own region, where a server is there at all.
    pub own: Option<RegionId>,
    pub regions: usize,
}

impl Scope {
    /// The regions of a reach. Nothing outside the allowed ones, ever.
    pub fn regions(&self, reach: Locality) -> impl Iterator<Item = RegionId> + '_ {
        let all = 0..self.regions as RegionId;
        let wanted = move |region: &RegionId| {
            (Some(*region) == self.own && Guard::OwnRegion.on()) == (reach == Locality::Local)
        };
        all.filter(wanted)
            .filter(|region| self.allowed.contains(*region) || !Guard::AllowedRegions.on())
    }

    /// The in_table servers of a reach.
    pub fn servers<'a>(
        &'a self,
        fleet: &'a Endpoints,
        reach: Locality,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.regions(reach)
            .flat_map(|region| fleet.members(self.service, region))
    }
}

/// True where a server may be sent the request at all.
pub(crate) fn admits(node: &Endpoint, call: &Call, trust: HealthFilter, now: Micros) -> bool {
    // Draining, evacuated and displaced ones never, whatever else is missing.
    if !node.is_eligible() || call.was_tried(node.handle) {
        return false;
    }
    let silent = node.is_presumed_lost(now);
    let ejected = node.health.ejected().is_some() && Guard::Ejected.on();
    match trust {
        HealthFilter::Healthy => !silent && !ejected,
        HealthFilter::AllowEjected => !silent,
        HealthFilter::AllowMissingHeartbeats => true,
    }
}

/// Who of a reach may be sent the request. Servers that do not name the model are left out if
/// another names it, and those that `shun` holds for if another is left.
pub(crate) fn pool(
    fleet: &Endpoints,
    scope: &Scope,
    reach: Locality,
    call: &Call,
    trust: HealthFilter,
    now: Micros,
    shun: impl Fn(&Endpoint) -> bool,
) -> Pool {
    let mut pool = Pool::new();
    // How good the best is so far: the pool holds only those that are as good.
    let mut best = (false, false);
    for node in scope
        .servers(fleet, reach)
        .filter(|node| admits(node, call, trust, now))
    {
        let grade = (node.serves_model(call.model), !shun(node));
        if grade > best {
            pool.clear();
            best = grade;
        }
        if grade == best {
            pool.push(node.handle.slot);
        }
    }
    pool
}

/// A server whose ejection is over and that a request may try: only one that may run twice.
pub(crate) fn trial(fleet: &Endpoints, scope: &Scope, call: &Call, now: Micros) -> Option<u32> {
    if !call.is_idempotent() && Guard::TrialIdempotent.on() {
        return None;
    }
    let due = |node: &&Endpoint| {
        node.health.trial_due(now) && admits(node, call, HealthFilter::AllowEjected, now)
    };
    scope
        .servers(fleet, Locality::Local)
        .find(due)
        .map(|node| node.handle.slot)
}
