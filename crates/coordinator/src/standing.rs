//! Where a coordinator stands with the majority of the register's replicas, and what it answers
//! there.

use std::time::Duration;

use ironmast_schema::settings::TimingBounds;

#[cfg(test)]
mod tests;

/// Parts of the shortest bound in time: one for the loss of contact to be noticed, two for the news
/// to travel.
const PARTS_OF_SHORTEST: u32 = 3;
/// Shorter than this, slow links and busy processors would look like cuts: four questions, each
/// with a round trip round the world, or one packet sent again after a timeout.
const BOUND_LEAST: Duration = Duration::from_millis(600);

/// The age at which contact with a majority counts as lost.
///
/// What a coordinator says in its last moment of contact must reach every gate in touch within the
/// shortest bound of the rules: `config_apply_ms`, `drain_timeout_ms`, `evacuation_ms` or
/// `contact_ms`. Its word may be as old as this bound before others notice, so that the bound is a
/// third of the shortest.
pub(crate) fn contact_bound(bounds: &TimingBounds) -> Duration {
    let shortest = [
        bounds.config_apply_ms,
        bounds.drain_timeout_ms,
        bounds.evacuation_ms,
        bounds.contact_ms,
    ]
    .into_iter()
    .min()
    .unwrap_or_default();
    (Duration::from_millis(shortest) / PARTS_OF_SHORTEST).max(BOUND_LEAST)
}

/// Where a coordinator stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Standing {
    /// No majority has answered since the process began.
    Starting,
    /// A majority answers; the newest state has not been read from a quorum yet.
    CatchingUp,
    /// A majority answers and the newest state was read from a quorum since it does.
    InContact,
    /// No majority has answered a question asked within [`contact_bound`].
    OutOfContact,
    /// The process was told to end.
    Leaving,
}

impl Standing {
    /// All of them, in the order of the table.
    #[cfg(test)]
    pub(crate) const ALL: [Standing; 5] = [
        Standing::Starting,
        Standing::CatchingUp,
        Standing::InContact,
        Standing::OutOfContact,
        Standing::Leaving,
    ];

    /// What follows from whether a majority has answered within the bound.
    pub(crate) fn observed(self, majority_answers: bool) -> Standing {
        match (self, majority_answers) {
            (Standing::Starting | Standing::OutOfContact, true) => Standing::CatchingUp,
            (Standing::CatchingUp | Standing::InContact, false) => Standing::OutOfContact,
            (same, _) => same,
        }
    }

    /// What follows when the newest state has been read from a quorum.
    pub(crate) fn caught_up(self) -> Standing {
        match self {
            Standing::CatchingUp => Standing::InContact,
            same => same,
        }
    }

    /// What a request gets here. `docs/design/control.md` shows the table.
    pub(crate) fn treatment(self, request: Request) -> Treatment {
        match (request, self) {
            (
                Request::Configuration | Request::Evacuation | Request::Read,
                Standing::OutOfContact,
            ) => Treatment::Refuse,
            (Request::Configuration | Request::Evacuation | Request::Read, _) => Treatment::Decide,
            (Request::Heartbeat, Standing::InContact) => Treatment::Acknowledge,
            (Request::Draining | Request::Delete, Standing::InContact) => Treatment::Confirm,
            (Request::Heartbeat | Request::Draining | Request::Delete, _) => Treatment::Note,
            (Request::Resolve, Standing::InContact | Standing::Leaving) => Treatment::Everybody,
            (Request::Resolve, _) => Treatment::HeardHere,
            (Request::Feed, Standing::InContact) => Treatment::Fresh,
            (Request::Feed, _) => Treatment::Relay,
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
    Feed,
}

/// What a request gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Treatment {
    /// The register decides by a quorum asked after the request came; without one in time a 5xx.
    Decide,
    /// 503 at once; nothing is proposed.
    Refuse,
    /// Taken in and acknowledged.
    Acknowledge,
    /// Taken in; acknowledged once a majority of the coordinators holds it.
    Confirm,
    /// Taken in, so that nobody is called silent who spoke, and answered 503.
    Note,
    /// Names the gates that any coordinator has heard lately.
    Everybody,
    /// Names gates of the client's region whose agents have lately spoken to this coordinator
    /// itself; without any, 503.
    HeardHere,
    /// News is relayed, and beats say that it is fresh.
    Fresh,
    /// News is relayed; beats make nobody fresh.
    Relay,
}
