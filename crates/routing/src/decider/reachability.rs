//! Unreachable regions, judged by the servers of one service.

use ironmast_balancer::Micros;

use super::Decider;
use crate::candidates::{Locality, SearchScope};
use crate::endpoint::Endpoint;
use crate::guards::Guard;
use crate::table::{RegionId, RegionSet};

impl Decider {
    /// The unreachable regions of a locality that have servers of the service. The own region
    /// always counts as reachable.
    pub(super) fn unreachable_regions(
        &self,
        now: Micros,
        scope: &SearchScope,
        locality: Locality,
    ) -> RegionSet {
        if locality == Locality::Local || !Guard::UnreachableRegion.on() {
            return RegionSet::NONE;
        }
        let regions = scope.regions(locality);
        regions
            .filter(|region| self.is_unreachable(now, scope.service, *region))
            .fold(RegionSet::NONE, RegionSet::with)
    }

    /// True if the region has servers of the service and is unreachable.
    fn is_unreachable(&self, now: Micros, service: u32, region: RegionId) -> bool {
        let timeout = self.settings.unresponsive_after;
        let mut members = self.endpoints.members(service, region);
        let Some(name) = members.next().map(|endpoint| &endpoint.spec.region) else {
            return false;
        };
        let unresponsive = || {
            let members = self.endpoints.members(service, region);
            members
                .filter(|endpoint| endpoint.is_unresponsive(now, timeout))
                .count()
        };
        self.reachability
            .is_unreachable(now, name, timeout, unresponsive)
    }

    /// True if every eligible server that the request may be sent to is in an unreachable other
    /// region. The request is then rejected at once, because its client may reach a gate elsewhere.
    pub(super) fn is_only_in_unreachable_regions(&self, now: Micros, scope: &SearchScope) -> bool {
        let has_servers = |region: &RegionId| {
            let mut members = self.endpoints.members(scope.service, *region);
            members.any(Endpoint::is_eligible)
        };
        let mut local = scope.regions(Locality::Local);
        let has_local = local.any(|region| has_servers(&region));
        let mut remote = scope
            .regions(Locality::Remote)
            .filter(has_servers)
            .peekable();
        !has_local
            && Guard::UnreachableRegion.on()
            && remote.peek().is_some()
            && remote.all(|region| self.is_unreachable(now, scope.service, region))
    }
}
