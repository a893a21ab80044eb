//! The gate's side of permits: asks the owner of a key, holds what it is granted, and uses it
//! within its life.

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::message::{Ask, Grant, Message, Return, Settled};
use crate::terms::Terms;
use crate::view::{GateId, Key, Token, View};
use ironmast_limits::LimitExceeded;
use ironmast_limits::sliding_window::SlidingLog;

#[cfg(test)]
mod tests;

/// The span over which a gate's own rate is measured to ask ahead of need.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// The part of a permit's life that a gate asks ahead for; the rest passes on the way.
const AHEAD: f64 = 0.6;

/// How long an owner may keep an ask, in which something may come free.
const KEPT: Duration = Duration::from_millis(60);

/// How long an owner may keep the ask of a gate that it refused before.
const KEPT_AFTER_REFUSAL: Duration = Duration::from_millis(200);

/// What a permit's life exceeds the round trip and the time kept by.
const SLACK: Duration = Duration::from_millis(20);

/// The most ended grants kept to be told with the next ask.
const SETTLED_KEPT: usize = 16;

/// What happens to a client.
#[derive(Clone, Debug)]
pub enum Event<K> {
    /// A view was learned.
    View(Arc<View>),
    /// An owner answered.
    Grant(Grant<K>),
    /// The moment of [`Client::next_wake`] has come.
    Tick,
}

/// What a client wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "an action is carried out at once and not stored"
)]
pub enum Action<K> {
    /// Send the message to the gate.
    Send(GateId, Message<K>),
    /// Permits for the key have come; requests that wait for it may be tried again.
    Ready(K),
}

#[derive(Clone, Copy, Debug)]
struct Asking {
    sequence: u64,
    owner: GateId,
    sent: Duration,
    /// When its permits end, by the life it asked for.
    ends: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    sequence: u64,
    owner: GateId,
    /// When the ask was sent.
    sent: Duration,
    ends: Duration,
    left: u32,
    used: u32,
    last_used: Duration,
    /// The owner wants to hear of the last use at once.
    pressed: bool,
}

#[derive(Clone, Debug, Default)]
struct Need {
    uses: SlidingLog,
    held: Vec<Held>,
    asking: Option<Asking>,
    /// An owner refused; no ask before this moment.
    not_before: Duration,
    /// The last answer was a refusal.
    refused: bool,
    /// The highest epoch of a grant that was taken.
    fence: u64,
    /// The shortest round trip to the owner, forgotten slowly; `None` if unknown or after a lost
    /// answer.
    round_trip: Option<Duration>,
    /// The owner by the view of this epoch.
    owner: Option<(u64, GateId)>,
    settled: Vec<Ended>,
}

/// A grant that is over and must be told to its owner.
#[derive(Clone, Copy, Debug)]
struct Ended {
    owner: GateId,
    settled: Settled,
    /// When the ask was sent.
    sent: Duration,
    /// Some permits were not used, or the owner waits for it; worth a message of its own.
    urgent: bool,
}

/// The permits of one gate.
#[derive(Clone, Debug)]
pub struct Client<K> {
    me: GateId,
    terms: Terms,
    view: Option<Arc<View>>,
    sequence: u64,
    needs: FxHashMap<K, Need>,
}

impl<K: Key> Client<K> {
    /// The client of the gate `me`, whose incarnation must be new.
    #[must_use]
    pub fn new(me: GateId, terms: Terms) -> Self {
        Self {
            me,
            terms,
            view: None,
            sequence: 0,
            needs: FxHashMap::default(),
        }
    }

