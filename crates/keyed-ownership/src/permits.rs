//! Combines a gate's own quota of a bound with the permits that it requests from the owner's pool.
//!
//! A gate first uses permits that the owner has already granted, then its own quota; only then does
//! it request more permits from the owner.

use std::hash::Hash;
use std::time::Duration;

use ironmast_limits::LimitExceeded;
use ironmast_limits::retry_budget::{RetryBudget, RetryBudgetSettings};
use ironmast_limits::slow_start::SlowStartLimiter;

use crate::client::{Action, Event, PermitClient};
use crate::split::BoundSplit;
use crate::timing::PermitTiming;
use crate::view::{GateId, OwnedKey};

/// A gate's own quota of a bound, which it uses without a permit from the owner.
pub trait OwnQuota {
    /// Drops the recorded requests that no longer count at `now`.
    fn sweep(&mut self, now: Duration);
}

impl<K: Eq + Hash + Clone> OwnQuota for SlowStartLimiter<K> {
    fn sweep(&mut self, now: Duration) {
        self.sweep(now);
    }
}

/// A gate's share of a retry budget, and the size of the owner's pool.
#[derive(Clone, Debug)]
pub struct DividedRetryBudget<K> {
    own_share: RetryBudget<K>,
    /// The number of retries that the owner may have outstanding in one window.
    pool: u32,
}

impl<K: Eq + Hash + Clone> OwnQuota for DividedRetryBudget<K> {
    fn sweep(&mut self, now: Duration) {
        self.own_share.sweep(now);
    }
}

/// The permits of one gate, from its own quota `Q` and from the owners of the keys.
#[derive(Clone, Debug)]
pub struct GatePermits<K, Q> {
    own: Q,
    client: PermitClient<K>,
}

/// The permits of one gate for requests to servers that are warming up, keyed by instance.
pub type SlowStartPermits<K> = GatePermits<K, SlowStartLimiter<K>>;

/// The permits of one gate for retries, keyed by service.
pub type RetryPermits<K> = GatePermits<K, DividedRetryBudget<K>>;

impl<K: OwnedKey, Q: OwnQuota> GatePermits<K, Q> {
    /// Applies an event to the permit client and appends the resulting actions; a tick also prunes
    /// the gate's own quota.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        if matches!(event, Event::Tick) {
            self.own.sweep(now);
        }
        self.client.handle(now, event, actions);
    }

    /// When [`Event::Tick`] is due; `None` if no timer is needed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.client.next_deadline()
    }

    /// Uses a granted permit if there is one, otherwise the gate's own quota through `acquire_own`,
    /// and otherwise requests permits from the owner.
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

    /// Acquires the permit for one request to the server `key`. The request must be written at
    /// once. `split` divides the bound of that server; `waiting` is the number of requests that
    /// wait for a permit, this one included.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the time to retry; [`Action::Ready`] may permit a retry earlier.
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

    /// Charges a request that was sent without a permit to the gate's own quota.
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

    /// Adds the deposit for one client request to the service's budget. Must not be called for
    /// retries.
    pub fn deposit(&mut self, now: Duration, service: &K) {
        self.own.own_share.deposit(now, service);
    }

    /// Acquires the permit for one retry, which must be sent at once. `waiting` is the number of
    /// retries that wait for a permit, this one included.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the time to retry; [`Action::Ready`] may permit a retry earlier.
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
    /// The number of permits that the owner may have outstanding in one window.
    pool: u32,
    /// The number of requests that wait for a permit, this one included.
    waiting: u32,
}
