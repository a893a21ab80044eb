//! The result of a search for a server.

use ironmast_balancer::Micros;

use crate::decision::ServerHandle;
use crate::rejection::RejectionReason;

/// Whether an attempt decides the return of an ejected server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// An attempt at a server in service.
    Regular,
    /// The first attempt at a server whose ejection is over.
    Trial,
}

/// The server that a request is to be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectedServer {
    pub(super) server: ServerHandle,
    pub(super) kind: AttemptKind,
}

/// The result of a search for a server.
#[derive(Clone, Copy, Debug)]
pub(super) enum Selection {
    /// A server was found.
    Server(SelectedServer),
    /// Only servers that are warming up are left, and no permit is available. The value is the time
    /// until one may be, in microseconds.
    PermitIn(Micros),
    /// No server accepts the request.
    Unavailable(RejectionReason),
}
