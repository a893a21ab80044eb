//! The causes of an ejection.

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Attempts at the server fail more often than those at the rest of its group.
    Failing,
    /// Connections to the server could not be established.
    Unreachable,
    /// The server's times to the first byte are long compared with its group's.
    Slow,
    /// Responses are outstanding, nothing was received from the server, and its health check
    /// failed.
    Unresponsive,
}
