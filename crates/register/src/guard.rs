//! Safety guards that a mutation test can remove, one at a time.

/// A safety guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A promise or an acceptance is durable before it is answered.
    PersistBeforeReply,
    /// A replica answers only requests meant for its identity, and in no other name.
    IdentityCheck,
    /// Ballot counters are reserved durably before use.
    BallotReservation,
    /// A proposer completes what it finds accepted before its own change.
    CompleteAccepted,
    /// While two sets are held, both must have a majority.
    JointQuorum,
    /// The joint membership is known as chosen before the old set is left.
    JointChosenFirst,
    /// What isn't known as chosen is accepted anew before it is reported.
    ConfirmBeforeReport,
    /// A change that alters nothing is answered only once the state is accepted anew, so that what
    /// was left half-done before the answer never comes into force after it.
    FenceBeforeAnswer,
    /// A member counts as lost only once a majority of the members has not heard it.
    UnreachableByMajority,
    /// Time for which the own process stood still is no silence of the others.
    ProcessPause,
    /// An initial member on an empty disk asks the others before it votes under the initial
    /// identity.
    BootstrapCheck,
    /// An initial member that comes back from its disk without having voted waits, as at its first
    /// start, until a majority of the initial members is known to have started.
    RestartBeforeFirstVote,
    /// A node that has started tells no state as learnt before it has read one from a majority.
    ReadBeforeLearned,
}

/// Which guard a mutation test has removed; none outside test builds.
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
    pub fn keeps(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }

    /// Whether the guard is in force: always.
    #[cfg(not(feature = "mutations"))]
    pub fn keeps(self, _guard: Guard) -> bool {
        true
    }
}
