//! Finding a server: the service drawn by weight, the candidates, those with room, and the one of them.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use crate::affinity::{self, Choice};
use crate::candidates::{self, Pool, Reach, Scope, Trust};
use crate::decision::ServerHandle;
use crate::draw::Deck;
use crate::fleet::Node;
use crate::guards::Guard;
use crate::limits::{Permits, RetryBudget};
use crate::paths;
use crate::refusal::{self, CROWDED_FROM, Claim, Reason};
use crate::request::Call;
use crate::room::{self, Load, Usage};
use crate::table::{RegionId, RegionSet};

/// A server is quiet after this many times the usual time to a first byte.
const QUIET_FOR: f64 = 2.0;
/// Another region is sooner where the wait known of there is by so many times shorter.
const SPILL_LESS: f64 = 4.0;
/// Decks kept at most: one for each service, reach and set of regions in use.
const DECKS_MOST: usize = 4096;

/// A service, a reach and the allowed regions.
pub(super) type DeckKey = (u32, bool, u64);

/// A server for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Found {
    pub server: ServerHandle,
    pub trial: bool,
}

/// The end of a search.
#[derive(Clone, Copy, Debug)]
pub(super) enum Search {
    Found(Found),
    /// Only cold servers without a permit; one may be there after that long.
    Cold(Micros),
    None(Reason),
}

/// What a server offers.
#[derive(Clone, Copy, Debug)]
struct Offer {
    slot: u32,
    /// Hash of its instance.
    hash: u64,
    load: Load,
    /// Part of its room that is taken.
    part: f64,
    /// How long prompts wait there until they are read, in microseconds.
    wait: f64,
    /// It has room for this request, for its rank of priority, or at all.
    room: bool,
    room_at_all: bool,
    /// Its memory has room for the whole of this request.
    fits: bool,
    waits: bool,
    full_until: Micros,
}

type Offers = SmallVec<[Offer; 64]>;

/// How a pool is asked.
#[derive(Clone, Copy, Debug)]
struct Ask {
    scope: Scope,
    reach: Reach,
    /// Room does not matter.
    any: bool,
}

impl Decider {
    /// Tries the services of the route, the drawn one first.
    pub(super) fn search<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Search {
        if call.ends() <= now {
            return Search::None(Reason::Nobody { until: None });
        }
        let mut best = Search::None(Reason::Nobody { until: None });
        for service in self.services(now, call, limits) {
            match self.search_service(now, call, service, limits) {
                Search::Found(found) => return Search::Found(found),
                Search::Cold(wait) => best = Search::Cold(wait),
                Search::None(reason) if !matches!(best, Search::Cold(_)) => best = Search::None(reason),
                Search::None(_) => {}
            }
        }
        best
    }

    /// The services that the request may go to, the one it is drawn for first. The draw is counted for the budget.
    fn services<L: RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> SmallVec<[u32; 4]> {
        let route = call.request.route.clone();
        if call.service.is_none() {
            let mut point = (self.rng.unit() * route.weight as f64) as u64;
            let drawn = route.spec.splits.iter().find(|split| {
                let here = point < u64::from(split.weight);
                point = point.saturating_sub(u64::from(split.weight));
                here
            });
            call.service = drawn.or(route.spec.splits.first()).map(|split| split.service.clone());
            let service = call.service.as_deref().and_then(|name| self.table.service(name));
            if let Some(service) = service {
                limits.requested(now, &self.table.services()[service as usize]);
            }
        }
        let drawn = call.service.clone();
        let others = route.spec.splits.iter().filter(|split| split.weight > 0).map(|split| &split.service);
        let others = others.filter(|name| Some(*name) != drawn.as_ref());
        let order = drawn.iter().chain(others);
        order.filter_map(|name| self.table.service(name)).collect()
    }

    fn scope(&self, call: &Call, service: u32) -> Scope {
        let route = self.table.region_set(&call.request.route.spec.allowed_regions);
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
    ) -> Search {
        let scope = self.scope(call, service);
        if self.is_out_of_reach(now, &scope) {
            return Search::None(Reason::Nobody { until: Some(paths::ASK_EVERY) });
        }
        if let Some(found) = self.trial(now, call, &scope, limits) {
            return Search::Found(found);
        }
        for trust in Trust::STEPS {
            if let Some(search) = self.search_trusted(now, call, scope, trust, limits) {
                return search;
            }
        }
        Search::None(Reason::Nobody { until: self.next_trial(now, &scope) })
    }

