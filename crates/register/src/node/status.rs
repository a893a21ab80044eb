//! Status messages: each node reports its status to all other nodes, and a node that lacks the
//! newest chosen state fetches it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::message::{ChosenVersion, MessageBody, NodeStatus};
use crate::node::{Action, Node};
use crate::operation::RegisterValue;
use crate::state::Proposal;

impl<V: RegisterValue> Node<V> {
    /// Sends this node's status to all other known coordinators, members or not.
    pub(super) fn broadcast_status(&self, actions: &mut Vec<Action<V>>) {
        for address in self.other_addresses() {
            self.send(address, self.status(), actions);
        }
    }

    /// Compares the chosen version that another node has reported with this node's. If this node is
    /// behind, it learns or fetches the version; if the other node is, this node sends its status.
    pub(super) fn compare_chosen(
        &mut self,
        now: Duration,
        from: SocketAddr,
        reported: Option<ChosenVersion>,
        actions: &mut Vec<Action<V>>,
    ) {
        let is_sender_behind = reported.map(|version| version.sequence) < self.learner.sequence();
        if let Some(version) = reported {
            self.learn_version(now, from, version, actions);
        }
        if is_sender_behind {
            self.send(from, self.status(), actions);
        }
    }

    /// Requests a chosen state from another node, unless it is known or already being fetched.
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
        let timeout = self.settings.retransmit_interval;
        if is_known || !self.background.begin_fetch(now, ballot, timeout) {
            return;
        }
        let known = self.learner.ballot();
        self.send(from, MessageBody::FetchState { known }, actions);
    }

    /// Learns that a version is chosen. Its state is fetched only if this node hasn't accepted it
    /// in the same ballot.
    fn learn_version(
        &mut self,
        now: Duration,
        from: SocketAddr,
        version: ChosenVersion,
        actions: &mut Vec<Action<V>>,
    ) {
        let is_state_known = self.learner.learn_ballot(version.ballot, version.sequence);
        if is_state_known {
            return;
        }
        let accepted = self.acceptor.accepted();
        let accepted = accepted.filter(|accepted| accepted.ballot == version.ballot);
        match accepted.cloned() {
            Some(accepted) => self.learn(&accepted, actions),
            None => self.fetch(now, from, version.ballot, actions),
        }
    }

    fn status(&self) -> MessageBody<V> {
        let version = |proposal: &Proposal<V>| ChosenVersion {
            ballot: proposal.ballot,
            sequence: proposal.state.sequence,
        };
        MessageBody::Status(NodeStatus {
            chosen: self.learner.chosen().map(version),
            zone: self.location.zone.clone(),
            leaving: self.is_leaving(),
            unreachable: self.background.unreachable.clone(),
            participation: self.participation(),
        })
    }
}
