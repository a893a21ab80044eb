//! Which other regions give a sign, as a search asks.

use ironmast_balancer::Micros;

use super::Decider;
use crate::candidates::{Reach, Scope};
use crate::fleet::Node;
use crate::guards::Guard;
use crate::table::{RegionId, RegionSet};

impl Decider {
    /// The regions of a reach that hold servers of the service and give no sign.
    pub(super) fn dark_regions(&self, now: Micros, scope: &Scope, reach: Reach) -> RegionSet {
        if reach == Reach::Own || !Guard::DarkRegion.on() {
            return RegionSet::NONE;
        }
        let dark = scope
            .regions(reach)
            .filter(|region| self.is_dark_region(now, scope.service, *region));
        dark.fold(RegionSet::NONE, RegionSet::with)
    }

    fn is_dark_region(&self, now: Micros, service: u32, region: RegionId) -> bool {
        let patience = self.settings.quiet_after;
        let mut members = self.fleet.members(service, region);
        let Some(name) = members.next().map(|node| &node.spec.region) else {
            return false;
        };
        let quiet = || {
            self.fleet
                .members(service, region)
                .filter(|node| node.quiet(now, patience))
                .count()
        };
        self.paths.is_dark(now, name, patience, quiet)
    }

    /// True where all servers that the request may go to are in other regions that give no sign: it
    /// is better told at once to come back, for its client may come by another gate.
    pub(super) fn is_out_of_reach(&self, now: Micros, scope: &Scope) -> bool {
        let holds = |region: &RegionId| self.fleet.members(scope.service, *region).any(Node::open);
        let is_here = scope.regions(Reach::Own).any(|region| holds(&region));
        let mut others = scope.regions(Reach::Others).filter(holds).peekable();
        !is_here
            && Guard::DarkRegion.on()
            && others.peek().is_some()
            && others.all(|region| self.is_dark_region(now, scope.service, region))
    }
}
