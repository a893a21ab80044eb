//! The owner's side of permits: what the agent of each gate runs for the keys that it owns.
//!
//! Safety rests on three things, none of which needs clocks to agree. An owner grants only within
//! its lease and after its quiet period ([`Terms`]). It counts each permit from the receipt of the
//! ask until the last moment at which its request can share a span with another. And a gate uses a
//! permit only within its life. The token lets gates and owners refuse what is out of date earlier
//! than that.

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::lease::Confirmed;
use crate::ledger::{Ledger, Pending};
use crate::message::{Ask, Grant, Message, Return};
use crate::tenure::{Standing, Tenure};
use crate::terms::Terms;
use crate::view::{GateId, Key, Token, View};

#[cfg(test)]
mod tests;

/// How long after an ask the lease is kept up.
const KEEP: Duration = Duration::from_secs(3);

/// The shortest time between two questions for a confirmation.
const CONFIRM_EVERY: Duration = Duration::from_millis(150);

/// How long a gate must not ask again that asked a gate which doesn't own the key.
const STRAY_WAIT: Duration = Duration::from_millis(150);

/// The time between two questions for the first confirmation of a view that nobody needs yet.
const CONFIRM_IDLE: Duration = Duration::from_secs(1);

/// What happens to an owner.
#[derive(Clone, Debug)]
pub enum Event<K> {
    /// A view was learned.
    View(Arc<View>),
    /// A majority of the witnesses confirmed the epoch.
    Confirmed(Confirmed),
    /// A gate asks.
    Ask(Ask<K>),
    /// A gate tells of grants that are over.
    Return(Return<K>),
    /// Asks are to be expected until this moment, since a cold server is known; the lease is kept
    /// up until then.
    Expect(Duration),
    /// The moment of [`Owner::next_wake`] has come.
    Tick,
}

/// What an owner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<K> {
    /// Send the message to the gate.
    Send(GateId, Message<K>),
    /// Ask all witnesses for their newest epoch; `asked` goes into the [`Confirmed`] that comes of
    /// it.
    Confirm {
        /// The epoch that must be the newest.
        epoch: u64,
        /// Now.
        asked: Duration,
    },
}

/// The owner's state. It has none on disk: a restart is a new life, which waits for its quiet
/// period.
#[derive(Clone, Debug)]
pub struct Owner<K> {
    me: GateId,
    terms: Terms,
    tenure: Tenure,
    asked: Option<Duration>,
    keep_until: Duration,
    /// The moment of the last event.
    now: Duration,
    ledgers: FxHashMap<K, Ledger>,
}

impl<K: Key> Owner<K> {
    /// The owner beside the gate `me`, whose incarnation must be new.
    #[must_use]
    pub fn new(me: GateId, terms: Terms) -> Self {
        let tenure = Tenure::new(me, terms);
        let (keep_until, now) = (Duration::ZERO, Duration::ZERO);
        Self {
            me,
            terms,
            tenure,
            asked: None,
            keep_until,
            now,
            ledgers: FxHashMap::default(),
        }
    }

    /// Takes an event at `now`, which must be read after the event was: a clock read before it, and
    /// a stop of the process in between, would let an ask count from before it was sent.
    pub fn handle(&mut self, now: Duration, event: Event<K>, actions: &mut Vec<Action<K>>) {
        self.now = now;
        match event {
            Event::View(view) => self.on_view(now, view, actions),
            Event::Confirmed(confirmed) => self.on_confirmed(now, confirmed, actions),
            Event::Ask(ask) => self.on_ask(now, ask, actions),
            Event::Return(settled) => self.on_return(now, &settled, actions),
            Event::Expect(until) => self.keep_until = self.keep_until.max(until),
            Event::Tick => self.serve_all(now, actions),
        }
        self.keep_lease(now, actions);
    }

