//! The state of the contact with a majority of the register's replicas, and the policy for each
//! request in each state.
//!
//! A contact check is a heartbeat of the register's quorum lease
//! ([`ironmast_register::quorum_lease`]): a majority answers as long as that lease is valid.
//!
//! The states guard against a coordinator that is partitioned from the majority and still
//! acknowledges changes or serves outdated state. `docs/design/control.md` shows the state diagram
//! and the table of policies.

use std::time::Duration;

use ironmast_schema::settings::TimingBounds;

#[cfg(test)]
mod tests;

/// Divisor of the shortest bound: one third of it is for noticing the loss of contact, two thirds
/// are for the propagation of updates.
const CONTACT_TIMEOUT_DIVISOR: u32 = 3;
/// Lower limit of the contact timeout. A shorter one would mistake slow links and busy processors
/// for partitions; 600 ms leave time for four contact checks, each with a round trip around the
/// world or one retransmission.
const MIN_CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

/// Age of the last contact check answered by a majority at which contact counts as lost.
///
/// An update that a coordinator publishes just before it loses contact must reach every reachable
/// gate within the shortest of the bounds `config_apply_ms`, `drain_timeout_ms`, `evacuation_ms`
/// and `contact_ms`. Other nodes may treat the coordinator's state as fresh for the timeout after
/// its last contact; hence the timeout is a third of the shortest bound.
pub(crate) fn contact_timeout(bounds: &TimingBounds) -> Duration {
    let shortest = [
        bounds.config_apply_ms,
        bounds.drain_timeout_ms,
        bounds.evacuation_ms,
        bounds.contact_ms,
    ]
    .into_iter()
    .min()
    .unwrap_or_default();
    (Duration::from_millis(shortest) / CONTACT_TIMEOUT_DIVISOR).max(MIN_CONTACT_TIMEOUT)
}

/// State of the contact with a majority of the register's replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ContactState {
    /// No majority has answered since the process started.
    Starting,
    /// A majority answers; the newest state has not been read from a quorum yet.
    CatchingUp,
    /// A majority answers, and the newest state has been read from a quorum since contact was made.
    InContact,
    /// No majority has answered a contact check sent within [`contact_timeout`].
    OutOfContact,
    /// The process is shutting down.
    Leaving,
}

impl ContactState {
    /// All states, in the order of the columns of the table in `docs/design/control.md`.
    #[cfg(test)]
    pub(crate) const ALL: [ContactState; 5] = [
        ContactState::Starting,
        ContactState::CatchingUp,
        ContactState::InContact,
        ContactState::OutOfContact,
        ContactState::Leaving,
    ];

    /// The state after a contact check, given whether a majority has answered within
    /// [`contact_timeout`].
    pub(crate) fn after_check(self, majority_answers: bool) -> ContactState {
        match (self, majority_answers) {
            (ContactState::Starting | ContactState::OutOfContact, true) => ContactState::CatchingUp,
            (ContactState::CatchingUp | ContactState::InContact, false) => {
                ContactState::OutOfContact
            }
            (same, _) => same,
        }
    }

    /// The state after the newest state has been read from a quorum.
    pub(crate) fn after_catch_up(self) -> ContactState {
        match self {
            ContactState::CatchingUp => ContactState::InContact,
            same => same,
        }
    }

    /// The policy for a request in this state.
    pub(crate) fn policy(self, request: Request) -> RequestPolicy {
        match (request, self) {
            (
                Request::Configuration | Request::Evacuation | Request::Read,
                ContactState::OutOfContact,
            ) => RequestPolicy::Reject,
            (Request::Configuration | Request::Evacuation | Request::Read, _) => {
                RequestPolicy::DecideByQuorum
            }
            (Request::Heartbeat, ContactState::InContact) => RequestPolicy::Acknowledge,
            (Request::Draining | Request::Delete, ContactState::InContact) => {
                RequestPolicy::AcknowledgeByMajority
            }
            (Request::Heartbeat | Request::Draining | Request::Delete, _) => {
                RequestPolicy::RecordOnly
            }
            (Request::Resolve, ContactState::InContact | ContactState::Leaving) => {
                RequestPolicy::AllGates
            }
            (Request::Resolve, _) => RequestPolicy::DirectGates,
            (Request::Subscription, ContactState::InContact) => RequestPolicy::MarkFresh,
            (Request::Subscription, _) => RequestPolicy::ForwardOnly,
        }
    }
}

/// Kind of a request to a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Request {
    /// `PUT /api/config`.
    Configuration,
    /// `POST` or `DELETE /api/evacuate/ZONE`.
    Evacuation,
    /// `GET /api/config`.
    Read,
    /// `PUT /api/instances/ID` of a server that is ready.
    Heartbeat,
    /// `PUT /api/instances/ID` of a server that is `draining`.
    Draining,
    /// `DELETE /api/instances/ID`.
    Delete,
    /// `GET /api/resolve`.
    Resolve,
    /// Updates and keep-alive frames for subscribers.
    Subscription,
}

/// How a coordinator handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RequestPolicy {
    /// The register decides by a quorum contacted after the request arrived. Without a quorum
    /// before the deadline the answer is a 5xx status.
    DecideByQuorum,
    /// The answer is 503 at once; nothing is proposed to the register.
    Reject,
    /// The report is recorded and acknowledged.
    Acknowledge,
    /// The report is recorded, and acknowledged once a majority of the coordinators has received
    /// it.
    AcknowledgeByMajority,
    /// The report is recorded, so that the server does not time out, and the answer is 503.
    RecordOnly,
    /// The answer lists gates that have reported to any coordinator within the gate timeout.
    AllGates,
    /// The answer lists gates of the client's region that have reported to this coordinator itself
    /// within the gate timeout; it is 503 if there are none.
    DirectGates,
    /// Updates are forwarded, and keep-alive frames mark them as fresh.
    MarkFresh,
    /// Updates are forwarded; keep-alive frames do not mark them as fresh.
    ForwardOnly,
}
