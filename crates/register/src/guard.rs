//! Safety guards that a mutation test can remove, one at a time.
//!
//! Each guard names one rule that keeps the register safe. Outside test builds none can be removed.
//! In test builds the simulation and the model check that, without a guard, a property breaks: this
//! shows that the checks would notice if the rule were lost.

/// A safety guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A promise or an acceptance is durable before the reply is sent.
    PersistBeforeReply,
    /// A replica answers only requests addressed to its identity, and under no other identity.
    IdentityCheck,
    /// Ballot counters are reserved durably before use.
    BallotReservation,
    /// A proposer completes the accepted proposal that it finds before it proposes its own change.
    CompleteAccepted,
    /// While the membership is joint, both sets must have a majority.
    JointQuorum,
    /// The joint membership is known as chosen before the old set is left.
    JointChosenFirst,
    /// A state that isn't known as chosen is accepted again before it is reported.
    ConfirmBeforeReport,
    /// A change that alters nothing is answered only once the state is accepted again, so that a
    /// proposal left incomplete before the answer can never be chosen after it.
    FenceBeforeAnswer,
    /// A member counts as lost only once a majority of the members hasn't heard from it.
    UnreachableByMajority,
    /// Time for which the own process was paused doesn't count as silence of the others.
    ProcessPause,
    /// An initial member on an empty disk asks the others whether the system has started before,
    /// and only then votes under the initial identity.
    BootstrapCheck,
    /// An initial member that restarts from its disk without having voted waits, as at its first
    /// start, until a majority of the initial members is known to have started.
    RestartBeforeFirstVote,
    /// A node that has started reports no state as learned before it has read one from a majority.
    ReadBeforeLearned,
}

/// The guard that a mutation test has removed; none outside test builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    #[cfg(feature = "mutations")]
    removed: Option<Guard>,
}

impl Guards {
    /// All guards but one.
    #[cfg(feature = "mutations")]
    #[must_use]
    pub fn without(guard: Guard) -> Self {
        Self {
            removed: Some(guard),
        }
    }

    /// Whether the guard is in force.
    #[cfg(feature = "mutations")]
    #[must_use]
    pub fn enforces(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }

    /// Whether the guard is in force: always.
    #[cfg(not(feature = "mutations"))]
    #[must_use]
    pub fn enforces(self, _guard: Guard) -> bool {
        true
    }
}
