//! A gate's permissions from both sources: its own share of a bound and the owner's pool.

use std::time::Duration;

use crate::client::{Action, Client, Event};
use crate::terms::{Split, Terms};
use crate::view::{GateId, Key};
use ironmast_limits::LimitExceeded;
use ironmast_limits::retry_budget::{RetryBudget, RetryBudgetSettings};
use ironmast_limits::slow_start::SlowStartLimiter;

/// The permissions of one gate for requests to cold servers, by instance.
#[derive(Clone, Debug)]
pub struct Permits<K> {
    local: SlowStartLimiter<K>,
    client: Client<K>,
}

impl<K: Key> Permits<K> {
    /// The permits of the gate `me`, whose process started at `started`.
    #[must_use]
    pub fn new(me: GateId, terms: Terms, started: Duration) -> Self {
        let local = SlowStartLimiter::with_quota(0, terms.settles(), started);
        Self {
            local,
            client: Client::new(me, terms),
        }
    }

    /// Takes an event of the client at `now`.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        if matches!(event, Event::Tick) {
            self.local.sweep(now);
        }
        self.client.handle(now, event, actions);
    }

    /// Takes the permission for one request to the cold server `key`, which must be written at
    /// once: a held permit, else the share, else an ask to the owner. `waiting` requests wait for
    /// one, this one counted.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the moment to try again, which [`Action::Ready`] may bring forward.
    pub fn try_take(
        &mut self,
        now: Duration,
        key: &K,
        split: Split,
        waiting: u32,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        if self.client.holds(now, key) {
            return self.client.try_take(now, key, split.pool, waiting, actions);
        }
        let Err(local) = self.local.try_acquire_within(now, key, split.share) else {
            return Ok(());
        };
        self.client
            .try_take(now, key, split.pool, waiting, actions)
            .map_err(|exceeded| exceeded.earlier(local))
    }

    /// Counts a request that went without permission against the share.
    pub fn record(&mut self, now: Duration, key: &K) {
        self.local.record(now, key);
    }

    /// When [`Event::Tick`] is due; `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.client.next_wake()
    }
}

/// The permissions of one gate for repeats, by service.
#[derive(Clone, Debug)]
pub struct RetryPermits<K> {
    local: RetryBudget<K>,
    client: Client<K>,
    pool: u32,
}

impl<K: Key> RetryPermits<K> {
    /// The permissions of the gate `me`, whose process started at `started`. `split` divides the
    /// burst of `budget`, and `terms` are those of its window ([`Terms::retry`]).
    #[must_use]
    pub fn new(
        me: GateId,
        budget: RetryBudgetSettings,
        split: Split,
        terms: Terms,
        started: Duration,
    ) -> Self {
        let local = RetryBudget::with_burst_share(budget, split.share, started);
        Self {
            local,
            client: Client::new(me, terms),
            pool: split.pool,
        }
    }

    /// A client's request for a route of the service was read. Repeats must not be reported here.
    pub fn on_request(&mut self, now: Duration, service: &K) {
        self.local.deposit(now, service);
    }

    /// Takes an event of the client at `now`.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        if matches!(event, Event::Tick) {
            self.local.sweep(now);
        }
        self.client.handle(now, event, actions);
    }

    /// Takes the permission for one repeat, which must be sent at once: a held permit, else the
    /// gate's own part, else an ask to the service's owner. `waiting` repeats wait for one, this
    /// one counted.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the moment to try again, which [`Action::Ready`] may bring forward.
    pub fn try_take(
        &mut self,
        now: Duration,
        service: &K,
        waiting: u32,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        if self.client.holds(now, service) {
            return self
                .client
                .try_take(now, service, self.pool, waiting, actions);
        }
        let Err(local) = self.local.withdraw(now, service) else {
            return Ok(());
        };
        self.client
            .try_take(now, service, self.pool, waiting, actions)
            .map_err(|exceeded| exceeded.earlier(local))
    }

    /// When [`Event::Tick`] is due; `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.client.next_wake()
    }
}
