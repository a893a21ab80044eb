//! What a run checks: its invariants, and the mechanisms without which one is violated.

use std::time::Duration;

use ironmast_schema::control::Liveness;

/// A mechanism that a test can remove to see that it is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A coordinator that holds a newer entry sends it again.
    ResendNewer,
    /// Nodes ignore older versions.
    Versions,
    /// Nodes send all their entries to another one periodically (anti-entropy).
    AntiEntropy,
}

/// A violated invariant.
#[derive(Debug)]
#[expect(dead_code, reason = "shown when a seed fails")]
pub(crate) enum Violation {
    /// At an agent, a server became usable again after it had drained or deregistered.
    Revived {
        agent: usize,
        server: usize,
        at: Duration,
    },
    /// An agent had not learned in time that a server drains.
    DrainLate {
        agent: usize,
        server: usize,
        at: Duration,
    },
    /// At the end a node holds another state than the actual one.
    Diverged {
        node: usize,
        server: usize,
        stored: Option<Liveness>,
    },
}
