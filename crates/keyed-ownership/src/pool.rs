//! The permit pool of one key at its owner: the outstanding grants, the queued requests and the
//! recent demand of each gate.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::message::CompletedGrant;
use crate::timing::PermitTiming;
use crate::view::GateId;

#[cfg(test)]
mod tests;

/// How long a gate's last request counts as its demand. A pool that is too small for all demand is
/// shared in proportion to it.
const DEMAND_WINDOW: Duration = Duration::from_secs(4);

/// The maximum retry delay of a rejected gate. A gate for which no permit becomes available earlier
/// gets a pseudorandom delay between half of the maximum and the maximum.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A request that is queued until permits are available.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingRequest {
    pub gate: GateId,
    /// The sequence number of the request, unique within this incarnation of the gate.
    pub sequence: u64,
    /// The number of permits requested.
    pub requested: u32,
    /// The size of the pool in permits per window, by the gate's configuration.
    pub pool: u32,
    /// How long after sending the request the gate may use its permits.
    pub lifetime: Duration,
    /// When the owner received it, by the owner's clock.
    pub arrived: Duration,
    /// When the request is rejected unless a permit has become available.
    pub deadline: Duration,
}

/// A grant whose permits may still count in a window.
#[derive(Clone, Debug)]
struct OutstandingGrant {
    gate: GateId,
    sequence: u64,
    count: u32,
    arrived: Duration,
    /// When the permits stop counting against the pool.
    expires: Duration,
}

/// The last request of a gate.
#[derive(Clone, Copy, Debug)]
struct Demand {
    requested: u32,
    at: Duration,
}

/// The grants and requests of one key.
///
/// Rejected gates get consecutive retry times, so that each retries when a permit is available.
#[derive(Clone, Debug, Default)]
pub(crate) struct PermitPool {
    grants: Vec<OutstandingGrant>,
    pub pending: VecDeque<PendingRequest>,
    /// The end of the takeover delay; `None` while there is none.
    pub available_from: Option<Duration>,
    /// The retry time of the next rejected gate.
    next_retry: Duration,
    demand: FxHashMap<GateId, Demand>,
}

impl PermitPool {
    /// Drops expired grants and demands.
    pub(crate) fn prune(&mut self, now: Duration) {
        self.grants.retain(|grant| now < grant.expires);
        self.demand
            .retain(|_, demand| demand.at + DEMAND_WINDOW > now);
    }

    /// Whether the pool has no outstanding grant, no queued request and no recent demand.
    pub(crate) fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.pending.is_empty() && self.demand.is_empty()
    }

    /// Queues a request, which replaces an earlier one of the same gate.
    pub(crate) fn enqueue(&mut self, request: PendingRequest) {
        let demand = Demand {
            requested: request.requested,
            at: request.arrived,
        };
        self.demand.insert(request.gate, demand);
        self.pending.retain(|other| other.gate != request.gate);
        self.pending.push_back(request);
    }

    /// The number of permits that count against the pool.
    pub(crate) fn outstanding(&self) -> u32 {
        self.grants.iter().map(|grant| grant.count).sum()
    }

    /// The number of permits that a gate which requests `requested` may be granted at once: all of
    /// them while the pool covers the demand of all gates, otherwise a share in proportion to its
    /// demand, but at least one.
    pub(crate) fn fair_share(&self, requested: u32, pool: u32) -> u32 {
        let total_demand: u64 = self
            .demand
            .values()
            .map(|demand| u64::from(demand.requested))
            .sum();
        if total_demand <= u64::from(pool) {
            return requested;
        }
        let share = u64::from(pool) * u64::from(requested) / total_demand;
        u32::try_from(share)
            .unwrap_or(requested)
            .max(1)
            .min(requested)
    }

    /// Records a grant of `count` permits for the request.
    pub(crate) fn grant(&mut self, request: &PendingRequest, count: u32, timing: &PermitTiming) {
        self.grants.push(OutstandingGrant {
            gate: request.gate,
            sequence: request.sequence,
            count,
            arrived: request.arrived,
            expires: request.arrived + timing.unreported_charge(request.lifetime),
        });
    }

    /// Applies the report of a completed grant: unused permits become available again, and used
    /// ones expire by the time of the last use instead of the lifetime.
    ///
    /// The gate sent the request before it arrived here, so a use `last_used_after` after the
    /// sending is no later than `last_used_after` after the arrival.
    pub(crate) fn complete(
        &mut self,
        gate: &GateId,
        completed: &CompletedGrant,
        timing: &PermitTiming,
    ) {
        let Some(grant) = self
            .grants
            .iter_mut()
            .find(|grant| grant.gate == *gate && grant.sequence == completed.sequence)
        else {
            return;
        };
        grant.count = grant.count.min(completed.used);
        let expires = grant.arrived + completed.last_used_after + timing.charge_after_use();
        grant.expires = grant.expires.min(expires);
        self.grants.retain(|grant| grant.count > 0);
    }

    /// When the next outstanding grant expires; `None` without one.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.grants.iter().map(|grant| grant.expires).min()
    }

    /// The number of permits that will be available at `at` if none is granted before.
    pub(crate) fn available_by(&self, at: Duration, pool: u32) -> u32 {
        let outstanding = self.grants.iter().filter(|grant| grant.expires > at);
        pool.saturating_sub(outstanding.map(|grant| grant.count).sum())
    }

    /// The delay after which the gate of a rejected request may retry: until its permits are
    /// expected to be available, after those of the gates that were rejected before it.
    pub(crate) fn retry_after(
        &mut self,
        now: Duration,
        request: &PendingRequest,
        timing: &PermitTiming,
    ) -> Duration {
        let retry_at = self.next_retry.max(self.available_after_pending(now));
        if retry_at >= now + MAX_RETRY_DELAY || request.pool == 0 {
            return MAX_RETRY_DELAY.mul_f64(0.5 + 0.5 * jitter(&request.gate, request.sequence));
        }
        let time_per_permit = timing.charge_after_use() / request.pool;
        let permits = self.fair_share(request.requested, request.pool);
        self.next_retry = retry_at + time_per_permit * permits;
        retry_at - now
    }

    /// When the first permit becomes available that is not needed for the queued requests.
    fn available_after_pending(&self, now: Duration) -> Duration {
        let mut expiries: Vec<Duration> = Vec::new();
        for grant in &self.grants {
            expiries.extend(std::iter::repeat_n(grant.expires, grant.count as usize));
        }
        expiries.sort_unstable();
        let index = self.pending.len().min(expiries.len().saturating_sub(1));
        expiries.get(index).copied().unwrap_or(now).max(now)
    }
}

/// A pseudorandom number in `0.0..1.0`, hashed from the gate's address and `salt`.
fn jitter(gate: &GateId, salt: u64) -> f64 {
    let address = gate.address.to_string();
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(address.as_bytes(), salt);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
