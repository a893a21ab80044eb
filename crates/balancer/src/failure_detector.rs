//! Who gives no sign at all: servers, zones and classes that keep silent. No I/O, and nothing here
//! decides about a request: `balance.rs` tells what is sent and heard and asks whom to probe and
//! who is silent.
//!
//! FailureDetector is not slowness. A slow zone still gives signs: an answer however late, a refusal, an
//! error, the answer to a probe, which is given beside a server's queue. One that is cut off or
//! gone without a word gives none. So a zone that owes answers and from which nothing at all is
//! heard for longer than usual is asked for a sign: one probe, then two more. It is silent when a
//! few of its servers ([`WITNESSES`]; all, where it has fewer) meet the probes with nothing and no
//! sign of any of its servers comes in between; one sign ends it. The scheme is SWIM's direct probe
//! (Das, Gupta and Motivala 2002) with several witnesses for a zone. Why there is no accrual over
//! the gaps between answers (Hayashibara et al. 2004), and no probe for each late answer:
//! `docs/design/silence.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{AttemptEnded, ClassId, Micros, Outcome, ServerId, ZoneId};
use crate::fleet::Fleet;
use crate::state::{ClassEjection, Node, Rng};

/// Servers found silent in a row that make their zone silent: at first, and while it has been
/// silent of late.
const WITNESSES: (usize, usize) = (3, 2);
/// A zone that has been silent counts as such for this long after its first sign.
const RECENT_RECOVERY: Micros = 15_000_000;
/// The own zone, while silent, is tried again by a probe after the first, then less often up to the
/// last; another zone, which is rarely needed, after so many times that. The agents of a tier that
/// found it silent at once spread over half of it.
const TRIAL_INTERVALS: (Micros, Micros) = (300_000, 600_000);
const REMOTE_TRIAL_FACTOR: Micros = 8;
/// A quiet zone that owes one answer alone is asked after so many times the usual; those that owe
/// more, after it.
const SINGLE_ATTEMPT_FACTOR: Micros = 2;
/// A zone that was asked and stays quiet is asked for its other witnesses after this, and for all
/// again after the second.
const PROBE_RETRY_DELAYS: (Micros, Micros) = (60_000, 1_000_000);
/// A connection that fails after this or later never came up: the refusal of a process that is gone
/// takes one way there and back.
const CONNECT_REFUSED_TIME: Micros = 100_000;
/// One attempt's part in the average of those that a server keeps silent on, and what that average
/// is to be, and to be above the others', for the class to be left out.
const CLASS_EJECTION_SMOOTHING: f64 = 0.25;
const CLASS_EJECTION_THRESHOLD: f64 = 0.5;
const CLASS_EJECTION_MARGIN: f64 = 0.25;

/// What is to be done about a sign, or its lack: a line for the log, and whom to probe.
#[derive(Debug, Default)]
pub(crate) struct Finding {
    pub log: Option<String>,
    pub ask: Vec<ServerId>,
}

/// What one more unanswered probe or connection says.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    /// Nothing new.
    Nothing,
    /// The server is silent; so many others of its zone are to be probed, to know whether the zone
    /// is.
    Server(usize),
    /// With this server its whole zone is silent.
    Zone,
}

/// A server that owes an answer.
struct PendingServer {
    zone: ZoneId,
    /// Attempts out, and since when nothing was heard.
    in_flight: u32,
    since: Micros,
}

#[derive(Default)]
struct Zone {
    /// Its last sign; since then probed, and when first.
    heard: Micros,
    asked: Vec<ServerId>,
    asked_at: Micros,
    /// Finding silent since the last sign of any server here.
    found: BTreeSet<ServerId>,
    /// Silent: when it is tried again, and after how long the next time.
    silent: Option<(Micros, Micros)>,
    /// Its first sign after it was silent.
    back: Option<Micros>,
}

/// What was heard of whom.
#[derive(Default)]
pub(crate) struct FailureDetector {
    owing: BTreeMap<ServerId, PendingServer>,
    zones: Vec<Zone>,
}

impl FailureDetector {
    fn zone(&mut self, zone: ZoneId) -> &mut Zone {
        if zone >= self.zones.len() {
            self.zones.resize_with(zone + 1, Zone::default);
        }
        &mut self.zones[zone]
    }

