//! Since when a gate has owned a key without a break, and whether it may act on that now.
//!
//! A tenure begins when the first view in which the gate owns the key is confirmed. It goes on over
//! views that follow each other without a gap. Over a gap, others may have owned the key; the
//! tenure goes on only if none of them can have come through its quiet period, which is so when the
//! new view is confirmed early enough after the last confirmation of the old one was asked for.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::lease::Confirmed;
use crate::terms::Terms;
use crate::view::{GateId, Key, Token, View};

#[cfg(test)]
mod tests;

/// What an owner may do for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may grant under this token.
    Ready(Token),
    /// It may not grant before this moment, for what an earlier owner may have out.
    Quiet(Duration),
    /// It has no confirmation that is recent enough.
    Unconfirmed,
    /// Another gate owns the key, or there is no view.
    Other,
}

impl Standing {
    /// The end of the quiet period, while it lasts.
    #[must_use]
    pub fn opens(self) -> Option<Duration> {
        match self {
            Self::Quiet(opens) => Some(opens),
            _ => None,
        }
    }
}

/// How a view and the one before it follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// Without a gap, or with one that is known to be harmless.
    Joined,
    /// With a gap that is harmless if the view is confirmed by then.
    Gap(Duration),
    /// Nothing is known of the owners before.
    Broken,
}

#[derive(Clone, Debug)]
struct Entry {
    view: Arc<View>,
    /// Whether the gate owns a key in this view, as far as it was asked.
    mine: FxHashMap<Box<str>, bool>,
    link: Link,
    /// When the view's first confirmation was complete.
    start: Option<Duration>,
}

/// The views a gate has acted on, and its lease.
#[derive(Clone, Debug)]
pub struct Tenure {
    me: GateId,
    terms: Terms,
    entries: VecDeque<Entry>,
    last: Option<Confirmed>,
}

impl Tenure {
    /// A gate without any view.
    #[must_use]
    pub fn new(me: GateId, terms: Terms) -> Self {
        Self {
            me,
            terms,
            entries: VecDeque::new(),
            last: None,
        }
    }

    /// The epoch in force, if there is a view.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.entries.back().map(|entry| entry.view.epoch)
    }

    /// Takes a view, unless it is not newer than the one in force. Says whether it was taken.
    pub fn adopt(&mut self, view: Arc<View>) -> bool {
        let link = match self.epoch() {
            Some(epoch) if view.epoch <= epoch => return false,
            Some(epoch) if view.follows == Some(epoch) => Link::Joined,
            _ => self.gap(),
        };
        self.entries.push_back(Entry {
            view,
            mine: FxHashMap::default(),
            link,
            start: None,
        });
        true
    }

    /// Takes a confirmation that was complete at `now`. One of another epoch than that in force is
    /// void.
    pub fn confirm(&mut self, now: Duration, confirmed: Confirmed) {
        if self.epoch() != Some(confirmed.epoch) {
            return;
        }
        self.resolve_gaps(now);
        if let Some(entry) = self.entries.back_mut() {
            entry.start.get_or_insert(now);
        }
        let newer = self
            .last
            .is_none_or(|last| (last.epoch, last.asked) < (confirmed.epoch, confirmed.asked));
        if newer {
            self.last = Some(confirmed);
        }
        self.prune(now);
    }

    /// The moment until which the gate may act on its last confirmation; `None` without one of the
    /// epoch in force.
    #[must_use]
    pub fn leased_until(&self) -> Option<Duration> {
        let last = self.last.filter(|last| Some(last.epoch) == self.epoch())?;
        Some(last.asked + self.terms.lease)
    }

    /// What the gate may do for `key`.
    pub fn standing<K: Key>(&mut self, now: Duration, key: &K) -> Standing {
        let me = self.me;
        let Some(entry) = self.entries.back_mut() else {
            return Standing::Other;
        };
        if !entry.owned_by(me, key) {
            return Standing::Other;
        }
        let token = Token {
            epoch: entry.view.epoch,
            owner: me,
        };
        if self.leased_until().is_none_or(|until| until <= now) {
            return Standing::Unconfirmed;
        }
        let Some(start) = self.start(key) else {
            return Standing::Unconfirmed;
        };
        let opens = start + self.terms.quiet;
        if now < opens {
            Standing::Quiet(opens)
        } else {
            Standing::Ready(token)
        }
    }

    /// When the tenure of `key` began: the first confirmation over the views in which the gate owns
    /// it.
    fn start<K: Key>(&mut self, key: &K) -> Option<Duration> {
        let mut start = None;
        for entry in self.entries.iter_mut().rev() {
            if !entry.owned_by(self.me, key) {
                break;
            }
            start = entry.start.or(start);
            if entry.link != Link::Joined {
                break;
            }
        }
        start
    }

    fn gap(&self) -> Link {
        let Some(last) = self.last else {
            return Link::Broken;
        };
        Link::Gap((last.asked + self.terms.quiet).saturating_sub(self.terms.lease))
    }

    fn resolve_gaps(&mut self, now: Duration) {
        for entry in &mut self.entries {
            if let Link::Gap(until) = entry.link {
                entry.link = if now < until {
                    Link::Joined
                } else {
                    Link::Broken
                };
            }
        }
    }

    /// Drops the views that lie before a break or before the last one that was confirmed a quiet
    /// period ago.
    fn prune(&mut self, now: Duration) {
        let old = |entry: &Entry| {
            entry
                .start
                .is_some_and(|start| start + self.terms.quiet <= now)
        };
        let broken = self
            .entries
            .iter()
            .rposition(|entry| entry.link == Link::Broken);
        let settled = self.entries.iter().rposition(old);
        let keep = broken.max(settled).unwrap_or(0);
        self.entries.drain(..keep);
    }
}

impl Entry {
    fn owned_by<K: Key>(&mut self, me: GateId, key: &K) -> bool {
        if let Some(mine) = self.mine.get(key.name()) {
            return *mine;
        }
        let mine = self.view.owner(key) == Some(me);
        self.mine.insert(key.name().into(), mine);
        mine
    }
}
