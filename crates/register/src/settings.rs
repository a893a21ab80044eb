//! Times of a node.

use std::time::Duration;

use crate::guard::Guards;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests without an answer are sent again after this time.
    pub resend: Duration,
    /// A round without a quorum is given up after this time.
    pub round_limit: Duration,
    /// How long a quorum that disagrees waits for the remaining reports.
    pub patience: Duration,
    /// A change waits for no longer than this while another proposer's round seems to be under way.
    pub deference: Duration,
    /// Bound of the first wait after a conflict; it doubles with each further one.
    pub backoff: Duration,
    /// Largest bound of a wait after a conflict.
    pub backoff_limit: Duration,
    /// A state that is held for longer without being known as chosen is read.
    pub scrub: Duration,
    /// What is known as chosen is announced this often.
    pub announce: Duration,
    /// A node that asks whether the whole system starts for the first time announces itself this
    /// often.
    pub announce_first: Duration,
    /// An initial member on an empty disk waits this long to hear all others before a majority
    /// suffices that is as empty as itself.
    pub first_start: Duration,
    /// A member that hasn't been heard for this time may be replaced.
    pub unreachable: Duration,
    /// Wait before a replica change, for each live member of smaller identity.
    pub steward_stagger: Duration,
    /// A majority that has answered no question asked within this time is out of contact.
    pub contact: Duration,
    /// Number of replicas aimed at.
    pub target: usize,
    /// Safety guards; all in force outside mutation tests.
    pub guards: Guards,
}

impl Settings {
    /// Settings for a register that bears the loss of that many replicas at once.
    #[must_use]
    pub fn bearing(losses: usize) -> Self {
        Self {
            target: 2 * losses + 1,
            ..Self::default()
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            resend: Duration::from_millis(150),
            round_limit: Duration::from_secs(1),
            patience: Duration::from_millis(60),
            deference: Duration::from_millis(300),
            backoff: Duration::from_millis(40),
            backoff_limit: Duration::from_millis(640),
            scrub: Duration::from_millis(300),
            announce: Duration::from_millis(500),
            announce_first: Duration::from_millis(100),
            first_start: Duration::from_secs(3),
            unreachable: Duration::from_millis(1_500),
            steward_stagger: Duration::from_millis(400),
            contact: Duration::from_secs(1),
            target: 3,
            guards: Guards::default(),
        }
    }
}
