//! The register value of these tests: a configuration with its generation.

use ironmast_register::{Decision, RegisterValue, Transition};
use serde::{Deserialize, Serialize};

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Control {
    /// Generation of the configuration; 0 before the first.
    pub generation: u64,
    /// The text, which is determined by the generation and the size.
    pub body: String,
}

/// Rejection of a change whose generation does not follow the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{in_force} is in force")]
pub(crate) struct Conflict {
    in_force: u64,
}

impl RegisterValue for Control {
    type Rejection = Conflict;
}

/// The text of a configuration: at least `bytes` bytes, determined by the generation.
pub(crate) fn body(generation: u64, bytes: usize) -> String {
    let line = format!("route of {generation}\n");
    line.repeat(bytes / line.len() + 1)
}

/// Replaces the configuration by the one of the next generation.
#[derive(Clone, Debug)]
pub(crate) struct SetGeneration {
    /// The new generation.
    pub generation: u64,
    /// Minimum size of the text in bytes.
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
