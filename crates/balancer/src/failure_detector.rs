//! The failure detector, which finds unreachable zones. It does no I/O and decides nothing about a
//! request: `balance` reports to it what is sent and received, and asks it which servers to probe
//! and which zones are unreachable.
//!
//! A slow zone is not unreachable. It still gives signs of life: a late response, a rejection, an
//! error, or the answer to a probe, which does not wait in the server's queue. A zone that is
//! partitioned off or has failed gives none. A zone with pending responses is therefore probed when
//! nothing has arrived from it for longer than usual: first one server, then two more. It is
//! unreachable once [`UNREACHABLE_THRESHOLD`] of its servers (all, if it has fewer) have left
//! probes unanswered and no server of the zone has given a sign of life in between. A single sign
//! of life makes it reachable again.
//!
//! The scheme is the direct probe of SWIM (Das, Gupta and Motivala 2002), with several probed
//! servers for each zone. `docs/design/silence.md` says why there is no accrual over the gaps
//! between responses (Hayashibara et al. 2004), and why a late response alone does not cause a
//! probe.

mod pending;
#[cfg(test)]
mod tests;
mod zone;

use self::pending::{PendingServers, PendingZone};
use self::zone::{UNREACHABLE_THRESHOLD, Verdict, Zone};
use crate::api::{Micros, Outcome, ServerId, ZoneId};
use crate::fleet::Fleet;
use crate::locality::Locality;
use crate::node::Node;
use crate::rng::Rng;

/// A zone with a single pending response is probed after this multiple of the time without a sign of
/// life that applies to zones with more.
const SINGLE_RESPONSE_FACTOR: Micros = 2;
/// The time after which a failed connection counts as unanswered, in microseconds. A host whose
/// process has ended refuses connections within one round trip.
const CONNECT_REFUSED_TIME: Micros = 100_000;

/// Whether a server gave a sign of life when one was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The server gave a sign of life.
    Alive,
    /// A probe of the server, or a connection to it, was not answered in time.
    Unanswered,
}

impl Liveness {
    /// What an attempt that ended after `latency` says about its server; `None` if the outcome is
    /// evidence neither for nor against its liveness.
    pub(crate) fn of(outcome: Outcome, latency: Micros) -> Option<Self> {
        match outcome {
            Outcome::Ok
            | Outcome::ServerError
            | Outcome::Overloaded
            | Outcome::MalformedResponse
            | Outcome::ClientError => Some(Liveness::Alive),
            Outcome::ConnectFailed if latency < CONNECT_REFUSED_TIME => Some(Liveness::Alive),
            Outcome::ConnectFailed => Some(Liveness::Unanswered),
            Outcome::Reset | Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }
}

/// What the balancer must do after it has recorded a [`Liveness`].
#[derive(Debug, Default)]
pub(crate) struct DetectorOutput {
    /// The log message, if the reachability of a zone has changed.
    pub log: Option<String>,
    /// The servers to probe.
    pub probe: Vec<ServerId>,
}

/// The state of the failure detector: pending responses by server, and signs of life by zone.
#[derive(Default)]
pub(crate) struct FailureDetector {
    pending: PendingServers,
    zones: Vec<Zone>,
}

impl FailureDetector {
    /// Records that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, server: ServerId, zone: ZoneId, now: Micros) {
        self.zone_mut(zone);
        self.pending.add(server, zone, now);
    }

    /// Records that an attempt ended, whatever its outcome.
    pub(crate) fn attempt_ended(&mut self, server: ServerId) {
        self.pending.remove(server);
    }

    /// Records whether a server gave a sign of life. Does nothing for a server that is not listed.
    pub(crate) fn record(
        &mut self,
        fleet: &Fleet,
        server: ServerId,
        liveness: Liveness,
        now: Micros,
        rng: &mut Rng,
    ) -> DetectorOutput {
        let Some(zone) = fleet.get(server).map(|node| node.server.zone) else {
            return DetectorOutput::default();
        };
        match liveness {
            Liveness::Alive => {
                let recovers = self.record_alive(server, zone, now);
                let log = recovers.then(|| {
                    format!("zone {zone} is reachable again: one of its servers responded")
                });
                let probe = Vec::new();
                DetectorOutput { log, probe }
            }
            Liveness::Unanswered => self.record_unanswered(fleet, server, zone, now, rng),
        }
    }

    /// The servers to probe now: some of each zone from which nothing has arrived for
    /// `overdue_after`, and one of each unreachable zone whose next probe is due.
    pub(crate) fn due_probes(
        &mut self,
        fleet: &Fleet,
        now: Micros,
        overdue_after: Micros,
        rng: &mut Rng,
    ) -> Vec<ServerId> {
        let mut due = self.suspects(now, overdue_after, |zone| fleet.locality(zone));
        for zone in self.due_zone_probes(now) {
            let index = (rng.unit() * fleet.zone(zone).ready() as f64) as usize;
            let server = ready_in_zone(fleet, zone).nth(index);
            due.extend(server.map(|node| node.server.id));
        }
        due
    }