    /// A trial at a server whose ejection is over.
    fn trial<L: Permits>(&self, now: Micros, call: &Call, scope: &Scope, limits: &mut L) -> Option<Found> {
        // A trial may fail: the request must have another attempt, and nothing behind it yet.
        let most = call.request.route.spec.max_attempts as usize;
        let spare = call.attempts() == 0 && most > 1 || !Guard::TrialFirst.on();
        let slot = candidates::trial(&self.fleet, scope, call, now).filter(|_| spare)?;
        let node = self.fleet.at(slot)?;
        permitted(now, node, limits).ok()?;
        Some(Found { server: node.handle, trial: true })
    }

    /// The own region, then the others. None where nobody is there that is trusted so far.
    fn search_trusted<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        scope: Scope,
        trust: Trust,
        limits: &mut L,
    ) -> Option<Search> {
        let level = self.level(call, scope.service, call.request.route.spec.priority, call.chance);
        let mut seen: Option<Search> = None;
        let mut all = Offers::new();
        let sooner = self.sooner_elsewhere(now, call, &scope, trust, level);
        for reach in if sooner { [Reach::Others, Reach::Own] } else { [Reach::Own, Reach::Others] } {
            let pool = self.pool(now, &scope, reach, call, trust);
            if pool.is_empty() {
                continue;
            }
            // For want of room or for a wait another region is used only while it has plenty.
            let spills = reach == Reach::Others && (sooner || matches!(seen, Some(Search::None(_))));
            let most = if spills { self.settings.spill_fill } else { f64::INFINITY };
            let ask = Ask { scope, reach, any: false };
            let offers = self.offers(now, call, scope.service, &pool, level.min(most));
            let found = self.pick(now, call, &offers, ask, limits);
            if let Search::Found(found) = found {
                return Some(Search::Found(found));
            }
            all.extend(offers);
            // The shorter way to an answer is a permit.
            seen = seen.filter(|seen| matches!(seen, Search::Cold(_))).or(Some(found));
        }
        let full = matches!(seen, Some(Search::None(_)));
        // Guards streams under way, and requests while places are free, against refusals.
        if full && (call.head_passed || Guard::PlacesFree.on() && !crowded(&all)) {
            let nearest = if scope.own.is_some_and(|own| all.iter().any(|o| self.in_region(o, own))) {
                Reach::Own
            } else {
                Reach::Others
            };
            let pool = self.pool(now, &scope, nearest, call, trust);
            let offers = self.offers(now, call, scope.service, &pool, level);
            let ask = Ask { scope, reach: nearest, any: true };
            return Some(self.pick(now, call, &offers, ask, limits));
        }
        seen
    }

    /// True where prompts wait long at every server of the own region, and far less at one of another that has room.
    /// What other gates have there is not known: that one must look better by a multiple.
    fn sooner_elsewhere(&self, now: Micros, call: &Call, scope: &Scope, trust: Trust, level: f64) -> bool {
        let shortest = |reach, most: f64| {
            let pool = self.pool(now, scope, reach, call, trust);
            let offers = self.offers(now, call, scope.service, &pool, level.min(most));
            offers.iter().filter(|offer| offer.room).map(|offer| offer.wait).min_by(f64::total_cmp)
        };
        let long = call.target() as f64 * self.settings.spill_wait;
        let here = shortest(Reach::Own, f64::INFINITY).filter(|wait| *wait > long && Guard::SpillWait.on());
        let Some(here) = here else { return false };
        shortest(Reach::Others, self.settings.spill_fill).is_some_and(|there| there * SPILL_LESS <= here)
    }

    /// The candidates of a reach; quiet ones only where all are.
    fn pool(&self, now: Micros, scope: &Scope, reach: Reach, call: &Call, trust: Trust) -> Pool {
        let usual = self.usuals.first(&call.request.route) * QUIET_FOR;
        let patience = self.settings.quiet_after.max(usual as Micros);
        let quiet = |node: &Node| node.quiet(now, patience) || node.quiet_to_others(now);
        let dark = self.dark_regions(now, scope, reach);
        let shun = |node: &Node| Guard::Quiet.on() && quiet(node) || dark.contains(node.region);
        candidates::pool(&self.fleet, scope, reach, call, trust, now, shun)
    }

    /// The regions of a reach that hold servers of the service and give no sign.
    fn dark_regions(&self, now: Micros, scope: &Scope, reach: Reach) -> RegionSet {
        if reach == Reach::Own || !Guard::DarkRegion.on() {
            return RegionSet::NONE;
        }
        let dark = scope.regions(reach).filter(|region| self.is_dark_region(now, scope.service, *region));
        dark.fold(RegionSet::NONE, RegionSet::with)
    }

    fn is_dark_region(&self, now: Micros, service: u32, region: RegionId) -> bool {
        let patience = self.settings.quiet_after;
        let mut members = self.fleet.members(service, region);
        let Some(name) = members.next().map(|node| &node.spec.region) else { return false };
        let quiet = || self.fleet.members(service, region).filter(|node| node.quiet(now, patience)).count();
        self.paths.is_dark(now, name, patience, quiet)
    }

    /// True where all servers that the request may go to are in other regions that give no sign: it is better told at
    /// once to come back, for its client may come by another gate.
    fn is_out_of_reach(&self, now: Micros, scope: &Scope) -> bool {
        let holds = |region: &RegionId| self.fleet.members(scope.service, *region).any(Node::open);
        let is_here = scope.regions(Reach::Own).any(|region| holds(&region));
        let mut others = scope.regions(Reach::Others).filter(holds).peekable();
        !is_here
            && Guard::DarkRegion.on()
            && others.peek().is_some()
            && others.all(|region| self.is_dark_region(now, scope.service, region))
    }

    fn in_region(&self, offer: &Offer, region: u8) -> bool {
        self.fleet.at(offer.slot).is_some_and(|node| node.region == region)
    }

    /// Up to which part of its room a server may be filled for a request of that rank and chance.
    fn level(&self, call: &Call, service: u32, rank: u32, chance: f64) -> f64 {
        // The same for all routes of the service: else the less urgent of a longer objective came first.
        let target = self.table.target_ms(service) as f64 * 1000.0;
        refusal::level(&self.settings, Claim { rank, chance, whole: self.whole(call), target })
    }

    /// What a request of the service takes.
    fn whole(&self, call: &Call) -> f64 {
        let service = call.service.as_deref().unwrap_or_default();
        self.usuals.whole(service, &call.request.route)
    }

    /// What each of a pool offers.
    fn offers(&self, now: Micros, call: &Call, service: u32, pool: &Pool, level: f64) -> Offers {
        let memory = self.settings.report_memory;
        let nodes = || pool.iter().filter_map(|slot| self.fleet.at(*slot));
        let peers = Usage::of(nodes().map(|node| &node.occupancy), now, memory);
        let need = call.need();
        let highest = self.level(call, service, 0, 0.0);
        let pace = self.pace(service);
        let offer = |node: &Node| {
            let occupancy = &node.occupancy;
            let load = occupancy.load(now, memory, &node.bounds, peers);
            let part = load.part();
            let free = occupancy.full_until() <= now && occupancy.connects(&node.bounds);
            Offer {
                slot: node.handle.slot,
                hash: node.hash,
                load,
                part,
                wait: pace.over(node.unread.all(now)),
                room: free && part < level,
                room_at_all: free && part < highest,
                // Which parts it has already matters only where memory is short.
                fits: room::fits(&load, need.all()) || room::fits(&load, occupancy.added(need)),
                waits: occupancy.waiting(now, memory),
                full_until: occupancy.full_until(),
            }
        };
        let mut offers = Offers::with_capacity(pool.len());
        offers.extend(nodes().map(offer));
        offers
    }

    /// One of those with room, by the key's order or by the even draw; cold ones under a permit only.
    fn pick<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        offers: &Offers,
        ask: Ask,
        limits: &mut L,
    ) -> Search {
        let mut usable: Offers = offers.iter().filter(|offer| offer.room || ask.any).copied().collect();
        if usable.is_empty() {
            return Search::None(self.full(now, call, offers));
        }
        // Memory that has room for the whole of it comes first, but its size alone turns no request away.
        if usable.iter().any(|offer| offer.fits) {
            usable.retain(|offer| offer.fits);
        }
        if call.key.is_none() {
            usable.sort_unstable_by_key(|offer| offer.slot);
        }
        let mut soonest: Option<Micros> = None;
        while let Some(place) = self.choose(call, &usable, ask) {
            let Some(node) = self.fleet.at(usable[place].slot) else { break };
            match permitted(now, node, limits) {
                Ok(()) => return Search::Found(Found { server: node.handle, trial: false }),
                Err(wait) => soonest = Some(soonest.map_or(wait, |soonest| soonest.min(wait))),
            }
            usable.remove(place);
        }
        Search::Cold(soonest.unwrap_or(0))
    }

    fn choose(&mut self, call: &Call, usable: &Offers, ask: Ask) -> Option<usize> {
        if usable.is_empty() {
            return None;
        }
        if ask.any {
            return least_loaded(usable);
        }
        let Some(key) = call.key else { return self.draw(usable, ask) };
        let choice = |offer: &Offer| Choice { hash: offer.hash, part: offer.part, wait: offer.wait };
        let choices: SmallVec<[Choice; 64]> = usable.iter().map(choice).collect();
        let (excess, floor) = (self.settings.affinity_excess, self.settings.affinity_floor);
        let reading = self.pace(ask.scope.service).over(call.shared_tokens);
        affinity::choose(key, &choices, excess, floor, self.settings.stay_for * reading)
    }

    /// The even draw among those of a reach, in the order of their slots.
    fn draw(&mut self, usable: &Offers, ask: Ask) -> Option<usize> {
        let key = (ask.scope.service, ask.reach == Reach::Own, ask.scope.allowed.bits());
        if self.decks.len() >= DECKS_MOST && !self.decks.contains_key(&key) {
            self.decks.clear();
        }
        let mut deck = self.decks.remove(&key).unwrap_or_default();
        self.refresh(&mut deck, ask);
        let (fleet, zone) = (&self.fleet, &self.settings.zone);
        let place = |slot: u32| usable.binary_search_by_key(&slot, |offer| offer.slot).ok();
        let target = (self.table.target_ms(ask.scope.service) as f64 * 1000.0).max(1.0);
        let load = |slot: u32| {
            let offer = &usable[place(slot)?];
            Some(offer.part.max(offer.wait / target))
        };
        let near = |slot: u32| fleet.at(slot).is_some_and(|node| *node.spec.zone == **zone);
        let drawn = deck.draw(&mut self.rng, load, near);
        self.decks.insert(key, deck);
        drawn.and_then(place)
    }

    /// Brings a deck up to the table in force.
    fn refresh(&self, deck: &mut Deck, ask: Ask) {
        let swaps = self.fleet.swaps();
        if deck.swap != swaps {
            let mut slots: Vec<u32> =
                ask.scope.servers(&self.fleet, ask.reach).map(|node| node.handle.slot).collect();
            slots.sort_unstable();
            deck.keep(slots);
            deck.swap = swaps;
        }
    }

    /// Why none of these takes the request, and how long until one may.
    fn full(&self, now: Micros, call: &Call, offers: &Offers) -> Reason {
        let whole = self.whole(call);
        let nodes = offers.iter().filter_map(|offer| self.fleet.at(offer.slot));
        let in_flight: u32 = nodes.map(|node| node.occupancy.in_flight).sum();
        let gap = refusal::gap(whole, f64::from(in_flight));
        let rest = offers.iter().map(|offer| offer.full_until.saturating_sub(now)).min().unwrap_or(0);
        match offers.iter().any(|offer| offer.room_at_all) {
            true => Reason::Crowded { rest, gap },
            false => Reason::Full { rest, gap },
        }
    }

    /// When the next ejection ends.
    fn next_trial(&self, now: Micros, scope: &Scope) -> Option<Micros> {
        let nodes =
            [Reach::Own, Reach::Others].into_iter().flat_map(|reach| scope.servers(&self.fleet, reach));
        let until = nodes.filter(|node| node.open()).filter_map(|node| node.health.ejected());
        until.map(|ejected| ejected.until.saturating_sub(now)).min()
    }
}

/// Takes a permit where the server is cold.
fn permitted<L: Permits>(now: Micros, node: &Node, limits: &mut L) -> Result<(), Micros> {
    match node.spec.cold && Guard::Permit.on() {
        true => limits.take(now, &node.spec).map_err(|wait| wait.0),
        false => Ok(()),
    }
}

/// True where a refusal for want of room is fair: half of the places are taken, or requests wait.
fn crowded(offers: &Offers) -> bool {
    let places: f64 = offers.iter().map(|offer| offer.load.slots).sum();
    let taken: f64 = offers.iter().map(|offer| offer.load.active).sum();
    taken >= CROWDED_FROM * places || offers.iter().any(|offer| offer.waits)
}

fn least_loaded(offers: &Offers) -> Option<usize> {
    let order = |offer: &Offer| (offer.full_until, offer.part);
    let indexed = offers.iter().enumerate();
    let least = indexed.min_by(|a, b| {
        let ((a_full, a_part), (b_full, b_part)) = (order(a.1), order(b.1));
        a_full.cmp(&b_full).then(a_part.total_cmp(&b_part))
    });
    least.map(|(place, _)| place)
}
