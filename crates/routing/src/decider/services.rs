//! Traffic split: the order in which the services of a route are searched for a request.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use super::Decider;
use crate::limits::RetryBudget;
use crate::request::Call;
use crate::table::{Route, WeightedBackend};

impl Decider {
    /// Indexes of the services that the request may be sent to: the one that the traffic split
    /// selected, then the other backends with a positive weight as fallbacks.
    pub(super) fn services<L: RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> SmallVec<[u32; 4]> {
        if call.service.is_none() {
            self.select_service(now, call, limits);
        }
        let backends = call.request.route.spec.backends.iter();
        let others = backends
            .filter(|backend| backend.weight > 0)
            .map(|backend| &backend.service)
            .filter(|name| Some(*name) != call.service.as_ref());
        let in_order = call.service.iter().chain(others);
        in_order
            .filter_map(|name| self.table.service(name))
            .collect()
    }

    /// Selects the service of a new request by the traffic split, and records the request for the
    /// retry budget.
    fn select_service<L: RetryBudget>(&mut self, now: Micros, call: &mut Call, limits: &mut L) {
        let route = &call.request.route;
        let point = self
            .traffic_splits
            .next_point(&route.spec.name, &mut self.rng);
        let backend = backend_at(route, point).or(route.spec.backends.first());
        call.service = backend.map(|backend| backend.service.clone());
        let name = call.service.as_deref();
        if let Some(service) = name.and_then(|name| self.table.service(name)) {
            limits.deposit(now, &self.table.services()[service as usize]);
        }
    }
}

/// The backend at a point in `[0, 1)`, which the backends divide in proportion to their weights.
fn backend_at(route: &Route, point: f64) -> Option<&WeightedBackend> {
    let mut remaining = (point * route.total_weight as f64) as u64;
    route.spec.backends.iter().find(|backend| {
        let weight = u64::from(backend.weight);
        let contains_point = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        contains_point
    })
}
