//! Shared setup of the tests: a driver for one balancer that feeds events, records attempts and
//! answers, and fires timers in order.

use std::collections::{BTreeMap, BTreeSet};

use ironmast_balancer::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

pub(crate) fn id(number: u64) -> ServerId {
    ServerId::from_name(&format!("10.0.0.{number}:80"))
}

/// A ready server; servers 2n and 2n + 1 share a cell.
pub(crate) fn server(number: u64, zone: ZoneId) -> Server {
    Server {
        id: id(number),
        zone,
        cell: number / 2,
        phase: Phase::Ready,
        size: 1.0,
        started: None,
    }
}

/// A server that started at the given clock reading.
pub(crate) fn started_server(number: u64, zone: ZoneId, started: Micros) -> Server {
    Server {
        started: Some(started),
        ..server(number, zone)
    }
}

pub(crate) fn removed_server(number: u64, zone: ZoneId) -> Server {
    Server {
        phase: Phase::Gone,
        ..server(number, zone)
    }
}

/// Three servers in the own zone (1 to 3) and two in another (4 and 5).
pub(crate) fn two_zones() -> Vec<Server> {
    let zones = [(1, 0), (2, 0), (3, 0), (4, 1), (5, 1)];
    zones.map(|(number, zone)| server(number, zone)).to_vec()
}

/// Whether a server is in the own zone of [`two_zones`].
pub(crate) fn is_local(server: ServerId) -> bool {
    (1..=3).any(|number| id(number) == server)
}

pub(crate) fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        latency_target: 200 * MS,
        deadline: SECOND,
        effect,
        ..ClassSettings::default()
    }
}

pub(crate) fn idempotent() -> Vec<ClassSettings> {
    vec![class(Effect::Idempotent)]
}

pub(crate) fn non_idempotent() -> Vec<ClassSettings> {
    vec![class(Effect::NonIdempotent)]
}

pub(crate) fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        zones: 2,
        zone: 0,
        ..Settings::default()
    }
}

/// One attempt that the balancer sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub at: Micros,
    pub request: RequestId,
    pub attempt: u32,
    pub server: ServerId,
}

pub(crate) struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
    pub sends: Vec<Sent>,
    pub rejected: BTreeMap<RequestId, Micros>,
    pub failed: BTreeMap<RequestId, Micros>,
    pub served: BTreeSet<RequestId>,
    pub disconnected: BTreeSet<RequestId>,
    /// Load report that accompanies every outcome.
    pub load: Option<LoadReport>,
    pub cancelled: BTreeSet<(RequestId, u32)>,
    pub subscribed: Vec<Micros>,
    timers: BTreeSet<(Micros, u64)>,
    /// Number of attempts at each request.
    attempts: BTreeMap<RequestId, u32>,
}

impl Driver {
    /// A balancer that knows no server.
    pub(crate) fn new(settings: Settings) -> Self {
        Self::seeded(settings, 1)
    }

    pub(crate) fn seeded(settings: Settings, seed: u64) -> Self {
        Driver {
            balancer: Balancer::new(settings, seed).expect("valid settings"),
            now: 1_000 * SECOND,
            actions: Vec::new(),
            sends: Vec::new(),
            rejected: BTreeMap::new(),
            failed: BTreeMap::new(),
            served: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            load: None,
            cancelled: BTreeSet::new(),
            subscribed: Vec::new(),
            timers: BTreeSet::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// A balancer that knows these servers.
    pub(crate) fn with_servers(settings: Settings, servers: Vec<Server>) -> Self {
        let mut driver = Self::new(settings);
        driver.list(Scope::Complete, servers);
        driver
    }

    /// A balancer that knows [`two_zones`].
    pub(crate) fn ready(classes: Vec<ClassSettings>) -> Self {
        Self::with_servers(settings(classes), two_zones())
    }

    /// A balancer that knows [`two_zones`], whose requests cross zones once they have waited for a fifth
    /// of the latency target.
    pub(crate) fn with_spillover(classes: Vec<ClassSettings>) -> Self {
        let mut settings = settings(classes);
        settings.penalties.cross_zone = 0.2;
        Self::with_servers(settings, two_zones())
    }

    /// A balancer that may hedge requests and has served some.
    pub(crate) fn with_hedging() -> Self {
        let mut settings = settings(idempotent());
        settings.limits.allow_hedging = true;
        let mut driver = Self::with_servers(settings, two_zones());
        driver.serve_many();
        driver
    }

    /// One of `balancers` balancers, in a zone of `servers` servers.
    pub(crate) fn one_of(
        balancers: u32,
        servers: u64,
        classes: Vec<ClassSettings>,
        seed: u64,
    ) -> Self {
        let settings = Settings {
            balancers,
            ..settings(classes)
        };
        let mut driver = Self::seeded(settings, seed);
        let servers = (0..servers).map(|number| server(number, 0)).collect();
        driver.list(Scope::Complete, servers);
        driver
    }

    pub(crate) fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.record(action);
        }
        self.actions.extend(actions);
    }

    fn record(&mut self, action: &Action) {
        match *action {
            Action::Send { id, server, .. } => {
                let attempts = self.attempts.entry(id).or_default();
                self.sends.push(Sent {
                    at: self.now,
                    request: id,
                    attempt: *attempts,
                    server,
                });
                *attempts += 1;
            }
            Action::Reject { id, .. } => _ = self.rejected.insert(id, self.now),
            Action::Fail { id } => _ = self.failed.insert(id, self.now),
            Action::Cancel { id, attempt } => _ = self.cancelled.insert((id, attempt)),
            Action::Timer { delay, token } => {
                self.timers.insert((self.now.saturating_add(delay), token));
            }
            Action::Subscribe => self.subscribed.push(self.now),
            _ => {}
        }
    }

