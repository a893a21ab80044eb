//! The register's value in these tests: a configuration and the numbers of those taken.

use ironmast_register::{Decision, Transition};
use serde::{Deserialize, Serialize};

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Control {
    /// Its number; 0 before the first.
    pub generation: u64,
    /// Its text, which follows from its number.
    pub body: String,
}

/// The text of a configuration.
pub(crate) fn body(generation: u64, bytes: usize) -> String {
    let line = format!("route of {generation}\n");
    line.repeat(bytes / line.len() + 1)
}

/// Puts a configuration in force that follows the one before it.
#[derive(Clone, Debug)]
pub(crate) struct Put {
    /// Its number.
    pub generation: u64,
    /// Bytes of its text.
    pub bytes: usize,
}

impl Transition<Control> for Put {
    fn apply(&self, value: &Control) -> Decision<Control> {
        if self.generation <= value.generation {
            return Decision::Unchanged;
        }
        if self.generation != value.generation + 1 {
            return Decision::Reject(format!("{} is in force", value.generation));
        }
        let body = body(self.generation, self.bytes);
        Decision::Write(Control {
            generation: self.generation,
            body,
        })
    }
}
