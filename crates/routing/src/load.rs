//! Load of a server: the reports of servers, and the estimate that decisions use.

use ironmast_balancer::Micros;

/// A server's report of its own load, from a response's `X-Ironmast-Server-Load` or from `GET
/// /api/report`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests that are running in the server's slots.
    pub running: u32,
    /// Number of requests that are waiting in the server's queue.
    pub waiting: u32,
    /// Number of slots; `None` if the server does not report it.
    pub slots: Option<u32>,
    /// Use of the KV cache; `None` if the server does not report it.
    pub kv_cache: Option<KvCacheUsage>,
}

/// Use of a server's KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCacheUsage {
    /// Number of tokens that cannot be evicted.
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
    /// Maximum number of connections from all gates together; 0 if unlimited.
    pub(crate) connections: u32,
    /// Number of gates that share the maximum number of connections.
    pub(crate) gates: u32,
}

/// KV-cache tokens that a request needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenDemand {
    /// Affinity key; `None` if the request has none.
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
    /// Number of requests that are running or waiting.
    pub(crate) active: f64,
    /// Number of slots.
    pub(crate) slots: f64,
    /// Number of KV-cache tokens that cannot be evicted.
    pub(crate) tokens: f64,
    /// KV-cache capacity in tokens; infinite if there is no limit.
    pub(crate) kv_cache: f64,
}

impl Load {
    /// Used fraction of the slots or of the KV cache, whichever is higher. Above 1, requests are
    /// waiting.
    pub(crate) fn utilization(&self) -> f64 {
        (self.active / self.slots).max(self.tokens / self.kv_cache)
    }

    /// True if the KV cache has capacity for that many more tokens.
    pub(crate) fn has_kv_cache_for(&self, tokens: u64) -> bool {
        self.tokens + tokens as f64 <= self.kv_cache
    }
}

/// Weight of a report: 1 when it arrives, falling linearly to 0 at the maximum age.
pub(crate) fn report_weight(now: Micros, reported_at: Micros, max_age: Micros) -> f64 {
    let age = now.saturating_sub(reported_at);
    (1.0 - age as f64 / max_age as f64).max(0.0)
}
