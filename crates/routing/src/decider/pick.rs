//! The one server of a pool: what each offers, which have room, and which of those a request goes
//! to.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use super::search::{SelectedServer, Selection};
use crate::affinity::{self, Candidate};
use crate::candidates::{Locality, Pool, Scope};
use crate::endpoints::Endpoint;
use crate::guards::Guard;
use crate::limits::Permits;
use crate::load::{self, Load, PeerAverages};
use crate::rejection::{self, AdmissionInputs, MIN_OVERLOAD_SHARE, RejectionReason};
use crate::request::Call;
use crate::round_robin::ShuffledRoundRobin;

/// Decks kept at most: one for each service, reach and set of regions in use.
const MAX_ROUND_ROBINS: usize = 4096;

/// A service, a reach and the allowed regions.
pub(super) type RoundRobinKey = (u32, bool, u64);

/// What a server offers.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateLoad {
    pub slot: u32,
    /// Hash of its instance.
    hash: u64,
    pub load: Load,
    /// Part of its room that is taken.
    utilization: f64,
    /// How long prompts wait there until they are read, in microseconds.
    pub wait: f64,
    /// It has room for this request, for its rank of priority, or at all.
    pub room: bool,
    room_at_all: bool,
    /// Its memory has room for the whole of this request.
    fits: bool,
    waits: bool,
    backoff_until: Micros,
}

pub(super) type CandidateLoads = SmallVec<[CandidateLoad; 64]>;

