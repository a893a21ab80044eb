//! The owner's side of permits: what the agent of each gate runs for the keys that it owns.
//!
//! Safety rests on three properties, none of which needs clocks to agree. An owner grants only
//! within its lease and after its takeover delay ([`PermitTiming`]). It counts each permit from the
//! receipt of the request until the last moment at which the request that uses it can share a
//! window with another. And a gate uses a permit only within its lifetime. The fencing token lets
//! gates and owners reject what is outdated earlier than that.

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

/// How long after a permit request the lease is renewed. A request that comes later waits for a
/// confirmation first.
const LEASE_RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// The shortest time between two requests for a confirmation.
const MIN_CONFIRM_INTERVAL: Duration = Duration::from_millis(150);

/// The retry delay of a gate that sent its request to a gate which does not own the key.
const MISROUTED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The time between two requests for the first confirmation of a view that no gate needs yet.
const IDLE_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// What happens to an owner.
#[derive(Clone, Debug)]
pub enum Event<K> {
    /// A view was learned.
    View(Arc<View>),
    /// A majority of the acceptors confirmed the epoch.
    EpochConfirmed(ConfirmedEpoch),
    /// A gate requests permits.
    Request(PermitRequest<K>),
    /// A gate reports completed grants.
    Release(Release<K>),
    /// Requests are to be expected until this moment, because a server is known to be warming up.
    /// The lease is renewed until then.
    ExpectRequests(Duration),
    /// The moment of [`PermitOwner::next_deadline`] has come.
    Tick,
}

/// What the driver of an owner must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<K> {
    /// Send the message to the gate.
    Send(GateId, Message<K>),
    /// Ask all acceptors for their newest epoch.
    Confirm {
        /// The epoch that must be the newest.
        epoch: u64,
        /// Now; it goes into the [`ConfirmedEpoch`] that results.
        requested_at: Duration,
    },
}

/// The owner's state. Nothing of it is on disk: a restart is a new incarnation, which waits for its
/// takeover delay.
#[derive(Clone, Debug)]
pub struct PermitOwner<K> {
    me: GateId,
    timing: PermitTiming,
    lease: Lease,
    /// When the last confirmation was requested.
    confirm_requested_at: Option<Duration>,
    /// The lease is renewed until this moment, because requests are expected until then.
    renew_until: Duration,
    /// The moment of the last event.
    now: Duration,
    pools: FxHashMap<K, PermitPool>,
}

impl<K: OwnedKey> PermitOwner<K> {
    /// The owner beside the gate `me`, whose incarnation must be new.
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

    /// Applies an event at `now`, which must be read after the event was. If the clock were read
    /// before it and the process stopped in between, a request would count from before it was sent.
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

    /// When [`Event::Tick`] is due; `None` if there is nothing to wait for.
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

    /// The request as it is queued, for no longer than its gate allows.
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

    /// Grants permits to the queued requests, in order, while there are any.
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

    /// Rejects the requests that were queued for as long as their gates allow.
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

    /// Rejects the requests whose deadline is before `until`, with that as the moment to try again.
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

    /// A grant of no permits.
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

    /// Requests a confirmation of the epoch in force.
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

    /// A confirmation is due once for each view, and after half of the lease while requests are
    /// expected.
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

/// When a queued request can be answered, or must be; `None` without one.
fn next_pool_deadline(pool: &PermitPool) -> Option<Duration> {
    let first = pool.pending.iter().map(|request| request.deadline).min()?;
    [pool.next_expiry(), pool.available_from]
        .into_iter()
        .flatten()
        .chain([first])
        .min()
}
