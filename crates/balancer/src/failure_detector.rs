//! The failure detector: zones that are unreachable, and classes that a server does not answer. No
//! I/O, and nothing here decides about a request: `balance` reports what is sent and received, and
//! asks whom to probe and which zone is unreachable.
//!
//! Unreachable is not slow. A slow zone still gives signs of life: a late response, a rejection, an
//! error, the answer to a probe, which is given beside a server's queue. A zone that is partitioned
//! off or has failed gives none. So a zone with responses pending from which nothing arrives for
//! longer than usual is probed: one server, then two more. It is unreachable when a few of its
//! servers ([`WITNESSES`]; all, where it has fewer) leave probes unanswered and no sign of any of its
//! servers arrives in between; one sign ends it. The scheme is SWIM's direct probe (Das, Gupta and
//! Motivala 2002) with several witnesses for a zone. Why there is no accrual over the gaps between
//! responses (Hayashibara et al. 2004), and no probe for each late response:
//! `docs/design/silence.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{AttemptEnded, ClassId, Micros, Outcome, ServerId, ZoneId};
use crate::fleet::Fleet;
use crate::node::{ClassEjection, Node};
use crate::rng::Rng;

/// Unreachable servers in a row that make their zone unreachable: at first, and while it has
/// recovered recently.
const WITNESSES: (usize, usize) = (3, 2);
/// A zone has recovered recently for this long after its first sign of life.
const RECENT_RECOVERY: Micros = 15_000_000;
/// First and longest interval between probes of the own zone while it is unreachable. The balancers
/// of a tier, which find it unreachable at once, spread over half of it.
const TRIAL_INTERVALS: (Micros, Micros) = (300_000, 600_000);
/// Other zones, which are rarely needed, are probed less often by this factor.
const REMOTE_TRIAL_FACTOR: Micros = 8;
/// A zone with a single response pending is probed after this many times the usual latency; with
/// more pending, after once that.
const SINGLE_ATTEMPT_FACTOR: Micros = 2;
/// If a probe is unanswered, the other witnesses are probed after the first of these, and all again
/// after the second.
const PROBE_RETRY_DELAYS: (Micros, Micros) = (60_000, 1_000_000);
/// A connection that fails later than this was never answered: the refusal by a host whose process
/// has ended takes one round trip.
const CONNECT_REFUSED_TIME: Micros = 100_000;
/// Smoothing factor of a server's rate of unanswered attempts for a class.
const CLASS_EJECTION_SMOOTHING: f64 = 0.25;
/// The rate at which a server is ejected for the class.
const CLASS_EJECTION_THRESHOLD: f64 = 0.5;
/// How far it must exceed the other servers' rate.
const CLASS_EJECTION_MARGIN: f64 = 0.25;

/// What follows from a sign of life, or its lack: a line for the log, and whom to probe.
#[derive(Debug, Default)]
pub(crate) struct Finding {
    pub log: Option<String>,
    pub probe: Vec<ServerId>,
}

/// What follows from one more unanswered probe or connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    /// Nothing new.
    Nothing,
    /// The server is unreachable; this many others of its zone are to be probed, to find out whether
    /// the zone is.
    Server(usize),
    /// With this server its whole zone is unreachable.
    Zone,
}

/// A server with responses pending.
struct PendingServer {
    zone: ZoneId,
    /// Attempts in flight, and since when nothing has arrived.
    in_flight: u32,
    since: Micros,
}

#[derive(Default)]
struct Zone {
    /// Its last sign of life; the servers probed since then, and when the first was.
    last_sign: Micros,
    probed: Vec<ServerId>,
    probed_at: Micros,
    /// Servers found unreachable since the last sign of any server here.
    unreachable: BTreeSet<ServerId>,
    /// While unreachable: when it is probed next, and the interval.
    next_probe: Option<(Micros, Micros)>,
    /// Its first sign of life after it was unreachable.
    recovered_at: Option<Micros>,
}

/// When servers and zones last gave a sign of life.
#[derive(Default)]
pub(crate) struct FailureDetector {
    pending: BTreeMap<ServerId, PendingServer>,
    zones: Vec<Zone>,
}

impl FailureDetector {
    fn zone(&mut self, zone: ZoneId) -> &mut Zone {
        if zone >= self.zones.len() {
            self.zones.resize_with(zone + 1, Zone::default);
        }
        &mut self.zones[zone]
    }

    /// Records that an attempt was sent.
    pub(crate) fn sent(&mut self, server: ServerId, zone: ZoneId, now: Micros) {
        self.zone(zone);
        let pending = self.pending.entry(server).or_insert(PendingServer {
            zone,
            in_flight: 0,
            since: now,
        });
        if pending.in_flight == 0 {
            pending.since = now;
        }
        pending.in_flight += 1;
    }

    /// Records that an attempt ended, however it did.
    pub(crate) fn ended(&mut self, server: ServerId) {
        if let Some(pending) = self.pending.get_mut(&server) {
            pending.in_flight = pending.in_flight.saturating_sub(1);
            if pending.in_flight == 0 {
                self.pending.remove(&server);
            }
        }
    }

