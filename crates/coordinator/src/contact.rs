//! Where a coordinator stands with the majority of the register's replicas, and what it answers
//! there.

use std::time::Duration;

use ironmast_schema::settings::TimingBounds;

#[cfg(test)]
mod tests;

/// Parts of the shortest bound in time: one for the loss of contact to be noticed, two for the news
/// to travel.
const CONTACT_TIMEOUT_DIVISOR: u32 = 3;
/// Shorter than this, slow links and busy processors would look like cuts: four questions, each
/// with a round trip round the world, or one packet sent again after a timeout.
const MIN_CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

/// The age at which contact with a majority counts as lost.
///
/// What a coordinator says in its last moment of contact must reach every gate in touch within the
/// shortest bound of the rules: `config_apply_ms`, `drain_timeout_ms`, `evacuation_ms` or
/// `contact_ms`. Its word may be as old as this bound before others notice, so that the bound is a
/// third of the shortest.
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

/// Where a coordinator stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ContactState {
    /// No majority has answered since the process began.
    Starting,
    /// A majority answers; the newest state has not been read from a quorum yet.
    CatchingUp,
    /// A majority answers and the newest state was read from a quorum since it does.
    InContact,
    /// No majority has answered a question asked within [`contact_timeout`].
    OutOfContact,
    /// The process was told to end.
    Leaving,
}

impl ContactState {
    /// All of them, in the order of the table.
    #[cfg(test)]
    pub(crate) const ALL: [ContactState; 5] = [
        ContactState::Starting,
        ContactState::CatchingUp,
        ContactState::InContact,
        ContactState::OutOfContact,
        ContactState::Leaving,
    ];

    /// What follows from whether a majority has answered within the bound.
    pub(crate) fn observed(self, majority_answers: bool) -> ContactState {
        match (self, majority_answers) {
            (ContactState::Starting | ContactState::OutOfContact, true) => ContactState::CatchingUp,
            (ContactState::CatchingUp | ContactState::InContact, false) => {
                ContactState::OutOfContact
            }
            (same, _) => same,
        }
    }

    /// What follows when the newest state has been read from a quorum.
    pub(crate) fn caught_up(self) -> ContactState {
        match self {
            ContactState::CatchingUp => ContactState::InContact,
            same => same,
        }
    }

    /// What a request gets here. `docs/design/control.md` shows the table.
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

/// What is asked of a coordinator.
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
    /// News and beats for agents.
    Subscription,
}

/// What a request gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RequestPolicy {
    /// The register decides by a quorum asked after the request came; without one in time a 5xx.
    DecideByQuorum,
    /// 503 at once; nothing is proposed.
    Reject,
    /// Taken in and acknowledged.
    Acknowledge,
    /// Taken in; acknowledged once a majority of the coordinators holds it.
    AcknowledgeByMajority,
    /// Taken in, so that nobody is called silent who spoke, and answered 503.
    RecordOnly,
    /// Names the gates that any coordinator has heard lately.
    AllGates,
    /// Names gates of the client's region whose agents have lately spoken to this coordinator
    /// itself; without any, 503.
    DirectGates,
    /// News is relayed, and beats say that it is fresh.
    MarkFresh,
    /// News is relayed; beats make nobody fresh.
    ForwardOnly,
}
