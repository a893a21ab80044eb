//! Immutable routing tables of routes, services and servers. A table is validated and built as a
//! whole, shared by reference and replaced as a whole, so that no decision sees a partial update.

mod error;
mod regions;
mod route;
mod router;
mod spec;
mod validation;

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

pub use error::TableError;
pub(crate) use regions::{RegionId, RegionSet};
pub use route::Route;
pub use router::Router;
pub use spec::{
    RouteKind, RouteSpec, ServerSpec, ServerState, ServiceSpec, TableSpec, WeightedBackend,
};
use validation::{ServiceIndex, index_services, shortest_objectives, validate_route};

/// An immutable snapshot of routes, services and servers.
#[derive(Debug)]
pub struct Table {
    /// Number of gates that share the servers, at least 1.
    pub(crate) gates: u32,
    router: Arc<Router>,
    services: Arc<Vec<ServiceSpec>>,
    /// The shortest latency objective among each service's routes, in milliseconds.
    shortest_objectives_ms: Arc<Vec<u64>>,
    service_index: Arc<ServiceIndex>,
    regions: FxHashMap<Arc<str>, RegionId>,
    servers: Vec<Arc<ServerSpec>>,
}

impl Default for Table {
    fn default() -> Self {
        Table {
            gates: 1,
            router: Arc::default(),
            services: Arc::default(),
            shortest_objectives_ms: Arc::default(),
            service_index: Arc::default(),
            regions: FxHashMap::default(),
            servers: Vec::new(),
        }
    }
}

impl Table {
    /// Validates the routes and services and builds a table. Servers of unknown services and
    /// repeated instances are left out.
    ///
    /// # Errors
    /// The first invalid route or service, or that there are more regions than a region set holds.
    pub fn build(spec: TableSpec) -> Result<Table, TableError> {
        let service_index = index_services(&spec.services)?;
        let routes: Result<Vec<Arc<Route>>, TableError> = spec
            .routes
            .into_iter()
            .map(|route| validate_route(route, &service_index))
            .collect();
        let routes = routes?;
        let table = Table {
            shortest_objectives_ms: Arc::new(shortest_objectives(&routes, &service_index)),
            router: Arc::new(Router::build(routes)?),
            services: Arc::new(spec.services),
            service_index: Arc::new(service_index),
            ..Table::default()
        };
        table.with_servers(spec.gates, spec.servers)
    }

    /// Builds a table with the same routes and services and other servers. Routes and services are
    /// shared rather than rebuilt, because the membership changes more often than the
    /// configuration.
    ///
    /// # Errors
    /// There are more regions than a region set holds.
    pub fn with_servers(&self, gates: u32, servers: Vec<ServerSpec>) -> Result<Table, TableError> {
        let mut regions = FxHashMap::default();
        let mut instances = FxHashSet::default();
        let mut listed = Vec::with_capacity(servers.len());
        for server in servers {
            let is_known = self.service_index.contains_key(&server.service);
            if !is_known || !instances.insert(server.instance.clone()) {
                continue;
            }
            let next = regions.len();
            if !regions.contains_key(&server.region) {
                if next == RegionSet::CAPACITY {
                    return Err(TableError::TooManyRegions {
                        max: RegionSet::CAPACITY,
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
            shortest_objectives_ms: self.shortest_objectives_ms.clone(),
            service_index: self.service_index.clone(),
            regions,
            servers: listed,
        })
    }

    /// Lookup of routes by host and path prefix.
    #[must_use]
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// True if the other table shares this table's routes and services.
    pub(crate) fn shares_routes(&self, other: &Table) -> bool {
        Arc::ptr_eq(&self.router, &other.router)
    }

    /// The services, in the order of [`TableSpec::services`].
    #[must_use]
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// The servers of known services, each instance once.
    #[must_use]
    pub fn servers(&self) -> &[Arc<ServerSpec>] {
        &self.servers
    }

    /// Index of a service by name.
    pub(crate) fn service(&self, name: &str) -> Option<u32> {
        self.service_index.get(name).copied()
    }

    /// The shortest latency objective among a service's routes, in milliseconds; 0 if no route
    /// leads to the service.
    pub(crate) fn latency_objective_ms(&self, service: u32) -> u64 {
        let shortest = self.shortest_objectives_ms.get(service as usize);
        shortest.copied().unwrap_or(0)
    }

    /// Index of a region by name; `None` if no listed server is in it.
    pub(crate) fn region(&self, name: &str) -> Option<RegionId> {
        self.regions.get(name).copied()
    }

    /// Number of regions that have a listed server.
    pub(crate) fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// The set of the named regions; every region if no name is given. Names of regions without a
    /// listed server add nothing.
    pub(crate) fn region_set<T: AsRef<str>>(&self, names: &[T]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ALL;
        }
        let known = names.iter().filter_map(|name| self.region(name.as_ref()));
        known.fold(RegionSet::NONE, RegionSet::with)
    }
}

#[cfg(test)]
mod tests;
