//! A gate's permits from both sources: its own quota of a bound, and the owner's pool.
//!
//! A permit that the owner has already granted is used first, then the gate's own quota; only then
//! are more permits requested from the owner.

use std::hash::Hash;
use std::time::Duration;

use ironmast_limits::LimitExceeded;
use ironmast_limits::retry_budget::{RetryBudget, RetryBudgetSettings};
use ironmast_limits::slow_start::SlowStartLimiter;

use crate::client::{Action, Event, PermitClient};
use crate::split::BoundSplit;
use crate::timing::PermitTiming;
use crate::view::{GateId, OwnedKey};

/// The quota of a bound that a gate uses without the owner's permission.
pub trait OwnQuota {
    /// Drops what no longer counts at `now`.
    fn sweep(&mut self, now: Duration);
}

impl<K: Eq + Hash + Clone> OwnQuota for SlowStartLimiter<K> {
    fn sweep(&mut self, now: Duration) {
        self.sweep(now);
    }
}

/// A gate's share of a retry budget, with the size of the pool that the owner grants from.
#[derive(Clone, Debug)]
pub struct DividedRetryBudget<K> {
    own_share: RetryBudget<K>,
    /// Retries that the owner may have outstanding in one window.
    pool: u32,
}

impl<K: Eq + Hash + Clone> OwnQuota for DividedRetryBudget<K> {
    fn sweep(&mut self, now: Duration) {
        self.own_share.sweep(now);
    }
}

/// One gate's permits, from its own quota `Q` and from the owners of the keys.
#[derive(Clone, Debug)]
pub struct GatePermits<K, Q> {
    own: Q,
    client: PermitClient<K>,
}

/// One gate's permits for requests to servers that are warming up, by instance.
pub type SlowStartPermits<K> = GatePermits<K, SlowStartLimiter<K>>;

/// One gate's permits for retries, by service.
pub type RetryPermits<K> = GatePermits<K, DividedRetryBudget<K>>;

impl<K: OwnedKey, Q: OwnQuota> GatePermits<K, Q> {
    /// Applies an event of the client at `now`.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        if matches!(event, Event::Tick) {
            self.own.sweep(now);
        }
        self.client.handle(now, event, actions);
    }

    /// When [`Event::Tick`] is due; `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.client.next_deadline()
    }

    /// Acquires a granted permit if there is one, else one of the gate's own quota by
    /// `acquire_own`, else requests more from the owner.
    fn acquire(
        &mut self,
        request: &PoolRequest<K>,
        acquire_own: impl FnOnce(&mut Q) -> Result<(), LimitExceeded>,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        if self.client.has_permit(request.now, request.key) {
            return self.acquire_from_owner(request, actions);
        }
        let Err(own_exceeded) = acquire_own(&mut self.own) else {
            return Ok(());
        };
        self.acquire_from_owner(request, actions)
            .map_err(|exceeded| exceeded.earlier(own_exceeded))
    }

    fn acquire_from_owner(
        &mut self,
        request: &PoolRequest<K>,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        let PoolRequest {
            now,
            key,
            pool,
            waiting,
        } = *request;
        self.client.try_acquire(now, key, pool, waiting, actions)
    }
}

impl<K: OwnedKey> SlowStartPermits<K> {
    /// The permits of the gate `me`, whose process started at `started`.
    #[must_use]
    pub fn new(me: GateId, timing: PermitTiming, started: Duration) -> Self {
        Self {
            own: SlowStartLimiter::with_quota(0, timing.charge_after_use(), started),
            client: PermitClient::new(me, timing),
        }
    }

    /// Acquires the permit for one request to the server `key`, which must be written at once.
    /// `split` divides the bound of that server; `waiting` requests wait for a permit, this one
    /// included.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the moment to try again, which [`Action::Ready`] may bring forward.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        key: &K,
        split: BoundSplit,
        waiting: u32,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        let request = PoolRequest {
            now,
            key,
            pool: split.pool,
            waiting,
        };
        let acquire_own =
            |own: &mut SlowStartLimiter<K>| own.try_acquire_within(now, key, split.gate_quota);
        self.acquire(&request, acquire_own, actions)
    }

    /// Counts a request that was sent without a permit against the gate's own quota.
    pub fn record(&mut self, now: Duration, key: &K) {
        self.own.record(now, key);
    }
}

impl<K: OwnedKey> RetryPermits<K> {
    /// The permits of the gate `me`, whose process started at `started`. `split` divides the burst
    /// of `budget`, and `timing` is that of its window ([`PermitTiming::retry_burst`]).
    #[must_use]
    pub fn new(
        me: GateId,
        budget: RetryBudgetSettings,
        split: BoundSplit,
        timing: PermitTiming,
        started: Duration,
    ) -> Self {
        Self {
            own: DividedRetryBudget {
                own_share: RetryBudget::with_burst_share(budget, split.gate_quota, started),
                pool: split.pool,
            },
            client: PermitClient::new(me, timing),
        }
    }

    /// Counts a client's request to the service, which raises the budget. Retries must not be
    /// deposited.
    pub fn deposit(&mut self, now: Duration, service: &K) {
        self.own.own_share.deposit(now, service);
    }

    /// Acquires the permit for one retry, which must be sent at once. `waiting` retries wait for a
    /// permit, this one included.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the moment to try again, which [`Action::Ready`] may bring forward.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        service: &K,
        waiting: u32,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        let request = PoolRequest {
            now,
            key: service,
            pool: self.own.pool,
            waiting,
        };
        let acquire_own = |own: &mut DividedRetryBudget<K>| own.own_share.withdraw(now, service);
        self.acquire(&request, acquire_own, actions)
    }
}

/// A request for a permit from the owner's pool of a key: the arguments of
/// [`PermitClient::try_acquire`].
struct PoolRequest<'a, K> {
    now: Duration,
    key: &'a K,
    /// Permits that the owner may have outstanding in one window.
    pool: u32,
    /// The number of requests that wait for a permit, this one included.
    waiting: u32,
}
