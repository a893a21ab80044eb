//! The data formats that the programs of the system share: settings files (YAML), operators'
//! configurations and server heartbeats (JSON), and the control plane's frames (postcard).
//!
//! - [`settings`] reads the settings file of a process.
//! - [`configuration`] parses and validates the configuration that operators send.
//! - [`registration`] parses the heartbeats by which servers register.
//! - [`control`] defines the frames between coordinators, agents and gates.
//!
//! All formats are defined in one crate, so that two programs cannot disagree on one. Keys and the
//! order of fields and variants are part of the formats.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod control;
mod invalid_fields;
pub mod registration;
pub mod settings;

pub use invalid_fields::InvalidFields;
