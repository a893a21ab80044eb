//! The protections that tests take away one at a time, to show that they are caught. In a build for
//! use each is always on, and nothing is left of this module.

/// A protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A route keeps to its regions.
    AllowedRegions,
    /// The gate's own region comes first.
    OwnRegion,
    /// Draining servers get nothing new.
    Draining,
    /// Servers of evacuated zones get nothing.
    Evacuated,
    /// A server that another took the place of gets nothing.
    Displaced,
    /// Ejection servers are left out.
    Ejected,
    /// A cold server gets a request only under a permit.
    Permit,
    /// What may have run is not repeated unless it may.
    AtMostOnce,
    /// No more servers than the route allows.
    MaxAttempts,
    /// Repeats are paid for.
    RetryBudget,
    /// Keys move on from crowded servers.
    BoundedLoad,
    /// A server that this gate hears is there, whatever its heartbeats.
    LivenessOverHeartbeats,
    /// Keys move on from servers where prompts wait long.
    ShortPrefillWait,
    /// Keys have an order of servers.
    Rendezvous,
    /// Where prompts wait long in the own region, another one is used.
    SpilloverWait,
    /// Draws go round by shuffled round_robins.
    ShuffledRoundRobin,
    /// At most half of a group is ejected for failures.
    MaxEjectedShare,
    /// Refusals as full do not count against a server.
    OverloadIsNoFailure,
    /// A server that answers others but takes no connection is full, not gone.
    ConnectFailureOfLiveServer,
    /// Only first attempts of requests with another one left try an ejected server.
    TrialFirst,
    /// A client that leaves a server without a sign counts as a time-out of it.
    UnresponsiveCancelCounts,
    /// A server is not ejected as slow while it is crowded.
    LoadedIsNotSlow,
    /// Only what may run twice tries an ejected server.
    TrialIdempotent,
    /// No refusal for want of room while half of the places are free.
    FreeSlots,
    /// Less urgent requests leave room for others.
    PriorityReserve,
    /// Servers that owe an answer and give no sign come last.
    UnresponsiveLast,
    /// A repeat goes to a server that has just given a sign.
    RetryAtLiveServer,
    /// A region that gives no sign is left out.
    UnreachableRegion,
    /// A server that is full is left alone for a while.
    OverloadBackoff,
    /// A request is held for a short part of its objective only.
    ShortDelay,
    /// After a start requests wait for servers to become known.
    Discovery,
    /// A refusal is made only where nothing can have run.
    RejectOnlyUnexecuted,
}

#[cfg(not(test))]
impl Guard {
    /// True unless a test has taken it away.
    pub const fn on(self) -> bool {
        true
    }
}

#[cfg(test)]
pub(crate) use removal::without;

#[cfg(test)]
mod removal {
    use super::Guard;
    use std::cell::Cell;

    thread_local! {
        static REMOVED: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    impl Guard {
        /// True unless the running test has taken it away.
        pub fn on(self) -> bool {
            REMOVED.get() != Some(self)
        }
    }

    /// Runs a check without one protection.
    pub(crate) fn without<R>(guard: Guard, check: impl FnOnce() -> R) -> R {
        REMOVED.set(Some(guard));
        let result = check();
        REMOVED.set(None);
        result
    }
}