    /// Takes an event at `now`.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        match event {
            Event::View(view) => self.on_view(view),
            Event::Grant(grant) => self.on_grant(now, grant, actions),
            Event::Tick => self.on_tick(now, actions),
        }
    }

    /// Uses a permit for `key`, for a request that must be written to the server at once; without
    /// one, asks the owner.
    ///
    /// `pool` is what the owner of the key may have out in a span, by the gate's configuration;
    /// `waiting` is how many requests wait for a permit, this one counted.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the moment to try again, which [`Action::Ready`] may bring forward.
    pub fn try_take(
        &mut self,
        now: Duration,
        key: &K,
        pool: u32,
        waiting: u32,
        actions: &mut Vec<Action<K>>,
    ) -> Result<(), LimitExceeded> {
        let life = self.terms.life;
        let need = self.needs.entry(key.clone()).or_default();
        need.expire(now);
        let taken = need.take(now);
        let ahead = need.ahead(now, life);
        let short = if taken { need.left() * 2 < ahead } else { true };
        if short {
            let want = if taken {
                ahead - need.left()
            } else {
                waiting.max(1).max(ahead)
            };
            self.ask(now, key, pool, want, ahead > 0, actions);
        }
        if !taken {
            return Err(self.wait(key));
        }
        if let Some(need) = self.needs.get_mut(key) {
            need.give_back(self.me, key, actions);
        }
        Ok(())
    }

    /// Whether a permit for `key` is held, so that [`try_take`](Self::try_take) would succeed.
    #[must_use]
    pub fn holds(&self, now: Duration, key: &K) -> bool {
        let usable = |need: &Need| need.held.iter().any(|held| now < held.ends);
        self.needs.get(key).is_some_and(usable)
    }

    /// When [`Event::Tick`] is due; `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.needs.values().filter_map(Need::ends_first).min()
    }

    fn on_view(&mut self, view: Arc<View>) {
        let newer = self
            .view
            .as_ref()
            .is_none_or(|known| known.epoch < view.epoch);
        if newer {
            self.view = Some(view);
        }
    }

    fn on_grant(&mut self, now: Duration, grant: Grant<K>, actions: &mut Vec<Action<K>>) {
        if grant.gate != self.me {
            return;
        }
        let Some(need) = self.needs.get_mut(&grant.key) else {
            return;
        };
        need.expire(now);
        let Some(asking) = need
            .asking
            .take_if(|asking| asking.sequence == grant.sequence)
        else {
            return;
        };
        need.answered_after(now.saturating_sub(asking.sent));
        if grant.count == 0 {
            need.not_before = now + grant.retry_after;
            need.refused = true;
            return;
        }
        if grant.token.epoch < need.fence {
            need.settle(Ended::unused(asking));
            return;
        }
        need.fence = grant.token.epoch;
        need.refused = false;
        need.held.push(Held::new(asking, &grant));
        actions.push(Action::Ready(grant.key));
    }

    fn on_tick(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let charged = self.terms.charged(self.terms.life);
        for (key, need) in &mut self.needs {
            need.expire(now);
            need.give_back(self.me, key, actions);
            need.settled.retain(|ended| ended.sent + charged > now);
        }
        self.needs.retain(|_, need| !need.is_idle(now));
    }

    fn ask(
        &mut self,
        now: Duration,
        key: &K,
        pool: u32,
        want: u32,
        ahead: bool,
        actions: &mut Vec<Action<K>>,
    ) {
        let Some(view) = &self.view else { return };
        let Some(need) = self.needs.get_mut(key) else {
            return;
        };
        if need.asking.is_some() || now < need.not_before || pool == 0 {
            return;
        }
        let Some(owner) = need.owner_by(view, key) else {
            return;
        };
        self.sequence += 1;
        let (life, patience) = if ahead {
            (self.terms.life, KEPT)
        } else {
            need.life(&self.terms)
        };
        need.asking = Some(Asking {
            sequence: self.sequence,
            owner,
            sent: now,
            ends: now + life,
        });
        let ask = Ask {
            gate: self.me,
            sequence: self.sequence,
            token: Token {
                epoch: view.epoch,
                owner,
            },
            key: key.clone(),
            want: want.min(pool),
            pool,
            life,
            patience,
            settled: need.settled_for(owner),
        };
        actions.push(Action::Send(owner, Message::Ask(ask)));
    }

    fn wait(&self, key: &K) -> LimitExceeded {
        let Some(need) = self.needs.get(key) else {
            return LimitExceeded::Indefinitely;
        };
        match need.asking {
            Some(asking) => LimitExceeded::Until(asking.ends),
            None if need.not_before > Duration::ZERO => LimitExceeded::Until(need.not_before),
            None => LimitExceeded::Indefinitely,
        }
    }
}

impl Ended {
    fn unused(asking: Asking) -> Self {
        let Asking {
            sequence,
            owner,
            sent,
            ..
        } = asking;
        let settled = Settled {
            sequence,
            used: 0,
            last_used_after: Duration::ZERO,
        };
        Self {
            owner,
            settled,
            sent,
            urgent: true,
        }
    }
}

impl Held {
    fn new<K>(asking: Asking, grant: &Grant<K>) -> Self {
        let Asking {
            sequence,
            owner,
            sent,
            ends,
        } = asking;
        let Grant {
            count: left,
            pressed,
            ..
        } = *grant;
        Self {
            sequence,
            owner,
            sent,
            ends,
            left,
            used: 0,
            last_used: Duration::ZERO,
            pressed,
        }
    }

