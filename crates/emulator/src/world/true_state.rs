//! The true state of the servers, for the ceiling.

use ironmast_balancer::{Micros, Phase, ServerId};

use super::servers::{Machine, Place, number_of};
use crate::network::Network;
use crate::policy::Truth;

pub(super) struct Seen<'a> {
    pub(super) machines: &'a [Machine],
    pub(super) places: &'a [Place],
    pub(super) network: &'a Network,
    pub(super) now: Micros,
}

impl Truth for Seen<'_> {
    fn would_take(&self, server: ServerId, zone: usize, class: usize, work: f64) -> (f64, f64) {
        const NEVER: (f64, f64) = (f64::INFINITY, f64::INFINITY);
        let Some(machine) = self.machines.get(number_of(server) as usize) else {
            return NEVER;
        };
        let degradations = || {
            self.places[machine.place as usize]
                .degradations
                .values()
                .filter(|degradation| usize::from(degradation.class) == class)
        };
        if degradations().any(|degradation| degradation.unanswered)
            || machine.server.near_overdrive()
        {
            return NEVER;
        }
        let work = work
            * degradations()
                .map(|degradation| degradation.factor)
                .product::<f64>();
        let gone = machine.vanished || machine.phase != Phase::Ready;
        if gone
            || self
                .network
                .partition_end(zone, machine.zone, self.now)
                .is_some()
        {
            return NEVER;
        }
        let way = 2.0 * self.network.base_delay(zone, machine.zone) as f64;
        let estimate = machine.server.estimate(self.now, work);
        (estimate.wait, way + estimate.total)
    }
}
