//! The register's value in these tests: a configuration with its generation.

use ironmast_register::{Decision, RegisterValue, Transition};
use serde::{Deserialize, Serialize};

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Control {
    /// Its generation; 0 before the first.
    pub generation: u64,
    /// Its text, which is determined by the generation.
    pub body: String,
}

/// A change builds on another generation than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{in_force} is in force")]
pub(crate) struct Conflict {
    in_force: u64,
}

impl RegisterValue for Control {
    type Rejection = Conflict;
}

/// The text of a configuration.
pub(crate) fn body(generation: u64, bytes: usize) -> String {
    let line = format!("route of {generation}\n");
    line.repeat(bytes / line.len() + 1)
}

/// Replaces the configuration by the one of the next generation.
#[derive(Clone, Debug)]
pub(crate) struct SetGeneration {
    /// The new generation.
    pub generation: u64,
    /// Size of its text in bytes.
    pub bytes: usize,
}

impl Transition<Control> for SetGeneration {
    fn apply(&self, value: &Control) -> Decision<Control> {
        if self.generation <= value.generation {
            return Decision::Unchanged;
        }
        if self.generation != value.generation + 1 {
            return Decision::Reject(Conflict {
                in_force: value.generation,
            });
        }
        let body = body(self.generation, self.bytes);
        Decision::Write(Control {
            generation: self.generation,
            body,
        })
    }
}