    fn ended(&self) -> Ended {
        let settled = Settled {
            sequence: self.sequence,
            used: self.used,
            last_used_after: self.last_used,
        };
        Ended {
            owner: self.owner,
            settled,
            sent: self.sent,
            urgent: self.pressed || self.left > 0,
        }
    }
}

impl Need {
    fn owner_by<K: Key>(&mut self, view: &View, key: &K) -> Option<GateId> {
        if self.owner.is_none_or(|(epoch, _)| epoch != view.epoch) {
            self.owner = view.owner(key).map(|owner| (view.epoch, owner));
        }
        self.owner.map(|(_, owner)| owner)
    }

    /// Uses the permit that ends first.
    fn take(&mut self, now: Duration) -> bool {
        let Some(first) = (0..self.held.len()).min_by_key(|place| self.held[*place].ends) else {
            return false;
        };
        let held = &mut self.held[first];
        held.left -= 1;
        held.used += 1;
        held.last_used = now.saturating_sub(held.sent);
        self.uses.record(now);
        if held.left == 0 {
            let ended = held.ended();
            self.held.remove(first);
            self.settle(ended);
        }
        true
    }

    /// Ends the grants and the ask whose life is over.
    fn expire(&mut self, now: Duration) {
        let over: Vec<Held> = self
            .held
            .iter()
            .filter(|held| held.ends <= now)
            .copied()
            .collect();
        self.held.retain(|held| held.ends > now);
        for held in over {
            self.settle(held.ended());
        }
        if let Some(ended) = self.asking.take_if(|asking| asking.ends <= now) {
            self.round_trip = None;
            self.settle(Ended::unused(ended));
        }
    }

    /// Notes how long an answer took; an ask that was kept makes it look longer than the way is.
    fn answered_after(&mut self, took: Duration) {
        let known = self.round_trip.map_or(took, |known| known + known / 16);
        self.round_trip = Some(known.min(took));
    }

    /// The life to ask for and how long the owner may keep the ask, if the permits are for requests
    /// that wait.
    fn life(&self, terms: &Terms) -> (Duration, Duration) {
        let kept = if self.refused {
            KEPT_AFTER_REFUSAL
        } else {
            KEPT
        };
        let Some(round_trip) = self.round_trip else {
            return (terms.life, kept);
        };
        let life = (round_trip + round_trip / 4 + kept + SLACK)
            .max(terms.shortest)
            .min(terms.life);
        (life, kept)
    }

    fn settle(&mut self, ended: Ended) {
        if self.settled.len() == SETTLED_KEPT {
            self.settled.remove(0);
        }
        self.settled.push(ended);
    }

    /// Tells each owner of the grants that are over, if some of their permits were not used.
    fn give_back<K: Clone>(&mut self, gate: GateId, key: &K, actions: &mut Vec<Action<K>>) {
        while let Some(owner) = self
            .settled
            .iter()
            .find(|ended| ended.urgent)
            .map(|ended| ended.owner)
        {
            let settled = self.settled_for(owner);
            let message = Message::Return(Return {
                gate,
                key: key.clone(),
                settled,
            });
            actions.push(Action::Send(owner, message));
        }
    }

    /// Removes what is to be told to `owner`.
    fn settled_for(&mut self, owner: GateId) -> Vec<Settled> {
        let told: Vec<Settled> = self
            .settled
            .iter()
            .filter(|one| one.owner == owner)
            .map(|one| one.settled)
            .collect();
        self.settled.retain(|one| one.owner != owner);
        told
    }

    fn left(&self) -> u32 {
        self.held.iter().map(|held| held.left).sum()
    }

    /// Permits worth holding ahead of need, by the gate's own recent rate.
    fn ahead(&mut self, now: Duration, life: Duration) -> u32 {
        let rate = self.uses.count(now, RATE_SPAN) as f64 / RATE_SPAN.as_secs_f64();
        // Small by construction: a rate of permits times a part of a second.
        (rate * life.as_secs_f64() * AHEAD).floor() as u32
    }

    fn ends_first(&self) -> Option<Duration> {
        let held = self.held.iter().map(|held| held.ends).min();
        let asking = self.asking.map(|asking| asking.ends);
        held.into_iter().chain(asking).min()
    }

    fn is_idle(&mut self, now: Duration) -> bool {
        let used = self.uses.count(now, RATE_SPAN) > 0;
        !used
            && self.held.is_empty()
            && self.asking.is_none()
            && self.not_before <= now
            && self.settled.is_empty()
    }
}
