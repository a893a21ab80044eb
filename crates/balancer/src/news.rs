//! What agents are asked for and tell each other of it, without I/O, so that each knows its own part of what
//! the servers carry. Nothing here decides about a request.
//!
//! A message has [`LENGTH`] bytes: a version, the sender's zone, and its requests in 1,000 s (little endian).
//! Others are dropped. Messages may be lost, late or repeated; with every one lost, each agent takes its part
//! for an even one.

use crate::api::{Micros, Settings};
use crate::state::{Rng, mix};

/// The version written, and the only one read.
const VERSION: u8 = 1;
/// Bytes in a message.
const LENGTH: usize = 6;
/// How long requests count in the rate, and the least part of that time they are counted over at the start.
const MEMORY: f64 = 2_000_000.0;
const AT_START: f64 = 0.05;
/// First message after about this, then one each so often, or so much later for each agent that every
/// receiver has no more than a hundred a second.
const FIRST: f64 = 250_000.0;
const EVERY: Micros = 1_000_000;
const EVERY_AGENT: Micros = 10_000;
/// Agents not heard of for so many turns are gone.
const TURNS: u64 = 4;
/// An agent keeps to as many servers as it has requests in this time, two at least: each is heard of often
/// enough to be judged, and connections stay few.
const SUBSET: (f64, f64) = (250_000.0, 2.0);
/// The own part follows in steps of this ratio: smaller moves are not worth the work.
const STEP: f64 = 1.1;

/// What this agent is asked for, what others said of themselves of late, and when this one speaks next.
pub(crate) struct News {
    rng: Rng,
    /// Whether there are so many agents that an even part of a limit is less than one request, and each therefore
    /// keeps to few servers.
    few: bool,
    /// Whether agents talk at all, how many there are, and who this one is.
    talks: bool,
    agents: usize,
    me: usize,
    zone: u8,
    /// Requests, fading over `MEMORY`, up to when they are faded, and when the shares were first followed.
    asked: f64,
    faded: Micros,
    born: Option<Micros>,
    /// Of each agent: requests in a microsecond, whether it is of the own zone, and when it said so.
    heard: Vec<Option<(f64, bool, Micros)>>,
    next: Micros,
    /// This agent's part of all requests, and of those of its zone; at least an even one of all.
    pub shares: [f64; 2],
}

impl News {
    /// Nothing heard yet. Only where agents are `many` is there need of news.
    /// Where keys are to stay warm, each agent uses all servers all the same.
    pub fn new(settings: &Settings, many: bool, seed: u64) -> Self {
        let (agents, me) = (settings.balancers.max(1) as usize, settings.me as usize);
        let talks = settings.limits.peers && many;
        News {
            rng: Rng(mix(!seed)),
            few: many && !settings.warm_keys,
            talks,
            agents,
            me,
            zone: u8::try_from(settings.zone).unwrap_or(u8::MAX),
            asked: 0.0,
            faded: 0,
            born: None,
            heard: if talks { vec![None; agents] } else { Vec::new() },
            next: 0,
            shares: [1.0 / agents as f64; 2],
        }
    }

    /// A request came.
    pub fn asked(&mut self, now: Micros) {
        (self.asked, self.faded) = (self.left(now) + 1.0, now);
    }

    /// What is left of the requests by now.
    fn left(&self, now: Micros) -> f64 {
        self.asked * (-(now.saturating_sub(self.faded) as f64) / MEMORY).exp()
    }

    /// To how many servers of a side this agent keeps: to all, unless it is one of many.
    pub fn in_sight(&self, now: Micros) -> usize {
        if self.few { (self.asked_of_late(now) * SUBSET.0).max(SUBSET.1) as usize } else { usize::MAX }
    }

    /// What this agent is asked for of late, in requests in a microsecond; rises from nothing at the start.
    fn asked_of_late(&self, now: Micros) -> f64 {
        self.left(now) / MEMORY
    }

    /// The same, without that rise.
    fn rate(&self, now: Micros) -> f64 {
        let age = self.born.map_or(0, |born| now.saturating_sub(born)) as f64 / MEMORY;
        self.asked_of_late(now) / (1.0 - (-age).exp()).max(AT_START)
    }

