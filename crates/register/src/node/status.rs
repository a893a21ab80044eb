//! What the nodes tell one another of themselves, and how one that is behind learns what is chosen.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::message::{ChosenVersion, MessageBody, NodeStatus};
use crate::node::{Action, Node};
use crate::state::Proposal;

impl<V: Clone> Node<V> {
    pub(super) fn receive_status(
        &mut self,
        now: Duration,
        from: SocketAddr,
        status: &NodeStatus,
        actions: &mut Vec<Action<V>>,
    ) {
        let told = status.chosen;
        let is_behind = told.map(|digest| digest.sequence) < self.learner.sequence();
        if let Some(digest) = told {
            self.receive_chosen_version(now, from, digest, actions);
        }
        if is_behind {
            self.send(from, self.status(), actions);
        }
    }

    fn receive_chosen_version(
        &mut self,
        now: Duration,
        from: SocketAddr,
        digest: ChosenVersion,
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
        if is_known
            || !self
                .background
                .may_fetch(now, ballot, self.settings.retransmit_interval)
        {
            return;
        }
        let known = self.learner.ballot();
        self.send(from, MessageBody::FetchState { known }, actions);
    }

    fn status(&self) -> MessageBody<V> {
        let digest = |proposal: &Proposal<V>| ChosenVersion {
            ballot: proposal.ballot,
            sequence: proposal.state.sequence,
        };
        MessageBody::Status(NodeStatus {
            chosen: self.learner.chosen().map(digest),
            zone: self.location.zone.clone(),
            leaving: self.is_leaving(),
            unreachable: self.background.unreachable.clone(),
            participation: self.participation(),
        })
    }

    /// Tells all coordinators known what is chosen here.
    pub(super) fn broadcast_status(&self, actions: &mut Vec<Action<V>>) {
        for address in self.other_addresses() {
            self.send(address, self.status(), actions);
        }
    }
}
