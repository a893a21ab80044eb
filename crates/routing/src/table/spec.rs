//! The declarative input of a [`Table`](super::Table): routes and services as the operator wrote
//! them, and servers as the membership lists them.

use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_balancer::Micros;

/// Whether a request of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The response is a stream of server-sent events.
    Stream {
        /// Whether another server may continue the stream after the last complete event.
        resumable: bool,
    },
    /// A request may be executed any number of times.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
}

impl RouteKind {
    /// True if a request that may already have been executed may be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }
}

/// One service behind a route and its weight in the traffic split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedBackend {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other backends. A backend of weight 0 receives no requests.
    pub weight: u32,
}

/// A route as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route, unique in its table.
    pub name: Arc<str>,
    /// Host that the route matches. A host with a port matches only requests that name the port.
    pub host: Box<str>,
    /// Path prefix that the route matches. It begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may be executed more than once.
    pub kind: RouteKind,
    /// The services behind the route, with the weights of the traffic split.
    pub backends: Vec<WeightedBackend>,
    /// Maximum number of servers that one request may reach, the first attempt included.
    pub max_attempts: u32,
    /// Time-out of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds. 0 means that none is configured.
    pub target_latency_ms: u64,
    /// Maximum gap between two events of a stream, in milliseconds; `None` means unlimited.
    pub max_event_gap_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests that share a prompt prefix go to the same server.
    pub affinity: bool,
    /// Regions whose servers may serve the route. Empty means every region.
    pub allowed_regions: Vec<Box<str>>,
}

/// A service as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service, unique in its table.
    pub name: Arc<str>,
    /// Request path of the health check.
    pub health_check: Box<str>,
    /// Slots of a server that reports no capacity of its own. 0 means unknown.
    pub slots: u32,
    /// KV-cache capacity of a server, in tokens. 0 means that there is no such limit.
    pub kv_cache_tokens: u64,
    /// Connections that a server accepts from all gates together. 0 means unlimited.
    pub max_connections: u32,
    /// Requests per second that a server sustains while it warms up.
    pub warmup_per_s: f64,
}

/// The state that a server announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server is shutting down gracefully and receives no new requests.
    Draining,
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Identifier of the incarnation. A table keeps only the first server with the same one.
    pub instance: Arc<str>,
    /// Name of the server's service.
    pub service: Arc<str>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: Arc<str>,
    /// Region of the zone.
    pub region: Arc<str>,
    /// Number of slots. 0 means the service's default.
    pub capacity: u32,
    /// The state that the server announced last.
    pub state: ServerState,
    /// Whether the server's zone is evacuated.
    pub evacuated: bool,
    /// Whether the server is warming up, so that each request to it needs a permit.
    pub warming_up: bool,
    /// Time since which heartbeats are missing, in microseconds; `None` while they arrive.
    pub heartbeats_missing_since: Option<Micros>,
    /// Names of the models that the server serves. Empty means that it announced none.
    pub models: Vec<Box<str>>,
    /// Sequence number of the server's announcement. A higher one makes a server that answered 421
    /// eligible again.
    pub sequence: u64,
}

/// Everything that a table is built from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableSpec {
    /// Number of gates that share the servers. 0 counts as 1.
    pub gates: u32,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The servers.
    pub servers: Vec<ServerSpec>,
}
