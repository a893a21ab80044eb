//! The invariants that a run checks, and the mechanisms that uphold them.

use std::time::Duration;

use ironmast_schema::control::Liveness;

/// A mechanism that a test can disable to check that the simulation then detects a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mechanism {
    /// A coordinator that receives an outdated entry sends its newer one.
    ResendNewer,
    /// Nodes ignore entries with older versions.
    Versions,
    /// Each node periodically sends all its entries to another one.
    AntiEntropy,
}

/// A violated invariant.
#[derive(Debug)]
#[expect(dead_code, reason = "shown when a seed fails")]
pub(crate) enum Violation {
    /// At an agent, a server became usable again after it had started draining or deregistered.
    Revived {
        agent: usize,
        server: usize,
        at: Duration,
    },
    /// An agent was not informed in time that a server drains.
    LateDrain {
        agent: usize,
        server: usize,
        at: Duration,
    },
    /// At the end of the run, a node holds another state of a server than the actual one.
    Diverged {
        node: usize,
        server: usize,
        stored: Option<Liveness>,
    },
}
