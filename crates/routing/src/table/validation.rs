//! Validation of a table's routes and services, and the values that are derived from them once per
//! configuration.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::error::TableError;
use super::route::Route;
use super::spec::{RouteSpec, ServiceSpec};

/// Positions of the services by name.
pub(super) type ServiceIndex = FxHashMap<Arc<str>, u32>;

/// Indexes services by name.
///
/// # Errors
/// Two services have the same name.
pub(super) fn index_services(services: &[ServiceSpec]) -> Result<ServiceIndex, TableError> {
    let mut by_name = ServiceIndex::default();
    for (index, service) in services.iter().enumerate() {
        if by_name.insert(service.name.clone(), index as u32).is_some() {
            return Err(TableError::DuplicateService {
                service: service.name.clone(),
            });
        }
    }
    Ok(by_name)
}

/// Validates one route.
///
/// # Errors
/// The first invalid part of the route.
pub(super) fn validate_route(
    spec: RouteSpec,
    services: &ServiceIndex,
) -> Result<Arc<Route>, TableError> {
    let route = spec.name.clone();
    let is_unknown = |service: &Arc<str>| !services.contains_key(service);
    let mut named = spec.backends.iter().map(|backend| &backend.service);
    if let Some(service) = named.find(|service| is_unknown(service)) {
        let service = service.clone();
        return Err(TableError::UnknownService { route, service });
    }
    if !spec.prefix.starts_with('/') || !spec.prefix.ends_with('/') {
        return Err(TableError::InvalidPrefix { route });
    }
    if spec.timeout_ms == 0 {
        return Err(TableError::ZeroTimeout { route });
    }
    let weights = spec
        .backends
        .iter()
        .map(|backend| u64::from(backend.weight));
    let total_weight = weights.sum();
    if total_weight == 0 {
        return Err(TableError::ZeroTotalWeight { route });
    }
    Ok(Arc::new(Route { spec, total_weight }))
}

/// The shortest latency objective among the routes of each service, in milliseconds, by the index
/// of the service; 0 for a service without a route.
pub(super) fn shortest_objectives(routes: &[Arc<Route>], services: &ServiceIndex) -> Vec<u64> {
    let mut shortest: Vec<u64> = vec![0; services.len()];
    for route in routes {
        let objective = route.latency_objective_ms();
        let named = route.spec.backends.iter();
        for service in named.filter_map(|backend| services.get(&backend.service)) {
            let known = &mut shortest[*service as usize];
            *known = match *known {
                0 => objective,
                other => other.min(objective),
            };
        }
    }
    shortest
}
