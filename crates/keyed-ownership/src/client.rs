//! The gate's side of the permit protocol: requests permits from the owner of a key, uses them
//! within their lifetime and reports completed grants.

mod key_state;

use std::sync::Arc;
use std::time::Duration;

use ironmast_limits::LimitExceeded;
use rustc_hash::FxHashMap;

use crate::message::{Grant, Message, PermitRequest, Release};
use crate::timing::PermitTiming;
use crate::view::{FencingToken, GateId, OwnedKey, View};

use key_state::{ActiveGrant, InFlightRequest, KeyState, MAX_WAIT, UnreportedGrant};

#[cfg(test)]
mod tests;

/// An input of [`PermitClient::handle`].
#[derive(Clone, Debug)]
pub enum Event<K> {
    /// The gate received a view.
    View(Arc<View>),
    /// An owner answered a permit request.
    Grant(Grant<K>),
    /// The time returned by [`PermitClient::next_deadline`] was reached.
    Tick,
}

/// An output of a [`PermitClient`], which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "an action is carried out at once and not stored"
)]
pub enum Action<K> {
    /// Sends the message to the gate.
    Send(GateId, Message<K>),
    /// Retries the requests that wait for a permit of the key, because permits were granted.
    Ready(K),
}

/// The state machine of one gate that requests and uses permits.
#[derive(Clone, Debug)]
pub struct PermitClient<K> {
    me: GateId,
    timing: PermitTiming,
    view: Option<Arc<View>>,
    sequence: u64,
    keys: FxHashMap<K, KeyState>,
}

/// The permits of a key that the gate needs from the owner.
#[derive(Clone, Copy, Debug)]
struct Shortfall {
    /// The number of permits to request, which is capped at `pool`.
    permits: u32,
    /// The number of permits that the owner may have outstanding in one window, by the gate's
    /// configuration.
    pool: u32,
    purpose: Purpose,
}

/// Why permits are requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Requests wait for a permit.
    Waiting,
    /// Requests are expected, by the gate's recent rate.
    Prefetch,
}

impl Purpose {
    /// The purpose of a gate that expects to need `prefetch` permits soon.
    fn by_prefetch(prefetch: u32) -> Self {
        if prefetch > 0 {
            Self::Prefetch
        } else {
            Self::Waiting
        }
    }
}

impl<K: OwnedKey> PermitClient<K> {
    /// The client of the gate `me`, whose incarnation must be new.
    #[must_use]
    pub fn new(me: GateId, timing: PermitTiming) -> Self {
        Self {
            me,
            timing,
            view: None,
            sequence: 0,
            keys: FxHashMap::default(),
        }
    }