    /// Records that a server gave a sign of life, or that none arrived when one was due.
    pub(crate) fn heard(
        &mut self,
        fleet: &Fleet,
        server: ServerId,
        sign: bool,
        now: Micros,
        rng: &mut Rng,
    ) -> Finding {
        let Some(zone) = fleet.get(server).map(|node| node.server.zone) else {
            return Finding::default();
        };
        if sign {
            let back = self.sign(server, zone, now);
            let log = back.then(|| format!("zone {zone} gives signs again"));
            return Finding {
                log,
                probe: Vec::new(),
            };
        }
        let ready = fleet.zone(zone).ready();
        match self.unanswered(server, (zone, fleet.own() == zone), ready, now, rng.unit()) {
            Verdict::Nothing => Finding::default(),
            Verdict::Zone => {
                let log = Some(format!(
                    "zone {zone} is silent: no server there gives a sign"
                ));
                Finding {
                    log,
                    probe: Vec::new(),
                }
            }
            Verdict::Server(count) => {
                let other = |n: &&Node| n.server.id != server && n.ejected.is_none();
                let skip = (rng.unit() * ready.saturating_sub(count + 1) as f64) as usize;
                let others = here(fleet, zone).filter(other).skip(skip).take(count);
                Finding {
                    log: None,
                    probe: others.map(|node| node.server.id).collect(),
                }
            }
        }
    }

    /// Whom to probe now: servers of zones from which nothing has arrived for longer than `usual`, and
    /// one of each unreachable zone whose next probe is due.
    pub(crate) fn due(
        &mut self,
        fleet: &Fleet,
        now: Micros,
        usual: Micros,
        rng: &mut Rng,
    ) -> Vec<ServerId> {
        let mut due = self.suspects(now, usual, fleet.own());
        for zone in self.trials(now) {
            let nth = (rng.unit() * fleet.zone(zone).ready() as f64) as usize;
            due.extend(here(fleet, zone).nth(nth).map(|node| node.server.id));
        }
        due
    }

    /// The server gave a sign of life; returns whether its zone was unreachable until now.
    fn sign(&mut self, server: ServerId, zone: ZoneId, now: Micros) -> bool {
        if let Some(pending) = self.pending.get_mut(&server) {
            pending.since = now;
        }
        let zone = self.zone(zone);
        zone.last_sign = now;
        zone.probed.clear();
        zone.unreachable.clear();
        let ends = zone.next_probe.take().is_some();
        if ends {
            zone.recovered_at = Some(now);
        }
        ends
    }

    /// Whom to probe: of each zone with responses pending from which nothing has arrived for longer
    /// than `usual` (for [`SINGLE_ATTEMPT_FACTOR`] times as long where one is pending), the servers
    /// with the oldest: one, then the other witnesses. Zones other than the `own` are probed only
    /// with enough pending for all witnesses: guards against a probe for each late response of
    /// another zone.
    fn suspects(&mut self, now: Micros, usual: Micros, own: ZoneId) -> Vec<ServerId> {
        let mut due = Vec::new();
        for (id, zone) in self
            .zones
            .iter_mut()
            .enumerate()
            .filter(|(_, state)| state.next_probe.is_none())
        {
            let mut pending: Vec<(Micros, ServerId)> = self
                .pending
                .iter()
                .filter(|(_, pending)| pending.zone == id)
                .map(|(server, pending)| (pending.since, *server))
                .collect();
            pending.sort_unstable();
            let Some(&(first, _)) = pending.first() else {
                continue;
            };
            let in_flight: u32 = self
                .pending
                .values()
                .filter(|pending| pending.zone == id)
                .map(|pending| pending.in_flight)
                .sum();
            if id != own && in_flight < WITNESSES.0 as u32 {
                continue;
            }
            let is_single = in_flight == 1;
            let timeout = if is_single {
                usual * SINGLE_ATTEMPT_FACTOR
            } else {
                usual
            };
            if now < first.max(zone.last_sign) + timeout {
                continue;
            }
            let (more, again) = (
                zone.probed_at + PROBE_RETRY_DELAYS.0,
                zone.probed_at + PROBE_RETRY_DELAYS.1,
            );
            if !zone.probed.is_empty() && now >= again {
                zone.probed.clear();
            }
            let wanted = match zone.probed.len() {
                0 => 1,
                1 if now >= more => WITNESSES.0 - 1,
                _ => continue,
            };
            if zone.probed.is_empty() {
                zone.probed_at = now;
            }
            let others = pending
                .iter()
                .map(|pending| pending.1)
                .filter(|o| !zone.probed.contains(o));
            let ask: Vec<ServerId> = others.take(wanted).collect();
            zone.probed.extend(&ask);
            due.extend(ask);
        }
        due
    }