    /// Time between two messages.
    fn every(&self) -> Micros {
        EVERY.max(EVERY_AGENT * self.agents as u64)
    }

    /// The message to tell all others, when it is due. Agents speak at times of their own.
    pub fn due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if !self.talks || now < self.next {
            return None;
        }
        let (first, chance) = (self.next == 0, self.rng.unit());
        if first {
            self.next = now + (FIRST * (0.5 + chance)) as Micros;
            return None;
        }
        self.next = now + (self.every() as f64 * (0.75 + chance / 2.0)) as Micros;
        let rate = (self.rate(now) * 1e9).min(f64::from(u32::MAX)) as u32;
        Some([&[VERSION, self.zone], &rate.to_le_bytes()[..]].concat())
    }

    /// Takes a message in; what is malformed, or from nobody known, is dropped.
    pub fn hear(&mut self, now: Micros, from: u32, data: &[u8]) {
        let Ok([VERSION, zone, rate @ ..]) = <[u8; LENGTH]>::try_from(data) else { return };
        let from = from as usize;
        if from != self.me
            && let Some(heard) = self.heard.get_mut(from)
        {
            *heard = Some((f64::from(u32::from_le_bytes(rate)) / 1e9, zone == self.zone, now));
        }
    }

    /// Follows this agent's parts; tells by what each changed. They never fall below an even part: guards
    /// agents with few requests against waiting for their turn.
    pub fn follow(&mut self, now: Micros) -> [f64; 2] {
        if !self.talks {
            return [1.0; 2];
        }
        let born = *self.born.get_or_insert(now);
        let (rate, fresh) = (self.rate(now), self.every() * TURNS);
        let (mut count, mut sums) = (0, [rate; 2]);
        for (theirs, near, _) in self.heard.iter().flatten().filter(|h| now.saturating_sub(h.2) <= fresh) {
            count += 1;
            sums[0] += theirs;
            sums[1] += if *near { *theirs } else { 0.0 };
        }
        // Those not heard of yet are taken for usual ones; a while after the start, for gone.
        let missing = if now < born + fresh { (self.agents - 1).saturating_sub(count) as f64 } else { 0.0 };
        let even = 1.0 / self.agents as f64;
        let mut moved = [1.0; 2];
        for ((share, by), sum) in self.shares.iter_mut().zip(&mut moved).zip(sums) {
            let all = sum * (1.0 + missing / (count + 1) as f64);
            let new = if count == 0 || all <= 0.0 { even } else { (rate / all).clamp(even, 1.0) };
            if !(1.0 / STEP..STEP).contains(&(new / *share)) {
                *by = new / *share;
                *share = new;
            }
        }
        moved
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::ClassSettings;

    const SECOND: Micros = 1_000_000;

    /// Two thousand requests a second, nearly half of them at one agent.
    const RATES: [u64; 16] = [900, 300, 300, 100, 100, 100, 100, 100, 0, 0, 0, 0, 0, 0, 0, 0];

    fn news(agents: u32, me: u32) -> News {
        let mut settings = Settings {
            balancers: agents,
            me,
            classes: vec![ClassSettings::default()],
            ..Settings::default()
        };
        settings.limits.peers = true;
        News::new(&settings, true, u64::from(me) + 1)
    }

    /// Agents that talk for ten seconds, each asked so often a second; tells the parts they found.
    fn talk(rates: &[u64], lost: impl Fn(usize, Micros) -> bool) -> Vec<f64> {
        let mut agents: Vec<News> = (0..rates.len()).map(|me| news(rates.len() as u32, me as u32)).collect();
        for now in (SECOND..11 * SECOND).step_by(10_000) {
            let mut told = Vec::new();
            for (i, agent) in agents.iter_mut().enumerate() {
                (0..rates[i] / 100).for_each(|_| agent.asked(now));
                agent.follow(now);
                told.extend(agent.due(now).map(|data| (i, data)));
            }
            for (from, data) in told.into_iter().filter(|t| !lost(t.0, now)) {
                agents.iter_mut().for_each(|agent| agent.hear(now, from as u32, &data));
            }
        }
        agents.iter().map(|agent| agent.shares[0]).collect()
    }

    #[test]
    fn each_learns_its_part_of_all_requests() {
        let shares = talk(&RATES, |_, _| false);
        assert!((shares[0] - 0.45).abs() < 0.05, "{shares:?}");
        assert!((shares[1] - 0.15).abs() < 0.02, "{shares:?}");
        assert!(shares[4] >= 1.0 / 16.0, "never below an even part: {shares:?}");
    }

    /// Most of what a zone's servers carry comes from its own agents, so a part of all requests is too little there:
    /// a fifth of all crossed zones although the own servers held two or three requests each.
    #[test]
    fn each_learns_its_part_of_its_own_zone() {
        let mut agent = news(16, 0);
        agent.follow(SECOND);
        (0..200).for_each(|_| agent.asked(2 * SECOND));
        let told = |zone| [VERSION, zone, 160, 134, 1, 0]; // 100 requests a second
        (1..16).for_each(|from| agent.hear(2 * SECOND, from, &told(u8::from(from > 3))));
        let moved = agent.follow(2 * SECOND);
        let [all, near] = agent.shares;
        assert!((near / all - 16.0 / 4.0).abs() < 1.0 && moved[1] > 2.0 * moved[0], "{all} {near} {moved:?}");
    }

    #[test]
    fn lost_messages_leave_even_parts_and_few_do_little_harm() {
        assert_eq!(talk(&RATES, |_, _| true), vec![1.0 / 16.0; 16]);
        let shares = talk(&RATES, |from, now| (now / 10_000 + from as u64).is_multiple_of(3));
        assert!((shares[0] - 0.45).abs() < 0.05, "{shares:?}");
    }

    /// Who has just started has heard of few, and must not take their part for all.
    #[test]
    fn a_newcomer_takes_those_unheard_for_usual_ones() {
        let mut agent = news(100, 0);
        agent.follow(SECOND);
        (0..20).for_each(|_| agent.asked(SECOND + 100_000));
        agent.hear(SECOND + 100_000, 1, &[VERSION, 0, 232, 3, 0, 0]); // 1 request a second
        agent.follow(SECOND + 200_000);
        assert!(agent.shares[0] < 0.2, "{:?}", agent.shares);
    }

    /// Agents that fall silent are gone, and what they carried is this one's.
    #[test]
    fn the_silent_are_forgotten() {
        let shares = talk(&[400; 16], |from, now| from > 1 && now > 4 * SECOND);
        assert!((shares[0] - 0.5).abs() < 0.05, "{shares:?}");
    }

    #[test]
    fn what_is_malformed_or_from_nobody_known_is_dropped() {
        let good = [VERSION, 0, 255, 255, 255, 255];
        let bad: [(u32, &[u8]); 6] = [
            (1, &good[..5]),
            (1, &[good.as_slice(), &[0]].concat()),
            (1, &[VERSION + 1, 0, 255, 255, 255, 255]),
            (1, &[]),
            (99, &good),
            (0, &good),
        ];
        for (from, data) in bad {
            let mut agent = news(16, 0);
            agent.hear(SECOND, from, data);
            assert!(agent.heard.iter().all(Option::is_none), "{from} {data:?}");
        }
        let mut agent = news(16, 0);
        agent.hear(SECOND, 1, &good);
        assert!(agent.heard[1].is_some());
    }

    /// However many agents there are, none hears more than about a hundred messages a second.
    #[test]
    fn larger_tiers_speak_less_often() {
        for agents in [13, 100, 2_000] {
            let mut agent = news(agents, 0);
            let told = (0..20_000).filter(|beat| agent.due(SECOND + beat * 10_000).is_some()).count();
            let a_second = told as f64 / 200.0 * f64::from(agents);
            assert!(a_second <= 110.0, "{agents} agents: {a_second} messages a second at each");
        }
    }
}
