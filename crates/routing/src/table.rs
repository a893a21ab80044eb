//! Immutable tables of routes, services and servers. A table is built whole, shared and swapped
//! whole.

use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::{FxHashMap, FxHashSet};
use thiserror::Error;

use crate::router::Router;

/// What may be done with a request of a route that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A stream of events; it may be taken up at another server where `resumable`.
    Stream {
        /// Another server may go on after the last whole event.
        resumable: bool,
    },
    /// May run any number of times.
    Idempotent,
    /// May run once at the most.
    NonIdempotent,
}

impl RouteKind {
    /// True where a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedBackend {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight against the others; none is sent to a weight of 0.
    pub weight: u32,
}

/// A route as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Its name.
    pub name: Arc<str>,
    /// The host it belongs to; with a port only requests that name it too are meant.
    pub host: Box<str>,
    /// The beginning of its paths; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services behind it.
    pub backends: Vec<WeightedBackend>,
    /// To how many servers one try of a client may be sent.
    pub max_attempts: u32,
    /// How long a request may be held at the most, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds; 0 where none is told.
    pub target_latency_ms: u64,
    /// The longest pause between events of a stream that is in time, in milliseconds.
    pub max_event_gap_ms: Option<u64>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Requests with the same leading prompt parts belong to the same server.
    pub affinity: bool,
    /// The regions whose servers may serve it; all where empty.
    pub allowed_regions: Vec<Box<str>>,
}

/// A service as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Arc<str>,
    /// RegionStatus of the health check.
    pub health_check: Box<str>,
    /// Slots of a server that tells no capacity of its own; 0 where unknown.
    pub slots: u32,
    /// Memory of a server, in tokens; 0 where it has no such limit.
    pub kv_cache_tokens: u64,
    /// Connections a server accepts from all gates together; 0 where unlimited.
    pub max_connections: u32,
    /// Requests a second that a cold server bears.
    pub warmup_per_s: f64,
}

/// What a server said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Leaves: gets nothing new.
    Draining,
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// The incarnation's identity.
    pub instance: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its zone's region.
    pub region: Arc<str>,
    /// Slots; 0 takes the service's.
    pub capacity: u32,
    /// What it said last.
    pub state: ServerState,
    /// Its zone is evacuated.
    pub evacuated: bool,
    /// It may be sent a request only under a permit.
    pub warming_up: bool,
    /// Heartbeats are missing since; `None` while they come.
    pub heartbeats_missing_since: Option<Micros>,
    /// Names of the models it holds; empty where it says nothing of models.
    pub models: Vec<Box<str>>,
    /// Rises with each word of the server; a newer one lists it anew after a 421.
    pub sequence: u64,
}

/// What a table is built from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableSpec {
    /// Number of gates that share the servers; 0 counts as 1.
    pub gates: u32,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The servers.
    pub servers: Vec<ServerSpec>,
}

/// Why a table was not built.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum TableError {
    /// A route names a service that is not there.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two routes have one host and prefix.
    #[error("route `{route}` has the host and prefix of another route")]
    DuplicateRoute {
        /// The later one.
        route: Arc<str>,
    },
    /// The weights of a route sum to 0.
    #[error("the weights of route `{route}` sum to 0")]
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route `{route}` does not begin and end with a slash")]
    Prefix {
        /// The route.
        route: Arc<str>,
    },
    /// A time-out of 0.
    #[error("route `{route}` has a time-out of 0")]
    NoTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// Two services have one name.
    #[error("the service `{service}` is there twice")]
    DuplicateService {
        /// The service.
        service: Arc<str>,
    },
    /// More regions than a set holds.
    #[error("there are more than {most} regions")]
    TooManyRegions {
        /// The bound.
        most: usize,
    },
}

/// The latency objective of a route that tells none.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 1000;

/// A route of a table, shared with the requests on it.
#[derive(Debug, PartialEq)]
pub struct Route {
    /// As the operator wrote it.
    pub spec: RouteSpec,
    /// Sum of the weights.
    pub(crate) weight: u64,
}

impl Route {
    /// The latency objective in milliseconds, never 0: one that is not told is a second, within the
    /// time-out.
    pub(crate) fn latency_objective_ms(&self) -> u64 {
        match self.spec.target_latency_ms {
            0 => self.spec.timeout_ms.clamp(1, DEFAULT_LATENCY_OBJECTIVE_MS),
            told => told,
        }
    }
}

/// Position of a region in one table.
pub(crate) type RegionId = u8;

/// A set of regions of one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RegionSet(u64);

impl RegionSet {
    /// Every region.
    pub const ALL: RegionSet = RegionSet(u64::MAX);
    /// How many regions a set holds.
    pub const CAPACITY: usize = 64;

    /// The set as a number.
    pub fn bits(self) -> u64 {
        self.0
    }

    pub fn contains(self, region: RegionId) -> bool {
        self.0 >> region & 1 == 1
    }

