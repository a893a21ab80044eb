//! Load of a server: what servers report of it, and the estimate that decisions use.

use ironmast_balancer::Micros;

/// A server's report of its own load, from a response's `X-Ironmast-Server-Load` or from `GET
/// /api/report`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that are running in its slots.
    pub running: u32,
    /// Requests that are waiting in its queue.
    pub waiting: u32,
    /// Number of its slots, if it reports them.
    pub slots: Option<u32>,
    /// Use of its KV cache, if it reports it.
    pub kv_cache: Option<KvCacheUsage>,
}

/// Use of a server's KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCacheUsage {
    /// Tokens that cannot be evicted.
    pub used: u64,
    /// Capacity, in tokens.
    pub capacity: u64,
}

/// Capacity of one server, as its service configures it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityLimits {
    /// Number of slots, unless the server reports it; 0 if unknown.
    pub(crate) slots: u32,
    /// KV-cache capacity in tokens; 0 if there is no such limit.
    pub(crate) kv_cache: u64,
    /// Connections from all gates together; 0 if unlimited.
    pub(crate) connections: u32,
    /// Number of gates that share the connections.
    pub(crate) gates: u32,
}

/// KV-cache tokens that a request needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenDemand {
    /// The affinity key, if the request has one.
    pub(crate) key: Option<u64>,
    /// Tokens of the prompt prefix that requests with the same key share.
    pub(crate) shared: u64,
    /// All other tokens.
    pub(crate) own: u64,
}

impl TokenDemand {
    /// All tokens of the request.
    pub(crate) fn total(&self) -> u64 {
        self.shared + self.own
    }
}

/// An estimate of a server's load, over all gates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    /// Requests that are running or waiting.
    pub(crate) active: f64,
    /// Number of slots.
    pub(crate) slots: f64,
    /// KV-cache tokens that cannot be evicted.
    pub(crate) tokens: f64,
    /// KV-cache capacity in tokens; infinite if there is no limit.
    pub(crate) kv_cache: f64,
}

impl Load {
    /// Used fraction of the capacity, by slots or by KV cache, whichever is higher. Above 1,
    /// requests are waiting.
    pub(crate) fn utilization(&self) -> f64 {
        (self.active / self.slots).max(self.tokens / self.kv_cache)
    }

    /// True if the KV cache has capacity for that many more tokens.
    pub(crate) fn has_kv_cache_for(&self, tokens: u64) -> bool {
        self.tokens + tokens as f64 <= self.kv_cache
    }
}

/// How much a report still counts: 1 when it arrives, falling to 0 at the maximum age.
pub(crate) fn report_weight(now: Micros, reported_at: Micros, max_age: Micros) -> f64 {
    let age = now.saturating_sub(reported_at);
    (1.0 - age as f64 / max_age as f64).max(0.0)
}
