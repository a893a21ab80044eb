//! The true state of servers and network, for the estimates of the oracle.

use ironmast_balancer::{Micros, Phase, ServerId};

use super::servers::{Machine, Position, server_number};
use crate::fault_schedule::Degradation;
use crate::network::Network;
use crate::policy::GroundTruth;
use crate::server::Estimate;

/// The true state of the servers and the network at one time.
pub(super) struct TrueState<'a> {
    /// All machines, indexed by server number.
    pub(super) machines: &'a [Machine],
    /// All positions, by index.
    pub(super) positions: &'a [Position],
    /// The delays and partitions.
    pub(super) network: &'a Network,
    /// The current time.
    pub(super) now: Micros,
}

impl TrueState<'_> {
    fn degradations(&self, machine: &Machine, class: usize) -> impl Iterator<Item = &Degradation> {
        let position = &self.positions[machine.position as usize];
        let degradations = position.degradations.values();
        degradations.filter(move |degradation| usize::from(degradation.class) == class)
    }

    /// Whether a request from a zone would not be answered, or would overdrive the server.
    fn is_unavailable(&self, machine: &Machine, zone: usize, class: usize) -> bool {
        let is_partitioned = || {
            let partition_end = self.network.partition_end(zone, machine.zone, self.now);
            partition_end.is_some()
        };
        machine.unresponsive
            || machine.phase != Phase::Ready
            || machine.server.near_overdrive()
            || is_partitioned()
            || self
                .degradations(machine, class)
                .any(|degradation| degradation.unanswered)
    }
}

impl GroundTruth for TrueState<'_> {
    fn estimate_response(
        &self,
        server: ServerId,
        zone: usize,
        class: usize,
        work: f64,
    ) -> Estimate {
        let Some(machine) = self
            .machines
            .get(server_number(server) as usize)
            .filter(|machine| !self.is_unavailable(machine, zone, class))
        else {
            return Estimate::NEVER;
        };
        let slowdown: f64 = self
            .degradations(machine, class)
            .map(|degradation| degradation.factor)
            .product();
        let estimate = machine.server.estimate(self.now, work * slowdown);
        let round_trip = 2.0 * self.network.base_delay(zone, machine.zone) as f64;
        Estimate {
            total: round_trip + estimate.total,
            ..estimate
        }
    }
}