    /// Whether the zone is unreachable; false for a zone from which nothing was ever due.
    pub(crate) fn is_unreachable(&self, zone: ZoneId) -> bool {
        self.zones.get(zone).is_some_and(Zone::is_unreachable)
    }

    /// Whether every zone with ready servers is unreachable, so that this balancer itself must be
    /// partitioned off.
    pub(crate) fn is_isolated(&self, fleet: &Fleet) -> bool {
        let any = self.zones.iter().any(Zone::is_unreachable);
        any && fleet
            .ready()
            .all(|node| self.is_unreachable(node.server.zone))
    }

    fn zone_mut(&mut self, zone: ZoneId) -> &mut Zone {
        if zone >= self.zones.len() {
            self.zones.resize_with(zone + 1, Zone::default);
        }
        &mut self.zones[zone]
    }

    /// Records a sign of life of a server; returns whether its zone was unreachable until now.
    fn record_alive(&mut self, server: ServerId, zone: ZoneId, now: Micros) -> bool {
        self.pending.record_alive(server, now);
        self.zone_mut(zone).record_alive(now)
    }

    /// Records that a probe of a server, or a connection to it, was not answered in time.
    fn record_unanswered(
        &mut self,
        fleet: &Fleet,
        server: ServerId,
        zone: ZoneId,
        now: Micros,
        rng: &mut Rng,
    ) -> DetectorOutput {
        let (locality, ready) = (fleet.locality(zone), fleet.zone(zone).ready());
        let jitter = rng.unit();
        let state = self.zone_mut(zone);
        match state.record_unanswered(server, locality, ready, now, jitter) {
            Verdict::Nothing => DetectorOutput::default(),
            Verdict::ZoneUnreachable => {
                let text = format!(
                    "zone {zone} is unreachable and is not used until one of its servers answers"
                );
                let (log, probe) = (Some(text), Vec::new());
                DetectorOutput { log, probe }
            }
            Verdict::ServerUnreachable { further_probes } => {
                let is_other = |node: &&Node| node.server.id != server && node.ejected.is_none();
                let spare = ready.saturating_sub(further_probes + 1);
                let offset = (rng.unit() * spare as f64) as usize;
                let others = ready_in_zone(fleet, zone).filter(is_other);
                let chosen = others.skip(offset).take(further_probes);
                let probe = chosen.map(|node| node.server.id).collect();
                DetectorOutput { log: None, probe }
            }
        }
    }

    /// The servers to probe of reachable zones that have pending responses and from which nothing
    /// has arrived for `overdue_after`.
    fn suspects(
        &mut self,
        now: Micros,
        overdue_after: Micros,
        locality: impl Fn(ZoneId) -> Locality,
    ) -> Vec<ServerId> {
        let mut suspects = Vec::new();
        for (id, zone) in self.zones.iter_mut().enumerate() {
            if zone.is_unreachable() {
                continue;
            }
            let Some(pending) = self.pending.of_zone(id) else {
                continue;
            };
            if is_overdue(&pending, zone.last_alive, now, overdue_after, locality(id)) {
                suspects.extend(zone.choose_probe_targets(pending.servers.into_iter(), now));
            }
        }
        suspects
    }

    /// The unreachable zones whose next probe is due; schedules the one after it for each of them.
    fn due_zone_probes(&mut self, now: Micros) -> Vec<ZoneId> {
        let zones = self.zones.iter_mut().enumerate();
        zones
            .filter_map(|(id, zone)| zone.start_due_probe(now).then_some(id))
            .collect()
    }
}

/// Whether nothing has arrived from a zone for `overdue_after`, or for [`SINGLE_RESPONSE_FACTOR`]
/// times as long if a single response is pending. A remote zone must also have
/// [`UNREACHABLE_THRESHOLD`] pending responses, so that not every late response from another zone
/// causes a probe.
fn is_overdue(
    pending: &PendingZone,
    last_alive: Micros,
    now: Micros,
    overdue_after: Micros,
    locality: Locality,
) -> bool {
    if locality == Locality::Remote && pending.in_flight < UNREACHABLE_THRESHOLD as u32 {
        return false;
    }
    let timeout = match pending.in_flight {
        1 => overdue_after * SINGLE_RESPONSE_FACTOR,
        _ => overdue_after,
    };
    now >= pending.since.max(last_alive) + timeout
}

/// The ready servers of a zone.
fn ready_in_zone(fleet: &Fleet, zone: ZoneId) -> impl Iterator<Item = &Node> {
    let all = fleet.ready();
    all.filter(move |node| node.server.zone == zone)
}
