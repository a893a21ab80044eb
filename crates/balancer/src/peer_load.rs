//! What agents are asked for and tell each other of it, without I/O, so that each knows its own
//! part of what the servers carry. Nothing here decides about a request.
//!
//! A message has [`MESSAGE_BYTES`] bytes: a version, the sender's zone, and its requests in 1,000 s
//! (little endian). Others are dropped. Messages may be lost, late or repeated; with every one
//! lost, each agent takes its part for an even one.

use crate::api::{Micros, Settings};
use crate::state::{Rng, mix};

/// The version written, and the only one read.
const VERSION: u8 = 1;
/// Bytes in a message.
const MESSAGE_BYTES: usize = 6;
/// How long requests count in the rate, and the least part of that time they are counted over at
/// the start.
const RATE_DECAY_TIME: f64 = 2_000_000.0;
const MIN_WARM_UP_PART: f64 = 0.05;
/// First message after about this, then one each so often, or so much later for each agent that
/// every receiver has no more than a hundred a second.
const FIRST_MESSAGE_DELAY: f64 = 250_000.0;
const MIN_INTERVAL: Micros = 1_000_000;
const INTERVAL_PER_AGENT: Micros = 10_000;
/// Agents not heard of for so many turns are gone.
const MAX_MISSED_INTERVALS: u64 = 4;
/// An agent keeps to as many servers as it has requests in this time, two at least: each is heard
/// of often enough to be judged, and connections stay few.
const SUBSET: (f64, f64) = (250_000.0, 2.0);
/// The own part follows in steps of this ratio: smaller moves are not worth the work.
const MIN_CHANGE_RATIO: f64 = 1.1;

/// What this agent is asked for, what others said of themselves of late, and when this one speaks
/// next.
pub(crate) struct PeerLoad {
    rng: Rng,
    /// Whether there are so many agents that an even part of a limit is less than one request, and
    /// each therefore keeps to few servers.
    few: bool,
    /// Whether agents talk at all, how many there are, and who this one is.
    talks: bool,
    agents: usize,
    balancer_index: usize,
    zone: u8,
    /// Requests, fading over `RATE_DECAY_TIME`, up to when they are faded, and when the shares were first
    /// followed.
    asked: f64,
    faded: Micros,
    born: Option<Micros>,
    /// Of each agent: requests in a microsecond, whether it is of the own zone, and when it said
    /// so.
    heard: Vec<Option<(f64, bool, Micros)>>,
    next: Micros,
    /// This agent's part of all requests, and of those of its zone; at least an even one of all.
    pub shares: [f64; 2],
}

impl PeerLoad {
    /// Nothing heard yet. Only where agents are `many` is there need of news.
    /// Where keys are to stay warm, each agent uses all servers all the same.
    pub(crate) fn new(settings: &Settings, many: bool, seed: u64) -> Self {
        let (agents, balancer_index) = (
            settings.balancers.max(1) as usize,
            settings.balancer_index as usize,
        );
        let talks = settings.limits.peers && many;
        PeerLoad {
            rng: Rng(mix(!seed)),
            few: many && !settings.key_affinity,
            talks,
            agents,
            balancer_index,
            zone: u8::try_from(settings.zone).unwrap_or(u8::MAX),
            asked: 0.0,
            faded: 0,
            born: None,
            heard: if talks {
                vec![None; agents]
            } else {
                Vec::new()
            },
            next: 0,
            shares: [1.0 / agents as f64; 2],
        }
    }

    /// A request came.
    pub(crate) fn asked(&mut self, now: Micros) {
        (self.asked, self.faded) = (self.left(now) + 1.0, now);
    }

    /// What is left of the requests by now.
    fn left(&self, now: Micros) -> f64 {
        self.asked * (-(now.saturating_sub(self.faded) as f64) / RATE_DECAY_TIME).exp()
    }

    /// To how many servers of a side this agent keeps: to all, unless it is one of many.
    pub(crate) fn subset_size(&self, now: Micros) -> usize {
        if self.few {
            (self.recent_rate(now) * SUBSET.0).max(SUBSET.1) as usize
        } else {
            usize::MAX
        }
    }

    /// What this agent is asked for of late, in requests in a microsecond; rises from nothing at
    /// the start.
    fn recent_rate(&self, now: Micros) -> f64 {
        self.left(now) / RATE_DECAY_TIME
    }

    /// The same, without that rise.
    fn rate(&self, now: Micros) -> f64 {
        let age = self.born.map_or(0, |born| now.saturating_sub(born)) as f64 / RATE_DECAY_TIME;
        self.recent_rate(now) / (1.0 - (-age).exp()).max(MIN_WARM_UP_PART)
    }

    /// Time between two messages.
    fn every(&self) -> Micros {
        MIN_INTERVAL.max(INTERVAL_PER_AGENT * self.agents as u64)
    }

    /// The message to tell all others, when it is due. Agents speak at times of their own.
    pub(crate) fn due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if !self.talks || now < self.next {
            return None;
        }
        let (first, chance) = (self.next == 0, self.rng.unit());
        if first {
            self.next = now + (FIRST_MESSAGE_DELAY * (0.5 + chance)) as Micros;
            return None;
        }
        self.next = now + (self.every() as f64 * (0.75 + chance / 2.0)) as Micros;
        let rate = (self.rate(now) * 1e9).min(f64::from(u32::MAX)) as u32;
        Some([&[VERSION, self.zone], &rate.to_le_bytes()[..]].concat())
    }

    /// Takes a message in; what is malformed, or from nobody known, is dropped.
    pub(crate) fn hear(&mut self, now: Micros, from: u32, data: &[u8]) {
        let Ok([VERSION, zone, rate @ ..]) = <[u8; MESSAGE_BYTES]>::try_from(data) else {
            return;
        };
        let from = from as usize;
        if from != self.balancer_index
            && let Some(heard) = self.heard.get_mut(from)
        {
            *heard = Some((
                f64::from(u32::from_le_bytes(rate)) / 1e9,
                zone == self.zone,
                now,
            ));
        }
    }

    /// Follows this agent's parts; tells by what each changed. They never fall below an even part:
    /// guards agents with few requests against waiting for their turn.
    pub(crate) fn follow(&mut self, now: Micros) -> [f64; 2] {
        if !self.talks {
            return [1.0; 2];
        }
        let born = *self.born.get_or_insert(now);
        let (rate, fresh) = (self.rate(now), self.every() * MAX_MISSED_INTERVALS);
        let (mut count, mut sums) = (0, [rate; 2]);
        for (theirs, near, _) in self
            .heard
            .iter()
            .flatten()
            .filter(|h| now.saturating_sub(h.2) <= fresh)
        {
            count += 1;
            sums[0] += theirs;
            sums[1] += if *near { *theirs } else { 0.0 };
        }
        // Those not heard of yet are taken for usual ones; a while after the start, for gone.
        let missing = if now < born + fresh {
            (self.agents - 1).saturating_sub(count) as f64
        } else {
            0.0
        };
        let even = 1.0 / self.agents as f64;
        let mut moved = [1.0; 2];
        for ((share, by), sum) in self.shares.iter_mut().zip(&mut moved).zip(sums) {
            let all = sum * (1.0 + missing / (count + 1) as f64);
            let new = if count == 0 || all <= 0.0 {
                even
            } else {
                (rate / all).clamp(even, 1.0)
            };
            if !(1.0 / MIN_CHANGE_RATIO..MIN_CHANGE_RATIO).contains(&(new / *share)) {
                *by = new / *share;
                *share = new;
            }
        }
        moved
    }
}

#[cfg(test)]
mod tests;
