//! Sums over groups of servers.
//!
//! Sums are integers in units of 2^-32, so that they do not depend on the order of changes and do
//! not drift.

use crate::api::Phase;
use crate::node::Node;

/// The number of units in 1.0.
const UNITS: f64 = 4_294_967_296.0;
/// The largest listed size that counts in full, so that the sum does not overflow.
const MAX_SIZE: f64 = 1e6;

/// A fixed-point sum of numbers, in units of 2^-32; overflows at about 2 * 10^9.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sum(i64);

impl Sum {
    pub(crate) fn add(&mut self, value: f64) {
        self.0 += units(value);
    }

    pub(crate) fn subtract(&mut self, value: f64) {
        self.0 -= units(value);
    }

    /// The sum as a float.
    pub(crate) fn value(self) -> f64 {
        self.0 as f64 / UNITS
    }

    /// The sum without `part`, a number that was added to it.
    pub(crate) fn without(mut self, part: f64) -> f64 {
        self.subtract(part);
        self.value()
    }
}

fn units(value: f64) -> i64 {
    (value * UNITS).round() as i64
}

/// Aggregates over a group of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    /// The number of servers in any phase.
    pub count: usize,
    /// The number of ejected servers in any phase.
    pub ejected_total: usize,
    /// The sum of the failure rates of servers in any phase.
    pub failure_rate: Sum,
    /// The number of ready servers that are not ejected.
    pub healthy: usize,
    /// The number of ready servers that are ejected.
    pub ejected: usize,
    /// Attempts in flight at ready servers, ejected or not.
    pub in_flight: u64,
    /// The sum of the in-flight limits of the ready servers that are not ejected.
    pub healthy_limit: Sum,
    /// The sum of the in-flight limits of the ready servers that are ejected.
    pub ejected_limit: Sum,
    /// The sum of the listed sizes, each at most [`MAX_SIZE`].
    size: Sum,
    /// The number of servers with a listed size.
    sized: usize,
}

impl Load {
    /// Adds a server to the group.
    pub(crate) fn add(&mut self, node: &Node) {
        self.merge(&Load::of(node));
    }

    /// Removes a server, which must be in the same state as when it was added.
    pub(crate) fn remove(&mut self, node: &Node) {
        let part = Load::of(node);
        self.count -= part.count;
        self.ejected_total -= part.ejected_total;
        self.failure_rate.0 -= part.failure_rate.0;
        self.healthy -= part.healthy;
        self.ejected -= part.ejected;
        self.in_flight -= part.in_flight;
        self.healthy_limit.0 -= part.healthy_limit.0;
        self.ejected_limit.0 -= part.ejected_limit.0;
        self.size.0 -= part.size.0;
        self.sized -= part.sized;
    }

    /// The aggregates of the group without `node`.
    pub(crate) fn without(mut self, node: &Node) -> Self {
        self.remove(node);
        self
    }

    /// Adds the servers of another group.
    pub(crate) fn merge(&mut self, other: &Load) {
        self.count += other.count;
        self.ejected_total += other.ejected_total;
        self.failure_rate.0 += other.failure_rate.0;
        self.healthy += other.healthy;
        self.ejected += other.ejected;
        self.in_flight += other.in_flight;
        self.healthy_limit.0 += other.healthy_limit.0;
        self.ejected_limit.0 += other.ejected_limit.0;
        self.size.0 += other.size.0;
        self.sized += other.sized;
    }

    /// The number of ready servers.
    pub(crate) fn ready(&self) -> usize {
        self.healthy + self.ejected
    }

    /// The mean of the listed sizes; 0 if no server has one.
    pub(crate) fn mean_size(&self) -> f64 {
        self.size.value() / self.sized.max(1) as f64
    }

    /// The aggregates of a group of one server.
    fn of(node: &Node) -> Self {
        let mut load = Load {
            count: 1,
            ejected_total: usize::from(node.ejected.is_some()),
            ..Load::default()
        };
        load.failure_rate.add(node.failure_rate);
        if node.server.size > 0.0 {
            load.sized = 1;
            load.size.add(node.server.size.min(MAX_SIZE));
        }
        if node.server.phase != Phase::Ready {
            return load;
        }
        load.in_flight = u64::from(node.in_flight);
        if node.ejected.is_some() {
            load.ejected = 1;
            load.ejected_limit.add(node.limit);
        } else {
            load.healthy = 1;
            load.healthy_limit.add(node.limit);
        }
        load
    }
}
