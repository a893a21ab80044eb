//! The pool of candidates in one locality, and spillover to another region because of a long
//! prefill wait.

use ironmast_balancer::Micros;

use super::Decider;
use crate::candidates::{self, HealthFilter, Locality, Pool, SearchScope};
use crate::endpoint::Endpoint;
use crate::guards::Guard;
use crate::request::Call;

/// A server is unresponsive after this multiple of the average time to the first byte, but not
/// before the `unresponsive_after` setting.
const UNRESPONSIVE_FACTOR: f64 = 2.0;
/// Requests spill over to another region because of the prefill wait only if the wait there is
/// shorter by this factor.
const SPILLOVER_WAIT_RATIO: f64 = 4.0;

/// Parameters of one step of a search.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchStep {
    pub(super) scope: SearchScope,
    pub(super) filter: HealthFilter,
    /// Utilization below which a server accepts the request.
    pub(super) max_utilization: f64,
}

impl Decider {
    /// True if the prefill wait is long at every server of the own region and far shorter at one of
    /// another region that has capacity. The difference must be large, because the prefill that
    /// other gates have pending in another region is unknown.
    pub(super) fn spills_over_for_wait(&self, now: Micros, call: &Call, step: &SearchStep) -> bool {
        let shortest_wait = |locality, max_utilization: f64| {
            let pool = self.pool(now, call, step, locality);
            let max_utilization = step.max_utilization.min(max_utilization);
            let service = step.scope.service;
            let loads = self.candidate_loads(now, call, service, &pool, max_utilization);
            let usable = loads.iter().filter(|candidate| candidate.has_capacity);
            let waits = usable.map(|candidate| candidate.prefill_wait);
            waits.min_by(f64::total_cmp)
        };
        let min_wait = call.latency_objective() as f64 * self.settings.spillover_min_wait;
        let Some(local) = shortest_wait(Locality::Local, f64::INFINITY) else {
            return false;
        };
        if local <= min_wait || !Guard::SpilloverWait.on() {
            return false;
        }
        let remote = shortest_wait(Locality::Remote, self.settings.spillover_max_load);
        remote.is_some_and(|remote| remote * SPILLOVER_WAIT_RATIO <= local)
    }

    /// The candidates of a locality. Servers that are unresponsive, suspected by peers or in an
    /// unreachable region are used only if there are no others.
    pub(super) fn pool(
        &self,
        now: Micros,
        call: &Call,
        step: &SearchStep,
        locality: Locality,
    ) -> Pool {
        let scope = &step.scope;
        let first_byte = self.baselines.first_byte(&call.request.route);
        let timeout = (first_byte * UNRESPONSIVE_FACTOR) as Micros;
        let timeout = self.settings.unresponsive_after.max(timeout);
        let unreachable = self.unreachable_regions(now, scope, locality);
        let is_suspect = |endpoint: &Endpoint| {
            endpoint.is_unresponsive(now, timeout) || endpoint.is_suspected_by_peers(now)
        };
        // A retry goes to a server from which something was received recently.
        let needs_live_server = call.arrived_attempts() > 0 && Guard::RetryAtLiveServer.on();
        let is_avoided = |endpoint: &Endpoint| {
            Guard::UnresponsiveLast.on() && is_suspect(endpoint)
                || unreachable.contains(endpoint.region)
                || needs_live_server && !endpoint.was_heard_recently(now)
        };
        candidates::pool(
            &self.endpoints,
            scope,
            locality,
            call,
            step.filter,
            now,
            is_avoided,
        )
    }
}
