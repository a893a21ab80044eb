//! What the programs of the system read and tell each other: settings files, the operator's
//! configurations, server registrations, and the frames between coordinators, agents and gates.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod control;
pub mod registration;
pub mod settings;
