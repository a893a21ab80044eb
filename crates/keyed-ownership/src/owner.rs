//! The owner's side of the permit protocol, which each gate runs for the keys that it owns.
//!
//! The bound holds because of three rules, none of which needs synchronized clocks:
//!
//! - An owner grants only within its lease and after its takeover delay ([`PermitTiming`]).
//! - An owner counts each permit from the receipt of the permit request until the request that uses
//!   it can no longer share a window with another one.
//! - A gate uses a permit only within its lifetime.
//!
//! The fencing token additionally lets gates and owners reject outdated messages early.

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::confirmation::ConfirmedEpoch;
use crate::lease::{Lease, LeaseState};
use crate::message::{Grant, Message, PermitRequest, Release};
use crate::pool::{PendingRequest, PermitPool};
use crate::timing::PermitTiming;
use crate::view::{FencingToken, GateId, OwnedKey, View};

#[cfg(test)]
mod tests;

/// How long after the last permit request the lease is still renewed. A request that arrives later
/// has to wait for a confirmation.
const LEASE_RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// The minimum interval between two requests for a confirmation.
const MIN_CONFIRM_INTERVAL: Duration = Duration::from_millis(150);

/// The retry delay in the rejection of a request whose receiver does not own the key.
const MISROUTED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// How often the first confirmation of a view is requested while no permit requests are expected.
const IDLE_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// An input of [`PermitOwner::handle`].
#[derive(Clone, Debug)]
pub enum Event<K> {
    /// The gate received a view.
    View(Arc<View>),
    /// A majority of the acceptors confirmed that the epoch is the newest.
    EpochConfirmed(ConfirmedEpoch),
    /// A permit request arrived.
    Request(PermitRequest<K>),
    /// A report of completed grants arrived.
    Release(Release<K>),
    /// Permit requests are expected until this time, because a server is known to be warming up.
    /// The lease is renewed until then.
    ExpectRequests(Duration),
    /// The time returned by [`PermitOwner::next_deadline`] was reached.
    Tick,
}

/// An output of [`PermitOwner::handle`], which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<K> {
    /// Sends the message to the gate.
    Send(GateId, Message<K>),
    /// Queries all acceptors for their newest epoch.
    Confirm {
        /// The epoch that must be the newest.
        epoch: u64,
        /// The time of this action, to be copied into the resulting [`ConfirmedEpoch`].
        requested_at: Duration,
    },
}

/// The owner's state machine for the keys of one gate. None of its state is stored on disk: a
/// restarted gate has a new incarnation and waits for its takeover delay.
#[derive(Clone, Debug)]
pub struct PermitOwner<K> {
    me: GateId,
    timing: PermitTiming,
    lease: Lease,
    /// When the last confirmation was requested.
    confirm_requested_at: Option<Duration>,
    /// Until when permit requests are expected and the lease is renewed.
    renew_until: Duration,
    /// The time of the last event.
    now: Duration,
    pools: FxHashMap<K, PermitPool>,
}

impl<K: OwnedKey> PermitOwner<K> {
    /// The owner at the gate `me`, whose incarnation must be new.
    #[must_use]
    pub fn new(me: GateId, timing: PermitTiming) -> Self {
        Self {
            me,
            timing,
            lease: Lease::new(me, timing),
            confirm_requested_at: None,
            renew_until: Duration::ZERO,
            now: Duration::ZERO,
            pools: FxHashMap::default(),
        }
    }

    /// Applies an event and appends the resulting actions. `now` must be read after the event was
    /// received: if the process stalled between reading the clock and receiving a request, the
    /// request would count from a time before it was sent.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        self.now = now;
        match event {
            Event::View(view) => self.on_view(now, view, actions),
            Event::EpochConfirmed(confirmed) => self.on_confirmed(now, confirmed, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Release(release) => self.on_release(now, &release, actions),
            Event::ExpectRequests(until) => self.renew_until = self.renew_until.max(until),
            Event::Tick => self.serve_all(now, actions),
        }
        self.renew_lease(now, actions);
    }

