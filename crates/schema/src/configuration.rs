//! Operators' configurations: routes, services and limits, and their validation (PROTOCOL.md, "The
//! operator's API").
//!
//! [`Configuration::parse`] is the one way to read a configuration from JSON. A range of one field's
//! values stands as an attribute beside the field; what several fields must satisfy together is in
//! `validation.rs`.

mod error;
mod model;
mod validation;

pub use error::ConfigurationError;
pub use model::{
    ClientLimits, Configuration, Route, RouteType, Runtime, Service, Split, WeightedBackend,
};

#[cfg(test)]
mod tests;
