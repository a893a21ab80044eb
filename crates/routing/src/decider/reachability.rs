//! Which other regions give a sign, as a search asks.

use ironmast_balancer::Micros;

use super::Decider;
use crate::candidates::{Locality, Scope};
use crate::endpoints::Endpoint;
use crate::guards::Guard;
use crate::table::{RegionId, RegionSet};

impl Decider {
    /// The regions of a reach that hold servers of the service and give no sign.
    pub(super) fn unreachable_regions(
        &self,
        now: Micros,
        scope: &Scope,
        reach: Locality,
    ) -> RegionSet {
        if reach == Locality::Local || !Guard::UnreachableRegion.on() {
            return RegionSet::NONE;
        }
        let dark = scope
            .regions(reach)
            .filter(|region| self.is_unreachable_region(now, scope.service, *region));
        dark.fold(RegionSet::NONE, RegionSet::with)
    }

    fn is_unreachable_region(&self, now: Micros, service: u32, region: RegionId) -> bool {
        let patience = self.settings.unresponsive_after;
        let mut members = self.endpoints.members(service, region);
        let Some(name) = members.next().map(|node| &node.spec.region) else {
            return false;
        };
        let quiet = || {
            self.endpoints
                .members(service, region)
                .filter(|node| node.is_unresponsive(now, patience))
                .count()
        };
        self.reachability.is_dark(now, name, patience, quiet)
    }

    /// True where all servers that the request may go to are in other regions that give no sign: it
    /// is better told at once to come back, for its client may come by another gate.
    pub(super) fn is_only_in_unreachable_regions(&self, now: Micros, scope: &Scope) -> bool {
        let holds = |region: &RegionId| {
            self.endpoints
                .members(scope.service, *region)
                .any(Endpoint::is_eligible)
        };
        let is_here = scope.regions(Locality::Local).any(|region| holds(&region));
        let mut others = scope.regions(Locality::Remote).filter(holds).peekable();
        !is_here
            && Guard::UnreachableRegion.on()
            && others.peek().is_some()
            && others.all(|region| self.is_unreachable_region(now, scope.service, region))
    }
}
