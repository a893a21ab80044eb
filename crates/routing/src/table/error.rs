//! The reasons for which a table is rejected.

use std::sync::Arc;

use thiserror::Error;

/// Why a table specification is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum TableError {
    /// A route refers to a service that does not exist.
    #[error("route `{route}` refers to the unknown service `{service}`")]
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the unknown service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    #[error("route `{route}` has the same host and prefix as another route")]
    DuplicateRoute {
        /// Name of the route that comes first in the specification.
        route: Arc<str>,
    },
    /// The weights of a route sum to 0.
    #[error("the weights of route `{route}` sum to 0")]
    ZeroTotalWeight {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route `{route}` does not begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A route has a time-out of 0.
    #[error("route `{route}` has a time-out of 0")]
    ZeroTimeout {
        /// Name of the route.
        route: Arc<str>,
    },
    /// Two services have the same name.
    #[error("service `{service}` is defined more than once")]
    DuplicateService {
        /// Name of the service.
        service: Arc<str>,
    },
    /// The servers are in more regions than a region set holds.
    #[error("the servers are in more than {max} regions")]
    TooManyRegions {
        /// The maximum number of regions.
        max: usize,
    },
}
