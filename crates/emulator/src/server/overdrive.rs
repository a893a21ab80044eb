//! Overdrive: a server that holds too many requests for too long becomes slower, until it has been
//! at most half busy for a while.

use ironmast_balancer::Micros;

use super::statistics::Occupancy;
use crate::scenario::Pool;

/// When a server is overdriven, and what that does.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverdriveRule {
    /// Requests in the system per core above which it is overdriven; 0 for never.
    ratio: f64,
    /// How long that must last.
    after: Micros,
    /// How many times slower it becomes.
    slowdown: f64,
    /// How long it must be at most half busy to recover.
    recovery: Micros,
}

/// Whether a server is overdriven, and since when it has been above or below the limits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overdrive {
    active: bool,
    above_since: Option<Micros>,
    calm_since: Option<Micros>,
}

impl OverdriveRule {
    /// The rule of the servers of a pool.
    pub(super) fn new(pool: &Pool) -> Self {
        OverdriveRule {
            ratio: pool.overdrive_ratio,
            after: (pool.overdrive_s * 1e6) as Micros,
            slowdown: pool.overdrive_factor,
            recovery: (pool.recover_s * 1e6) as Micros,
        }
    }

    /// Whether this many requests in the system are too many for so many cores.
    pub(super) fn is_exceeded(&self, in_system: f64, cores: f64) -> bool {
        self.ratio > 0.0 && in_system > self.ratio * cores
    }
}

impl Overdrive {
    /// How many times slower the server is now.
    pub(super) fn slowdown(&self, rule: &OverdriveRule) -> f64 {
        if self.active { rule.slowdown } else { 1.0 }
    }

    /// Updates it to the state of the server now.
    pub(super) fn update(&mut self, rule: &OverdriveRule, now: Micros, occupancy: Occupancy) {
        let is_exceeded = rule.is_exceeded(occupancy.in_system() as f64, occupancy.cores);
        let is_calm = self.active && occupancy.in_slots as f64 <= occupancy.cores / 2.0;
        self.above_since = is_exceeded.then(|| self.above_since.unwrap_or(now));
        self.calm_since = is_calm.then(|| self.calm_since.unwrap_or(now));
        if self.above_since.is_some_and(|at| now >= at + rule.after) {
            self.active = true;
        }
        if self.calm_since.is_some_and(|at| now >= at + rule.recovery) {
            (self.active, self.calm_since) = (false, None);
        }
    }

    /// When it begins or ends if nothing else happens.
    pub(super) fn next_change(&self, rule: &OverdriveRule) -> Option<Micros> {
        let begins = self.above_since.filter(|_| !self.active);
        let begins = begins.map(|at| at + rule.after);
        let ends = self.calm_since.map(|at| at + rule.recovery);
        begins.into_iter().chain(ends).min()
    }
}
