//! Policies: the decision module and the references that it is held against, behind one interface.
//!
//! A policy hears [`Event`]s and answers with [`Action`]s, as the module does. The references are
//! honest: each keeps the four rules on its own. Only the ceiling looks at the true state of the
//! servers.

use std::collections::BTreeMap;

use ironmast_balancer::{
    Action, Balancer, Effect, Event, Group, Micros, Outcome, Phase, Request, RequestId, Scope,
    Server, ServerId, Settings,
};

use crate::random::{Purpose, Stream, hash_parts, unit_interval};
use crate::server::Estimate;

/// The true state of the servers, for the ceiling alone.
pub trait GroundTruth {
    /// How long a request of this class and work (core-microseconds) would wait and take if it were
    /// sent to the server now from this zone. [`Estimate::NEVER`] if it would not be answered, or
    /// would overload the server.
    fn estimate_response(&self, server: ServerId, zone: usize, class: usize, work: f64)
    -> Estimate;
}

/// Decides for one proxy.
pub trait Policy {
    /// Takes one event at a clock reading and appends what is to be done.
    fn handle(&mut self, now: Micros, event: Event, truth: &dyn GroundTruth, out: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Micros, event: Event, _: &dyn GroundTruth, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// The policies by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The decision module.
    Module,
    /// Any server, by chance.
    Random,
    /// All servers in turn.
    RoundRobin,
    /// Those of the own zone in turn; all, where it has none.
    ZoneRoundRobin,
    /// Of two drawn by chance, the one with fewer own requests in hand.
    TwoChoices,
    /// Of all, the one with the fewest own requests in hand.
    LeastRequests,
    /// In turn, by the sizes that the list tells.
    WeightedRoundRobin,
    /// Whoever will truly answer first; what cannot be answered in time is refused at once.
    Oracle,
}

impl PolicyName {
    /// All of them, the module first.
    pub const ALL: [PolicyName; 8] = [
        PolicyName::Module,
        PolicyName::Random,
        PolicyName::RoundRobin,
        PolicyName::ZoneRoundRobin,
        PolicyName::TwoChoices,
        PolicyName::LeastRequests,
        PolicyName::WeightedRoundRobin,
        PolicyName::Oracle,
    ];

    /// Its name on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Module => "module",
            PolicyName::Random => "random",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::ZoneRoundRobin => "zone-round-robin",
            PolicyName::TwoChoices => "two-choices",
            PolicyName::LeastRequests => "least",
            PolicyName::WeightedRoundRobin => "weighted",
            PolicyName::Oracle => "ceiling",
        }
    }

    /// An instance of the policy.
    ///
    /// # Panics
    /// If the decision module rejects the settings, which those of a checked scenario never are.
    #[must_use]
    pub fn build(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyName::Module => Box::new(
                Balancer::new(settings, seed).expect("settings made from a checked scenario"),
            ),
            rule => Box::new(Reference::new(rule, settings, seed)),
        }
    }
}

impl std::str::FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names = || PolicyName::ALL.map(PolicyName::name).join(", ");
        let found = PolicyName::ALL.into_iter().find(|p| p.name() == text);
        found.ok_or_else(|| format!("`{text}` is not a policy, expected one of {}", names()))
    }
}

/// In the first half of a cold server's time proxies take turns with it, each turn so long and for
/// one request.
const COLD_TURN: Micros = 250_000;
/// In the second half so many proxies at a time may send to it, one request out each and so far
/// apart.
const COLD_TOGETHER: u64 = 3;
const COLD_GAP: Micros = 50_000;
/// How often, at most, what found no server is looked at again.
const LOOK_AGAIN: Micros = 5_000;
/// Discovery is asked again after this where a call failed.
const ASK_AGAIN: Micros = 500_000;

struct Sent {
    server: ServerId,
    zone: usize,
    at: Micros,
    outcome: Option<Outcome>,
}

struct Open {
    request: Request,
    sent: Vec<Sent>,
    over: bool,
}

