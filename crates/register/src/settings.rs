//! Settings of a node, nearly all of them times of its steady clock.
//!
//! The decisions of the register are safe with any values, also if nodes have different ones; only
//! [`Settings::guards`] could change that. A bad value costs availability, latency or messages, as
//! each field says.

use std::time::Duration;

use crate::guard::Guards;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests that are still unanswered after this time are sent again. Below the round trip time
    /// between the replicas, each request is sent several times; far above it, one lost message
    /// delays a round for that long.
    pub retransmit_interval: Duration,
    /// A round that has reached no quorum after this time is abandoned. Below two round trips plus
    /// the time of a disk write, no change ever completes; far above, an operation behind a round
    /// that can't complete runs into its deadline.
    pub round_timeout: Duration,
    /// How long a query whose quorum reports different ballots waits for the remaining replicas.
    /// Too short, reads fall back to an acceptance (a disk write) under load; too long, reads that
    /// race with a change are slow.
    pub disagreement_timeout: Duration,
    /// The longest time for which a change defers to another proposer's round that seems to be
    /// under way. Zero lets concurrent proposers pre-empt one another (duelling proposers); too
    /// long, a change waits for a proposer that has crashed.
    pub max_deference: Duration,
    /// Upper bound of the random wait after a first conflict; it doubles with each further
    /// conflict. Too short, duelling proposers meet again; too long, a conflict costs latency.
    pub initial_backoff: Duration,
    /// Largest upper bound of a wait after a conflict. Below
    /// [`initial_backoff`](Self::initial_backoff) it takes its place.
    pub max_backoff: Duration,
    /// An accepted state that isn't known as chosen after this time is read from a quorum, which
    /// completes it (read repair); a joint membership of that age is left. Too short, rounds that
    /// are under way are disturbed; too long, a change whose proposer crashed stays undecided, and
    /// the replica set stays joint.
    pub read_repair_delay: Duration,
    /// Interval of the status messages. Too long, a replica that missed a change learns of it late;
    /// must be well below [`unreachable_timeout`](Self::unreachable_timeout).
    pub status_interval: Duration,
    /// Interval of the status messages while a node checks whether the whole system starts for the
    /// first time. Too long, the first start takes longer.
    pub bootstrap_status_interval: Duration,
    /// An initial member on an empty disk waits this long to hear from all other initial members
    /// before a majority suffices whose disks are as empty as its own. Too short, members that
    /// start a little later take another identity; too long, a first start with a machine missing
    /// takes longer.
    pub bootstrap_timeout: Duration,
    /// A member from which no message has come for this time may be replaced. Too short, a member
    /// is replaced because of a few lost messages; too long, the register tolerates no further loss
    /// for that time.
    pub unreachable_timeout: Duration,
    /// Wait before a replica change is proposed, for each live member of smaller identity. Too
    /// short, several nodes propose the same change and conflict; too long, a change that the first
    /// member doesn't propose comes late.
    pub reconfiguration_stagger: Duration,
    /// Length of the quorum lease: a node that sent no heartbeat within this time that a majority
    /// has acknowledged is without a quorum. Below a few round trips, nodes lose the lease by
    /// chance; the longer it is, the longer a partitioned node goes on.
    pub quorum_lease: Duration,
    /// Number of replicas aimed at; odd. An even number costs one more replica and tolerates no
    /// more losses.
    pub target_replicas: usize,
    /// Safety guards; all are in force outside mutation tests.
    pub guards: Guards,
}

impl Settings {
    /// The default settings with as many replicas as are needed to stay available while that many
    /// are lost at once: `2f + 1` (Rystsov 2018, section 2).
    #[must_use]
    pub fn with_fault_tolerance(failures: usize) -> Self {
        Self {
            target_replicas: 2 * failures + 1,
            ..Self::default()
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retransmit_interval: Duration::from_millis(150),
            round_timeout: Duration::from_secs(1),
            disagreement_timeout: Duration::from_millis(60),
            max_deference: Duration::from_millis(300),
            initial_backoff: Duration::from_millis(40),
            max_backoff: Duration::from_millis(640),
            read_repair_delay: Duration::from_millis(300),
            status_interval: Duration::from_millis(500),
            bootstrap_status_interval: Duration::from_millis(100),
            bootstrap_timeout: Duration::from_secs(3),
            unreachable_timeout: Duration::from_millis(1_500),
            reconfiguration_stagger: Duration::from_millis(400),
            quorum_lease: Duration::from_secs(1),
            target_replicas: 3,
            guards: Guards::default(),
        }
    }
}
