//! Request rates that balancers report to each other, without I/O, so that each knows its own share
//! of the servers' load. Nothing here decides about a request.
//!
//! A message has [`MESSAGE_BYTES`] bytes: a version, the sender's zone, and its requests in 1,000 s
//! (little endian). Other messages are dropped. Messages may be lost, late or repeated; where all
//! are lost, each balancer assumes an even share.

use crate::api::{Micros, Settings};
use crate::locality::{ByLocality, Locality};
use crate::rng::{Rng, mix};

/// The version written, and the only one read.
const VERSION: u8 = 1;
/// Bytes in a message.
const MESSAGE_BYTES: usize = 6;
/// Time constant of the measured rate, in microseconds.
const RATE_DECAY_TIME: f64 = 2_000_000.0;
/// At the start the rate is corrected as if at least this part of the steady state were reached.
const MIN_WARM_UP_PART: f64 = 0.05;
/// Average delay of the first message, in microseconds.
const FIRST_MESSAGE_DELAY: f64 = 250_000.0;
/// The shortest average interval between two messages, in microseconds.
const MIN_INTERVAL: Micros = 1_000_000;
/// The interval for each balancer, in microseconds, so that each receives no more than a hundred messages a second.
const INTERVAL_PER_BALANCER: Micros = 10_000;
/// A balancer of which no message arrives for this many intervals has failed.
const MAX_MISSED_INTERVALS: u64 = 4;
/// One of many balancers uses as many servers as it has requests in this time, in microseconds: each
/// server responds often enough to be judged, and connections stay few.
const SUBSET_TIME: f64 = 250_000.0;
/// The least number of servers that it uses.
const MIN_SUBSET_SIZE: f64 = 2.0;
/// A share is updated when it changes by this ratio: a smaller change would not pay for the update of all limits.
const MIN_CHANGE_RATIO: f64 = 1.1;

/// A peer's latest report.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Requests in a microsecond.
    rate: f64,
    is_own_zone: bool,
    received: Micros,
}

/// The request rates of this balancer and its peers, and when it reports next.
pub(crate) struct PeerLoad {
    rng: Rng,
    /// Balancers are so many that an even share of a limit is less than one request, and each
    /// therefore uses a subset of servers.
    uses_subset: bool,
    /// Balancers report to each other.
    is_enabled: bool,
    balancers: usize,
    balancer_index: usize,
    zone: u8,
    /// Requests, decayed over `RATE_DECAY_TIME` up to `decayed_at`.
    requests: f64,
    decayed_at: Micros,
    /// When the shares were first updated.
    started: Option<Micros>,
    /// The latest report of each balancer.
    reports: Vec<Option<Report>>,
    next_message: Micros,
    /// This balancer's share of the requests that servers receive: of all balancers' for remote
    /// servers, of those of its zone for local ones; at least an even share of all.
    pub shares: ByLocality<f64>,
}

impl PeerLoad {
    /// No reports yet. Only where balancers are many (`is_large_tier`) do they report. With key affinity,
    /// each uses all servers all the same.
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

    /// Counts a request.
    pub(crate) fn count_request(&mut self, now: Micros) {
        (self.requests, self.decayed_at) = (self.decayed(now) + 1.0, now);
    }

    /// The requests, decayed up to now.
    fn decayed(&self, now: Micros) -> f64 {
        self.requests * (-(now.saturating_sub(self.decayed_at) as f64) / RATE_DECAY_TIME).exp()
    }

    /// How many servers of a locality this balancer uses: all, unless it is one of many.
    pub(crate) fn subset_size(&self, now: Micros) -> usize {
        if self.uses_subset {
            (self.recent_rate(now) * SUBSET_TIME).max(MIN_SUBSET_SIZE) as usize
        } else {
            usize::MAX
        }
    }

    /// This balancer's recent rate in requests per microsecond; rises from zero at the start.
    fn recent_rate(&self, now: Micros) -> f64 {
        self.decayed(now) / RATE_DECAY_TIME
    }

    /// The same, corrected for that rise.
    fn rate(&self, now: Micros) -> f64 {
        let age = self.started.map_or(0, |at| now.saturating_sub(at)) as f64 / RATE_DECAY_TIME;
        self.recent_rate(now) / (1.0 - (-age).exp()).max(MIN_WARM_UP_PART)
    }

    /// Average interval between two messages.
    fn interval(&self) -> Micros {
        MIN_INTERVAL.max(INTERVAL_PER_BALANCER * self.balancers as u64)
    }

    /// The message for all peers, when it is due. Jitter spreads the balancers' messages.
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

    /// Handles a message; one that is malformed or of an unknown sender is dropped.
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

    /// Updates this balancer's shares; returns the factor by which each changed. They never fall below
    /// an even share: guards balancers with few requests against waiting for capacity.
    pub(crate) fn update_shares(&mut self, now: Micros) -> ByLocality<f64> {
        if !self.is_enabled {
            return ByLocality::both(1.0);
        }
        let started = *self.started.get_or_insert(now);
        let max_age = self.interval() * MAX_MISSED_INTERVALS;
        let known = self.known_rates(now, max_age);
        // Balancers that have not reported yet are assumed to be average; some time after the start,
        // to have failed.
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

/// Request rates per microsecond.
struct KnownRates {
    /// This balancer's.
    own: f64,
    /// The number of peers that have reported.
    reports: usize,
    /// The sums, this balancer's included: of its own zone for local servers, of all for remote ones.
    sums: ByLocality<f64>,
}

#[cfg(test)]
mod tests;
