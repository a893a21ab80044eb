//! Operators' configurations: routes, services and limits, and their validation (PROTOCOL.md, "The
//! operator's API").
//!
//! [`Configuration::parse`] is the only function that reads a configuration from JSON. The range of
//! one field's values is an attribute of the field; rules across several fields are in
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
