//! What the failure detector knows of one zone.

use std::collections::BTreeSet;

use crate::api::{Micros, ServerId};
use crate::locality::Locality;

/// Unreachable servers in a row that make their zone unreachable.
pub(super) const UNREACHABLE_THRESHOLD: usize = 3;
/// The same for a zone that has recovered recently.
const RECENT_UNREACHABLE_THRESHOLD: usize = 2;
/// How long after its first sign of life a zone counts as recently recovered.
pub(super) const RECENT_RECOVERY: Micros = 15_000_000;
/// First interval between probes of the own zone while it is unreachable. The balancers of a tier,
/// which find it unreachable at once, spread over half of it.
pub(super) const FIRST_PROBE_INTERVAL: Micros = 300_000;
/// The longest interval between probes of the own zone while it is unreachable.
const MAX_PROBE_INTERVAL: Micros = 600_000;
/// Other zones, which are rarely needed, are probed less often by this factor.
pub(super) const REMOTE_PROBE_FACTOR: Micros = 8;
/// If a probe is unanswered, the other witnesses are probed after this.
const FURTHER_PROBES_DELAY: Micros = 60_000;
/// If no probe is answered, all witnesses are probed again after this.
const PROBE_RETRY_DELAY: Micros = 1_000_000;

/// What follows from one more unanswered probe or connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing new.
    Nothing,
    /// The server is unreachable; this many others of its zone are to be probed, to find out whether
    /// the zone is.
    ServerUnreachable { further_probes: usize },
    /// With this server its zone is unreachable.
    ZoneUnreachable,
}

/// The next probe of an unreachable zone.
struct ProbeSchedule {
    at: Micros,
    /// The interval before the probe that follows it.
    interval: Micros,
}

/// The signs of life of a zone, and the probes since the last one.
#[derive(Default)]
pub(super) struct Zone {
    /// Its last sign of life.
    pub last_alive: Micros,
    /// The servers probed since then.
    probed: Vec<ServerId>,
    /// When the first of them was probed.
    probed_at: Micros,
    /// Servers found unreachable since the last sign of any server here.
    unreachable: BTreeSet<ServerId>,
    /// The next probe while the zone is unreachable.
    next_probe: Option<ProbeSchedule>,
    /// Its first sign of life after it was unreachable.
    recovered_at: Option<Micros>,
}

impl Zone {
    /// Whether the zone is unreachable.
    pub(super) fn is_unreachable(&self) -> bool {
        self.next_probe.is_some()
    }

    /// A server gave a sign of life; returns whether the zone was unreachable until now.
    pub(super) fn record_alive(&mut self, now: Micros) -> bool {
        self.last_alive = now;
        self.probed.clear();
        self.unreachable.clear();
        let recovers = self.next_probe.take().is_some();
        if recovers {
            self.recovered_at = Some(now);
        }
        recovers
    }

    /// Chooses the servers to probe next among those with pending responses, which come with the
    /// oldest first: one, then the other witnesses.
    pub(super) fn choose_probe_targets(
        &mut self,
        pending: impl Iterator<Item = ServerId>,
        now: Micros,
    ) -> Vec<ServerId> {
        if !self.probed.is_empty() && now >= self.probed_at + PROBE_RETRY_DELAY {
            self.probed.clear();
        }
        let wanted = match self.probed.len() {
            0 => 1,
            1 if now >= self.probed_at + FURTHER_PROBES_DELAY => UNREACHABLE_THRESHOLD - 1,
            _ => return Vec::new(),
        };
        if self.probed.is_empty() {
            self.probed_at = now;
        }
        let others = pending.filter(|server| !self.probed.contains(server));
        let witnesses: Vec<ServerId> = others.take(wanted).collect();
        self.probed.extend(&witnesses);
        witnesses
    }

    /// A probe of a server, or a connection to it, was not answered in time; `ready` servers are
    /// ready in the zone. `jitter` in [0, 1) spreads the next probes of the zone.
    pub(super) fn record_unanswered(
        &mut self,
        server: ServerId,
        locality: Locality,
        ready: usize,
        now: Micros,
        jitter: f64,
    ) -> Verdict {
        if self.is_unreachable() || !self.unreachable.insert(server) {
            return Verdict::Nothing;
        }
        let needed = self.unreachable_threshold(now).min(ready.max(1));
        if self.unreachable.len() < needed {
            let further_probes = match self.unreachable.len() {
                1 => needed.saturating_sub(1 + self.pending_probes()),
                _ => 0,
            };
            return Verdict::ServerUnreachable { further_probes };
        }
        let interval = match locality {
            Locality::Local => FIRST_PROBE_INTERVAL,
            Locality::Remote => FIRST_PROBE_INTERVAL * REMOTE_PROBE_FACTOR,
        };
        let delay = (interval as f64 * (0.5 + jitter / 2.0)) as Micros;
        let at = now + delay;
        self.next_probe = Some(ProbeSchedule { at, interval });
        Verdict::ZoneUnreachable
    }

    /// Unreachable servers that make the zone unreachable: a zone that flaps is found unreachable
    /// sooner each time, not later.
    fn unreachable_threshold(&self, now: Micros) -> usize {
        let has_recovered_recently = self
            .recovered_at
            .is_some_and(|at| now < at + RECENT_RECOVERY);
        if has_recovered_recently {
            RECENT_UNREACHABLE_THRESHOLD
        } else {
            UNREACHABLE_THRESHOLD
        }
    }

    /// Servers that were probed and not found unreachable yet.
    fn pending_probes(&self) -> usize {
        let is_pending = |server: &&ServerId| !self.unreachable.contains(server);
        self.probed.iter().filter(is_pending).count()
    }

    /// Whether the zone is unreachable and its next probe is due; the one after it follows later.
    pub(super) fn start_due_probe(&mut self, now: Micros) -> bool {
        let Some(next_probe) = self
            .next_probe
            .as_mut()
            .filter(|next_probe| next_probe.at <= now)
        else {
            return false;
        };
        let longest = if next_probe.interval > MAX_PROBE_INTERVAL {
            MAX_PROBE_INTERVAL * REMOTE_PROBE_FACTOR
        } else {
            MAX_PROBE_INTERVAL
        };
        next_probe.interval = (next_probe.interval * 3 / 2).min(longest);
        next_probe.at = now + next_probe.interval;
        true
    }
}
