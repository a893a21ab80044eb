//! All decisions of the balancer. Its interface (settings, events, actions) is `api.rs`; `state.rs`
//! holds plain records, `fleet.rs` what is asked of all servers at once. Order: membership,
//! usability (health, limits, cold starts), candidate set (the zone test of KEP-4444), even draw,
//! attempts, refusals. One request runs through `request`, `place`, `candidates`, `draw`; its
//! attempts end in `settled`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::{
    Action, AttemptEnded, ClassId, ClassSettings, Discovery, Effect, Event, Group, Listing,
    MAX_DISCOVERY_DELAY, Micros, Outcome, Phase, Request, RequestId, Scope, ServerId, Settings,
    SettingsError,
};
use crate::silence::{self, Silence};
use crate::state::{Attempt, Node, Open, Rng, Turn, Usual, follow, mix, unit};
use crate::{fleet::Fleet, fleet::LOOKS, news::News};

/// Beats in the shortest latency_target: how often measurements fade and cold servers are granted requests.
const BEATS_PER_AIM: u64 = 10;
/// A request that reached no server is given up at this part of its time: later, nobody gains by
/// the wait.
const UNSENT_UNTIL: f64 = 0.15;
/// How long answers count in measured rates and idle connections stay; slowness in the trim.
const RATE_MEMORY: f64 = 2_000_000.0;
const LAG_MEMORY: f64 = 10_000_000.0;
/// An answer starts to hurt at this part of its aim, so that trouble shows before worth is lost.
const PAIN_FROM: f64 = 0.2;
/// The way to another zone is taken for no more than this part of the aim.
const WAY_MOST: f64 = 0.2;
/// In-flight limit of a server, split by the number of agents: at first, and how it moves. Up by a
/// part of one for each painless answer while the zone is in use (by the first limit until the
/// first pain), down by the pain of each that hurts; so it settles near `LIMIT_UP` over the usual
/// pain.
const LIMIT_FIRST: f64 = 12.0;
const LIMIT_UP: f64 = 3.0;
/// How fast reports move what is taken for this agent's own part of a server's load.
const MINE_PACE: f64 = 0.05;
/// A hashed draw may pass the even share by this part before the key's next server takes over.
const HASH_BOUND: f64 = 0.1;
/// Requests that all agents together may send a cold server in a window of `safety.overload_window` on no
/// evidence.
const COLD_LEAST: f64 = 4.0;
/// Those that one of many agents keeps to change after this: each agent, too, is even in the end.
const SUBSET_TURN: Micros = 60_000_000;
/// One attempt's part in a server's average slowness, and how far that trims its share, against the
/// others'.
const LAG_PACE: f64 = 0.5;
const TRIM: (f64, f64) = (1.5, 0.1);
/// How far a server may run behind or ahead of its even share, in requests.
const CREDIT_MOST: f64 = 10.0;
/// Average of failures that sets a server aside, and how far softer ones must stand out from the
/// peers'.
const EJECT_AT: f64 = 0.5;
const EJECT_ABOVE_PEERS: f64 = 0.25;
/// A server is asked for a sign when it owes an answer for as long as most take, or for so many
/// beats.
const SIGN_WITHIN: f64 = 5.0;
/// First and longest time aside before a trial request; doubled at each failed trial.
const ASIDE: (Micros, Micros) = (1_000_000, 8_000_000);
/// Second attempts of what may have run, for each request taken: at least, and more for how much
/// more often copies win than pays for their work (the other pair; agents start hopeful); and most
/// saved up.
const BUDGET: (f64, f64) = (0.03, 2.0);
const WON: (f64, f64) = (0.3, 0.4);
const BUDGET_MOST: f64 = 20.0;
/// Discovery is asked again after `discovery_interval` over these: at first, and at the longest.
const ASK_AGAIN: (u64, u64) = (16, 2);

/// The balancer: one for each agent.
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    now: Micros,
    fleet: Fleet,
    silence: Silence,
    open: BTreeMap<RequestId, Open>,
    /// When requests are to be looked at, and the timer that is out.
    due: BTreeSet<(Micros, RequestId)>,
    armed: Option<Micros>,
    /// Other zones and the own rest until then, if limits sum below one: guards jammed ones from
    /// many agents.
    rest: [Micros; 2],
    usual: Vec<Usual>,
    mean_size: f64,
    /// What the agents are asked for, this one and the others.
    news: News,
    beat: Micros,
    next_beat: Micros,
    /// The salt of this agent's subset, and where its round has come to.
    salt: u64,
    round: usize,
    /// Requests that wait for room, most worth first, then newest.
    held: BTreeSet<Turn>,
    /// Second attempts saved up, and how often copies won of late.
    budget: f64,
    won: f64,
    /// When discovery must be asked, and the wait after the next failure.
    ask_at: Option<Micros>,
    ask_wait: Micros,
}

