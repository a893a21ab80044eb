//! How loaded a server is and whether it has room, by what this gate has there and by the server's
//! own reports.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::guards::Guard;

/// Slots of a server that nobody tells of.
const DEFAULT_SLOTS: u32 = 64;
/// A gate may use this many times its even part of a server's connections: gates are not equally
/// busy.
const MAX_CONNECTION_SHARE: f64 = 2.0;
/// A server that turned a request away is left alone for this long at first; doubled each time in a
/// row.
const INITIAL_BACKOFF: Micros = 50_000;
/// The longest such rest.
const MAX_BACKOFF: Micros = 1_000_000;

/// A server's own account of its load, from an answer's `X-Ironmast-Server-Load` or from `GET
/// /api/report`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in its slots.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Its slots, where it tells them.
    pub slots: Option<u32>,
    /// Memory that cannot give way, and the whole, in tokens.
    pub kv_cache: Option<(u64, u64)>,
}

/// What a service allows one of its servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityLimits {
    /// Slots, where the server itself tells none.
    pub slots: u32,
    /// Memory in tokens; 0 where there is no such limit.
    pub kv_cache: u64,
    /// Connections from all gates; 0 where unlimited.
    pub connections: u32,
    /// Gates that share them.
    pub gates: u32,
}

/// What is taken for a server of which no fresh report tells.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerAverages {
    /// Other gates' requests at a server: the mean over all, those without a report taken as idle.
    others: f64,
    /// Tokens of a request beside its shared parts, as this gate's own have them.
    typical: f64,
}

impl PeerAverages {
    /// What servers of one pool tell of each other.
    pub fn of<'a>(
        pool: impl Iterator<Item = &'a Occupancy>,
        now: Micros,
        memory: Micros,
    ) -> PeerAverages {
        let (mut servers, mut others, mut in_flight, mut unshared) = (0, 0.0, 0, 0);
        for occupancy in pool {
            servers += 1;
            others += occupancy
                .fresh(now, memory)
                .map_or(0.0, |(_, report)| report.others);
            in_flight += occupancy.in_flight;
            unshared += occupancy.unshared;
        }
        let typical = unshared as f64 / f64::from(in_flight.max(1));
        PeerAverages {
            others: others / f64::from(servers.max(1)),
            typical,
        }
    }
}

/// A request's need of memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenDemand {
    pub key: Option<u64>,
    pub shared: u64,
    pub own: u64,
}

impl TokenDemand {
    /// The whole of it.
    pub fn all(&self) -> u64 {
        self.shared + self.own
    }
}

/// An estimate of a server's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    /// Requests running and waiting, of all gates.
    pub active: f64,
    pub slots: f64,
    /// Tokens in memory that cannot give way.
    pub tokens: f64,
    /// Memory in tokens; infinite where there is no limit.
    pub kv_cache: f64,
}

impl Load {
    /// Part of its room that is taken; above 1 where requests wait.
    pub fn utilization(&self) -> f64 {
        (self.active / self.slots).max(self.tokens / self.kv_cache)
    }
}

/// What one server has in hand.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    /// Attempts of this gate in flight.
    pub in_flight: u32,
    /// Their tokens, each shared part counted once.
    tokens: u64,
    /// The same without shared parts.
    unshared: u64,
    /// Keys in flight, how often, and the tokens of their shared parts.
    keys: SmallVec<[(u64, u32, u64); 2]>,
    report: Option<Report>,
    backoff_until: Micros,
    backoff: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Micros,
    others: f64,
    /// Other gates' tokens, and when they were told: not every report tells them.
    others_tokens: Option<(Micros, f64)>,
    slots: Option<u32>,
    kv_cache: Option<u64>,
    waiting: u32,
}

impl Occupancy {
    /// An attempt goes out.
    pub fn take(&mut self, need: TokenDemand) {
        self.in_flight += 1;
        self.tokens += need.own;
        self.unshared += need.own;
        let Some(key) = need.key else { return };
        match self.keys.iter_mut().find(|(known, ..)| *known == key) {
            Some((_, count, _)) => *count += 1,
            None => {
                self.keys.push((key, 1, need.shared));
                self.tokens += need.shared;
            }
        }
    }