/// How a pool is asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct PickArgs {
    pub scope: Scope,
    pub reach: Locality,
    /// Room does not matter.
    pub any: bool,
}
impl Decider {
    /// Up to which part of its room a server may be filled for a request of that rank and chance.
    pub(super) fn level(&self, call: &Call, service: u32, rank: u32, chance: f64) -> f64 {
        // The same for all routes of the service: else the less urgent of a longer objective came
        // first.
        let target = self.table.latency_objective_ms(service) as f64 * 1000.0;
        rejection::level(
            &self.settings,
            AdmissionInputs {
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
        self.baselines.whole(service, &call.request.route)
    }

    /// What each of a pool offers.
    pub(super) fn offers(
        &self,
        now: Micros,
        call: &Call,
        service: u32,
        pool: &Pool,
        level: f64,
    ) -> CandidateLoads {
        let memory = self.settings.load_report_max_age;
        let nodes = || pool.iter().filter_map(|slot| self.endpoints.at(*slot));
        let peers = PeerAverages::of(nodes().map(|node| &node.occupancy), now, memory);
        let need = call.token_demand();
        let highest = self.level(call, service, 0, 0.0);
        let pace = self.pace(service);
        let offer = |node: &Endpoint| {
            let occupancy = &node.occupancy;
            let load = occupancy.load(now, memory, &node.bounds, peers);
            let utilization = load.utilization();
            let free =
                occupancy.backoff_until() <= now && occupancy.has_connection_capacity(&node.bounds);
            CandidateLoad {
                slot: node.handle.slot,
                hash: node.hash,
                load,
                utilization,
                wait: pace.over(node.unread.all(now)),
                room: free && utilization < level,
                room_at_all: free && utilization < highest,
                // Which parts it has already matters only where memory is short.
                fits: load::has_memory_for(&load, need.all())
                    || load::has_memory_for(&load, occupancy.added_tokens(need)),
                waits: occupancy.waiting(now, memory),
                backoff_until: occupancy.backoff_until(),
            }
        };
        let mut offers = CandidateLoads::with_capacity(pool.len());
        offers.extend(nodes().map(offer));
        offers
    }

    /// One of those with room, by the key's order or by the even draw; cold ones under a permit
    /// only.
    pub(super) fn pick<L: Permits>(
        &mut self,
        now: Micros,
        call: &Call,
        offers: &CandidateLoads,
        ask: PickArgs,
        limits: &mut L,
    ) -> Selection {
        let mut usable: CandidateLoads = offers
            .iter()
            .filter(|offer| offer.room || ask.any)
            .copied()
            .collect();
        if usable.is_empty() {
            return Selection::Unavailable(self.full(now, call, offers));
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
            let Some(node) = self.endpoints.at(usable[place].slot) else {
                break;
            };
            match permitted(now, node, limits) {
                Ok(()) => {
                    return Selection::Server(SelectedServer {
                        server: node.handle,
                        trial: false,
                    });
                }
                Err(wait) => soonest = Some(soonest.map_or(wait, |soonest| soonest.min(wait))),
            }
            usable.remove(place);
        }
        Selection::PermitIn(soonest.unwrap_or(0))
    }

    fn choose(&mut self, call: &Call, usable: &CandidateLoads, ask: PickArgs) -> Option<usize> {
        if usable.is_empty() {
            return None;
        }
        if ask.any {
            return least_loaded(usable);
        }
        let Some(key) = call.key else {
            return self.draw(usable, ask);
        };
        let choice = |offer: &CandidateLoad| Candidate {
            hash: offer.hash,
            utilization: offer.utilization,
            wait: offer.wait,
        };
        let choices: SmallVec<[Candidate; 64]> = usable.iter().map(choice).collect();
        let (excess, floor) = (
            self.settings.affinity_load_excess,
            self.settings.affinity_load_floor,
        );
        let reading = self.pace(ask.scope.service).over(call.shared_tokens);
        affinity::choose(
            key,
            &choices,
            excess,
            floor,
            self.settings.affinity_wait_factor * reading,
        )
    }

    /// The even draw among those of a reach, in the order of their slots.
    fn draw(&mut self, usable: &CandidateLoads, ask: PickArgs) -> Option<usize> {
        let key = (
            ask.scope.service,
            ask.reach == Locality::Local,
            ask.scope.allowed.bits(),
        );
        if self.round_robins.len() >= MAX_ROUND_ROBINS && !self.round_robins.contains_key(&key) {
            self.round_robins.clear();
        }
        let mut deck = self.round_robins.remove(&key).unwrap_or_default();
        self.refresh(&mut deck, ask);
        let (fleet, zone) = (&self.endpoints, &self.settings.zone);
        let place = |slot: u32| usable.binary_search_by_key(&slot, |offer| offer.slot).ok();
        let target = (self.table.latency_objective_ms(ask.scope.service) as f64 * 1000.0).max(1.0);
        let load = |slot: u32| {
            let offer = &usable[place(slot)?];
            Some(offer.utilization.max(offer.wait / target))
        };
        let near = |slot: u32| fleet.at(slot).is_some_and(|node| *node.spec.zone == **zone);
        let drawn = deck.draw(&mut self.rng, load, near);
        self.round_robins.insert(key, deck);
        drawn.and_then(place)
    }

    /// Brings a deck up to the table in force.
    fn refresh(&self, deck: &mut ShuffledRoundRobin, ask: PickArgs) {
        let swaps = self.endpoints.swaps();
        if deck.swap != swaps {
            let mut slots: Vec<u32> = ask
                .scope
                .servers(&self.endpoints, ask.reach)
                .map(|node| node.handle.slot)
                .collect();
            slots.sort_unstable();
            deck.keep(slots);
            deck.swap = swaps;
        }
    }

    /// Why none of these takes the request, and how long until one may.
    fn full(&self, now: Micros, call: &Call, offers: &CandidateLoads) -> RejectionReason {
        let whole = self.whole(call);
        let nodes = offers
            .iter()
            .filter_map(|offer| self.endpoints.at(offer.slot));
        let in_flight: u32 = nodes.map(|node| node.occupancy.in_flight).sum();
        let gap = rejection::gap(whole, f64::from(in_flight));
        let rest = offers
            .iter()
            .map(|offer| offer.backoff_until.saturating_sub(now))
            .min()
            .unwrap_or(0);
        match offers.iter().any(|offer| offer.room_at_all) {
            true => RejectionReason::ReservedForPriority { rest, gap },
            false => RejectionReason::Full { rest, gap },
        }
    }
}

/// Takes a permit where the server is cold.
pub(super) fn permitted<L: Permits>(
    now: Micros,
    node: &Endpoint,
    limits: &mut L,
) -> Result<(), Micros> {
    match node.spec.warming_up && Guard::Permit.on() {
        true => limits.try_acquire(now, &node.spec).map_err(|wait| wait.0),
        false => Ok(()),
    }
}

/// True where a refusal for want of room is fair: half of the places are taken, or requests wait.
pub(super) fn crowded(offers: &CandidateLoads) -> bool {
    let places: f64 = offers.iter().map(|offer| offer.load.slots).sum();
    let taken: f64 = offers.iter().map(|offer| offer.load.active).sum();
    taken >= MIN_OVERLOAD_SHARE * places || offers.iter().any(|offer| offer.waits)
}

fn least_loaded(offers: &CandidateLoads) -> Option<usize> {
    let order = |offer: &CandidateLoad| (offer.backoff_until, offer.utilization);
    let indexed = offers.iter().enumerate();
    let least = indexed.min_by(|a, b| {
        let ((a_full, a_part), (b_full, b_part)) = (order(a.1), order(b.1));
        a_full.cmp(&b_full).then(a_part.total_cmp(&b_part))
    });
    least.map(|(place, _)| place)
}
