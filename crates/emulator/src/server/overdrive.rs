//! Overdrive, the slowdown under sustained overload: a server whose requests in the system exceed a
//! limit per core for longer than a set time becomes slower, until at most half of its cores have
//! been in use for the recovery time.

use ironmast_balancer::Micros;

use super::statistics::Occupancy;
use crate::scenario::Pool;

/// The limit above which a server becomes overdriven, the effect, and the condition of recovery.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverdriveRule {
    /// The limit of requests in the system per core; 0 for no limit.
    ratio: f64,
    /// The time above the limit after which the server is overdriven.
    after: Micros,
    /// The factor by which an overdriven server is slower.
    slowdown: f64,
    /// The time with at most half of the cores in use after which the server has recovered.
    recovery: Micros,
}

/// Whether a server is overdriven, and since when the condition for entering or for leaving that
/// state has held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overdrive {
    active: bool,
    above_since: Option<Micros>,
    recovering_since: Option<Micros>,
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

    /// Whether this number of requests in the system is above the limit for this number of cores.
    pub(super) fn is_exceeded(&self, in_system: f64, cores: f64) -> bool {
        self.ratio > 0.0 && in_system > self.ratio * cores
    }
}

impl Overdrive {
    /// The factor by which the server is slower now; 1 unless it is overdriven.
    pub(super) fn slowdown(&self, rule: &OverdriveRule) -> f64 {
        if self.active { rule.slowdown } else { 1.0 }
    }

    /// Updates the state to the occupancy of the server at `now`.
    pub(super) fn update(&mut self, rule: &OverdriveRule, now: Micros, occupancy: Occupancy) {
        let is_exceeded = rule.is_exceeded(occupancy.in_system() as f64, occupancy.cores);
        let is_recovering = self.active && occupancy.in_slots as f64 <= occupancy.cores / 2.0;
        self.above_since = is_exceeded.then(|| self.above_since.unwrap_or(now));
        self.recovering_since = is_recovering.then(|| self.recovering_since.unwrap_or(now));
        if self.above_since.is_some_and(|at| now >= at + rule.after) {
            self.active = true;
        }
        if self
            .recovering_since
            .is_some_and(|at| now >= at + rule.recovery)
        {
            (self.active, self.recovering_since) = (false, None);
        }
    }

    /// When the overdrive begins or ends if the occupancy does not change.
    pub(super) fn next_change(&self, rule: &OverdriveRule) -> Option<Micros> {
        let begins = self.above_since.filter(|_| !self.active);
        let begins = begins.map(|at| at + rule.after);
        let ends = self.recovering_since.map(|at| at + rule.recovery);
        begins.into_iter().chain(ends).min()
    }
}
