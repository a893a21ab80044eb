//! Why a configuration is rejected.

use crate::invalid_fields::{InvalidFields, MalformedField};

/// Why a configuration is rejected. Each message is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The body is not the JSON of a configuration; contains the field and the parser's error.
    #[error("the configuration can't be read: {0}")]
    Malformed(MalformedField),
    /// Values of fields are out of range; contains each field with its reason.
    #[error("the configuration is invalid: {0}")]
    OutOfRange(InvalidFields),
    /// Two services have the same name; contains the name.
    #[error("service {0} is named twice")]
    DuplicateService(String),
    /// A route names a service that the configuration doesn't define.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// The weights of a route's services don't sum to a positive, finite number; contains the
    /// route's name.
    #[error("the weights of route {0} sum to 0")]
    ZeroWeightSum(String),
    /// A route has neither a backend nor a traffic split, or both; contains the route's name.
    #[error("route {0} needs either a backend or a traffic_split")]
    BackendOrSplit(String),
    /// The timeout of a route is 0; contains the route's name.
    #[error("timeout_ms of route {0} is 0")]
    ZeroTimeout(String),
}
