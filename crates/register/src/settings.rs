//! Settings of a node. Nearly all are durations, measured by the node's steady clock.
//!
//! The register is safe with any values, even if the nodes use different ones; only removing one of
//! [`Settings::guards`] could make it unsafe. A bad value costs availability, latency or messages,
//! as documented at each field.

use std::time::Duration;

use crate::guard::Guards;

/// Settings of a node: timeouts and intervals, the replica target, and the safety guards.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval at which unanswered requests are retransmitted. Below the round trip time between
    /// the replicas, each request is sent several times; far above it, one lost message delays a
    /// round for that long.
    pub retransmit_interval: Duration,
    /// Time after which a round without a quorum is abandoned; it starts anew with the accept
    /// phase. Below two round trips plus the time of a disk write, no change ever completes; far
    /// above, an operation behind a round that can't complete runs into its deadline. Proposals of
    /// replica changes are at least this far apart, too.
    pub round_timeout: Duration,
    /// Time for which a query whose quorum reports different ballots waits for the remaining
    /// replicas. Too short, reads fall back to an accept phase (a disk write) under load; too long,
    /// reads that race with a change are slow.
    pub disagreement_timeout: Duration,
    /// Longest time for which a change waits for another proposer's round that seems to be in
    /// progress. Zero lets concurrent proposers pre-empt one another (duelling proposers); too
    /// long, a change waits for a proposer that has crashed.
    pub max_deference: Duration,
    /// Upper bound of the random wait after the first conflict; the bound doubles with each further
    /// conflict. Too short, duelling proposers conflict again; too long, a conflict costs latency.
    pub initial_backoff: Duration,
    /// Maximum of the upper bound of the wait after a conflict. A value below
    /// [`initial_backoff`](Self::initial_backoff) replaces it.
    pub max_backoff: Duration,
    /// Age at which an accepted state that isn't known as chosen is read from a quorum, which
    /// completes it (read repair); a joint membership of that age is left. Too short, rounds in
    /// progress are disturbed; too long, a change whose proposer crashed stays undecided, and the
    /// replica set stays joint.
    pub read_repair_delay: Duration,
    /// Interval of the status messages; must be well below
    /// [`unreachable_timeout`](Self::unreachable_timeout). Too long, a replica that missed a change
    /// learns of it late.
    pub status_interval: Duration,
    /// Interval of the status messages while a node checks whether the whole system starts for the
    /// first time. Too long, the first start takes longer.
    pub bootstrap_status_interval: Duration,
    /// Time for which an initial member on an empty disk waits to hear from all other initial
    /// members. Afterwards a majority with empty disks suffices. Too short, members that start a
    /// little later take another identity; too long, a first start with a machine missing takes
    /// longer.
    pub bootstrap_timeout: Duration,
    /// Time without a message after which a member counts as unreachable and may be replaced. Too
    /// short, a member is replaced because of a few lost messages; too long, the register tolerates
    /// no further loss for that time.
    pub unreachable_timeout: Duration,
    /// Delay before a node proposes a replica change, multiplied by the number of live members with
    /// a smaller identity. Too short, several nodes propose the same change and conflict; too long,
    /// a change that the first member doesn't propose comes late.
    pub reconfiguration_stagger: Duration,
    /// Length of the quorum lease, from the sending of a heartbeat that a majority acknowledges.
    /// Below a few round trips, nodes lose the lease by chance; the longer the lease, the longer a
    /// partitioned node continues to act.
    pub quorum_lease: Duration,
    /// Target number of replicas; should be odd, since an even number costs one more replica and
    /// tolerates no more losses.
    pub target_replicas: usize,
    /// Safety guards; only mutation tests remove one.
    pub guards: Guards,
}

impl Settings {
    /// Returns the default settings with the replicas needed to stay available while `failures` of
    /// them are lost at once: `2f + 1` (Rystsov 2018, section 2).
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
