//! Outcomes of the commands that the HTTP API submits to the node.
//!
//! The outcomes carry no HTTP statuses: [`crate::api`] maps each one to a status and a body. The
//! error texts below are part of the API, because they are sent to the caller unchanged.

use std::net::SocketAddr;

use thiserror::Error;

use crate::value::Rejection;

/// Outcome of a change of the operator's state.
pub(crate) type ChangeOutcome = Result<(), ChangeError>;

/// Reason why a change of the operator's state is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ChangeError {
    /// The change conflicts with the current state; a retry would be rejected as well.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The change was not proposed: the coordinator is out of contact with the majority.
    #[error("no majority of the coordinators is in contact")]
    OutOfContact,
    /// The change was not proposed. It would be acknowledged but not come into force here, because
    /// this version of the program cannot read the configuration that the change belongs to.
    #[error("this version of the program cannot read the configuration in place")]
    UnreadableConfiguration,
    /// The deadline passed before the change was proposed; it will not be proposed later.
    #[error("no majority of the coordinators has answered in time")]
    NoQuorum,
    /// The change was proposed and its outcome is not known; it may still be chosen.
    #[error("it may be in force or come into force")]
    Unknown,
    /// The change was applied, but contact was lost before it was acknowledged.
    #[error("it may be in force; contact was lost meanwhile")]
    ContactLostAfterApply,
    /// The change was rejected on the basis of a state that may no longer be the newest.
    #[error("contact with the other coordinators was lost")]
    ContactLost,
}

/// Outcome of a read of the configuration in force: its body, byte for byte.
pub(crate) type ReadOutcome = Result<Vec<u8>, ReadError>;

/// Reason why a read returns no configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ReadError {
    /// No configuration has been applied yet.
    #[error("there is no configuration yet")]
    NoConfiguration,
    /// The read was not submitted: the coordinator is out of contact with the majority.
    #[error("no majority of the coordinators is in contact")]
    OutOfContact,
    /// No quorum answered before the deadline.
    #[error("no majority of the coordinators has answered in time")]
    NoQuorum,
    /// A quorum answered, but contact has been lost since, so that the state may be outdated.
    #[error("contact with the other coordinators was lost")]
    ContactLost,
}

/// Outcome of a server's heartbeat or deregistration.
pub(crate) type RegistrationOutcome = Result<(), RegistrationError>;

/// Reason why a server's report is not acknowledged. The report is recorded nevertheless, except
/// for an unknown server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum RegistrationError {
    /// The coordinator is not in contact with the majority.
    #[error("no majority of the coordinators is in contact")]
    OutOfContact,
    /// The endpoint table has no entry for the server. Another coordinator may know it.
    #[error("this server is not known here")]
    UnknownServer,
    /// No majority of the coordinators acknowledged the report in time.
    #[error("no majority of the coordinators has confirmed it in time")]
    NotReplicated,
}

/// Outcome of an address resolution.
pub(crate) type ResolveOutcome = Result<Resolution, ResolveError>;

/// The gates that a client may connect to.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Resolution {
    /// Addresses of the gates, in ascending order; never empty.
    pub addresses: Vec<SocketAddr>,
    /// Time in seconds for which the client may cache the addresses.
    pub ttl_s: f64,
}

/// Reason why no address is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ResolveError {
    /// No suitable gate is known.
    #[error("no gate is known that this client may go to")]
    NoGate,
    /// This version of the program cannot read any configuration applied so far, so the gates that
    /// may serve the client are unknown.
    #[error("this version of the program cannot read the configuration in place")]
    UnreadableConfiguration,
}

/// The error to report for a change that completed while the coordinator was out of contact: the
/// earlier answer of a quorum may not hold for the newest state.
pub(crate) fn change_error_out_of_contact(outcome: ChangeOutcome) -> ChangeError {
    match outcome {
        Ok(()) => ChangeError::ContactLostAfterApply,
        Err(ChangeError::Rejected(_)) => ChangeError::ContactLost,
        Err(error) => error,
    }
}

/// The error to report for a read that completed while the coordinator was out of contact.
pub(crate) fn read_error_out_of_contact(outcome: &ReadOutcome) -> ReadError {
    match outcome {
        Ok(_) | Err(ReadError::NoConfiguration) => ReadError::ContactLost,
        Err(error) => *error,
    }
}

#[cfg(test)]
mod tests;
