//! The state of one zone in the failure detector.

use std::collections::BTreeSet;

use crate::api::{Micros, ServerId};
use crate::locality::Locality;

/// The number of servers found unreachable, with no sign of life in between, that makes their zone
/// unreachable.
pub(super) const UNREACHABLE_THRESHOLD: usize = 3;
/// [`UNREACHABLE_THRESHOLD`] for a zone that has recovered recently.
const RECENT_UNREACHABLE_THRESHOLD: usize = 2;
/// How long an unreachable zone counts as recently recovered after it becomes reachable again, in
/// microseconds.
pub(super) const RECENT_RECOVERY: Micros = 15_000_000;
/// The first interval between probes of the own zone while it is unreachable, in microseconds. The
/// first probe is spread over the second half of the interval, because all balancers of a tier find
/// the zone unreachable at about the same time.
pub(super) const FIRST_PROBE_INTERVAL: Micros = 300_000;
/// The longest interval between probes of the own zone while it is unreachable, in microseconds.
const MAX_PROBE_INTERVAL: Micros = 600_000;
/// The factor by which intervals between probes are longer for unreachable remote zones, which are
/// rarely needed.
pub(super) const REMOTE_PROBE_FACTOR: Micros = 8;
/// The time after the first probe of a zone after which further servers are probed if it was not
/// answered, in microseconds.
const FURTHER_PROBES_DELAY: Micros = 60_000;
/// The time after the first probe of a zone after which probing starts again if no probe was
/// answered, in microseconds.
const PROBE_RETRY_DELAY: Micros = 1_000_000;

/// What the detector concludes from one more unanswered probe or connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing new: the server or its zone was known to be unreachable.
    Nothing,
    /// The server is unreachable. `further_probes` other servers of its zone must be probed to find
    /// out whether the whole zone is.
    ServerUnreachable { further_probes: usize },
    /// This server is the last one needed to find its zone unreachable.
    ZoneUnreachable,
}

/// The schedule of probes of an unreachable zone.
struct ProbeSchedule {
    /// When the next probe is due.
    at: Micros,
    /// The latest interval between probes, from which the one after the next probe is computed.
    interval: Micros,
}

/// The signs of life of a zone, and the probes since the latest of them.
#[derive(Default)]
pub(super) struct Zone {
    /// When any server of the zone last gave a sign of life; 0 if none has.
    pub last_alive: Micros,
    /// The servers probed since the last sign of life or the last restart of probing.
    probed: Vec<ServerId>,
    /// When the first server in `probed` was probed.
    probed_at: Micros,
    /// The servers found unreachable since the last sign of life of any server of the zone.
    unreachable: BTreeSet<ServerId>,
    /// The next probe; `Some` only while the zone is unreachable.
    next_probe: Option<ProbeSchedule>,
    /// When the zone was last found reachable again.
    recovered_at: Option<Micros>,
}

impl Zone {
    /// Whether the zone was found unreachable and has not given a sign of life since.
    pub(super) fn is_unreachable(&self) -> bool {
        self.next_probe.is_some()
    }

    /// Records a sign of life of a server; returns whether the zone was unreachable until now.
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

    /// Chooses the servers to probe now from `pending`, the servers with pending responses, those
    /// without a sign of life for longest first: one server at first, and
    /// [`UNREACHABLE_THRESHOLD`] - 1 more if it does not answer.
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
        let targets: Vec<ServerId> = others.take(wanted).collect();
        self.probed.extend(&targets);
        targets
    }

    /// Records that a probe of a server, or a connection to it, was not answered in time. `ready`
    /// is the number of ready servers in the zone; `jitter` in [0, 1) spreads the first probe of
    /// the unreachable zone over half of the interval.
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

    /// The number of unreachable servers that makes the zone unreachable. A zone that has recovered
    /// recently needs fewer, so that a flapping zone is found unreachable sooner, not later.
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

    /// The number of servers that were probed and not found unreachable yet.
    fn pending_probes(&self) -> usize {
        let is_pending = |server: &&ServerId| !self.unreachable.contains(server);
        self.probed.iter().filter(is_pending).count()
    }

    /// Returns whether the zone is unreachable and its next probe is due; if so, schedules the one
    /// after it.
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
