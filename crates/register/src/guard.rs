//! Safety guards, which mutation tests disable one at a time.
//!
//! Each guard names one rule on which the safety of the register depends. Guards can be disabled
//! only in builds with the feature `mutations`. There, the simulation and the model checker confirm
//! that a property is violated without the guard, which shows that they would detect its loss.

/// One rule on which the safety of the register depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A promise or an acceptance is durable before the reply is sent.
    PersistBeforeReply,
    /// A replica answers only requests addressed to its identity, and replies only under it.
    IdentityCheck,
    /// A ballot counter is used only once its reservation is durable.
    BallotReservation,
    /// A proposer that is told of an accepted proposal completes it before it proposes its own
    /// change.
    CompleteAccepted,
    /// While the membership is joint, a quorum is a majority of each of the two sets.
    JointQuorum,
    /// The old set is left only once the joint membership is known as chosen.
    JointChosenFirst,
    /// A state that isn't known as chosen is accepted again by a quorum before it is reported.
    ConfirmBeforeReport,
    /// A change without effect is answered only once the state has been accepted again, so that a
    /// proposal left incomplete before the answer can't be chosen after it.
    FenceBeforeAnswer,
    /// A member counts as lost only once a majority of the members reports it as unreachable.
    UnreachableByMajority,
    /// Time during which the node's own process was paused doesn't count towards the timeouts of
    /// other members.
    ProcessPause,
    /// An initial member with an empty disk votes under its initial identity only once the other
    /// members' reports show that the system hasn't started before.
    BootstrapCheck,
    /// An initial member that restarts from its disk and has never voted gives no vote until a
    /// majority of the initial members is known to have started.
    RestartBeforeFirstVote,
    /// After each start, a node reports no state as learned before it has read one from a majority.
    ReadBeforeLearned,
}

/// The guards in force: all of them, but for the one that a mutation test has disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    #[cfg(feature = "mutations")]
    removed: Option<Guard>,
}

impl Guards {
    /// Disables one guard and leaves all others in force.
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

    /// Whether the guard is in force; always true without the feature `mutations`.
    #[cfg(not(feature = "mutations"))]
    #[must_use]
    pub fn enforces(self, _guard: Guard) -> bool {
        true
    }
}
