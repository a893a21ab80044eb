//! The exchange of request rates between balancers, from which each computes its own share of the
//! servers' load. The module does no I/O and decides nothing about a request.
//!
//! A message has [`MESSAGE_BYTES`] bytes: a version, the sender's zone, and the number of requests
//! that it sends in 1,000 s (little endian). Other messages are dropped. Messages may be lost, late
//! or repeated; if all are lost, each balancer assumes an even share.

use crate::api::{Micros, Settings};
use crate::locality::{ByLocality, Locality};
use crate::rng::{Rng, mix};

/// The message version that is written, and the only one that is read.
const VERSION: u8 = 1;
/// The length of a message in bytes.
const MESSAGE_BYTES: usize = 6;
/// Time constant of the measured rate, in microseconds.
const RATE_DECAY_TIME: f64 = 2_000_000.0;
/// The smallest part of the steady state by which the measured rate, which rises from zero after
/// the start, is divided to correct it. Bounds the correction of the first counts.
const MIN_WARM_UP_PART: f64 = 0.05;
/// Average delay of the first message, in microseconds.
const FIRST_MESSAGE_DELAY: f64 = 250_000.0;
/// The shortest average interval between two messages, in microseconds.
const MIN_INTERVAL: Micros = 1_000_000;
/// The average interval between messages is at least this for each balancer of the tier, in
/// microseconds, so that none receives more than about a hundred messages per second.
const INTERVAL_PER_BALANCER: Micros = 10_000;
/// A balancer from which no message arrives for this many intervals counts as failed.
const MAX_MISSED_INTERVALS: u64 = 4;
/// In a large tier, a balancer uses as many servers of a locality as it receives requests in this
/// time, in microseconds. Each server then responds often enough to be judged, and connections stay
/// few.
const SUBSET_TIME: f64 = 250_000.0;
/// The smallest number of servers that a balancer of a large tier uses in a locality.
const MIN_SUBSET_SIZE: f64 = 2.0;
/// A share is updated only when it changes by this ratio: a smaller change does not justify an
/// update of all limits.
const MIN_CHANGE_RATIO: f64 = 1.1;

/// A peer's latest report.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Requests per microsecond.
    rate: f64,
    is_own_zone: bool,
    received: Micros,
}

/// The request rates of this balancer and its peers, and when it reports next.
pub(crate) struct PeerLoad {
    rng: Rng,
    /// Whether this balancer uses only a subset of servers, because the tier is so large that an
    /// even share of a server's initial limit is less than one request.
    uses_subset: bool,
    /// Whether balancers report to each other.
    is_enabled: bool,
    balancers: usize,
    balancer_index: usize,
    zone: u8,
    /// Requests, decayed over `RATE_DECAY_TIME` up to `decayed_at`.
    requests: f64,
    decayed_at: Micros,
    /// When the shares were first updated.
    started: Option<Micros>,
    /// The latest report of each balancer, by its index; empty if reports are disabled.
    reports: Vec<Option<Report>>,
    /// When the next message is due; 0 until the first one is scheduled.
    next_message: Micros,
    /// This balancer's share of the requests of all balancers, for remote servers, and of the
    /// balancers in its zone, for local ones; at least an even share among all balancers.
    pub shares: ByLocality<f64>,
}

impl PeerLoad {
    /// The state before any report. Balancers report to each other only in a large tier. With key
    /// affinity, each uses all servers even there.
    pub(crate) fn new(settings: &Settings, is_large_tier: bool, seed: u64) -> Self {
        let balancers = settings.balancers.max(1) as usize;
        let is_enabled = settings.limits.peers && is_large_tier;
        PeerLoad {
            rng: Rng(mix(!seed)),
            uses_subset: is_large_tier && !settings.key_affinity,
            is_enabled,
            balancers,
            balancer_index: settings.balancer_index as usize,
            zone: u8::try_from(settings.zone).unwrap_or(u8::MAX),
            requests: 0.0,
            decayed_at: 0,
            started: None,
            reports: if is_enabled {
                vec![None; balancers]
            } else {
                Vec::new()
            },
            next_message: 0,
            shares: ByLocality::both(1.0 / balancers as f64),
        }
    }

    /// Counts a request that this balancer received.
    pub(crate) fn count_request(&mut self, now: Micros) {
        (self.requests, self.decayed_at) = (self.decayed(now) + 1.0, now);
    }

    /// The count of requests, decayed up to `now`.
    fn decayed(&self, now: Micros) -> f64 {
        self.requests * (-(now.saturating_sub(self.decayed_at) as f64) / RATE_DECAY_TIME).exp()
    }

    /// The number of servers of a locality that this balancer uses; `usize::MAX` (all) unless it
    /// uses a subset.
    pub(crate) fn subset_size(&self, now: Micros) -> usize {
        if self.uses_subset {
            (self.recent_rate(now) * SUBSET_TIME).max(MIN_SUBSET_SIZE) as usize
        } else {
            usize::MAX
        }
    }

