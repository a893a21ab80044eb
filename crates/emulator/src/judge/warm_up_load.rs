//! The load of servers that are warming up, compared with their overload limit.

use std::collections::VecDeque;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

use crate::scenario::Scenario;

/// Work that reached a server while it warms up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpWork {
    /// The time of arrival.
    pub at: Micros,
    /// The number of the server.
    pub server: u32,
    /// The index of the proxy that sent the work.
    pub proxy: u32,
    /// The amount of work, in core-microseconds.
    pub work: f64,
    /// The capacity of the server at that time, in core-microseconds per microsecond.
    pub capacity: f64,
    /// Whether the proxy knew that the server had started.
    pub informed: bool,
}

/// The work that reached one server within the last window.
#[derive(Default)]
struct RecentWork {
    arrivals: VecDeque<WarmUpWork>,
    sum: f64,
    informed_sum: f64,
}

impl RecentWork {
    fn add(&mut self, arrival: WarmUpWork) {
        self.sum += arrival.work;
        self.informed_sum += arrival.informed_work();
        self.arrivals.push_back(arrival);
    }

    /// Removes work that arrived longer than `window` ago.
    fn expire(&mut self, now: Micros, window: f64) {
        let is_old = |arrival: &WarmUpWork| (now - arrival.at) as f64 > window;
        while self.arrivals.front().is_some_and(is_old) {
            let Some(oldest) = self.arrivals.pop_front() else {
                return;
            };
            self.sum -= oldest.work;
            self.informed_sum -= oldest.informed_work();
        }
    }
}

impl WarmUpWork {
    fn informed_work(&self) -> f64 {
        if self.informed { self.work } else { 0.0 }
    }
}

/// An overload: a server received more work within the window than its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Overload {
    /// The work received within the window, in core-microseconds.
    pub received: f64,
    /// The limit, in core-microseconds.
    pub limit: f64,
    /// Whether at least two thirds of the work came from proxies that knew that the server had
    /// started.
    pub avoidable: bool,
}

/// Tracks the recent load of the servers that are warming up.
pub(super) struct WarmUpLoad {
    /// The multiple of its capacity that a server can receive without being overloaded.
    multiple: f64,
    /// The length of the window, in microseconds.
    window: f64,
    /// The mean work of a request, in core-microseconds.
    mean_work: f64,
    recent: FxHashMap<u32, RecentWork>,
}

impl WarmUpLoad {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let weighted_work: f64 = scenario
            .classes
            .iter()
            .map(|class| class.share * class.work_ms * 1e3)
            .sum();
        WarmUpLoad {
            multiple: scenario.rules.overload_multiple,
            window: scenario.rules.overload_window_s * 1e6,
            mean_work: weighted_work / shares,
            recent: FxHashMap::default(),
        }
    }

    /// Adds work that reached a server. If this overloads the server, its record is cleared.
    ///
    /// The limit is the budget (multiple x capacity x window) plus an allowance for random
    /// variation: for a budget of N requests, twice the standard deviation of a Poisson count,
    /// 2 sqrt(N), and two more requests. The limit applies to the sum over all proxies.
    pub(super) fn add(&mut self, arrival: WarmUpWork) -> Option<Overload> {
        let recent = self.recent.entry(arrival.server).or_default();
        recent.add(arrival);
        recent.expire(arrival.at, self.window);
        let budget = self.multiple * arrival.capacity * self.window / self.mean_work;
        let limit = (budget + 2.0 * budget.sqrt() + 2.0) * self.mean_work;
        let (received, informed_sum) = (recent.sum, recent.informed_sum);
        if received <= limit {
            return None;
        }
        self.recent.remove(&arrival.server);
        Some(Overload {
            received,
            limit,
            avoidable: informed_sum * 3.0 >= received * 2.0,
        })
    }

    /// Discards the record of a server.
    pub(super) fn remove(&mut self, server: u32) {
        self.recent.remove(&server);
    }
}