struct Known {
    server: Server,
    out: u64,
    credit: f64,
    sent_at: Micros,
}

/// A textbook rule with the least that honesty asks for: retries where the class permits, an answer
/// in time, drains kept, cold servers spared. It neither judges health nor limits load.
struct Reference {
    rule: PolicyName,
    settings: Settings,
    random: Stream,
    servers: BTreeMap<ServerId, Known>,
    /// Those that take requests, in the order of their ids, and the own zone's among them.
    ready: Vec<ServerId>,
    near: Vec<ServerId>,
    turn: usize,
    open: BTreeMap<RequestId, Open>,
    waiting: Vec<RequestId>,
    /// A timer with the token [`LOOK`] is pending.
    looking: bool,
    subscribed: bool,
    /// What requests earn for their work, of late (ceiling).
    earns: f64,
}

/// The ceiling sends what would be answered within this part of its aim, and how fast it learns
/// what requests earn for their work.
const CEILING_MARGIN: f64 = 0.9;
const CEILING_PACE: f64 = 0.01;
const LOOK: u64 = u64::MAX;
const ASK: u64 = u64::MAX - 1;

impl Reference {
    fn new(rule: PolicyName, settings: Settings, seed: u64) -> Self {
        let random = Stream::new(seed, Purpose::Policy, 0);
        Reference {
            rule,
            settings,
            random,
            servers: BTreeMap::new(),
            ready: Vec::new(),
            near: Vec::new(),
            turn: 0,
            open: BTreeMap::new(),
            waiting: Vec::new(),
            looking: false,
            subscribed: false,
            earns: 0.0,
        }
    }

    fn members(&mut self, listing: ironmast_balancer::Listing, out: &mut Vec<Action>) {
        if listing.scope == Scope::Failed {
            return out.push(Action::Timer {
                delay: ASK_AGAIN,
                token: ASK,
            });
        }
        if listing.scope != Scope::Changes {
            let listed: Vec<ServerId> = listing.servers.iter().map(|s| s.id).collect();
            let listed: std::collections::BTreeSet<ServerId> = listed.into_iter().collect();
            self.servers.retain(|id, _| listed.contains(id));
        }
        for server in listing.servers {
            if server.phase == Phase::Gone {
                self.servers.remove(&server.id);
            } else {
                let known = self.servers.entry(server.id).or_insert_with(|| Known {
                    server: server.clone(),
                    out: 0,
                    credit: 0.0,
                    sent_at: 0,
                });
                known.server = server;
            }
        }
        let ready = self
            .servers
            .values()
            .filter(|k| k.server.phase == Phase::Ready);
        self.ready = ready.clone().map(|k| k.server.id).collect();
        let zone = self.settings.zone;
        self.near = ready
            .filter(|k| k.server.zone == zone)
            .map(|k| k.server.id)
            .collect();
    }

    /// Guards rule 4: proxies take turns with a cold server.
    fn spare(&self, now: Micros, known: &Known) -> bool {
        let cold = self.settings.safety.warm_up;
        let Some(age) = known
            .server
            .started
            .map(|at| now.saturating_sub(at))
            .filter(|age| *age < cold)
        else {
            return false;
        };
        let _ = age;
        let age = known
            .server
            .started
            .map_or(cold, |at| now.saturating_sub(at));
        let n = u64::from(self.settings.balancers);
        let turn = now / COLD_TURN;
        let rank = hash_parts([known.server.id.0, turn, 1, 1])
            .wrapping_add(u64::from(self.settings.balancer_index))
            % n;
        if age < cold / 2 {
            rank > 0 || known.sent_at / COLD_TURN == turn
        } else {
            rank >= COLD_TOGETHER || known.out > 0 || now < known.sent_at + COLD_GAP
        }
    }

