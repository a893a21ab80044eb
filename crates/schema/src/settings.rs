//! The settings file of a process: YAML, named by `IRONMAST_CONFIG` (DEPLOY.md, "Settings of a
//! process"). Unknown keys are ignored.
//!
//! [`Settings::parse`] is the one way to read settings. The range of a field's values stands as an
//! attribute beside the field, next to what a bad value leads to; a value out of range ends the start
//! of the process with [`SettingsError::Invalid`].

mod error;
mod model;
mod read;
mod timing_bounds;

pub use error::SettingsError;
pub use model::{FaultTolerance, InternalPort, Limits, Listeners, Settings};
pub use timing_bounds::TimingBounds;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "IRONMAST_CONFIG";

#[cfg(test)]
mod tests;
