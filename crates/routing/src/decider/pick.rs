//! The one server of a pool: what each offers, which have room, and which of those a request goes
//! to.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use super::search::{Found, Search};
use crate::affinity::{self, Choice};
use crate::candidates::{Pool, Reach, Scope};
use crate::draw::Deck;
use crate::fleet::Node;
use crate::guards::Guard;
use crate::limits::Permits;
use crate::refusal::{self, CROWDED_FROM, Claim, Reason};
use crate::request::Call;
use crate::room::{self, Load, Usage};

/// Decks kept at most: one for each service, reach and set of regions in use.
const DECKS_MOST: usize = 4096;

/// A service, a reach and the allowed regions.
pub(super) type DeckKey = (u32, bool, u64);

/// What a server offers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    pub slot: u32,
    /// Hash of its instance.
    hash: u64,
    pub load: Load,
    /// Part of its room that is taken.
    part: f64,
    /// How long prompts wait there until they are read, in microseconds.
    pub wait: f64,
    /// It has room for this request, for its rank of priority, or at all.
    pub room: bool,
    room_at_all: bool,
    /// Its memory has room for the whole of this request.
    fits: bool,
    waits: bool,
    full_until: Micros,
}

pub(super) type Offers = SmallVec<[Offer; 64]>;

/// How a pool is asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub scope: Scope,
    pub reach: Reach,
    /// Room does not matter.
    pub any: bool,
}
impl Decider {
    /// Up to which part of its room a server may be filled for a request of that rank and chance.
    pub(super) fn level(&self, call: &Call, service: u32, rank: u32, chance: f64) -> f64 {
        // The same for all routes of the service: else the less urgent of a longer objective came
        // first.
        let target = self.table.target_ms(service) as f64 * 1000.0;
        refusal::level(
            &self.settings,
            Claim {
                rank,
                chance,
                whole: self.whole(call),
                target,
            },
        )
    }

    /// What a request of the service takes.
    fn whole(&self, call: &Call) -> f64 {
        let service = call.service.as_deref().unwrap_or_default();
        self.usuals.whole(service, &call.request.route)
    }

    /// What each of a pool offers.
    pub(super) fn offers(
        &self,
        now: Micros,
        call: &Call,
        service: u32,
        pool: &Pool,
        level: f64,
    ) -> Offers {
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

    /// One of those with room, by the key's order or by the even draw; cold ones under a permit
    /// only.
    pub(super) fn pick<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        offers: &Offers,
        ask: Ask,
        limits: &mut L,
    ) -> Search {
        let mut usable: Offers = offers
            .iter()
            .filter(|offer| offer.room || ask.any)
            .copied()
            .collect();
        if usable.is_empty() {
            return Search::None(self.full(now, call, offers));
        }
        // Memory that has room for the whole of it comes first, but its size alone turns no request
        // away.
        if usable.iter().any(|offer| offer.fits) {
            usable.retain(|offer| offer.fits);
        }
        if call.key.is_none() {
            usable.sort_unstable_by_key(|offer| offer.slot);
        }
        let mut soonest: Option<Micros> = None;
        while let Some(place) = self.choose(call, &usable, ask) {
            let Some(node) = self.fleet.at(usable[place].slot) else {
                break;
            };
            match permitted(now, node, limits) {
                Ok(()) => {
                    return Search::Found(Found {
                        server: node.handle,
                        trial: false,
                    });
                }
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
        let Some(key) = call.key else {
            return self.draw(usable, ask);
        };
        let choice = |offer: &Offer| Choice {
            hash: offer.hash,
            part: offer.part,
            wait: offer.wait,
        };
        let choices: SmallVec<[Choice; 64]> = usable.iter().map(choice).collect();
        let (excess, floor) = (self.settings.affinity_excess, self.settings.affinity_floor);
        let reading = self.pace(ask.scope.service).over(call.shared_tokens);
        affinity::choose(
            key,
            &choices,
            excess,
            floor,
            self.settings.stay_for * reading,
        )
    }

    /// The even draw among those of a reach, in the order of their slots.
    fn draw(&mut self, usable: &Offers, ask: Ask) -> Option<usize> {
        let key = (
            ask.scope.service,
            ask.reach == Reach::Own,
            ask.scope.allowed.bits(),
        );
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
            let mut slots: Vec<u32> = ask
                .scope
                .servers(&self.fleet, ask.reach)
                .map(|node| node.handle.slot)
                .collect();
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
        let rest = offers
            .iter()
            .map(|offer| offer.full_until.saturating_sub(now))
            .min()
            .unwrap_or(0);
        match offers.iter().any(|offer| offer.room_at_all) {
            true => Reason::Crowded { rest, gap },
            false => Reason::Full { rest, gap },
        }
    }
}

/// Takes a permit where the server is cold.
pub(super) fn permitted<L: Permits>(
    now: Micros,
    node: &Node,
    limits: &mut L,
) -> Result<(), Micros> {
    match node.spec.warming_up && Guard::Permit.on() {
        true => limits.try_acquire(now, &node.spec).map_err(|wait| wait.0),
        false => Ok(()),
    }
}

/// True where a refusal for want of room is fair: half of the places are taken, or requests wait.
pub(super) fn crowded(offers: &Offers) -> bool {
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