    fn may_go(&self, now: Micros, open: &Open, known: &Known) -> bool {
        let class = &self.settings.classes[open.request.class];
        let harmless = |s: &Sent| match class.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { group, window } => {
                now < s.at + window && (group == Group::All || s.zone == known.server.zone)
            }
        };
        let ran = |s: &&Sent| s.outcome.is_none_or(|o| !o.never_ran());
        known.server.phase == Phase::Ready
            && !self.spare(now, known)
            && open.sent.iter().filter(ran).all(harmless)
            && open.sent.iter().all(|s| s.server != known.server.id)
    }

    fn choose(&mut self, now: Micros, id: RequestId, truth: &dyn GroundTruth) -> Option<ServerId> {
        let near = self.rule == PolicyName::ZoneRoundRobin && !self.near.is_empty();
        let count = if near {
            self.near.len()
        } else {
            self.ready.len()
        };
        if count == 0 {
            return None;
        }
        let (a, b) = match self.rule {
            PolicyName::RoundRobin | PolicyName::ZoneRoundRobin => {
                self.turn += 1;
                (self.turn + self.settings.balancer_index as usize, 0)
            }
            _ => (self.random.below(count), self.random.below(count)),
        };
        let open = self.open.get(&id)?;
        let fits = |id: &ServerId| {
            self.servers
                .get(id)
                .is_some_and(|k| self.may_go(now, open, k))
        };
        let set = if near { &self.near } else { &self.ready };
        let out = |id: &ServerId| self.servers[id].out;
        // Where a draw does not fit (cold, or tried before), the next ones after it are looked at.
        let from = |start: usize| {
            (0..count)
                .map(move |i| set[(start + i) % count])
                .find(|id| fits(id))
        };
        match self.rule {
            PolicyName::Random | PolicyName::RoundRobin | PolicyName::ZoneRoundRobin => from(a),
            PolicyName::TwoChoices => {
                let (a, b) = (from(a)?, from(b)?);
                Some(if out(&b) < out(&a) { b } else { a })
            }
            PolicyName::LeastRequests => {
                let turned = (0..count).map(|i| set[(a + i) % count]);
                turned.filter(|id| fits(id)).min_by_key(out)
            }
            PolicyName::WeightedRoundRobin => {
                let fit: Vec<ServerId> = set.iter().copied().filter(|id| fits(id)).collect();
                let total: f64 = fit.iter().map(|id| self.servers[id].server.size).sum();
                let mut best = None;
                for id in fit {
                    let known = self.servers.get_mut(&id)?;
                    known.credit += known.server.size / total;
                    if best.is_none_or(|(_, credit)| known.credit > credit) {
                        best = Some((id, known.credit));
                    }
                }
                let (id, _) = best?;
                self.servers.get_mut(&id)?.credit -= 1.0;
                Some(id)
            }
            _ => {
                let zone = self.settings.zone;
                let work = open.request.work_hint.unwrap_or(0) as f64;
                let all = set.iter().copied().filter(|id| fits(id));
                let class = open.request.class;
                let timed = all.map(|id| (truth.estimate_response(id, zone, class, work), id));
                let (Estimate { wait, total }, id) =
                    timed.min_by(|(a, _), (b, _)| a.total.total_cmp(&b.total))?;
                let class = &self.settings.classes[class];
                // Where not all can be served, what earns little for its work goes first.
                let earns = class.value / work.max(1.0);
                let patience = if self.earns > 0.0 {
                    (earns / self.earns).clamp(0.1, 1.0)
                } else {
                    1.0
                };
                self.earns += CEILING_PACE * (earns - self.earns);
                let most = CEILING_MARGIN * class.latency_target as f64;
                (total <= most && wait <= most * patience).then_some(id)
            }
        }
    }

    fn place(
        &mut self,
        now: Micros,
        id: RequestId,
        truth: &dyn GroundTruth,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.choose(now, id, truth) else {
            if self.rule == PolicyName::Oracle {
                return self.end(id, out);
            }
            self.waiting.push(id);
            if !std::mem::replace(&mut self.looking, true) {
                out.push(Action::Timer {
                    delay: LOOK_AGAIN,
                    token: LOOK,
                });
            }
            return;
        };
        let (Some(open), Some(known)) = (self.open.get_mut(&id), self.servers.get_mut(&server))
        else {
            return;
        };
        known.out += 1;
        known.sent_at = now;
        open.sent.push(Sent {
            server,
            zone: known.server.zone,
            at: now,
            outcome: None,
        });
        out.push(Action::Send {
            id,
            server,
            timeout: None,
            start_deadline: None,
        });
    }

    /// Gives up: refused where nothing can have run, else failed.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.over) else {
            return;
        };
        open.over = true;
        let ran = open
            .sent
            .iter()
            .any(|s| s.outcome.is_none_or(|o| !o.never_ran()));
        let spread = Some((200_000.0 * (0.5 + unit_interval(hash_parts([id, 2, 3, 4])))) as Micros);
        out.push(if ran {
            Action::Fail { id }
        } else {
            Action::Reject {
                id,
                retry_after: spread,
            }
        });
        self.stop(id, out);
    }

    fn stop(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.over = true;
        let still = |s: &(usize, &Sent)| s.1.outcome.is_none();
        let cancel = self.settings.limits.cancel;
        for (attempt, _) in open.sent.iter().enumerate().filter(still) {
            out.extend(cancel.then_some(Action::Cancel {
                id,
                attempt: attempt as u32,
            }));
        }
        if open.sent.iter().all(|s| s.outcome.is_some()) {
            self.open.remove(&id);
        }
    }
}

