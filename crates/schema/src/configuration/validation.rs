//! Parses a configuration and validates it on its own. The coordinator, which knows the
//! configuration in force, checks that the generation is newer.

use std::collections::{BTreeMap, BTreeSet};

use garde::Validate as _;

use super::error::ConfigurationError;
use super::model::{Configuration, Route, Service};
use crate::invalid_fields::{InvalidFields, MalformedField};

impl Configuration {
    /// Parses and validates the JSON body of a configuration.
    ///
    /// # Errors
    /// [`ConfigurationError`] if the body is malformed or the configuration invalid; the
    /// coordinator returns its text to the sender.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let configuration = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| ConfigurationError::Malformed(MalformedField::new(error)))?;
        deserializer
            .end()
            .map_err(|error| ConfigurationError::Malformed(MalformedField::trailing(error)))?;
        validate(&configuration)?;
        Ok(configuration)
    }
}

/// Validates the values of the fields, then the references between routes and services.
fn validate(configuration: &Configuration) -> Result<(), ConfigurationError> {
    configuration
        .validate()
        .map_err(|report| ConfigurationError::OutOfRange(InvalidFields::new(report)))?;
    let services = service_names(&configuration.services)?;
    let mut routes_by_match = BTreeMap::new();
    for route in &configuration.routes {
        validate_backends(route, &services)?;
        validate_timeout(route)?;
        let matched = RouteMatch::of(route);
        if let Some(first) = routes_by_match.insert(matched, &route.name) {
            return Err(ConfigurationError::DuplicateRoute {
                first: first.clone(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

/// The host and path prefix that select a route; no two routes of a configuration may share them.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RouteMatch<'a> {
    /// In lower case: host names are compared case-insensitively (RFC 9110, section 4.2.3).
    hostname: String,
    path_prefix: &'a str,
}

impl<'a> RouteMatch<'a> {
    fn of(route: &'a Route) -> Self {
        RouteMatch {
            hostname: route.hostname.to_ascii_lowercase(),
            path_prefix: &route.path_prefix,
        }
    }
}

fn service_names(services: &[Service]) -> Result<BTreeSet<&str>, ConfigurationError> {
    let mut names = BTreeSet::new();
    for service in services {
        if !names.insert(service.name.as_str()) {
            return Err(ConfigurationError::DuplicateService(service.name.clone()));
        }
    }
    Ok(names)
}

/// Checks that a route has either a backend or a split, that its services exist, and that at least
/// one of them has a positive weight.
fn validate_backends(route: &Route, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    if route.backend.is_some() == route.traffic_split.is_some() {
        return Err(ConfigurationError::BackendOrSplit(route.name.clone()));
    }
    let backends = route.weighted_backends();
    let unknown = backends
        .iter()
        .find(|backend| !services.contains(backend.service));
    if let Some(unknown) = unknown {
        return Err(ConfigurationError::UnknownService {
            route: route.name.clone(),
            service: unknown.service.to_string(),
        });
    }
    let sum: f64 = backends.iter().map(|backend| backend.weight).sum();
    if !(sum > 0.0 && sum.is_finite()) {
        return Err(ConfigurationError::ZeroWeightSum(route.name.clone()));
    }
    Ok(())
}

fn validate_timeout(route: &Route) -> Result<(), ConfigurationError> {
    if route.timeout_ms == 0 {
        return Err(ConfigurationError::ZeroTimeout(route.name.clone()));
    }
    Ok(())
}
