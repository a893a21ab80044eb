//! Since when a gate has owned a key without interruption, and whether it may act on that now.
//!
//! The ownership of a key begins when the first view in which the gate owns the key is confirmed.
//! It continues over views that follow each other without a gap. Over a gap, others may have owned
//! the key; the ownership continues only if none of them can have completed its takeover delay.
//! That holds if the new view is confirmed early enough after the last confirmation of the old one
//! was requested.
//!
//! The leases are those of Gray and Cheriton (1989): the holder may act until its term has passed.
//! The term counts from the moment at which the holder sent its request, by its own clock, so the
//! delay of the answers shortens the lease and never lengthens it. Unlike there, a lease is never
//! revoked and the acceptors keep no record of it; a successor waits for the takeover delay instead
//! ([`crate::timing`]).

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::confirmation::ConfirmedEpoch;
use crate::timing::PermitTiming;
use crate::view::{FencingToken, GateId, OwnedKey, View};

#[cfg(test)]
mod tests;

/// What a gate may do for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It may grant under this token.
    Active(FencingToken),
    /// It may not grant before this moment, because grants of an earlier owner may be outstanding.
    TakeoverDelay(Duration),
    /// It has no recent enough confirmation.
    Unconfirmed,
    /// Another gate owns the key, or there is no view.
    NotOwner,
}

impl LeaseState {
    /// The end of the takeover delay, while it lasts.
    #[must_use]
    pub fn available_from(self) -> Option<Duration> {
        match self {
            Self::TakeoverDelay(until) => Some(until),
            _ => None,
        }
    }
}

/// How a view follows the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuity {
    /// Without a gap, or with one that is known to be harmless.
    Continuous,
    /// With a gap that is harmless if the view is confirmed before this moment.
    Gap(Duration),
    /// Nothing is known of the owners in between.
    Broken,
}

/// A view that the gate has acted on.
#[derive(Clone, Debug)]
struct ViewRecord {
    view: Arc<View>,
    /// Whether the gate owns a key in this view, for the keys asked about so far.
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
    /// By ascending epoch; the last one is in force.
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

    /// The epoch in force, if there is a view.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.views.back().map(|record| record.view.epoch)
    }

    /// Adopts a view unless it is older than the one in force or the same. Returns whether it was
    /// adopted.
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

    /// Applies a confirmation that was complete at `now`. One of another epoch than that in force
    /// is ignored.
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

    /// The moment until which the gate may act on its last confirmation, by its steady clock;
    /// `None` without one of the epoch in force.
    #[must_use]
    pub fn leased_until(&self) -> Option<Duration> {
        let last = self
            .last_confirmation
            .filter(|last| Some(last.epoch) == self.epoch())?;
        Some(last.requested_at + self.timing.lease_duration)
    }

    /// What the gate may do for `key` at `now`, by its steady clock.
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

    /// The gap to a view that does not follow the one in force.
    fn gap(&self) -> Continuity {
        let Some(last) = self.last_confirmation else {
            return Continuity::Broken;
        };
        let takeover = last.requested_at + self.timing.takeover_delay;
        Continuity::Gap(takeover.saturating_sub(self.timing.lease_duration))
    }

    /// Decides at a confirmation which gaps were harmless.
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

    /// Drops the views before the last break, and those before the last view that was confirmed a
    /// takeover delay ago: the state no longer depends on them.
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
