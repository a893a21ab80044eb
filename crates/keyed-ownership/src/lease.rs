//! The lease of a gate on its keys: since when it has owned each without interruption, and whether
//! it may act as the owner now.
//!
//! The ownership of a key begins when the first view in which the gate owns the key is confirmed.
//! The ownership continues over views that follow each other without a gap. During a gap, other
//! gates may have owned the key. The ownership then continues only if none of them can have
//! completed its takeover delay, which holds if the new view is confirmed early enough after the
//! last confirmation of the old one was requested.
//!
//! The leases are those of Gray and Cheriton (1989): the holder may act until its term has passed.
//! The term starts when the holder sends its request, by its own clock, so slow answers shorten the
//! lease and never lengthen it. Unlike in that paper, a lease is never revoked and the acceptors
//! keep no record of it; a successor waits for the takeover delay instead ([`crate::timing`]).

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::confirmation::ConfirmedEpoch;
use crate::timing::PermitTiming;
use crate::view::{FencingToken, GateId, OwnedKey, View};

#[cfg(test)]
mod tests;

/// Whether a gate may act as the owner of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The gate owns the key and may grant permits under this token.
    Active(FencingToken),
    /// The gate owns the key but may not grant before this time, because grants of an earlier owner
    /// may still be outstanding.
    TakeoverDelay(Duration),
    /// The gate owns the key by its newest view, but its lease has expired or was never confirmed.
    Unconfirmed,
    /// Another gate owns the key, or there is no view.
    NotOwner,
}

impl LeaseState {
    /// The end of the takeover delay; `None` in any other state.
    #[must_use]
    pub fn available_from(self) -> Option<Duration> {
        match self {
            Self::TakeoverDelay(until) => Some(until),
            _ => None,
        }
    }
}

/// Whether other gates may have owned keys between a view and the preceding one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuity {
    /// No view lies between the two, or no owner in between can have completed its takeover delay.
    Continuous,
    /// Other views may lie in between. No owner of these can have granted anything if the view is
    /// confirmed before this time.
    Gap(Duration),
    /// Owners in between may have granted permits.
    Broken,
}

/// A view that the gate has adopted.
#[derive(Clone, Debug)]
struct ViewRecord {
    view: Arc<View>,
    /// Whether the gate owns a key in this view: a cache for the keys looked up so far.
    owned: FxHashMap<Box<str>, bool>,
    continuity: Continuity,
    /// When the view was first confirmed.
    confirmed_at: Option<Duration>,
}

/// The lease of one gate on the keys that it owns.
#[derive(Clone, Debug)]
pub struct Lease {
    me: GateId,
    timing: PermitTiming,
    /// The adopted views by ascending epoch; the last one is the current view.
    views: VecDeque<ViewRecord>,
    last_confirmation: Option<ConfirmedEpoch>,
}

impl Lease {
    /// The lease of the gate `me`, whose incarnation must be new and which knows no view yet.
    #[must_use]
    pub fn new(me: GateId, timing: PermitTiming) -> Self {
        Self {
            me,
            timing,
            views: VecDeque::new(),
            last_confirmation: None,
        }
    }

