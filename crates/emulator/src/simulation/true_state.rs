//! The true state of the servers, for the ceiling.

use ironmast_balancer::{Micros, Phase, ServerId};

use super::servers::{Machine, Position, server_number};
use crate::network::Network;
use crate::policy::GroundTruth;
use crate::server::Estimate;

pub(super) struct TrueState<'a> {
    pub(super) machines: &'a [Machine],
    pub(super) positions: &'a [Position],
    pub(super) network: &'a Network,
    pub(super) now: Micros,
}

impl GroundTruth for TrueState<'_> {
    fn estimate_response(
        &self,
        server: ServerId,
        zone: usize,
        class: usize,
        work: f64,
    ) -> Estimate {
        let Some(machine) = self.machines.get(server_number(server) as usize) else {
            return Estimate::NEVER;
        };
        let degradations = || {
            self.positions[machine.position as usize]
                .degradations
                .values()
                .filter(|degradation| usize::from(degradation.class) == class)
        };
        if degradations().any(|degradation| degradation.unanswered)
            || machine.server.near_overdrive()
        {
            return Estimate::NEVER;
        }
        let work = work
            * degradations()
                .map(|degradation| degradation.factor)
                .product::<f64>();
        let gone = machine.unresponsive || machine.phase != Phase::Ready;
        if gone
            || self
                .network
                .partition_end(zone, machine.zone, self.now)
                .is_some()
        {
            return Estimate::NEVER;
        }
        let way = 2.0 * self.network.base_delay(zone, machine.zone) as f64;
        let estimate = machine.server.estimate(self.now, work);
        Estimate {
            total: way + estimate.total,
            ..estimate
        }
    }
}