    /// This balancer's recent rate in requests per microsecond, which rises from zero after the
    /// start.
    fn recent_rate(&self, now: Micros) -> f64 {
        self.decayed(now) / RATE_DECAY_TIME
    }

    /// [`PeerLoad::recent_rate`], corrected for the rise from zero after the start.
    fn rate(&self, now: Micros) -> f64 {
        let age = self.started.map_or(0, |at| now.saturating_sub(at)) as f64 / RATE_DECAY_TIME;
        self.recent_rate(now) / (1.0 - (-age).exp()).max(MIN_WARM_UP_PART)
    }

    /// The average interval between two messages, in microseconds.
    fn interval(&self) -> Micros {
        MIN_INTERVAL.max(INTERVAL_PER_BALANCER * self.balancers as u64)
    }

    /// The message for all peers, if one is due. Jitter spreads the messages of the balancers.
    pub(crate) fn due_message(&mut self, now: Micros) -> Option<Vec<u8>> {
        if !self.is_enabled || now < self.next_message {
            return None;
        }
        let (is_first, jitter) = (self.next_message == 0, self.rng.unit());
        if is_first {
            self.next_message = now + (FIRST_MESSAGE_DELAY * (0.5 + jitter)) as Micros;
            return None;
        }
        self.next_message = now + (self.interval() as f64 * (0.75 + jitter / 2.0)) as Micros;
        let rate = (self.rate(now) * 1e9).min(f64::from(u32::MAX)) as u32;
        Some([&[VERSION, self.zone], &rate.to_le_bytes()[..]].concat())
    }

    /// Handles a message from the balancer with index `from`. A message that is malformed, from an
    /// unknown sender or from this balancer itself is dropped.
    pub(crate) fn receive(&mut self, now: Micros, from: u32, data: &[u8]) {
        let Ok([VERSION, zone, rate @ ..]) = <[u8; MESSAGE_BYTES]>::try_from(data) else {
            return;
        };
        let from = from as usize;
        if from != self.balancer_index
            && let Some(report) = self.reports.get_mut(from)
        {
            *report = Some(Report {
                rate: f64::from(u32::from_le_bytes(rate)) / 1e9,
                is_own_zone: zone == self.zone,
                received: now,
            });
        }
    }

    /// Updates this balancer's shares; returns the factor by which each changed. A share is never
    /// below an even one, so that balancers with few requests do not wait for capacity.
    pub(crate) fn update_shares(&mut self, now: Micros) -> ByLocality<f64> {
        if !self.is_enabled {
            return ByLocality::both(1.0);
        }
        let started = *self.started.get_or_insert(now);
        let max_age = self.interval() * MAX_MISSED_INTERVALS;
        let known = self.known_rates(now, max_age);
        // Balancers that have not reported yet are assumed to have the average rate, and to have
        // failed once `max_age` has passed since the start.
        let missing = if now < started + max_age {
            (self.balancers - 1).saturating_sub(known.reports) as f64
        } else {
            0.0
        };
        let scale = 1.0 + missing / (known.reports + 1) as f64;
        let even = 1.0 / self.balancers as f64;
        ByLocality::from_fn(|locality| {
            let total = known.sums[locality] * scale;
            let share = if known.reports == 0 || total <= 0.0 {
                even
            } else {
                (known.own / total).clamp(even, 1.0)
            };
            self.change_share(locality, share)
        })
    }

    /// Sets a share if it has changed enough; returns the factor by which it changed.
    fn change_share(&mut self, locality: Locality, share: f64) -> f64 {
        let factor = share / self.shares[locality];
        if (1.0 / MIN_CHANGE_RATIO..MIN_CHANGE_RATIO).contains(&factor) {
            return 1.0;
        }
        self.shares[locality] = share;
        factor
    }

    /// The rates of this balancer and of the peers whose latest report is no older than `max_age`.
    fn known_rates(&self, now: Micros, max_age: Micros) -> KnownRates {
        let own = self.rate(now);
        let mut known = KnownRates {
            own,
            reports: 0,
            sums: ByLocality::both(own),
        };
        for report in self.reports.iter().flatten() {
            if now.saturating_sub(report.received) > max_age {
                continue;
            }
            known.reports += 1;
            known.sums.remote += report.rate;
            if report.is_own_zone {
                known.sums.local += report.rate;
            }
        }
        known
    }
}

/// Request rates of balancers, in requests per microsecond.
struct KnownRates {
    /// The rate of this balancer.
    own: f64,
    /// The number of peers with a report that is not too old.
    reports: usize,
    /// The sums, this balancer included: over its own zone for local servers, over all balancers
    /// for remote ones.
    sums: ByLocality<f64>,
}

#[cfg(test)]
mod tests;