    /// When [`Event::Tick`] is due; `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let waiting = self
            .ledgers
            .values()
            .filter_map(|ledger| self.next_turn(ledger));
        waiting.chain(self.next_confirm()).min()
    }

    fn on_view(&mut self, now: Duration, view: Arc<View>, actions: &mut Vec<Action<K>>) {
        if self.tenure.adopt(view) {
            self.asked = None;
            self.confirm(now, actions);
        }
    }

    fn on_confirmed(&mut self, now: Duration, confirmed: Confirmed, actions: &mut Vec<Action<K>>) {
        self.tenure.confirm(now, confirmed);
        self.serve_all(now, actions);
    }

    fn on_ask(&mut self, now: Duration, ask: Ask<K>, actions: &mut Vec<Action<K>>) {
        let Ask {
            gate,
            sequence,
            token,
            key,
            want,
            pool,
            life,
            patience,
            settled,
        } = ask;
        let ledger = self.ledgers.entry(key.clone()).or_default();
        for settled in &settled {
            ledger.settle(&gate, settled, &self.terms);
        }
        let until = now + patience.min(self.terms.life);
        let pending = Pending {
            gate,
            sequence,
            want,
            pool,
            life,
            arrived: now,
            until,
        };
        if token.owner != self.me || self.tenure.standing(now, &key) == Standing::Other {
            let refusal = self.refusal(&key, &pending, STRAY_WAIT);
            actions.push(refusal);
            return;
        }
        ledger.push(pending);
        self.keep_until = self.keep_until.max(now + KEEP);
        self.serve(now, &key, actions);
    }

    fn on_return(&mut self, now: Duration, settled: &Return<K>, actions: &mut Vec<Action<K>>) {
        let Some(ledger) = self.ledgers.get_mut(&settled.key) else {
            return;
        };
        for one in &settled.settled {
            ledger.settle(&settled.gate, one, &self.terms);
        }
        self.serve(now, &settled.key, actions);
    }

    fn serve_all(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let keys: Vec<K> = self.ledgers.keys().cloned().collect();
        for key in keys {
            self.serve(now, &key, actions);
        }
        self.ledgers.retain(|_, ledger| !ledger.is_empty());
    }

    /// Answers what can be answered of the asks that wait for `key`.
    fn serve(&mut self, now: Duration, key: &K, actions: &mut Vec<Action<K>>) {
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.prune(now);
        }
        self.refuse_overdue(now, key, actions);
        let standing = self.tenure.standing(now, key);
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.opens = standing.opens();
        }
        match standing {
            Standing::Ready(token) => {
                self.grant(key, token, actions);
                self.refuse_surplus(now, key, actions);
            }
            Standing::Quiet(opens) => self.refuse_until(now, key, opens, actions),
            Standing::Unconfirmed => {}
            Standing::Other => self.refuse_where(now, key, actions, |_, _| true),
        }
    }

    fn grant(&mut self, key: &K, token: Token, actions: &mut Vec<Action<K>>) {
        let Some(ledger) = self.ledgers.get_mut(key) else {
            return;
        };
        while let Some(ask) = ledger.pending.front() {
            let free = ask.pool.saturating_sub(ledger.charged());
            let count = ledger.fair(ask.want, ask.pool).min(free);
            if count == 0 {
                return;
            }
            let Some(ask) = ledger.pending.pop_front() else {
                return;
            };
            ledger.charge(&ask, count, &self.terms);
            let pressed = ledger.charged() * 2 > ask.pool;
            let Pending { gate, sequence, .. } = ask;
            let key = key.clone();
            let grant = Grant {
                token,
                gate,
                sequence,
                key,
                count,
                pressed,
                retry_after: Duration::ZERO,
            };
            actions.push(Action::Send(gate, Message::Grant(grant)));
        }
    }

    /// Refuses the asks that have waited as long as their gates allow.
    fn refuse_overdue(&mut self, now: Duration, key: &K, actions: &mut Vec<Action<K>>) {
        self.refuse_where(now, key, actions, |ask, _| now >= ask.until);
    }

    /// Refuses the asks for which nothing comes free while they may wait.
    fn refuse_surplus(&mut self, now: Duration, key: &K, actions: &mut Vec<Action<K>>) {
        let Some(ledger) = self.ledgers.get(key) else {
            return;
        };
        let Some(last) = ledger.pending.back() else {
            return;
        };
        let free = ledger.free_by(last.until, last.pool) as usize;
        self.refuse_where(now, key, actions, |_, place| place >= free);
    }

    /// Refuses the asks that can't wait until `opens`.
    fn refuse_until(
        &mut self,
        now: Duration,
        key: &K,
        opens: Duration,
        actions: &mut Vec<Action<K>>,
    ) {
        let from = actions.len();
        self.refuse_where(now, key, actions, |ask, _| ask.until < opens);
        for action in &mut actions[from..] {
            if let Action::Send(_, Message::Grant(grant)) = action {
                grant.retry_after = opens.saturating_sub(now);
            }
        }
    }

    fn refuse_where(
        &mut self,
        now: Duration,
        key: &K,
        actions: &mut Vec<Action<K>>,
        refused: impl Fn(&Pending, usize) -> bool,
    ) {
        let Some(ledger) = self.ledgers.get_mut(key) else {
            return;
        };
        let pending = std::mem::take(&mut ledger.pending);
        let mut refusals = Vec::new();
        for (place, ask) in pending.into_iter().enumerate() {
            if refused(&ask, place) {
                refusals.push(ask);
            } else {
                ledger.pending.push_back(ask);
            }
        }
        for ask in refusals {
            let Some(ledger) = self.ledgers.get_mut(key) else {
                return;
            };
            let retry_after = ledger.retry_after(now, &ask, &self.terms);
            actions.push(self.refusal(key, &ask, retry_after));
        }
    }

    fn refusal(&self, key: &K, ask: &Pending, retry_after: Duration) -> Action<K> {
        let token = Token {
            epoch: self.tenure.epoch().unwrap_or(0),
            owner: self.me,
        };
        let Pending { gate, sequence, .. } = *ask;
        let key = key.clone();
        let grant = Grant {
            token,
            gate,
            sequence,
            key,
            count: 0,
            pressed: false,
            retry_after,
        };
        Action::Send(gate, Message::Grant(grant))
    }

    /// Asks for a confirmation where one is due.
    fn keep_lease(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        if self.next_confirm().is_some_and(|due| due <= now) {
            self.confirm(now, actions);
        }
    }

    fn confirm(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let Some(epoch) = self.tenure.epoch() else {
            return;
        };
        self.asked = Some(now);
        actions.push(Action::Confirm { epoch, asked: now });
    }

    /// A confirmation is due once for each view, and after half of the lease while asks are to be
    /// expected.
    fn next_confirm(&self) -> Option<Duration> {
        self.tenure.epoch()?;
        let asked = self.asked.unwrap_or(Duration::ZERO);
        let again = asked + CONFIRM_EVERY;
        match self.tenure.leased_until() {
            Some(until) => {
                let due = again.max(until - self.terms.lease / 2);
                (due.max(self.now) < self.keep_until).then_some(due)
            }
            None if again.max(self.now) < self.keep_until => Some(again),
            None => Some(asked + CONFIRM_IDLE),
        }
    }

    fn next_turn(&self, ledger: &Ledger) -> Option<Duration> {
        let first = ledger.pending.iter().map(|ask| ask.until).min()?;
        [ledger.next_free(), ledger.opens]
            .into_iter()
            .flatten()
            .chain([first])
            .min()
    }
}