impl Policy for Reference {
    fn handle(
        &mut self,
        now: Micros,
        event: Event,
        truth: &dyn GroundTruth,
        out: &mut Vec<Action>,
    ) {
        if !std::mem::replace(&mut self.subscribed, true) {
            out.push(Action::Subscribe);
        }
        match event {
            Event::Members(listing) => self.members(listing, out),
            Event::Request(request) => {
                let id = request.id;
                let last = request
                    .expires
                    .saturating_sub(self.settings.tick)
                    .saturating_sub(now);
                out.push(Action::Timer {
                    delay: last,
                    token: id,
                });
                self.open.insert(
                    id,
                    Open {
                        request,
                        sent: Vec::new(),
                        over: false,
                    },
                );
                self.place(now, id, truth, out);
            }
            Event::AttemptEnded(settled) => {
                if let Some(known) = self.servers.get_mut(&settled.server) {
                    known.out = known.out.saturating_sub(1);
                }
                let Some(open) = self.open.get_mut(&settled.id) else {
                    return;
                };
                if let Some(sent) = open.sent.get_mut(settled.attempt as usize) {
                    sent.outcome = Some(settled.outcome);
                }
                let tries = open.sent.len() < self.settings.limits.max_attempts as usize;
                if settled.finished || open.over {
                    self.stop(settled.id, out);
                } else if open.sent.iter().all(|s| s.outcome.is_some()) {
                    let harmless = match self.settings.classes[open.request.class].effect {
                        Effect::NonIdempotent => settled.outcome.never_ran(),
                        _ => true,
                    };
                    if tries && harmless {
                        self.place(now, settled.id, truth, out);
                    } else {
                        self.end(settled.id, out);
                    }
                }
            }
            Event::ClientDisconnected { id } => self.stop(id, out),
            Event::Timer { token: LOOK } => {
                self.looking = false;
                for id in std::mem::take(&mut self.waiting) {
                    if self.open.get(&id).is_some_and(|o| !o.over) {
                        self.place(now, id, truth, out);
                    }
                }
            }
            Event::Timer { token: ASK } => out.push(Action::Subscribe),
            Event::Timer { token } => self.end(token, out),
            Event::ResponseStarted { .. }
            | Event::RequestComplete { .. }
            | Event::ProbeEnded { .. }
            | Event::PeerMessage { .. } => {}
        }
    }
}
