//! The set-up of the tests: a driver for one balancer, which feeds events, keeps what was sent and
//! answered, and fires timers in order.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use ironmast_balancer::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

pub(crate) fn id(n: u64) -> ServerId {
    ServerId::from_name(&format!("10.0.0.{n}:80"))
}

pub(crate) fn server(n: u64, zone: ZoneId) -> Server {
    Server {
        id: id(n),
        zone,
        cell: n / 2,
        phase: Phase::Ready,
        size: 1.0,
        started: None,
    }
}

pub(crate) fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        latency_target: 200 * MS,
        deadline: SECOND,
        effect,
        ..ClassSettings::default()
    }
}

pub(crate) fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        zones: 2,
        zone: 0,
        ..Settings::default()
    }
}

pub(crate) struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
    /// Every send: when, request, attempt, server.
    pub sends: Vec<(Micros, RequestId, u32, ServerId)>,
    pub refused: BTreeMap<RequestId, Micros>,
    pub failed: BTreeMap<RequestId, Micros>,
    pub served: BTreeSet<RequestId>,
    pub left: BTreeSet<RequestId>,
    /// The report that comes with every outcome.
    pub load: Option<LoadReport>,
    pub cancelled: BTreeSet<(RequestId, u32)>,
    pub subscribed: Vec<Micros>,
    timers: BTreeSet<(Micros, u64)>,
    tries: BTreeMap<RequestId, u32>,
}

impl Driver {
    pub(crate) fn new(settings: Settings) -> Self {
        Self::seeded(settings, 1)
    }

    pub(crate) fn seeded(settings: Settings, seed: u64) -> Self {
        Driver {
            balancer: Balancer::new(settings, seed).expect("sound settings"),
            now: 1_000 * SECOND,
            actions: Vec::new(),
            sends: Vec::new(),
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            served: BTreeSet::new(),
            left: BTreeSet::new(),
            load: None,
            cancelled: BTreeSet::new(),
            subscribed: Vec::new(),
            timers: BTreeSet::new(),
            tries: BTreeMap::new(),
        }
    }

    pub(crate) fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            match *action {
                Action::Send { id, server, .. } => {
                    let tries = self.tries.entry(id).or_default();
                    self.sends.push((self.now, id, *tries, server));
                    *tries += 1;
                }
                Action::Reject { id, .. } => drop(self.refused.insert(id, self.now)),
                Action::Fail { id } => drop(self.failed.insert(id, self.now)),
                Action::Cancel { id, attempt } => drop(self.cancelled.insert((id, attempt))),
                Action::Timer { delay, token } => {
                    self.timers.insert((self.now.saturating_add(delay), token));
                }
                Action::Subscribe => self.subscribed.push(self.now),
                _ => {}
            }
        }
        self.actions.extend(out);
    }

    /// Lets time pass, firing timers as they fall due.
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

    pub(crate) fn request(&mut self, id: RequestId, class: ClassId) {
        self.keyed(id, class, None);
    }

    pub(crate) fn keyed(&mut self, id: RequestId, class: ClassId, key: Option<u64>) {
        self.ask(id, class, key, self.now + SECOND);
    }

    pub(crate) fn request_until(&mut self, id: RequestId, class: ClassId, expires: Micros) {
        self.ask(id, class, None, expires);
    }

    fn ask(&mut self, id: RequestId, class: ClassId, key: Option<u64>, expires: Micros) {
        let (tenant, work_hint, client_retry) = (None, None, false);
        self.event(Event::Request(Request {
            id,
            class,
            tenant,
            key,
            work_hint,
            client_retry,
            expires,
        }));
    }

    pub(crate) fn settle(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let &(sent, _, _, server) = self
            .sends
            .iter()
            .find(|s| s.1 == id && s.2 == attempt)
            .expect("an attempt that was sent");
        let latency = self.now - sent;
        let ended = self.failed.contains_key(&id)
            || self.refused.contains_key(&id)
            || self.left.contains(&id);
        let finished = outcome == Outcome::Ok || ended || self.served.contains(&id);
        if outcome == Outcome::Ok && !ended {
            self.served.insert(id);
        }
        let load = self.load;
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            server,
            attempt,
            outcome,
            latency,
            finished,
            load,
        }));
    }

    pub(crate) fn hang_up(&mut self, id: RequestId) {
        self.left.insert(id);
        self.event(Event::ClientDisconnected { id });
    }

    /// Sends a request and has it answered after a while; tells which server had it.
    pub(crate) fn serve(&mut self, id: RequestId, class: ClassId, latency: Micros) -> ServerId {
        self.request(id, class);
        let server = self.last_server(id);
        self.pass(latency);
        self.settle(id, 0, Outcome::Ok);
        server
    }

    pub(crate) fn last_server(&self, id: RequestId) -> ServerId {
        self.sends
            .iter()
            .rev()
            .find(|s| s.1 == id)
            .expect("the request was sent")
            .3
    }

    pub(crate) fn attempts(&self, id: RequestId) -> usize {
        self.sends.iter().filter(|s| s.1 == id).count()
    }

    pub(crate) fn answered(&self, id: RequestId) -> bool {
        self.served.contains(&id) || self.refused.contains_key(&id) || self.failed.contains_key(&id)
    }
}
