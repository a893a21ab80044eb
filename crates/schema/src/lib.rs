//! The data formats that the programs of the system share: settings files (YAML), operators'
//! configurations and server heartbeats (JSON), and the control plane's frames (postcard).
//!
//! One crate for all of them, so that two programs can't disagree on a format. Keys and the order of
//! fields and variants are part of the formats.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod control;
mod invalid_fields;
pub mod registration;
pub mod settings;

pub use invalid_fields::InvalidFields;
