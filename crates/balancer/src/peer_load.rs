//! Request rates that balancers report to each other, without I/O, so that each knows its own share
//! of the servers' load. Nothing here decides about a request.
//!
//! A message has [`MESSAGE_BYTES`] bytes: a version, the sender's zone, and its requests in 1,000 s
//! (little endian). Other messages are dropped. Messages may be lost, late or repeated; where all
//! are lost, each balancer assumes an even share.

use crate::api::{Micros, Settings};
use crate::rng::{Rng, mix};

/// The version written, and the only one read.
const VERSION: u8 = 1;
/// Bytes in a message.
const MESSAGE_BYTES: usize = 6;
/// Time constant of the measured rate.
const RATE_DECAY_TIME: f64 = 2_000_000.0;
/// At the start the rate is corrected as if at least this part of the steady state were reached.
const MIN_WARM_UP_PART: f64 = 0.05;
/// Average delay of the first message.
const FIRST_MESSAGE_DELAY: f64 = 250_000.0;
/// The shortest average interval between two messages.
const MIN_INTERVAL: Micros = 1_000_000;
/// The interval for each balancer, so that each receives no more than a hundred messages a second.
const INTERVAL_PER_AGENT: Micros = 10_000;
/// A balancer of which no message arrives for this many intervals has failed.
const MAX_MISSED_INTERVALS: u64 = 4;
/// One of many balancers uses as many servers as it has requests in this time, and at least two: each
/// server responds often enough to be judged, and connections stay few.
const SUBSET: (f64, f64) = (250_000.0, 2.0);
/// A share is updated when it changes by this ratio: smaller changes are not worth the work.
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
    /// This balancer's share of all requests, and of those of its zone; at least an even share of
    /// all.
    pub shares: [f64; 2],
}

impl PeerLoad {
    /// No reports yet. Only where balancers are many (`are_many`) do they report. With key affinity,
    /// each uses all servers all the same.
    pub(crate) fn new(settings: &Settings, are_many: bool, seed: u64) -> Self {
        let (balancers, balancer_index) = (
            settings.balancers.max(1) as usize,
            settings.balancer_index as usize,
        );
        let is_enabled = settings.limits.peers && are_many;
        PeerLoad {
            rng: Rng(mix(!seed)),
            uses_subset: are_many && !settings.key_affinity,
            is_enabled,
            balancers,
            balancer_index,
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
            shares: [1.0 / balancers as f64; 2],
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

    /// How many servers of a side this balancer uses: all, unless it is one of many.
    pub(crate) fn subset_size(&self, now: Micros) -> usize {
        if self.uses_subset {
            (self.recent_rate(now) * SUBSET.0).max(SUBSET.1) as usize
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
        MIN_INTERVAL.max(INTERVAL_PER_AGENT * self.balancers as u64)
    }

    /// The message for all peers, when it is due. Jitter spreads the balancers' messages.
    pub(crate) fn due(&mut self, now: Micros) -> Option<Vec<u8>> {
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
    pub(crate) fn update_shares(&mut self, now: Micros) -> [f64; 2] {
        if !self.is_enabled {
            return [1.0; 2];
        }
        let started = *self.started.get_or_insert(now);
        let (rate, max_age) = (self.rate(now), self.interval() * MAX_MISSED_INTERVALS);
        let (mut count, mut sums) = (0, [rate; 2]);
        let reports = self.reports.iter().flatten();
        for report in reports.filter(|report| now.saturating_sub(report.received) <= max_age) {
            count += 1;
            sums[0] += report.rate;
            sums[1] += if report.is_own_zone { report.rate } else { 0.0 };
        }
        // Balancers that have not reported yet are assumed to be average; some time after the start,
        // to have failed.
        let missing = if now < started + max_age {
            (self.balancers - 1).saturating_sub(count) as f64
        } else {
            0.0
        };
        let even = 1.0 / self.balancers as f64;
        let mut changes = [1.0; 2];
        for ((share, change), sum) in self.shares.iter_mut().zip(&mut changes).zip(sums) {
            let all = sum * (1.0 + missing / (count + 1) as f64);
            let new = if count == 0 || all <= 0.0 {
                even
            } else {
                (rate / all).clamp(even, 1.0)
            };
            if !(1.0 / MIN_CHANGE_RATIO..MIN_CHANGE_RATIO).contains(&(new / *share)) {
                *change = new / *share;
                *share = new;
            }
        }
        changes
    }
}

#[cfg(test)]
mod tests;
