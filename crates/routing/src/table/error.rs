//! The reasons for which a table is rejected.

use std::sync::Arc;

use thiserror::Error;

/// Why a table was not built.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum TableError {
    /// A route names a service that does not exist.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The unknown service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    #[error("route `{route}` has the host and prefix of another route")]
    DuplicateRoute {
        /// The route whose host and prefix are taken.
        route: Arc<str>,
    },
    /// The weights of a route sum to 0.
    #[error("the weights of route `{route}` sum to 0")]
    ZeroTotalWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route `{route}` does not begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: Arc<str>,
    },
    /// A route has a time-out of 0.
    #[error("route `{route}` has a time-out of 0")]
    ZeroTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// Two services have the same name.
    #[error("the service `{service}` is there twice")]
    DuplicateService {
        /// The service.
        service: Arc<str>,
    },
    /// There are more regions than a region set holds.
    #[error("there are more than {max} regions")]
    TooManyRegions {
        /// The maximum number of regions.
        max: usize,
    },
}
