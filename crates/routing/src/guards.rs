//! Guards: protections that unit tests switch off one at a time, to show that a test fails when the
//! protection is missing. In other builds each is always on and the condition compiles to nothing.

/// A protection, described by what holds while it is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A route uses only its allowed regions.
    AllowedRegions,
    /// Servers of the gate's own region are preferred.
    OwnRegion,
    /// Draining servers receive no new requests.
    Draining,
    /// Servers in evacuated zones receive no new requests.
    Evacuated,
    /// Servers whose address another instance took over receive no new requests.
    Displaced,
    /// Ejected servers are left out.
    Ejected,
    /// A server that is warming up receives a request only under a permit.
    Permit,
    /// A request that may have been executed is retried only if it is idempotent.
    AtMostOnce,
    /// A request arrives at servers no more often than the route's maximum number of attempts.
    MaxAttempts,
    /// Retries are withdrawn from the retry budget.
    RetryBudget,
    /// An affinity key is assigned to another server while its first one is overloaded.
    BoundedLoad,
    /// A server from which this gate receives anything counts as alive even if its heartbeats are
    /// missing.
    LivenessOverHeartbeats,
    /// An affinity key is assigned to another server while its first one has a long prefill wait.
    ShortPrefillWait,
    /// The order in which servers are tried differs by affinity key.
    Rendezvous,
    /// Another region is used while the prefill wait in the gate's own region is long.
    SpilloverWait,
    /// Round robin advances after each pick.
    ShuffledRoundRobin,
    /// At most half of a group is ejected for failures.
    MaxEjectedShare,
    /// Rejections for lack of capacity do not count as failures.
    OverloadIsNoFailure,
    /// A failed connect to a server that answers other requests counts as overload.
    ConnectFailureOfLiveServer,
    /// Only the first attempt of a request that may make another one tries an ejected server.
    TrialFirst,
    /// A request to an unresponsive server that its client cancels counts as a time-out.
    UnresponsiveCancelCounts,
    /// A loaded server is not ejected for slowness.
    LoadedIsNotSlow,
    /// Only idempotent requests try an ejected server.
    TrialIdempotent,
    /// No request is rejected for lack of capacity while half of the slots are free.
    FreeSlots,
    /// Less urgent requests leave capacity for more urgent ones.
    PriorityReserve,
    /// Unresponsive servers and those that other gates suspect are used only if no other is left.
    UnresponsiveLast,
    /// A retry goes to a server from which something was received recently.
    RetryAtLiveServer,
    /// Servers of an unreachable region are avoided, and a request that can go only there is
    /// rejected.
    UnreachableRegion,
    /// A server that rejected a request for lack of capacity receives no requests for a while.
    OverloadBackoff,
    /// A request is delayed for at most `max_delay_share` of its latency objective.
    ShortDelay,
    /// After a start, requests wait for servers to be discovered.
    Discovery,
    /// A request is rejected only if no attempt can have been executed.
    RejectOnlyUnexecuted,
}

#[cfg(not(test))]
impl Guard {
    /// Always true outside unit tests.
    #[expect(clippy::unused_self, reason = "the test build looks the guard up")]
    pub(crate) const fn on(self) -> bool {
        true
    }
}

#[cfg(test)]
pub(crate) use disabling::without;

#[cfg(test)]
mod disabling {
    use super::Guard;
    use std::cell::Cell;

    thread_local! {
        static DISABLED: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    impl Guard {
        /// True unless the running test has switched the protection off.
        pub(crate) fn on(self) -> bool {
            DISABLED.get() != Some(self)
        }
    }

    /// Runs a check with one protection switched off in this thread.
    pub(crate) fn without<R>(guard: Guard, check: impl FnOnce() -> R) -> R {
        DISABLED.set(Some(guard));
        let result = check();
        DISABLED.set(None);
        result
    }
}
