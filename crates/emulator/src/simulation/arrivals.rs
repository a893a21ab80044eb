//! The arrival process of operations, and their mix of classes.

use crate::fault_schedule::{max_surge_factor, surge_factor};
use crate::random::{Purpose, Stream};
use crate::scenario::{Arrivals, Class, Clients, Scenario};

/// Lower bounds of the rates, per second, that intervals are computed from. They avoid a division
/// by zero.
const MIN_EVEN_RATE: f64 = 1e-9;
const MIN_CANDIDATE_RATE: f64 = 1e-12;

/// The rate of all arrivals over time, as a factor of the mean rate.
pub(super) struct RateCurve<'a> {
    scenario: &'a Scenario,
    /// An upper bound of the factor, including bursts.
    max_factor: f64,
}

impl<'a> RateCurve<'a> {
    /// Creates the curve of a scenario, including its surges.
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        let clients = &scenario.clients;
        let burst_factor = if clients.arrivals == Arrivals::Bursty {
            clients.burst_factor
        } else {
            1.0
        };
        let max_factor = scenario.max_rate_factor() * max_surge_factor(scenario) * burst_factor;
        RateCurve {
            scenario,
            max_factor,
        }
    }

    /// The factor at a second of the scenario, without bursts.
    fn factor(&self, at_s: f64) -> f64 {
        self.scenario.rate_factor(at_s) * surge_factor(self.scenario, at_s)
    }
}

/// The state of a bursty source, which alternates between bursts and rest.
#[derive(Default)]
struct BurstState {
    in_burst: bool,
    until_s: f64,
}

/// The arrivals at one proxy.
///
/// Candidates are drawn at the highest rate and accepted with a probability proportional to the
/// rate at their time (thinning), so that the draws of a proxy do not depend on other events.
pub(super) struct ArrivalProcess {
    /// The mean rate, per second.
    rate: f64,
    draws: Stream,
    burst: BurstState,
    /// The time of the last arrival in seconds, unrounded: the error of rounding to microseconds
    /// would add up at high rates.
    last_s: f64,
}

impl ArrivalProcess {
    /// Creates the process of a proxy with this mean rate per second.
    pub(super) fn new(seed: u64, proxy: u32, rate: f64) -> Self {
        ArrivalProcess {
            rate,
            draws: Stream::new(seed, Purpose::Arrivals, u64::from(proxy)),
            burst: BurstState::default(),
            last_s: 0.0,
        }
    }

    /// The time of the next arrival in seconds; `None` after the end of the scenario.
    pub(super) fn next_arrival_s(&mut self, curve: &RateCurve) -> Option<f64> {
        let at_s = match curve.scenario.clients.arrivals {
            Arrivals::Even => {
                let rate = self.rate * curve.factor(self.last_s);
                self.last_s + 1.0 / rate.max(MIN_EVEN_RATE)
            }
            _ => self.next_accepted_s(curve)?,
        };
        self.last_s = at_s;
        (at_s < curve.scenario.length_s).then_some(at_s)
    }

    fn next_accepted_s(&mut self, curve: &RateCurve) -> Option<f64> {
        let candidate_rate = self.candidate_rate(curve);
        let mut at_s = self.last_s;
        loop {
            at_s += self
                .draws
                .exponential(1.0 / candidate_rate.max(MIN_CANDIDATE_RATE));
            let factor = curve.factor(at_s) * self.burst_factor(&curve.scenario.clients, at_s);
            if self.draws.unit() * curve.max_factor <= factor {
                return Some(at_s);
            }
            if at_s > curve.scenario.length_s {
                return None;
            }
        }
    }

    fn candidate_rate(&self, curve: &RateCurve) -> f64 {
        let clients = &curve.scenario.clients;
        let cycle_s = clients.burst_s + clients.rest_s;
        let mean_burst_factor = if clients.arrivals == Arrivals::Bursty {
            (clients.burst_s * clients.burst_factor + clients.rest_s) / cycle_s
        } else {
            1.0
        };
        self.rate * curve.max_factor / mean_burst_factor
    }

    /// Advances the burst state to a second of the scenario and returns the factor there.
    fn burst_factor(&mut self, clients: &Clients, at_s: f64) -> f64 {
        if clients.arrivals != Arrivals::Bursty {
            return 1.0;
        }
        while self.burst.until_s <= at_s {
            self.burst.in_burst = !self.burst.in_burst;
            let mean_s = if self.burst.in_burst {
                clients.burst_s
            } else {
                clients.rest_s
            };
            self.burst.until_s += self.draws.exponential(mean_s);
        }
        if self.burst.in_burst {
            clients.burst_factor
        } else {
            1.0
        }
    }
}

/// The cumulative shares of the classes among all operations.
pub(super) struct ClassMix(Vec<f64>);

impl ClassMix {
    /// Creates the mix from the shares of these classes.
    pub(super) fn new(classes: &[Class]) -> Self {
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let cumulative = classes.iter().scan(0.0, |sum, class| {
            *sum += class.share / total;
            Some(*sum)
        });
        ClassMix(cumulative.collect())
    }

    /// The index of the class for a draw from [0, 1).
    pub(super) fn class_at(&self, draw: f64) -> usize {
        self.0
            .iter()
            .position(|sum| draw < *sum)
            .unwrap_or(self.0.len() - 1)
    }
}
