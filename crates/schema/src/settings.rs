//! The settings file of a process: YAML, named by `IRONMAST_CONFIG` (DEPLOY.md, "Settings of a
//! process"). Unknown keys are ignored.
//!
//! [`Settings::parse`] is the only function that parses settings. The range of a field's values is
//! an attribute of the field, whose comment says what an unsuitable value leads to; with a value
//! out of range, the process does not start ([`SettingsError::Invalid`]).

mod error;
mod model;
mod read;
mod timing_bounds;

pub use error::SettingsError;
pub use model::{FaultTolerance, InternalPort, Limits, Listeners, Settings};
pub use timing_bounds::TimingBounds;

/// The environment variable that contains the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "IRONMAST_CONFIG";

#[cfg(test)]
mod tests;
