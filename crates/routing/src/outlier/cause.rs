//! Why a server was ejected.

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its attempts fail more often than those of its group.
    Failing,
    /// No connection is established.
    Unreachable,
    /// Its first bytes are late compared with its group's.
    Slow,
    /// It owes responses, nothing is received from it, and its health check failed.
    Unresponsive,
}