    /// The epoch of the current view, if there is one.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.views.back().map(|record| record.view.epoch)
    }

    /// Makes `view` the current view if its epoch is higher than that of the current one. Returns
    /// whether it was adopted.
    pub fn adopt(&mut self, view: Arc<View>) -> bool {
        let continuity = match self.epoch() {
            Some(epoch) if view.epoch <= epoch => return false,
            Some(epoch) if view.follows == Some(epoch) => Continuity::Continuous,
            _ => self.gap(),
        };
        self.views.push_back(ViewRecord {
            view,
            owned: FxHashMap::default(),
            continuity,
            confirmed_at: None,
        });
        true
    }

    /// Applies a confirmation that a majority completed at `now`. A confirmation of another epoch
    /// than the current one is ignored.
    pub fn confirm(&mut self, now: Duration, confirmed: ConfirmedEpoch) {
        if self.epoch() != Some(confirmed.epoch) {
            return;
        }
        self.resolve_gaps(now);
        if let Some(record) = self.views.back_mut() {
            record.confirmed_at.get_or_insert(now);
        }
        let order = |confirmed: ConfirmedEpoch| (confirmed.epoch, confirmed.requested_at);
        if self
            .last_confirmation
            .is_none_or(|last| order(last) < order(confirmed))
        {
            self.last_confirmation = Some(confirmed);
        }
        self.prune(now);
    }

    /// When the lease from the last confirmation expires, by the gate's steady clock; `None` if the
    /// current epoch has not been confirmed.
    #[must_use]
    pub fn leased_until(&self) -> Option<Duration> {
        let last = self
            .last_confirmation
            .filter(|last| Some(last.epoch) == self.epoch())?;
        Some(last.requested_at + self.timing.lease_duration)
    }

    /// Whether the gate may act as the owner of `key` at `now`, by its steady clock.
    pub fn state<K: OwnedKey>(&mut self, now: Duration, key: &K) -> LeaseState {
        let me = self.me;
        let Some(record) = self.views.back_mut() else {
            return LeaseState::NotOwner;
        };
        if !record.is_owned_by(me, key) {
            return LeaseState::NotOwner;
        }
        let token = FencingToken {
            epoch: record.view.epoch,
            owner: me,
        };
        if self.leased_until().is_none_or(|until| until <= now) {
            return LeaseState::Unconfirmed;
        }
        let Some(owned_since) = self.owned_since(key) else {
            return LeaseState::Unconfirmed;
        };
        let available_from = owned_since + self.timing.takeover_delay;
        if now < available_from {
            LeaseState::TakeoverDelay(available_from)
        } else {
            LeaseState::Active(token)
        }
    }

    /// When the ownership of `key` began: the first confirmation among the continuous views in
    /// which the gate owns it.
    fn owned_since<K: OwnedKey>(&mut self, key: &K) -> Option<Duration> {
        let mut owned_since = None;
        for record in self.views.iter_mut().rev() {
            if !record.is_owned_by(self.me, key) {
                break;
            }
            owned_since = record.confirmed_at.or(owned_since);
            if record.continuity != Continuity::Continuous {
                break;
            }
        }
        owned_since
    }

    /// The gap before a view that does not directly follow the current one: until when a
    /// confirmation shows that no owner in between can have granted.
    fn gap(&self) -> Continuity {
        let Some(last) = self.last_confirmation else {
            return Continuity::Broken;
        };
        let takeover = last.requested_at + self.timing.takeover_delay;
        Continuity::Gap(takeover.saturating_sub(self.timing.lease_duration))
    }

    /// Decides at a confirmation whether an owner during a gap can have granted permits.
    fn resolve_gaps(&mut self, now: Duration) {
        for record in &mut self.views {
            if let Continuity::Gap(until) = record.continuity {
                record.continuity = if now < until {
                    Continuity::Continuous
                } else {
                    Continuity::Broken
                };
            }
        }
    }

    /// Drops the views before the last break in continuity, and those before the last view that was
    /// confirmed at least a takeover delay ago, because the lease state no longer depends on them.
    fn prune(&mut self, now: Duration) {
        let takeover_complete = |record: &ViewRecord| {
            record
                .confirmed_at
                .is_some_and(|at| at + self.timing.takeover_delay <= now)
        };
        let last_break = self
            .views
            .iter()
            .rposition(|record| record.continuity == Continuity::Broken);
        let last_complete = self.views.iter().rposition(takeover_complete);
        let first_needed = last_break.max(last_complete).unwrap_or(0);
        self.views.drain(..first_needed);
    }
}

impl ViewRecord {
    fn is_owned_by<K: OwnedKey>(&mut self, gate: GateId, key: &K) -> bool {
        if let Some(owned) = self.owned.get(key.name()) {
            return *owned;
        }
        let owned = self.view.owner(key) == Some(gate);
        self.owned.insert(key.name().into(), owned);
        owned
    }
}