    /// Lets time pass and fires timers that become due.
    pub(crate) fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.remove(&(at, token));
            self.now = self.now.max(at);
            self.event(Event::Timer { token });
        }
        self.now = until;
    }

    pub(crate) fn list(&mut self, scope: Scope, servers: Vec<Server>) {
        self.event(Event::Members(Listing { scope, servers }));
    }

    /// Delivers a request whose client waits for a second.
    pub(crate) fn request(&mut self, id: RequestId, class: ClassId) {
        self.arrive(id, class, None, self.now + SECOND);
    }

    pub(crate) fn request_with_key(&mut self, id: RequestId, class: ClassId, key: u64) {
        self.arrive(id, class, Some(key), self.now + SECOND);
    }

    pub(crate) fn request_until(&mut self, id: RequestId, class: ClassId, expires: Micros) {
        self.arrive(id, class, None, expires);
    }

    /// Delivers requests of class 0 at the same time.
    pub(crate) fn request_all(&mut self, ids: impl IntoIterator<Item = RequestId>) {
        for id in ids {
            self.request(id, 0);
        }
    }

    fn arrive(&mut self, id: RequestId, class: ClassId, key: Option<u64>, expires: Micros) {
        self.event(Event::Request(Request {
            id,
            class,
            tenant: None,
            key,
            work_hint: None,
            client_retry: false,
            expires,
        }));
    }

    /// Ends an attempt with an outcome.
    pub(crate) fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let is_this = |sent: &&Sent| sent.request == id && sent.attempt == attempt;
        let sent = *self
            .sends
            .iter()
            .find(is_this)
            .expect("an attempt that was sent");
        let has_ended = self.failed.contains_key(&id)
            || self.rejected.contains_key(&id)
            || self.disconnected.contains(&id);
        if outcome == Outcome::Ok && !has_ended {
            self.served.insert(id);
        }
        let finished = outcome == Outcome::Ok || has_ended || self.served.contains(&id);
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            server: sent.server,
            attempt,
            outcome,
            latency: self.now - sent.at,
            finished,
            load: self.load,
        }));
    }

    /// Ends all attempts at a request but the first with a response.
    pub(crate) fn end_retries(&mut self, id: RequestId) {
        for attempt in 1..self.attempts(id) as u32 {
            self.end_attempt(id, attempt, Outcome::Ok);
        }
    }

    /// Ends the sends from the `ended`-th on, in order, up to the first that is still in flight.
    /// `outcome` gives the outcome and latency of an attempt by its server.
    pub(crate) fn end_due(
        &mut self,
        ended: &mut usize,
        outcome: impl Fn(ServerId) -> (Outcome, Micros),
    ) {
        while let Some(sent) = self.sends.get(*ended).copied() {
            let (outcome, latency) = outcome(sent.server);
            if sent.at + latency > self.now {
                break;
            }
            *ended += 1;
            self.end_attempt(sent.request, sent.attempt, outcome);
        }
    }

    /// Disconnects the client of a request.
    pub(crate) fn disconnect(&mut self, id: RequestId) {
        self.disconnected.insert(id);
        self.event(Event::ClientDisconnected { id });
    }

    /// Delivers a request and serves it after `latency`; returns its server.
    pub(crate) fn serve(&mut self, id: RequestId, class: ClassId, latency: Micros) -> ServerId {
        self.request(id, class);
        let server = self.last_server(id);
        self.pass(latency);
        self.end_attempt(id, 0, Outcome::Ok);
        server
    }

    /// Serves requests of class 0 one after the other; returns how many were sent to the server.
    pub(crate) fn count_served_by(
        &mut self,
        server: ServerId,
        ids: std::ops::Range<RequestId>,
        latency: Micros,
    ) -> usize {
        let servers = ids.map(|id| self.serve(id, 0, latency));
        servers.filter(|served_by| *served_by == server).count()
    }

    /// Serves 60 requests in 10 ms each, so that latency estimates settle.
    pub(crate) fn serve_many(&mut self) {
        for number in 0..60 {
            self.serve(1_000_000 + number, 0, 10 * MS);
        }
    }

    pub(crate) fn last_server(&self, id: RequestId) -> ServerId {
        let mut sends = self.sends.iter().rev();
        let sent = sends.find(|sent| sent.request == id);
        sent.expect("the request was sent").server
    }

    /// The number of attempts at a request.
    pub(crate) fn attempts(&self, id: RequestId) -> usize {
        self.attempts.get(&id).map_or(0, |count| *count as usize)
    }

    /// Whether the request has one attempt and no final answer.
    pub(crate) fn is_waiting_for_first(&self, id: RequestId) -> bool {
        self.attempts(id) == 1 && !self.is_answered(id)
    }

    /// Whether the request has its final answer.
    pub(crate) fn is_answered(&self, id: RequestId) -> bool {
        self.served.contains(&id)
            || self.rejected.contains_key(&id)
            || self.failed.contains_key(&id)
    }

    /// The number of equal actions so far.
    pub(crate) fn count_actions(&self, action: &Action) -> usize {
        self.actions.iter().filter(|other| *other == action).count()
    }
}