    /// When [`Event::Tick`] is due; `None` if no timer is needed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let pools = self.pools.values().filter_map(next_pool_deadline);
        pools.chain(self.next_confirm()).min()
    }

    fn on_view(&mut self, now: Duration, view: Arc<View>, actions: &mut Vec<Action<K>>) {
        if self.lease.adopt(view) {
            self.confirm_requested_at = None;
            self.confirm(now, actions);
        }
    }

    fn on_confirmed(
        &mut self,
        now: Duration,
        confirmed: ConfirmedEpoch,
        actions: &mut Vec<Action<K>>,
    ) {
        self.lease.confirm(now, confirmed);
        self.serve_all(now, actions);
    }

    fn on_request(
        &mut self,
        now: Duration,
        request: PermitRequest<K>,
        actions: &mut Vec<Action<K>>,
    ) {
        let pending = self.pending(now, &request);
        let key = request.key;
        if let Some(pool) = self.pools.get_mut(&key) {
            for completed in &request.completed {
                pool.complete(&request.gate, completed, &self.timing);
            }
        }
        let is_misrouted =
            request.token.owner != self.me || self.lease.state(now, &key) == LeaseState::NotOwner;
        if is_misrouted {
            actions.push(self.rejection(&key, &pending, MISROUTED_RETRY_DELAY));
            return;
        }
        self.pools.entry(key.clone()).or_default().enqueue(pending);
        self.renew_until = self.renew_until.max(now + LEASE_RENEWAL_PERIOD);
        self.serve(now, &key, actions);
    }

    /// The queue entry of a request, with the deadline that its gate allows.
    fn pending(&self, now: Duration, request: &PermitRequest<K>) -> PendingRequest {
        PendingRequest {
            gate: request.gate,
            sequence: request.sequence,
            requested: request.requested,
            pool: request.pool,
            lifetime: request.lifetime,
            arrived: now,
            deadline: now + request.max_wait.min(self.timing.lifetime),
        }
    }

    fn on_release(&mut self, now: Duration, release: &Release<K>, actions: &mut Vec<Action<K>>) {
        let Some(pool) = self.pools.get_mut(&release.key) else {
            return;
        };
        for completed in &release.completed {
            pool.complete(&release.gate, completed, &self.timing);
        }
        self.serve(now, &release.key, actions);
    }

    /// Answers the queued requests of all keys that can be answered, and drops empty pools.
    fn serve_all(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let keys: Vec<K> = self.pools.keys().cloned().collect();
        for key in keys {
            self.serve(now, &key, actions);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// Answers the queued requests for `key` that can be answered.
    fn serve(&mut self, now: Duration, key: &K, actions: &mut Vec<Action<K>>) {
        if let Some(pool) = self.pools.get_mut(key) {
            pool.prune(now);
        }
        self.reject_overdue(now, key, actions);
        let state = self.lease.state(now, key);
        if let Some(pool) = self.pools.get_mut(key) {
            pool.available_from = state.available_from();
        }
        match state {
            LeaseState::Active(token) => {
                self.grant(key, token, actions);
                self.reject_surplus(now, key, actions);
            }
            LeaseState::TakeoverDelay(until) => self.reject_before(now, key, until, actions),
            LeaseState::Unconfirmed => {}
            LeaseState::NotOwner => self.reject_where(now, key, actions, |_, _| true),
        }
    }

    /// Grants permits to the queued requests, in order, while the pool has permits.
    fn grant(&mut self, key: &K, token: FencingToken, actions: &mut Vec<Action<K>>) {
        let Some(pool) = self.pools.get_mut(key) else {
            return;
        };
        while let Some(request) = pool.pending.front() {
            let available = request.pool.saturating_sub(pool.outstanding());
            let count = pool
                .fair_share(request.requested, request.pool)
                .min(available);
            if count == 0 {
                return;
            }
            let Some(request) = pool.pending.pop_front() else {
                return;
            };
            pool.grant(&request, count, &self.timing);
            let grant = Grant {
                token,
                gate: request.gate,
                sequence: request.sequence,
                key: key.clone(),
                count,
                contended: pool.outstanding() * 2 > request.pool,
                retry_after: Duration::ZERO,
            };
            actions.push(Action::Send(request.gate, Message::Grant(grant)));
        }
    }

    /// Rejects the requests whose deadline has passed.
    fn reject_overdue(&mut self, now: Duration, key: &K, actions: &mut Vec<Action<K>>) {
        self.reject_where(now, key, actions, |request, _| now >= request.deadline);
    }

    /// Rejects the requests for which no permit becomes available before their deadline.
    fn reject_surplus(&mut self, now: Duration, key: &K, actions: &mut Vec<Action<K>>) {
        let Some(pool) = self.pools.get(key) else {
            return;
        };
        let Some(last) = pool.pending.back() else {
            return;
        };
        let available = pool.available_by(last.deadline, last.pool) as usize;
        self.reject_where(now, key, actions, |_, position| position >= available);
    }

    /// Rejects the requests whose deadline is before `until`; their gates may retry at `until`.
    fn reject_before(
        &mut self,
        now: Duration,
        key: &K,
        until: Duration,
        actions: &mut Vec<Action<K>>,
    ) {
        let first = actions.len();
        self.reject_where(now, key, actions, |request, _| request.deadline < until);
        for action in &mut actions[first..] {
            if let Action::Send(_, Message::Grant(grant)) = action {
                grant.retry_after = until.saturating_sub(now);
            }
        }
    }

    /// Rejects the queued requests for which `rejects` is true, given their position in the queue.
    fn reject_where(
        &mut self,
        now: Duration,
        key: &K,
        actions: &mut Vec<Action<K>>,
        rejects: impl Fn(&PendingRequest, usize) -> bool,
    ) {
        let Some(pool) = self.pools.get_mut(key) else {
            return;
        };
        let mut rejected = Vec::new();
        for (position, request) in std::mem::take(&mut pool.pending).into_iter().enumerate() {
            if rejects(&request, position) {
                rejected.push(request);
            } else {
                pool.pending.push_back(request);
            }
        }
        for request in rejected {
            let Some(pool) = self.pools.get_mut(key) else {
                return;
            };
            let retry_after = pool.retry_after(now, &request, &self.timing);
            actions.push(self.rejection(key, &request, retry_after));
        }
    }

    /// The answer that grants no permits, and which gates treat as a rejection.
    fn rejection(&self, key: &K, request: &PendingRequest, retry_after: Duration) -> Action<K> {
        let grant = Grant {
            token: FencingToken {
                epoch: self.lease.epoch().unwrap_or(0),
                owner: self.me,
            },
            gate: request.gate,
            sequence: request.sequence,
            key: key.clone(),
            count: 0,
            contended: false,
            retry_after,
        };
        Action::Send(request.gate, Message::Grant(grant))
    }

    /// Requests a confirmation if one is due.
    fn renew_lease(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        if self.next_confirm().is_some_and(|due| due <= now) {
            self.confirm(now, actions);
        }
    }

    /// Requests a confirmation of the current epoch.
    fn confirm(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let Some(epoch) = self.lease.epoch() else {
            return;
        };
        self.confirm_requested_at = Some(now);
        actions.push(Action::Confirm {
            epoch,
            requested_at: now,
        });
    }

    /// When the next confirmation is due: once for each view, and at half of the lease while
    /// requests are expected.
    fn next_confirm(&self) -> Option<Duration> {
        self.lease.epoch()?;
        let requested_at = self.confirm_requested_at.unwrap_or(Duration::ZERO);
        let earliest = requested_at + MIN_CONFIRM_INTERVAL;
        match self.lease.leased_until() {
            Some(until) => {
                let due = earliest.max(until - self.timing.lease_duration / 2);
                (due.max(self.now) < self.renew_until).then_some(due)
            }
            None if earliest.max(self.now) < self.renew_until => Some(earliest),
            None => Some(requested_at + IDLE_CONFIRM_INTERVAL),
        }
    }
}

/// When the next queued request can or must be answered; `None` if the queue is empty.
fn next_pool_deadline(pool: &PermitPool) -> Option<Duration> {
    let first = pool.pending.iter().map(|request| request.deadline).min()?;
    [pool.next_expiry(), pool.available_from]
        .into_iter()
        .flatten()
        .chain([first])
        .min()
}
