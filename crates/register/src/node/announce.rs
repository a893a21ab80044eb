//! What the nodes tell one another of themselves, and how one that is behind learns what is chosen.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::message::{Announcement, Body, Digest};
use crate::node::{Action, Node};
use crate::state::Proposal;

impl<V: Clone> Node<V> {
    pub(super) fn take_announcement(
        &mut self,
        now: Duration,
        from: SocketAddr,
        announcement: &Announcement,
        actions: &mut Vec<Action<V>>,
    ) {
        let told = announcement.chosen;
        let is_behind = told.map(|digest| digest.sequence) < self.learner.sequence();
        if let Some(digest) = told {
            self.take_digest(now, from, digest, actions);
        }
        if is_behind {
            self.send(from, self.announcement(), actions);
        }
    }

    fn take_digest(
        &mut self,
        now: Duration,
        from: SocketAddr,
        digest: Digest,
        actions: &mut Vec<Action<V>>,
    ) {
        if self.learner.learn_ballot(digest.ballot, digest.sequence) {
            return;
        }
        match self
            .acceptor
            .accepted()
            .filter(|held| held.ballot == digest.ballot)
            .cloned()
        {
            Some(held) => self.learn(&held, actions),
            None => self.fetch(now, from, digest.ballot, actions),
        }
    }

    /// Asks for a chosen state, unless it is known or was asked for just now.
    pub(super) fn fetch(
        &mut self,
        now: Duration,
        from: SocketAddr,
        ballot: Ballot,
        actions: &mut Vec<Action<V>>,
    ) {
        let is_known = self
            .learner
            .chosen()
            .is_some_and(|chosen| chosen.ballot >= ballot);
        if is_known || !self.background.may_fetch(now, ballot, self.settings.resend) {
            return;
        }
        let known = self.learner.ballot();
        self.send(from, Body::Fetch { known }, actions);
    }

    fn announcement(&self) -> Body<V> {
        let digest = |proposal: &Proposal<V>| Digest {
            ballot: proposal.ballot,
            sequence: proposal.state.sequence,
        };
        Body::Announce(Announcement {
            chosen: self.learner.chosen().map(digest),
            zone: self.place.zone.clone(),
            leaving: self.gives_place_up(),
            silent: self.background.silent.clone(),
            past: self.past(),
        })
    }

    /// Tells all coordinators known what is chosen here.
    pub(super) fn announce(&self, actions: &mut Vec<Action<V>>) {
        for address in self.others() {
            self.send(address, self.announcement(), actions);
        }
    }
}