    /// An attempt went out.
    pub(crate) fn sent(&mut self, server: ServerId, zone: ZoneId, now: Micros) {
        self.zone(zone);
        let owing = self.owing.entry(server).or_insert(PendingServer {
            zone,
            in_flight: 0,
            since: now,
        });
        if owing.in_flight == 0 {
            owing.since = now;
        }
        owing.in_flight += 1;
    }

    /// An attempt ended, whatever was heard.
    pub(crate) fn ended(&mut self, server: ServerId) {
        if let Some(owing) = self.owing.get_mut(&server) {
            owing.in_flight = owing.in_flight.saturating_sub(1);
            if owing.in_flight == 0 {
                self.owing.remove(&server);
            }
        }
    }

    /// A server gave a sign, or met nothing when it owed one.
    pub(crate) fn heard(
        &mut self,
        fleet: &Fleet,
        server: ServerId,
        sign: bool,
        now: Micros,
        rng: &mut Rng,
    ) -> Finding {
        let Some(zone) = fleet.get(server).map(|n| n.server.zone) else {
            return Finding::default();
        };
        if sign {
            let back = self.sign(server, zone, now);
            let log = back.then(|| format!("zone {zone} gives signs again"));
            return Finding {
                log,
                ask: Vec::new(),
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
                    ask: Vec::new(),
                }
            }
            Verdict::Server(others) => {
                let other = |n: &&Node| n.server.id != server && n.ejected.is_none();
                let skip = (rng.unit() * ready.saturating_sub(others + 1) as f64) as usize;
                let ask = here(fleet, zone).filter(other).skip(skip).take(others);
                Finding {
                    log: None,
                    ask: ask.map(|n| n.server.id).collect(),
                }
            }
        }
    }

    /// Whom to probe now: servers of quiet zones that owe answers for longer than `usual`, and one
    /// of each silent zone whose trial is due.
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
            due.extend(here(fleet, zone).nth(nth).map(|n| n.server.id));
        }
        due
    }

    /// The server gave a sign; true where its zone was silent until now.
    fn sign(&mut self, server: ServerId, zone: ZoneId, now: Micros) -> bool {
        if let Some(owing) = self.owing.get_mut(&server) {
            owing.since = now;
        }
        let zone = self.zone(zone);
        zone.heard = now;
        zone.asked.clear();
        zone.found.clear();
        let ends = zone.silent.take().is_some();
        if ends {
            zone.back = Some(now);
        }
        ends
    }

    /// Whom to ask for a sign: of each zone that owes answers and was not heard of for longer than
    /// `usual` (for [`SINGLE_ATTEMPT_FACTOR`] times as long where it owes one alone), those that owe longest: one,
    /// then the other witnesses. Zones other than the `own` are asked only where they owe enough
    /// for all witnesses: guards against a probe for each late answer to a request that crossed.
    fn suspects(&mut self, now: Micros, usual: Micros, own: ZoneId) -> Vec<ServerId> {
        let mut due = Vec::new();
        for (id, zone) in self
            .zones
            .iter_mut()
            .enumerate()
            .filter(|(_, z)| z.silent.is_none())
        {
            let mut owing: Vec<(Micros, ServerId)> = self
                .owing
                .iter()
                .filter(|(_, o)| o.zone == id)
                .map(|(server, o)| (o.since, *server))
                .collect();
            owing.sort_unstable();
            let Some(&(first, _)) = owing.first() else {
                continue;
            };
            let in_flight: u32 = self
                .owing
                .values()
                .filter(|o| o.zone == id)
                .map(|o| o.in_flight)
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
            if now < first.max(zone.heard) + timeout {
                continue;
            }
            let (more, again) = (
                zone.asked_at + PROBE_RETRY_DELAYS.0,
                zone.asked_at + PROBE_RETRY_DELAYS.1,
            );
            if !zone.asked.is_empty() && now >= again {
                zone.asked.clear();
            }
            let wanted = match zone.asked.len() {
                0 => 1,
                1 if now >= more => WITNESSES.0 - 1,
                _ => continue,
            };
            if zone.asked.is_empty() {
                zone.asked_at = now;
            }
            let others = owing
                .iter()
                .map(|o| o.1)
                .filter(|o| !zone.asked.contains(o));
            let ask: Vec<ServerId> = others.take(wanted).collect();
            zone.asked.extend(&ask);
            due.extend(ask);
        }
        due
    }

    /// A probe of a server, or a connection to it, met nothing in the time it may take; `size`
    /// servers are in its zone. `draw` in [0, 1) spreads the trials.
    fn unanswered(
        &mut self,
        server: ServerId,
        (zone, own): (ZoneId, bool),
        size: usize,
        now: Micros,
        draw: f64,
    ) -> Verdict {
        let zone = self.zone(zone);
        if zone.silent.is_some() || !zone.found.insert(server) {
            return Verdict::Nothing;
        }
        // A zone that comes and goes is left sooner each time, not later.
        let of_late = zone.back.is_some_and(|at| now < at + RECENT_RECOVERY);
        let needed = if of_late { WITNESSES.1 } else { WITNESSES.0 }.min(size.max(1));
        if zone.found.len() < needed {
            let asked = zone
                .asked
                .iter()
                .filter(|id| !zone.found.contains(id))
                .count();
            let more = needed.saturating_sub(zone.found.len() + asked);
            return Verdict::Server(if zone.found.len() == 1 { more } else { 0 });
        }
        let wait = if own {
            TRIAL_INTERVALS.0
        } else {
            TRIAL_INTERVALS.0 * REMOTE_TRIAL_FACTOR
        };
        zone.silent = Some((now + (wait as f64 * (0.5 + draw / 2.0)) as Micros, wait));
        Verdict::Zone
    }

    /// Whether the whole zone is silent.
    pub(crate) fn silent(&self, zone: ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|z| z.silent.is_some())
    }

    /// Whether every zone with servers that take requests is silent: then this agent itself is cut
    /// off.
    pub(crate) fn all(&self, fleet: &Fleet) -> bool {
        let any = self.zones.iter().any(|z| z.silent.is_some());
        any && fleet.ready().all(|n| self.silent(n.server.zone))
    }

    /// The silent zones whose trial is due: one probe each.
    fn trials(&mut self, now: Micros) -> Vec<ZoneId> {
        let mut due = Vec::new();
        for (id, zone) in self.zones.iter_mut().enumerate() {
            if let Some((at, wait)) = zone.silent.as_mut().filter(|(at, _)| *at <= now) {
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

/// Those of a zone that take requests.
fn here(fleet: &Fleet, zone: ZoneId) -> impl Iterator<Item = &Node> {
    fleet.ready().filter(move |n| n.server.zone == zone)
}

/// What the end of an attempt says of whether its server is there at all: a sign, none, or nothing
/// either way.
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
/// against servers silent on them alone: the others' answers hide that, and clients leave before
/// such an attempt times out. `rest` is the first and the longest time the class is left out there;
/// a line for the log where it is from now on.
pub(crate) fn hear(
    fleet: &mut Fleet,
    (e, class, at): (&AttemptEnded, ClassId, Micros),
    (now, aim): (Micros, Micros),
    rest: (Micros, Micros),
) -> Option<String> {
    let silent = match e.outcome {
        Outcome::Ok => false,
        Outcome::Cancelled | Outcome::Timeout if now - at >= aim => true,
        _ => return None,
    };
    let node = fleet.get(e.server).filter(|n| at >= n.since)?;
    let known = node.class_ejections.get(&class);
    if at < known.map_or(0, |m| m.since) || known.is_none() && !silent {
        return None; // it was sent before the class was left out, or all is well
    }
    let usual = fleet
        .class_failure_rates(class)
        .without(known.map_or(0.0, |m| m.failure_rate));
    let usual = usual / (fleet.len() as f64 - 1.0).max(1.0);
    let left_out = fleet.change_class_ejection(e.server, class, |ejection| {
        ejection.failure_rate +=
            CLASS_EJECTION_SMOOTHING * (f64::from(u8::from(silent)) - ejection.failure_rate);
        if silent
            && ejection.failure_rate >= CLASS_EJECTION_THRESHOLD
            && ejection.failure_rate - usual >= CLASS_EJECTION_MARGIN
        {
            ejection.backoff = (ejection.backoff * 2).clamp(rest.0, rest.1);
            (ejection.since, ejection.until) = (now, now + ejection.backoff);
            return true;
        }
        if !silent && ejection.since > 0 {
            *ejection = ClassEjection::default();
        }
        false
    });
    left_out
        .filter(|out| *out)
        .map(|_| format!("server {:016x} keeps silent on class {class}", e.server.0))
}

#[cfg(test)]
mod tests;
