//! The configuration's fields, with the ranges of their values.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// A configuration of the system, as operators send it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Configuration {
    /// Version number, chosen by the operator; it must increase with each configuration.
    #[garde(skip)]
    pub generation: u64,
    /// The routes, which select a service for a request.
    #[garde(dive)]
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    #[garde(dive)]
    pub services: Vec<Service>,
    /// Limits on what clients send.
    #[serde(default)]
    #[garde(skip)]
    pub limits: ClientLimits,
}

/// The kind of a route's requests, which determines whether they are retried and hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteType {
    /// Idempotent: a request may be processed more than once.
    Safe,
    /// Not idempotent: a request is processed at most once.
    Unsafe,
    /// The response is a stream of events.
    Streaming,
}

/// A route: matches requests by host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Route {
    /// Name of the route, as error messages show it.
    #[garde(skip)]
    pub name: String,
    /// The `Host` header that the route matches, compared case-insensitively. Must not be empty.
    #[garde(length(min = 1))]
    pub hostname: String,
    /// The path prefix that the route matches; begins and ends with a slash.
    #[garde(custom(validate_path_prefix))]
    pub path_prefix: String,
    /// Kind of the route's requests.
    #[serde(rename = "type")]
    #[garde(skip)]
    pub kind: RouteType,
    /// Timeout of a request, in ms; not 0.
    #[garde(skip)]
    pub timeout_ms: u64,
    /// Latency target, in ms: a response within this time has full value.
    #[serde(default)]
    #[garde(skip)]
    pub target_latency_ms: f64,
    /// Priority of the route's requests; 0 is the highest.
    #[serde(default)]
    #[garde(skip)]
    pub priority: u32,
    /// The service, if there is only one.
    #[serde(default)]
    #[garde(skip)]
    pub backend: Option<String>,
    /// The services with their weights, if there are several.
    #[serde(default)]
    #[garde(dive)]
    pub traffic_split: Option<Vec<Split>>,
    /// Maximum number of attempts for a request that may have reached a server; each attempt is
    /// sent to another server. At least 1.
    #[serde(default = "default_max_attempts")]
    #[garde(range(min = 1))]
    pub max_attempts: u32,
    /// Whether servers are selected by the request's prompt prefix, to reuse their KV caches.
    #[serde(default)]
    #[garde(skip)]
    pub session_affinity: bool,
    /// Whether an interrupted stream may resume on another server.
    #[serde(default)]
    #[garde(skip)]
    pub resumable: bool,
    /// Target for the longest gap between events of a stream, in ms.
    #[serde(default, rename = "gap_aim_ms")]
    #[garde(skip)]
    pub event_gap_target_ms: f64,
    /// Regions whose servers may serve the route; empty means all.
    #[serde(default)]
    #[garde(skip)]
    pub allowed_regions: Vec<String>,
}

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Split {
    /// Name of the service.
    #[garde(skip)]
    pub backend: String,
    /// Weight relative to the route's other services; not negative.
    #[garde(range(min = 0.0))]
    pub weight: f64,
}

/// A service of a route with its weight relative to the route's other services.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedBackend<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Weight of the service; 1 if it is the route's only one.
    pub weight: f64,
}

/// A service: a group of interchangeable servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Service {
    /// Name of the service; unique in the configuration. Must not be empty.
    #[garde(length(min = 1))]
    pub name: String,
    /// Path of the health check of the service's servers.
    #[serde(default = "default_health_check")]
    #[garde(skip)]
    pub health_check: String,
    /// Maximum number of connections to each server, over all gates.
    #[serde(default)]
    #[garde(skip)]
    pub max_connections: u64,
    /// Duration of a server's warmup (slow start) after its start, in s.
    #[serde(default)]
    #[garde(skip)]
    pub warmup_s: f64,
    /// Rate limit of a server that is warming up, in requests per second; 0 means none.
    #[serde(default)]
    #[garde(skip)]
    pub warmup_per_s: f64,
    /// Properties of the model servers, if the service consists of such.
    #[serde(default)]
    #[garde(skip)]
    pub runtime: Option<Runtime>,
}

/// Properties of a model server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Runtime {
    /// Number of requests that the server processes concurrently.
    #[serde(default)]
    pub capacity: u64,
    /// Size of the server's KV cache, in tokens.
    #[serde(default)]
    pub kv_cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    #[serde(default)]
    pub stride: u64,
}

/// Limits on the size and duration of clients' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout until a request's head is complete, in ms.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection between requests, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Route {
    /// The services of the route with their weights; empty only in a configuration that was not
    /// validated.
    #[must_use]
    pub fn weighted_backends(&self) -> Vec<WeightedBackend<'_>> {
        match (&self.backend, &self.traffic_split) {
            (Some(backend), _) => vec![WeightedBackend {
                service: backend,
                weight: 1.0,
            }],
            (None, Some(splits)) => splits
                .iter()
                .map(|split| WeightedBackend {
                    service: &split.backend,
                    weight: split.weight,
                })
                .collect(),
            (None, None) => Vec::new(),
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "garde passes the context by reference"
)]
fn validate_path_prefix(prefix: &str, _: &()) -> garde::Result {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Ok(());
    }
    Err(garde::Error::new("begins and ends with a slash"))
}

fn default_max_attempts() -> u32 {
    1
}

fn default_health_check() -> String {
    "/healthz".to_string()
}
