//! Who may serve a request: KEP-4444 `PreferClose` over regions. The usable servers of the gate's
//! own region, else those of all regions that the route allows.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::fleet::{Fleet, Node};
use crate::guards::Guard;
use crate::request::Call;
use crate::table::{RegionId, RegionSet};

/// Servers that a request may go to, by slot.
pub(crate) type Pool = SmallVec<[u32; 64]>;

/// What is overlooked where nobody would be left otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trust {
    /// Only servers that health and heartbeats speak for.
    Usable,
    /// Ejected ones too: where all are, health tells of something else.
    Ejected,
    /// Those whose heartbeats are missing too.
    Silent,
}

impl Trust {
    /// From the strictest on.
    pub const STEPS: [Trust; 3] = [Trust::Usable, Trust::Ejected, Trust::Silent];
}

/// Which regions are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// The gate's own region.
    Own,
    /// Every other region that is allowed.
    Others,
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
    pub fn regions(&self, reach: Reach) -> impl Iterator<Item = RegionId> + '_ {
        let all = 0..self.regions as RegionId;
        let wanted = move |region: &RegionId| {
            (Some(*region) == self.own && Guard::OwnRegion.on()) == (reach == Reach::Own)
        };
        all.filter(wanted)
            .filter(|region| self.allowed.contains(*region) || !Guard::AllowedRegions.on())
    }

    /// The listed servers of a reach.
    pub fn servers<'a>(&'a self, fleet: &'a Fleet, reach: Reach) -> impl Iterator<Item = &'a Node> {
        self.regions(reach)
            .flat_map(|region| fleet.members(self.service, region))
    }
}

/// True where a server may be sent the request at all.
pub(crate) fn admits(node: &Node, call: &Call, trust: Trust, now: Micros) -> bool {
    // Draining, evacuated and displaced ones never, whatever else is missing.
    if !node.open() || call.tried(node.handle) {
        return false;
    }
    let silent = node.unheard(now);
    let ejected = node.health.ejected().is_some() && Guard::Ejected.on();
    match trust {
        Trust::Usable => !silent && !ejected,
        Trust::Ejected => !silent,
        Trust::Silent => true,
    }
}

/// Who of a reach may be sent the request. Servers that do not name the model are left out if
/// another names it, and those that `shun` holds for if another is left.
pub(crate) fn pool(
    fleet: &Fleet,
    scope: &Scope,
    reach: Reach,
    call: &Call,
    trust: Trust,
    now: Micros,
    shun: impl Fn(&Node) -> bool,
) -> Pool {
    let mut pool = Pool::new();
    // How good the best is so far: the pool holds only those that are as good.
    let mut best = (false, false);
    for node in scope
        .servers(fleet, reach)
        .filter(|node| admits(node, call, trust, now))
    {
        let grade = (node.holds(call.model), !shun(node));
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
pub(crate) fn trial(fleet: &Fleet, scope: &Scope, call: &Call, now: Micros) -> Option<u32> {
    if !call.idempotent() && Guard::TrialIdempotent.on() {
        return None;
    }
    let due = |node: &&Node| node.health.trial_due(now) && admits(node, call, Trust::Ejected, now);
    scope
        .servers(fleet, Reach::Own)
        .find(due)
        .map(|node| node.handle.slot)
}