impl Balancer {
    /// Builds a balancer that knows no server yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aim = settings
            .classes
            .iter()
            .map(|c| c.latency_target)
            .min()
            .unwrap_or(1);
        let usual = |c: &ClassSettings| Usual {
            median: c.latency_target as f64 * 0.2,
            high: c.latency_target as f64 * 0.4,
        };
        Ok(Balancer {
            rng: Rng(seed),
            now: 0,
            fleet: Fleet::new(settings.zone, settings.classes.len()),
            silence: Silence::default(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            armed: None,
            rest: [0; 2],
            usual: settings.classes.iter().map(usual).collect(),
            mean_size: 1.0,
            beat: (aim / BEATS_PER_AIM).min(1_000_000).max(settings.tick),
            news: News::new(&settings, f64::from(settings.balancers) > LIMIT_FIRST, seed),
            next_beat: 0,
            salt: mix(seed),
            round: 0,
            held: BTreeSet::new(),
            budget: 0.0,
            won: WON.1,
            ask_at: (settings.discovery == Discovery::Subscribed).then_some(0),
            ask_wait: settings.safety.discovery_interval / ASK_AGAIN.0,
            settings,
        })
    }

    /// Takes one event at clock reading `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now.min(Micros::MAX / 4));
        self.fleet
            .turn(self.salt ^ mix((self.now + self.salt % SUBSET_TURN) / SUBSET_TURN));
        match event {
            Event::Request(request) => self.request(request, out),
            Event::AttemptEnded(settled) => self.settled(settled, out),
            Event::ResponseStarted { id, .. } => {
                _ = self.open.get_mut(&id).map(|open| open.streaming = true);
            }
            Event::RequestComplete { id, expires } => self
                .due
                .extend(self.open.get_mut(&id).map(|o| o.whole(self.now, expires))),
            Event::ClientDisconnected { id } => self.close(id, out),
            Event::Timer { token } => self.armed = self.armed.filter(|at| *at != token),
            Event::Members(listing) => self.members(listing, out),
            Event::ProbeEnded {
                server,
                outcome,
                latency,
                ..
            } => self.probed(server, outcome, latency, out),
            Event::PeerMessage { from, data } => self.news.hear(self.now, from, &data),
        }
        self.run_due(out);
    }

    /// Does what is due, then asks for one timer at the next due time.
    fn run_due(&mut self, out: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| at <= self.now) {
            // Asked again unless a list comes: an answer that never arrives must not end the
            // asking.
            self.ask_at = Some(self.now + self.settings.safety.discovery_interval / ASK_AGAIN.1);
            out.push(Action::Subscribe(true));
        }
        if self.next_beat <= self.now {
            self.next_beat = self.now + self.beat;
            self.beat(out);
        }
        while let Some((at, id)) = self.due.first().copied().filter(|&(at, _)| at <= self.now) {
            self.due.remove(&(at, id));
            self.progress(id, out);
        }
        // Guards those that may cross zones against waiting behind newer ones that may not yet.
        for spill in [false, true] {
            let fits = |b: &Self, t: &&Turn| {
                !spill || b.open.get(&t.2).is_some_and(|o| o.spill_at <= b.now)
            };
            while let Some(id) = self.held.iter().find(|t| fits(self, t)).map(|t| t.2) {
                if !self.place(id, out) {
                    break;
                }
            }
        }
        let next = self
            .due
            .first()
            .map_or(self.next_beat, |due| due.0.min(self.next_beat));
        let next = self
            .ask_at
            .map_or(next, |at| at.min(next))
            .max(self.now + 1);
        if self.armed.is_none_or(|at| next < at || at < self.now) {
            self.armed = Some(next);
            out.push(Action::Timer {
                delay: next - self.now,
                token: next,
            });
        }
    }

    fn members(&mut self, listing: Listing, out: &mut Vec<Action>) {
        // A failure keeps the list. Asked again ever later, agents apart; wait and a call's turn
        // fit `MAX_DISCOVERY_DELAY`.
        let longest =
            (self.settings.safety.discovery_interval / ASK_AGAIN.1).min(MAX_DISCOVERY_DELAY / 4);
        if listing.scope == Scope::Failed {
            let wait = self.ask_wait.min(longest) as f64 * (0.5 + self.rng.unit());
            (self.ask_at, self.ask_wait) = (
                Some(self.now + wait as Micros),
                longest.min(self.ask_wait * 2),
            );
            return;
        }
        if listing.scope != Scope::Cached {
            (self.ask_at, self.ask_wait) =
                (None, self.settings.safety.discovery_interval / ASK_AGAIN.0);
        }
        self.fleet.keep(&listing);
        for server in listing.servers {
            match self.fleet.get(server.id) {
                // Guards rule 3: who is gone is forgotten, and who drains is never a candidate,
                // from now on.
                _ if server.phase == Phase::Gone => self.fleet.remove(server.id),
                // The same process as before keeps what is known of it; a restarted one starts
                // anew.
                Some(node) if node.server.started == server.started => self.fleet.update(server),
                _ => {
                    let share = self.news.shares[usize::from(server.zone == self.settings.zone)];
                    self.fleet.insert(Node::new(
                        server,
                        self.rng.unit(),
                        LIMIT_FIRST,
                        share,
                        self.now,
                    ));
                }
            }
        }
        self.mean_size = self.fleet.mean_size();
        out.extend((self.fleet.len() == 0).then(|| Action::Log("no server is listed".into())));
    }

    fn warmth(&self, node: &Node) -> f64 {
        node.warmth(self.now, &self.settings.safety)
    }

    /// Those that one of many agents keeps to, by an order of its own, before room is asked for:
    /// guards against full servers that send agents on to all. Of very many, some with room; else
    /// all of a side.
    fn some(
        &self,
        own: bool,
        fits: impl Fn(&&Node) -> bool,
        room: impl Fn(&&Node) -> bool,
    ) -> Vec<&Node> {
        let few = self.news.in_sight(self.now);
        if few == usize::MAX {
            let from = (!self.settings.key_affinity).then_some(self.round);
            return self.fleet.some(own, from, fits, room);
        }
        // Guards against waiting for cold ones while others further on have room.
        let offered =
            |(i, n): &(usize, &Node)| self.warmth(n) >= 1.0 || *i < few && n.cold_left >= 1.0;
        let ring = self
            .fleet
            .ring(own, 0)
            .filter(fits)
            .enumerate()
            .filter(offered);
        ring.map(|(_, n)| n).take(few).collect()
    }

    /// In flight in the own zone or the others, and the sum of limits there. Guards against limits
    /// on trust where agents are so many that even first ones leave each less than one: what is
    /// known counts for all. Who keeps silent on the class is none of it: its idle limit would keep
    /// the others' from growing.
    fn zone_load(&self, own: bool, class: ClassId) -> (f64, f64) {
        let here =
            |n: &&Node| (n.server.zone == self.settings.zone) == own && !self.answers(n, class);
        let load = self
            .fleet
            .silent(class)
            .filter(here)
            .fold(self.fleet.load(own), super::fleet::Load::without);
        let (out, all) = (load.out as f64, (load.fit + load.aside) as f64);
        if load.fit > 0 && self.news.in_sight(self.now) >= load.fit {
            return (out, load.fit_limit.value());
        }
        let known = |n: &&Node| n.aside.is_none() && self.answers(n, class);
        let few = if load.fit > 0 {
            self.some(own, known, |_| true)
        } else {
            Vec::new()
        };
        let limits = few.iter().map(|n| n.limit).sum::<f64>() + load.aside_limit.value();
        (out, limits * all / (few.len() + load.aside).max(1) as f64)
    }

    /// Whether it may be sent a class: it answers that, or a trial is due.
    fn answers(&self, node: &Node, class: ClassId) -> bool {
        node.mute.get(&class).is_none_or(|m| m.until <= self.now)
    }

    /// Room below its in-flight limit, and, guarding rule 4 by whatever draw, retry or spillover: a
    /// cold server gets no more than its budget.
    fn room(&self, node: &Node) -> bool {
        let room = f64::from(node.out) + 1.0 <= node.limit.max(1.0) && node.full_until <= self.now;
        room && (self.warmth(node) >= 1.0 || node.cold_left >= 1.0)
    }

    /// Grants cold servers their budget: half of what they could bear by what they answer, or by
    /// this agent's even share of all it has answered, and a little on no evidence. Less than one
    /// request in a window is granted by chance and not saved up: guards against many agents that
    /// each keep one ready for the same.
    fn refill_cold(&mut self) {
        let (multiple, fall) = (
            self.settings.safety.overload_multiple,
            self.settings.safety.overload_window as f64,
        );
        let least = COLD_LEAST / f64::from(self.settings.balancers) / fall;
        let due = self.fleet.cold_due(self.now);
        let served = if due.is_empty() {
            0.0
        } else {
            self.fleet.awake().map(|n| n.oks).sum::<f64>()
        };
        let (own, few) = (self.fleet.side(true).len(), self.news.in_sight(self.now));
        let means =
            [own + self.fleet.side(false).len(), own].map(|n| served / n.clamp(1, few) as f64);
        for id in due {
            let Some(node) = self.fleet.get(id).filter(|n| self.warmth(n) < 1.0) else {
                continue;
            };
            let mean = means[usize::from(node.server.zone == self.settings.zone)];
            let size = node.size(&self.settings, self.mean_size);
            let carried = (mean * self.warmth(node) * size).max(node.oks);
            let rate = multiple / 2.0 * carried / RATE_MEMORY + least;
            let (window, chance) = ((1.0 / rate).clamp(self.beat as f64, fall), self.rng.unit());
            let Some(node) = self.fleet.touch(id) else {
                continue;
            };
            let saved = node.cold_left.min(rate * fall / 2.0 - 1.0).max(0.0);
            node.cold_left = (saved + rate * window + chance).floor();
            node.cold_chance = (rate * window).min(1.0);
            self.fleet.grant(id, self.now + window as Micros);
        }
    }

    /// Judges a server by the end of an attempt.
    fn note(
        &mut self,
        e: &AttemptEnded,
        class: Option<ClassId>,
        sent: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        let (now, agents) = (self.now, f64::from(self.settings.balancers));
        // Guards a restarted server against being judged by what its predecessor did.
        let this_life = |n: &&Node| sent.is_none_or(|at| at >= n.since);
        let Some(known) = self.fleet.get(e.server).filter(this_life) else {
            return;
        };
        let (zone, others) = (
            known.server.zone,
            self.fleet.zone(known.server.zone).without(known),
        );
        let own = zone == self.settings.zone;
        let (out_there, room_there) = class.map_or((0.0, 0.0), |class| self.zone_load(own, class));
        // At most half of a zone: guards a crowded one against being emptied server by server.
        let most = 2 * (others.asides + 1) > others.count + 1;
        // Guards against slow servers that never show: who called off beyond the usual had waited
        // too long.
        let overdue = class
            .zip(sent)
            .is_some_and(|(c, at)| (now - at) as f64 > self.usual[c].high);
        let told = self.fleet.change(e.server, |node| {
            node.out = node.out.saturating_sub(1);
            node.idle_since = Some(now);
            // Guards good servers' shares and limits: what is no answer, or our doing, tells
            // nothing of load.
            let told = e.outcome.indicates_load();
            if told || overdue {
                node.lag += LAG_PACE
                    * (f64::from(u8::from(overdue || e.outcome != Outcome::Ok)) - node.lag);
            }
            // "Full" is load, not ill health; a cancelled or moot attempt is our own doing.
            let (failed, pace) = match e.outcome {
                Outcome::Ok => (0.0, 0.25),
                Outcome::ServerError | Outcome::Timeout => (1.0, 0.25),
                // Twice in a row, whatever else broke: guards good servers against one lost
                // connection.
                Outcome::ConnectFailed => (1.0, 0.3),
                // Guards good servers against one spoilt or broken answer: a dead one refuses the
                // next.
                Outcome::Reset | Outcome::MalformedResponse => (1.0, 0.1),
                Outcome::Overloaded
                | Outcome::Cancelled
                | Outcome::NotSent
                | Outcome::ClientError => (0.0, 0.0),
            };
            node.failing += pace * (failed - node.failing);
            if e.outcome == Outcome::Ok {
                node.oks += 1.0;
                // Guards a server that is well again against the long rests of its past.
                node.backoff = if node.failing < 0.05 && node.aside.is_none() {
                    0
                } else {
                    node.backoff
                };
                // Failures are ended by an answer to a later send.
                if node
                    .aside
                    .is_some_and(|(since, _)| sent.is_some_and(|at| at >= since))
                {
                    (node.aside, node.failing, node.backoff) = (None, 0.0, 0);
                }
            }
            // Failures of the whole zone alike are its load, not a sick server; broken connections
            // are plain.
            let usual = others.failing.value() / others.count.max(1) as f64;
            let stands_out = pace > 0.25 || node.failing - usual >= EJECT_ABOVE_PEERS && !most;
            let due = node.aside.is_none_or(|(_, until)| until <= now);
            if failed > 0.0 && node.failing >= EJECT_AT && stands_out && due {
                node.backoff = (node.backoff * 2).clamp(ASIDE.0, ASIDE.1);
                node.aside = Some((now, now + node.backoff));
                out.push(Action::Log(format!(
                    "server {:016x} set aside: it fails",
                    node.server.id.0
                )));
            }
            let class = class.filter(|_| told)?;
            // Limits are split evenly, unless reports tell how much of the server's load is this
            // agent's own.
            let held = f64::from(node.out + 1);
            if let Some(active) = e.load.and_then(|load| load.active) {
                node.mine += MINE_PACE * ((held / active.max(held)).max(1.0 / agents) - node.mine);
            }
            // Guards other zones' servers against pain that is only the way there: its time, as the
            // quickest answer tells it, is not load. Else their limits stay at the least and the
            // fleet is no way out.
            node.quickest = node.quickest.min(e.latency);
            let aim = self.settings.classes[class].latency_target as f64;
            let way = if own {
                0.0
            } else {
                (node.quickest as f64).min(WAY_MOST * aim)
            };
            let part = if e.outcome == Outcome::Ok {
                (e.latency as f64 - way) / aim
            } else {
                1.0
            };
            let hurt = ((part - PAIN_FROM) / (1.0 - PAIN_FROM)).clamp(0.0, 1.0);
            if hurt > 0.0 {
                node.limit = (node.limit - hurt * node.limit.min(1.0)).max(1.0 / agents);
                node.hurt = true;
            } else if 2.0 * out_there >= room_there {
                let up = if node.hurt {
                    LIMIT_UP / node.limit.max(1.0)
                } else {
                    LIMIT_FIRST
                };
                node.limit += (up * node.mine).min(1.0);
            }
            if e.outcome == Outcome::Overloaded {
                // Guards against black holes: who refuses at once always has room, and is sent ever
                // more.
                node.full_until = now + self.usual[class].median as Micros;
            }
            Some(class)
        });
        let Some(class) = told.flatten() else { return };
        let room = self.zone_load(own, class).1;
        if room < 1.0 {
            let took = if e.outcome == Outcome::Ok {
                e.latency as f64
            } else {
                self.usual[class].median
            };
            self.rest[usize::from(own)] =
                now + ((1.0 / room.max(1.0 / agents) - 1.0) * took) as Micros;
        }
        if e.outcome == Outcome::Ok {
            follow(&mut self.usual[class].median, e.latency, 0.5);
            follow(&mut self.usual[class].high, e.latency, 0.9);
        }
    }

    /// A server answered a probe: in use if it was set aside. Or it met nothing: it rests, longer
    /// each time. Who failed is back on probation: a probe tells that it is there, not that it
    /// serves.
    fn probed(&mut self, server: ServerId, outcome: Outcome, took: Micros, out: &mut Vec<Action>) {
        let (now, there) = (
            self.now,
            matches!(outcome, Outcome::Ok | Outcome::Overloaded),
        );
        // Guards against coming home late to a zone of which nothing is usable.
        let none = self
            .fleet
            .get(server)
            .is_some_and(|n| self.fleet.zone(n.server.zone).fit == 0);
        self.fleet.change(server, |node| {
            if !there {
                let most = if none { 2 * ASIDE.0 } else { ASIDE.1 };
                node.backoff = (node.backoff * 2).clamp(ASIDE.0, most);
                node.aside = Some((node.aside.map_or(now, |a| a.0), now + node.backoff));
            } else if node.aside.take().is_some() {
                node.failing = EJECT_AT / 2.0;
            }
        });
        self.heard(
            server,
            there || silence::gave_sign(outcome, took) == Some(true),
            out,
        );
    }

    /// A server gave a sign, or met nothing when it owed one. A silent zone is not usable until a
    /// probe finds it back; what is out where nothing is heard goes elsewhere if that is harmless
    /// and of use.
    fn heard(&mut self, server: ServerId, sign: bool, out: &mut Vec<Action>) {
        let found = self
            .silence
            .heard(&self.fleet, server, sign, self.now, &mut self.rng);
        out.extend(found.log.map(Action::Log));
        out.extend(found.ask.into_iter().map(|server| Action::Probe { server }));
        let (
            Settings {
                limits, classes, ..
            },
            silence,
        ) = (&self.settings, &self.silence);
        // Only a lack of signs looks at all requests: answers are many.
        for (&id, open) in self.open.iter().take(if sign || !limits.cancel {
            0
        } else {
            self.open.len()
        }) {
            let (class, usual) = (
                &classes[open.request.class],
                &self.usual[open.request.class],
            );
            let nothing = |a: &Attempt| a.server == server || silence.silent(a.zone);
            let useful = self.now + (usual.median as Micros) < open.aim_at;
            let stranded = open.stranded(class, limits, nothing).filter(|_| useful);
            out.extend(stranded.map(|attempt| Action::Cancel { id, attempt }));
        }
    }

    /// Lets measurements fade and cold servers have their due.
    fn beat(&mut self, out: &mut Vec<Action>) {
        let kept = |memory: f64| 1.0 - self.beat as f64 / memory;
        let (now, faded) = (self.now, (kept(LAG_MEMORY), kept(RATE_MEMORY)));
        let silence = &self.silence;
        self.fleet.look_after(|node| {
            (node.lag, node.oks) = (node.lag * faded.0, node.oks * faded.1);
            // Guards the servers' connection tables against many agents' idle ones.
            if node.out == 0
                && node
                    .idle_since
                    .is_some_and(|at| (now - at) as f64 > RATE_MEMORY)
            {
                node.idle_since = None;
                out.push(Action::CloseIdle {
                    server: node.server.id,
                });
            }
            // Guards against servers set aside for good where no class may be repeated at will: a
            // probe is the trial, and costs no request.
            let there = node.server.phase == Phase::Ready && !silence.silent(node.server.zone);
            let ready = self.settings.limits.probes && there;
            if let Some((_, until)) = node
                .aside
                .as_mut()
                .filter(|(_, until)| ready && *until <= now)
            {
                *until = now + node.backoff;
                out.push(Action::Probe {
                    server: node.server.id,
                });
            }
        });
        if self.settings.limits.probes {
            let high = self
                .usual
                .iter()
                .map(|u| u.high)
                .fold(SIGN_WITHIN * self.beat as f64, f64::min);
            let due = self
                .silence
                .due(&self.fleet, now, high as Micros, &mut self.rng);
            out.extend(due.into_iter().map(|server| Action::Probe { server }));
        }
        self.refill_cold();
        // Guards the busiest of many agents against the even part of limits, most of which the
        // others leave.
        self.fleet.scale(self.news.follow(now));
        out.extend(
            self.news
                .due(now)
                .map(|data| Action::SendToPeers { to: None, data }),
        );
    }

    /// `PreferClose`: the usable servers of the own zone; if there are none, those of the whole
    /// fleet. If health leaves none at all, health is ignored. Servers at their limit count as
    /// usable until the request has waited as long as crossing zones is worth; then the zone test
    /// passes over them (spillover).
    fn candidates(&self, open: &Open) -> Vec<ServerId> {
        let effect = self.settings.classes[open.request.class].effect;
        let free = effect == Effect::Idempotent && !self.settings.limits.probes;
        // Guards against many agents that each send a server one request at a time and bury it
        // together.
        let zones = [false, true].map(|own| {
            let (out, limit) = self.zone_load(own, open.request.class);
            out + 1.0 <= limit.max(1.0) && self.rest[usize::from(own)] <= self.now
        });
        let room =
            |n: &&Node| zones[usize::from(n.server.zone == self.settings.zone)] && self.room(n);
        for (health, again) in [(true, false), (false, false), (false, true)] {
            let fit = |own: bool| {
                // Who is set aside gets a trial, of what may repeat, once it and its zone have
                // rested; where probes are allowed, `beat` makes it.
                let trial = free && self.rest[usize::from(own)] <= self.now;
                let fits = |n: &&Node| {
                    let well = n.aside.is_none_or(|(_, until)| trial && until <= self.now);
                    (!health || well && self.answers(n, open.request.class))
                        && (again || open.attempts.iter().all(|a| a.server != n.server.id))
                        && self.allowed(open, n)
                        && !self.silence.silent(n.server.zone)
                };
                // The first test spares the look at each of a side that is set aside as a whole.
                let none = health && !trial && self.fleet.load(own).fit == 0;
                if none {
                    Vec::new()
                } else {
                    self.some(own, fits, room)
                }
            };
            let mut set = fit(true);
            if set.is_empty() || open.spill_at <= self.now && !set.iter().any(room) {
                set.extend(fit(false));
            }
            if !set.is_empty() {
                return set.into_iter().filter(room).map(|n| n.server.id).collect();
            }
        }
        Vec::new()
    }

    /// Guards rule 2: what may have run goes out again only where and while repeats are harmless.
    fn allowed(&self, open: &Open, node: &Node) -> bool {
        let effect = self.settings.classes[open.request.class].effect;
        let harmless = |a: &Attempt| match effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated {
                group: Group::Zone, ..
            } if a.zone != node.server.zone => false,
            Effect::Deduplicated {
                group: Group::Cell, ..
            } if a.cell != node.server.cell => false,
            Effect::Deduplicated { window, .. } => self.now < a.sent + window,
        };
        let alone = self.settings.limits.allow_hedging || open.outstanding() == 0;
        alone
            && open
                .attempts
                .iter()
                .filter(|a| a.may_have_run())
                .all(harmless)
    }

    /// A shuffled round: every draw credits each server its even share and takes one from the
    /// server chosen. With warm keys the key's rendezvous order chooses, among those not beyond
    /// their bound.
    fn draw(&mut self, set: Vec<ServerId>, key: Option<u64>) -> Option<ServerId> {
        let key = key.filter(|_| self.settings.key_affinity);
        let members = || set.iter().filter_map(|id| self.fleet.get(*id));
        let usual = members().map(|n| n.lag).sum::<f64>() / set.len().max(1) as f64;
        let trim = |n: &Node| (1.0 - TRIM.0 * (n.lag - usual)).clamp(TRIM.1, 1.0);
        let warm = |n: &Node| (self.warmth(n) / n.cold_chance).min(1.0);
        let size = |n: &Node| n.size(&self.settings, self.mean_size);
        let shares: Vec<(f64, f64)> = members()
            .map(|n| (size(n) * warm(n) * trim(n), size(n)))
            .collect();
        let total: f64 = shares.iter().map(|s| s.0).sum();
        let rate = if key.is_some() { 1.0 + HASH_BOUND } else { 1.0 };
        let (mut chosen, mut best) = (None, (false, f64::NEG_INFINITY));
        for (id, (weight, size)) in set.iter().zip(shares) {
            let Some(node) = self.fleet.touch(*id) else {
                continue;
            };
            node.credit = (node.credit + rate * weight / total).clamp(-CREDIT_MOST, CREDIT_MOST);
            let rank = match key.filter(|_| node.credit > 0.0) {
                Some(key) => (
                    true,
                    -size / unit(mix(key ^ mix(id.0))).max(f64::MIN_POSITIVE).ln(),
                ),
                None => (false, node.credit),
            };
            if rank > best {
                (chosen, best) = (Some(*id), rank);
            }
        }
        let _ = chosen
            .and_then(|id| self.fleet.touch(id))
            .map(|node| node.credit -= 1.0);
        self.round = self
            .round
            .wrapping_add(if chosen.is_some() { 1 } else { LOOKS });
        chosen
    }

    fn request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if request.class >= self.usual.len() || request.expires <= self.now {
            return out.push(self.refuse(id, request.class));
        }
        self.news.asked(self.now);
        let earned = BUDGET.0 + BUDGET.1 * (self.won - WON.0).max(0.0);
        self.budget = (self.budget + earned).min(BUDGET_MOST);
        // Guards rule 1: whatever happens, the request is looked at before the client gives up.
        let last = request.expires.saturating_sub(self.settings.tick);
        self.due.insert((last, id));
        let class = &self.settings.classes[request.class];
        let turn = (
            Reverse((class.value * 1000.0) as u64),
            Reverse(self.now),
            id,
        );
        // Room in the own zone is waited for as much of the aim as crossing costs of the worth.
        let spill_at =
            self.now + (self.settings.penalties.cross_zone * class.latency_target as f64) as Micros;
        let unsent_until =
            self.now + ((request.expires - self.now) as f64 * UNSENT_UNTIL) as Micros;
        self.open.insert(
            id,
            Open::new(
                request,
                turn,
                spill_at,
                self.now + class.latency_target,
                unsent_until,
                last,
            ),
        );
        self.place(id, out);
    }

    /// Sends a request somewhere and tells so, or holds it until there is room.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id) else {
            return false;
        };
        let (set, key, turn) = (self.candidates(open), open.request.key, open.turn);
        let useful_until = open
            .aim_at
            .saturating_sub(self.usual[open.request.class].median as Micros);
        let later = [open.spill_at, useful_until, open.unsent_until].map(|at| (at, id));
        if set.is_empty() && self.silence.all(&self.fleet) {
            // Guards clients against waiting where this agent itself is cut off.
            self.end(id, out);
            return true;
        }
        let Some(server) = self.draw(set, key) else {
            if self.held.insert(turn) {
                self.due.extend(later);
            }
            return false;
        };
        self.send(id, server, out);
        true
    }

    fn send(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let (now, Some(open)) = (self.now, self.open.get_mut(&id)) else {
            return;
        };
        let class = open.request.class;
        let sent = self.fleet.change(server, |node| {
            node.out += 1;
            node.cold_left -= 1.0;
            if let Some((_, until)) = node.aside.as_mut().filter(|(_, until)| *until <= now) {
                *until = now + node.backoff; // this is the trial; the next comes after another back-off
            }
            // A trial of a class it kept silent on: no longer than it takes to know, then
            // elsewhere.
            let mute = node
                .mute
                .get_mut(&class)
                .filter(|m| m.since > 0 && m.until <= now);
            let timeout = mute.map(|m| {
                m.until = now + m.backoff;
                self.settings.classes[class].latency_target
            });
            (node.server.zone, node.server.cell, timeout)
        });
        let Some((zone, cell, timeout)) = sent else {
            return;
        };
        self.silence.sent(server, zone, now);
        self.held.remove(&open.turn);
        let start_deadline = open.start_deadline(self.settings.classes[class].effect);
        open.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            outcome: None,
        });
        out.push(Action::Send {
            id,
            server,
            timeout,
            start_deadline,
        });
        if open.attempts.len() == 1 && self.settings.limits.allow_hedging {
            self.due
                .insert((now + self.usual[class].high as Micros, id));
        }
    }

    /// A request's due time came: end it, place it if it is held, or start a second attempt.
    fn progress(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done && !o.streaming) else {
            return;
        };
        // Could an answer still come within the aim?
        let useful = self.now + (self.usual[open.request.class].median as Micros) < open.aim_at;
        // Guards the client's time: what no server has seen by then is told to come back instead.
        let unseen = open
            .attempts
            .iter()
            .all(|a| a.outcome == Some(Outcome::ConnectFailed));
        let useful = useful && !(unseen && self.now >= open.unsent_until);
        let may_copy = self.settings.classes[open.request.class].effect == Effect::Idempotent
            && self.budget >= 1.0;
        match open.outstanding() {
            _ if self.now >= open.last => self.end(id, out),
            0 if useful => _ = self.place(id, out),
            0 => self.end(id, out),
            1 if useful && may_copy && open.tries_left(&self.settings.limits) => {
                let (set, key) = (self.candidates(open), open.request.key);
                if let Some(server) = self.draw(set, key) {
                    self.budget -= 1.0;
                    self.send(id, server, out);
                }
            }
            _ => {}
        }
    }

    fn settled(&mut self, e: AttemptEnded, out: &mut Vec<Action>) {
        let open = self.open.get_mut(&e.id);
        let class = open.as_ref().map(|o| o.request.class);
        let attempt = open.and_then(|o| o.attempts.get_mut(e.attempt as usize));
        let sent = attempt
            .filter(|a| a.outcome.is_none())
            .map(|a| a.end(e.outcome));
        self.note(&e, class, sent, out);
        if let Some((class, at)) = class.zip(sent) {
            let aim = self.settings.classes[class].latency_target;
            let silent = silence::hear(&mut self.fleet, (&e, class, at), (self.now, aim), ASIDE);
            out.extend(silent.map(Action::Log));
            self.silence.ended(e.server);
            let sign = silence::gave_sign(e.outcome, e.latency);
            sign.into_iter()
                .for_each(|sign| self.heard(e.server, sign, out));
            // Two in a row: guards those that may not repeat, for a dead process resets and then
            // refuses.
            let reset = e.outcome == Outcome::Reset && self.settings.limits.probes;
            let broke = reset
                && self
                    .fleet
                    .get(e.server)
                    .is_some_and(|n| n.failing > EJECT_AT / 4.0);
            out.extend(broke.then_some(Action::Probe { server: e.server }));
        }
        let Some(open) = self.open.get(&e.id) else {
            return;
        };
        if e.finished || open.done {
            if !open.done && open.outstanding() > 0 {
                // A copy that loses was a heavy request, not a slow server: guards against copying
                // those.
                self.won += 0.05 * (f64::from(e.attempt.min(1)) - self.won);
            }
            self.close(e.id, out);
        } else if open.outstanding() == 0 {
            self.after_failure(e.id, e.outcome, out);
        }
    }

    /// No attempt is out and the request is not answered: try again where that is allowed and of
    /// use.
    fn after_failure(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        // Guards against holding what may go nowhere any more: it would block those behind it.
        let somewhere = self.fleet.ready().any(|n| self.allowed(open, n));
        // Free only where the server is likely gone: guards against storms of retries among full
        // servers.
        let price = if matches!(outcome, Outcome::ConnectFailed | Outcome::Cancelled) {
            0.0
        } else {
            1.0
        };
        let hopeless =
            self.now >= open.last.min(open.aim_at) || !somewhere || outcome == Outcome::ClientError;
        if hopeless || !open.tries_left(&self.settings.limits) || self.budget < price {
            return self.end(id, out);
        }
        self.budget -= price;
        self.place(id, out);
    }

    /// The client has its answer or has left: stop what still runs, forget the request once all is
    /// settled.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let stop = self.settings.limits.cancel && !open.done && !open.streaming;
        let out_still = open
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| stop && a.outcome.is_none());
        out.extend(out_still.map(|(i, _)| Action::Cancel {
            id,
            attempt: i as u32,
        }));
        open.done = true;
        self.held.remove(&open.turn);
        if open.outstanding() == 0 {
            self.open.remove(&id);
        }
    }

    /// The final answer for a request that nothing more can be done for.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        // Guards rule 2: "try again" only where nothing can have run.
        let ran = open.attempts.iter().any(Attempt::may_have_run);
        out.push(if ran {
            Action::Fail { id }
        } else {
            self.refuse(id, open.request.class)
        });
        self.close(id, out);
    }

    /// Refuses, with a stay-away of its own for each: about as long as those held now take to be
    /// served by what is usable, or a trial away where nothing is. Spread by the request's number:
    /// guards against clients that all come back at once.
    fn refuse(&self, id: RequestId, class: ClassId) -> Action {
        let room: f64 = [true, false]
            .map(|own| self.fleet.load(own).fit_limit.value())
            .iter()
            .sum();
        let took = self.usual.get(class).map_or(0.0, |u| u.median);
        let wait = if room > 0.0 {
            took * (1.0 + self.held.len() as f64 / room)
        } else {
            ASIDE.0 as f64
        };
        let spread = 0.5 + unit(mix(self.salt ^ id));
        let most = self.settings.limits.max_retry_after;
        Action::Reject {
            id,
            retry_after: Some(((wait * spread) as Micros).min(most)),
        }
    }
}