    /// A probe of a server, or a connection to it, was not answered in time; `size` servers are in its
    /// zone. `draw` in [0, 1) spreads the next probes.
    fn unanswered(
        &mut self,
        server: ServerId,
        (zone, own): (ZoneId, bool),
        size: usize,
        now: Micros,
        draw: f64,
    ) -> Verdict {
        let zone = self.zone(zone);
        if zone.next_probe.is_some() || !zone.unreachable.insert(server) {
            return Verdict::Nothing;
        }
        // A zone that flaps is found unreachable sooner each time, not later.
        let of_late = zone
            .recovered_at
            .is_some_and(|at| now < at + RECENT_RECOVERY);
        let needed = if of_late { WITNESSES.1 } else { WITNESSES.0 }.min(size.max(1));
        if zone.unreachable.len() < needed {
            let asked = zone
                .probed
                .iter()
                .filter(|id| !zone.unreachable.contains(id))
                .count();
            let more = needed.saturating_sub(zone.unreachable.len() + asked);
            return Verdict::Server(if zone.unreachable.len() == 1 { more } else { 0 });
        }
        let wait = if own {
            TRIAL_INTERVALS.0
        } else {
            TRIAL_INTERVALS.0 * REMOTE_TRIAL_FACTOR
        };
        zone.next_probe = Some((now + (wait as f64 * (0.5 + draw / 2.0)) as Micros, wait));
        Verdict::Zone
    }

    /// Whether the whole zone is unreachable.
    pub(crate) fn is_unreachable(&self, zone: ZoneId) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|state| state.next_probe.is_some())
    }

    /// Whether every zone with ready servers is unreachable: then this balancer itself is partitioned
    /// off.
    pub(crate) fn is_isolated(&self, fleet: &Fleet) -> bool {
        let any = self.zones.iter().any(|state| state.next_probe.is_some());
        any && fleet
            .ready()
            .all(|node| self.is_unreachable(node.server.zone))
    }

    /// The unreachable zones whose next probe is due: one probe each.
    fn trials(&mut self, now: Micros) -> Vec<ZoneId> {
        let mut due = Vec::new();
        for (id, zone) in self.zones.iter_mut().enumerate() {
            if let Some((at, wait)) = zone.next_probe.as_mut().filter(|(at, _)| *at <= now) {
                *wait = (*wait * 3 / 2).min(if *wait > TRIAL_INTERVALS.1 {
                    TRIAL_INTERVALS.1 * REMOTE_TRIAL_FACTOR
                } else {
                    TRIAL_INTERVALS.1
                });
                *at = now + *wait;
                due.push(id);
            }
        }
        due
    }
}

/// The ready servers of a zone.
fn here(fleet: &Fleet, zone: ZoneId) -> impl Iterator<Item = &Node> {
    fleet.ready().filter(move |node| node.server.zone == zone)
}

/// Whether the end of an attempt is a sign of life of its server; `None` where it says nothing either
/// way.
pub(crate) fn sign_of(outcome: Outcome, latency: Micros) -> Option<bool> {
    match outcome {
        Outcome::Ok
        | Outcome::ServerError
        | Outcome::Overloaded
        | Outcome::MalformedResponse
        | Outcome::ClientError => Some(true),
        Outcome::ConnectFailed => Some(latency < CONNECT_REFUSED_TIME),
        Outcome::Reset | Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => None,
    }
}

/// Judges by the end of an attempt sent at `at` whether its server answers a class. Guards classes
/// against servers that fail to answer them alone: responses to other classes hide that, and clients
/// disconnect before such an attempt times out. `ejection_time` is the first and the longest time for
/// which the server is ejected for the class; returns a line for the log where it is from now on.
pub(crate) fn judge_class(
    fleet: &mut Fleet,
    (ended, class, at): (&AttemptEnded, ClassId, Micros),
    (now, target): (Micros, Micros),
    ejection_time: (Micros, Micros),
) -> Option<String> {
    let silent = match ended.outcome {
        Outcome::Ok => false,
        Outcome::Cancelled | Outcome::Timeout if now - at >= target => true,
        _ => return None,
    };
    let node = fleet.get(ended.server).filter(|n| at >= n.since)?;
    let known = node.class_ejections.get(&class);
    if at < known.map_or(0, |m| m.since) || known.is_none() && !silent {
        return None; // sent before the ejection, or the class has no failure
    }
    let usual = fleet
        .class_failure_rates(class)
        .without(known.map_or(0.0, |m| m.failure_rate));
    let usual = usual / (fleet.len() as f64 - 1.0).max(1.0);
    let left_out = fleet.change_class_ejection(ended.server, class, |ejection| {
        ejection.failure_rate +=
            CLASS_EJECTION_SMOOTHING * (f64::from(u8::from(silent)) - ejection.failure_rate);
        if silent
            && ejection.failure_rate >= CLASS_EJECTION_THRESHOLD
            && ejection.failure_rate - usual >= CLASS_EJECTION_MARGIN
        {
            ejection.backoff = (ejection.backoff * 2).clamp(ejection_time.0, ejection_time.1);
            (ejection.since, ejection.until) = (now, now + ejection.backoff);
            return true;
        }
        if !silent && ejection.since > 0 {
            *ejection = ClassEjection::default();
        }
        false
    });
    left_out.filter(|out| *out).map(|_| {
        format!(
            "server {:016x} keeps silent on class {class}",
            ended.server.0
        )
    })
}

#[cfg(test)]
mod tests;