    /// Applies an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        match event {
            Event::View(view) => self.on_view(view),
            Event::Grant(grant) => self.on_grant(now, grant, actions),
            Event::Tick => self.on_tick(now, actions),
        }
    }

    /// Uses a permit of `key` for one request, which must be written to the server at once. If the
    /// gate has no permit, or few for its recent rate, requests permits from the owner.
    ///
    /// `pool` is the number of permits that the owner may have outstanding in one window, by the
    /// gate's configuration; `waiting` is the number of requests that wait for a permit, this one
    /// included.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the time to retry if the gate has no permit; [`Action::Ready`] may
    /// permit a retry earlier.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        key: &K,
        pool: u32,
        waiting: u32,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        let state = self.keys.entry(key.clone()).or_default();
        state.expire(now);
        let acquired = state.take_permit(now);
        let prefetch = state.prefetch(now, self.timing.lifetime);
        let remaining = state.remaining();
        let permits = if !acquired {
            waiting.max(1).max(prefetch)
        } else if remaining * 2 < prefetch {
            prefetch - remaining
        } else {
            0
        };
        if permits > 0 {
            let shortfall = Shortfall {
                permits,
                pool,
                purpose: Purpose::by_prefetch(prefetch),
            };
            self.request(now, key, shortfall, actions);
        }
        if !acquired {
            return Err(self.exceeded(key));
        }
        if let Some(state) = self.keys.get_mut(key) {
            report_urgent(self.me, key, state, actions);
        }
        Ok(())
    }

    /// Whether the gate has a permit for `key`, so that [`try_acquire`](Self::try_acquire) would
    /// succeed.
    #[must_use]
    pub fn has_permit(&self, now: Duration, key: &K) -> bool {
        self.keys
            .get(key)
            .is_some_and(|state| state.has_permit(now))
    }

    /// When [`Event::Tick`] is due; `None` if no timer is needed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.keys.values().filter_map(KeyState::next_expiry).min()
    }

    fn on_view(&mut self, view: Arc<View>) {
        let is_newer = self
            .view
            .as_ref()
            .is_none_or(|known| known.epoch < view.epoch);
        if is_newer {
            self.view = Some(view);
        }
    }

    fn on_grant(&mut self, now: Duration, grant: Grant<K>, actions: &mut Vec<Action<K>>) {
        if grant.gate != self.me {
            return;
        }
        let Some(state) = self.keys.get_mut(&grant.key) else {
            return;
        };
        state.expire(now);
        let Some(request) = state
            .in_flight
            .take_if(|request| request.sequence == grant.sequence)
        else {
            return;
        };
        state.record_round_trip(now.saturating_sub(request.sent));
        if grant.count == 0 {
            state.not_before = now + grant.retry_after;
            state.rejected = true;
            return;
        }
        if grant.token.epoch < state.fencing_epoch {
            state.add_unreported(UnreportedGrant::unused(request));
            return;
        }
        state.fencing_epoch = grant.token.epoch;
        state.rejected = false;
        state.grants.push(ActiveGrant::new(request, &grant));
        actions.push(Action::Ready(grant.key));
    }

    fn on_tick(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let charge = self.timing.unreported_charge(self.timing.lifetime);
        for (key, state) in &mut self.keys {
            state.expire(now);
            report_urgent(self.me, key, state, actions);
            // The owner no longer counts older grants, so they need no report.
            state.unreported.retain(|grant| grant.sent + charge > now);
        }
        self.keys.retain(|_, state| !state.is_idle(now));
    }

    /// Requests permits from the owner, unless a request is in flight or the retry delay of a
    /// rejection has not passed.
    fn request(
        &mut self,
        now: Duration,
        key: &K,
        shortfall: Shortfall,
        actions: &mut Vec<Action<K>>,
    ) {
        let Some(view) = &self.view else { return };
        let Some(state) = self.keys.get_mut(key) else {
            return;
        };
        if state.in_flight.is_some() || now < state.not_before || shortfall.pool == 0 {
            return;
        }
        let Some(owner) = state.owner_in(view, key) else {
            return;
        };
        self.sequence += 1;
        let (lifetime, max_wait) = match shortfall.purpose {
            Purpose::Prefetch => (self.timing.lifetime, MAX_WAIT),
            Purpose::Waiting => (state.lifetime(&self.timing), state.max_wait()),
        };
        state.in_flight = Some(InFlightRequest {
            sequence: self.sequence,
            owner,
            sent: now,
            expires: now + lifetime,
        });
        let request = PermitRequest {
            gate: self.me,
            sequence: self.sequence,
            token: FencingToken {
                epoch: view.epoch,
                owner,
            },
            key: key.clone(),
            requested: shortfall.permits.min(shortfall.pool),
            pool: shortfall.pool,
            lifetime,
            max_wait,
            completed: state.take_unreported(owner),
        };
        actions.push(Action::Send(owner, Message::Request(request)));
    }

    /// When a request that got no permit may retry: when the permit request in flight expires, or
    /// when the retry delay of a rejection has passed.
    fn exceeded(&self, key: &K) -> LimitExceeded {
        let Some(state) = self.keys.get(key) else {
            return LimitExceeded::Indefinitely;
        };
        match state.in_flight {
            Some(request) => LimitExceeded::Until(request.expires),
            None if state.not_before > Duration::ZERO => LimitExceeded::Until(state.not_before),
            None => LimitExceeded::Indefinitely,
        }
    }
}

/// Sends the reports of completed grants that must not wait for the next permit request.
fn report_urgent<K: Clone>(
    gate: GateId,
    key: &K,
    state: &mut KeyState,
    actions: &mut Vec<Action<K>>,
) {
    while let Some(owner) = state.next_urgent_owner() {
        let release = Release {
            gate,
            key: key.clone(),
            completed: state.take_unreported(owner),
        };
        actions.push(Action::Send(owner, Message::Release(release)));
    }
}