    /// An attempt ended.
    pub fn release(&mut self, need: TokenDemand) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(need.own);
        self.unshared = self.unshared.saturating_sub(need.own);
        let place = self
            .keys
            .iter()
            .position(|(known, ..)| Some(*known) == need.key);
        let Some(place) = place else { return };
        self.keys[place].1 -= 1;
        if self.keys[place].1 == 0 {
            let (_, _, shared) = self.keys.swap_remove(place);
            self.tokens = self.tokens.saturating_sub(shared);
        }
    }

    /// The server told its load.
    pub fn record_load_report(&mut self, now: Micros, load: LoadReport) {
        let active = f64::from(load.running) + f64::from(load.waiting);
        let known = self.report;
        let others_tokens = load
            .kv_cache
            .map(|(used, _)| (now, (used as f64 - self.tokens as f64).max(0.0)));
        self.report = Some(Report {
            at: now,
            others: (active - f64::from(self.in_flight)).max(0.0),
            others_tokens: others_tokens.or(known.and_then(|report| report.others_tokens)),
            slots: load.slots.filter(|slots| *slots > 0),
            kv_cache: load
                .kv_cache
                .map(|(_, whole)| whole)
                .or(known.and_then(|report| report.kv_cache)),
            waiting: load.waiting,
        });
        if load
            .slots
            .is_some_and(|slots| load.running < slots && load.waiting == 0)
        {
            self.backoff_until = self.backoff_until.min(now);
        }
    }

    /// The server turned a request away as full.
    pub fn refused(&mut self, now: Micros, told: Option<Micros>) {
        self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        let rest = told.unwrap_or(0).clamp(self.backoff, MAX_BACKOFF);
        if Guard::OverloadBackoff.on() {
            self.backoff_until = self.backoff_until.max(now + rest);
        }
    }

    /// The server took a request.
    pub fn served(&mut self) {
        self.backoff = 0;
    }

    /// When it is asked again after it turned one away; passed where it is not resting.
    pub fn backoff_until(&self) -> Micros {
        self.backoff_until
    }

    /// How much a report still counts, and the report.
    fn fresh(&self, now: Micros, memory: Micros) -> Option<(f64, Report)> {
        let report = self.report?;
        let weight = weight(now, report.at, memory);
        (weight > 0.0).then_some((weight, report))
    }

    /// True where requests waited at the last report.
    pub fn waiting(&self, now: Micros, memory: Micros) -> bool {
        self.fresh(now, memory)
            .is_some_and(|(_, report)| report.waiting > 0)
    }

    /// Its load now; `peers` stands in for what no fresh report tells.
    pub fn load(
        &self,
        now: Micros,
        memory: Micros,
        bounds: &CapacityLimits,
        peers: PeerAverages,
    ) -> Load {
        let (weight, told, told_tokens) = match self.fresh(now, memory) {
            Some((weight, report)) => (weight, report.others, report.others_tokens),
            None => (0.0, 0.0, None),
        };
        let blend = |weight: f64, told: f64, usual: f64| weight * told + (1.0 - weight) * usual;
        let others = blend(weight, told, peers.others);
        let usual_tokens = others * peers.typical;
        let told = |(at, told)| blend(self::weight(now, at, memory), told, usual_tokens);
        let others_tokens = told_tokens.map_or(usual_tokens, told);
        let slots = self
            .report
            .and_then(|report| report.slots)
            .unwrap_or(bounds.slots);
        let kv_cache = self
            .report
            .and_then(|report| report.kv_cache)
            .unwrap_or(bounds.kv_cache);
        Load {
            active: f64::from(self.in_flight) + others,
            slots: f64::from(if slots == 0 { DEFAULT_SLOTS } else { slots }),
            tokens: self.tokens as f64 + others_tokens,
            kv_cache: if kv_cache == 0 {
                f64::INFINITY
            } else {
                kv_cache as f64
            },
        }
    }

    /// Tokens that one more request would add.
    pub fn added_tokens(&self, need: TokenDemand) -> u64 {
        let here = need
            .key
            .is_some_and(|key| self.keys.iter().any(|(known, ..)| *known == key));
        if here {
            need.own
        } else {
            need.own + need.shared
        }
    }

    /// True where one more connection stays within this gate's share.
    pub fn has_connection_capacity(&self, bounds: &CapacityLimits) -> bool {
        let even = f64::from(bounds.connections) / f64::from(bounds.gates.max(1));
        bounds.connections == 0
            || f64::from(self.in_flight) < (even * MAX_CONNECTION_SHARE).max(1.0)
    }
}

/// How much a report made at `at` still counts.
fn weight(now: Micros, at: Micros, memory: Micros) -> f64 {
    (1.0 - now.saturating_sub(at) as f64 / memory as f64).max(0.0)
}

/// True where the memory of a server with that load has room for `added` tokens more.
pub(crate) fn has_memory_for(load: &Load, added: u64) -> bool {
    load.tokens + added as f64 <= load.kv_cache
}

#[cfg(test)]
mod tests;