    pub fn and(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    /// No region.
    pub const NONE: RegionSet = RegionSet(0);

    pub(crate) fn with(self, region: RegionId) -> RegionSet {
        RegionSet(self.0 | 1 << region)
    }
}

/// Routes, services and servers at one moment.
#[derive(Debug)]
pub struct Table {
    /// Number of gates that share the servers, at least 1.
    pub(crate) gates: u32,
    router: Arc<Router>,
    services: Arc<Vec<ServiceSpec>>,
    /// The shortest latency objective of each service's routes, in milliseconds.
    targets: Arc<Vec<u64>>,
    by_name: Arc<FxHashMap<Arc<str>, u32>>,
    regions: FxHashMap<Arc<str>, RegionId>,
    servers: Vec<Arc<ServerSpec>>,
}

impl Default for Table {
    fn default() -> Self {
        Table {
            gates: 1,
            router: Arc::default(),
            services: Arc::default(),
            targets: Arc::default(),
            by_name: Arc::default(),
            regions: FxHashMap::default(),
            servers: Vec::new(),
        }
    }
}

impl Table {
    /// Builds a table.
    ///
    /// # Errors
    /// Says what is wrong with a route, a service or the regions. Servers of unknown services are
    /// left out.
    pub fn build(spec: TableSpec) -> Result<Table, TableError> {
        let mut by_name = FxHashMap::default();
        for (index, service) in spec.services.iter().enumerate() {
            if by_name.insert(service.name.clone(), index as u32).is_some() {
                return Err(TableError::DuplicateService {
                    service: service.name.clone(),
                });
            }
        }
        let routes: Result<Vec<Arc<Route>>, TableError> = spec
            .routes
            .into_iter()
            .map(|route| check_route(route, &by_name))
            .collect();
        let routes = routes?;
        let table = Table {
            gates: spec.gates.max(1),
            targets: Arc::new(shortest_targets(&routes, &by_name)),
            router: Arc::new(Router::build(routes)?),
            services: Arc::new(spec.services),
            by_name: Arc::new(by_name),
            ..Table::default()
        };
        table.with_servers(spec.gates, spec.servers)
    }

    /// The same routes and services with another list of servers; cheap, for lists change more
    /// often.
    ///
    /// # Errors
    /// There are too many regions.
    pub fn with_servers(&self, gates: u32, servers: Vec<ServerSpec>) -> Result<Table, TableError> {
        let mut regions = FxHashMap::default();
        let mut seen = FxHashSet::default();
        let mut listed = Vec::with_capacity(servers.len());
        for server in servers {
            if !self.by_name.contains_key(&server.service) || !seen.insert(server.instance.clone())
            {
                continue;
            }
            let next = regions.len();
            if !regions.contains_key(&server.region) {
                if next == RegionSet::CAPACITY {
                    return Err(TableError::TooManyRegions {
                        most: RegionSet::CAPACITY,
                    });
                }
                regions.insert(server.region.clone(), next as RegionId);
            }
            listed.push(Arc::new(server));
        }
        Ok(Table {
            gates: gates.max(1),
            router: self.router.clone(),
            services: self.services.clone(),
            targets: self.targets.clone(),
            by_name: self.by_name.clone(),
            regions,
            servers: listed,
        })
    }

    /// The routes, by host and path.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// True where the other table has the very same routes and services.
    pub(crate) fn shares_routes(&self, other: &Table) -> bool {
        Arc::ptr_eq(&self.router, &other.router)
    }

    /// The services, in the order given.
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// The servers of known services, each instance once.
    pub fn servers(&self) -> &[Arc<ServerSpec>] {
        &self.servers
    }

    pub(crate) fn service(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// The shortest latency objective of a service's routes, in milliseconds; 0 where it has none.
    pub(crate) fn latency_objective_ms(&self, service: u32) -> u64 {
        self.targets.get(service as usize).copied().unwrap_or(0)
    }

    pub(crate) fn region(&self, name: &str) -> Option<RegionId> {
        self.regions.get(name).copied()
    }

    pub(crate) fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// The regions of that name; all where no name is given. Names without a server add nothing.
    pub(crate) fn region_set<T: AsRef<str>>(&self, names: &[T]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ALL;
        }
        let known = names.iter().filter_map(|name| self.region(name.as_ref()));
        known.fold(RegionSet(0), RegionSet::with)
    }
}

fn shortest_targets(routes: &[Arc<Route>], services: &FxHashMap<Arc<str>, u32>) -> Vec<u64> {
    let mut targets = vec![0; services.len()];
    for route in routes {
        for split in &route.spec.backends {
            let Some(service) = services.get(&split.service) else {
                continue;
            };
            let target = &mut targets[*service as usize];
            let here = route.latency_objective_ms();
            *target = if *target == 0 {
                here
            } else {
                here.min(*target)
            };
        }
    }
    targets
}

fn check_route(
    spec: RouteSpec,
    services: &FxHashMap<Arc<str>, u32>,
) -> Result<Arc<Route>, TableError> {
    let route = spec.name.clone();
    if let Some(split) = spec
        .backends
        .iter()
        .find(|split| !services.contains_key(&split.service))
    {
        return Err(TableError::UnknownService {
            route,
            service: split.service.clone(),
        });
    }
    if !spec.prefix.starts_with('/') || !spec.prefix.ends_with('/') {
        return Err(TableError::Prefix { route });
    }
    if spec.timeout_ms == 0 {
        return Err(TableError::NoTimeout { route });
    }
    let weight = spec
        .backends
        .iter()
        .map(|split| u64::from(split.weight))
        .sum();
    if weight == 0 {
        return Err(TableError::NoWeight { route });
    }
    Ok(Arc::new(Route { spec, weight }))
}

#[cfg(test)]
mod tests;
