//! Handling of received messages, by kind.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::message::{Message, MessageBody, NodeStatus, Reply, ReplyBody, Request};
use crate::node::{Action, Node};
use crate::operation::RegisterValue;
use crate::quorum_lease::HeartbeatId;
use crate::state::Proposal;

impl<V: RegisterValue> Node<V> {
    /// Handles a message from another node, which also shows that its sender is reachable.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        message: Message<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        let Message {
            sender,
            address,
            body,
        } = message;
        self.controller.message_received(now, sender, address);
        match body {
            MessageBody::Request(request) => self.receive_request(now, address, request, actions),
            MessageBody::Reply(reply) => self.receive_reply(now, sender, address, reply, actions),
            MessageBody::Status(status) => {
                self.receive_status(now, sender, address, &status, actions);
            }
            MessageBody::FetchState { known } => self.receive_fetch(address, known, actions),
            MessageBody::ChosenState(proposal) => self.learn(&proposal, actions),
            MessageBody::Heartbeat { id } => self.receive_heartbeat(address, id, actions),
            MessageBody::HeartbeatResponse(response) => {
                self.receive_heartbeat_response(now, sender, address, response, actions);
            }
        }
    }

    /// Passes a request to the acceptor. Requests are dropped until the bootstrap check is
    /// concluded.
    fn receive_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: Request<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        if self.bootstrap_check.is_some() {
            return;
        }
        let reply = self.acceptor.request(from, request, self.learner.chosen());
        if let Some(addressed) = reply {
            self.send_reply(now, addressed, actions);
        }
    }

    fn receive_reply(
        &mut self,
        now: Duration,
        sender: Identity,
        address: SocketAddr,
        reply: Reply<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        if let ReplyBody::NotMember { chosen } = reply.body {
            self.fetch(now, address, chosen, actions);
        }
        self.handle_proposer_reply(now, sender, reply, actions);
    }

    fn receive_status(
        &mut self,
        now: Duration,
        sender: Identity,
        address: SocketAddr,
        status: &NodeStatus,
        actions: &mut Vec<Action<V>>,
    ) {
        self.controller.status_received(sender, address, status);
        if let Some(check) = &mut self.bootstrap_check {
            check.participation_received(sender, address, status.participation);
        }
        self.compare_chosen(now, address, status.chosen, actions);
    }

    fn receive_fetch(&self, from: SocketAddr, known: Ballot, actions: &mut Vec<Action<V>>) {
        let chosen = self
            .learner
            .chosen()
            .filter(|chosen| chosen.ballot > known || known == Ballot::ZERO);
        if let Some(chosen) = chosen {
            self.send(from, MessageBody::ChosenState(chosen.clone()), actions);
        }
    }

    /// Responds to a heartbeat, but only once the bootstrap check is concluded and the node's
    /// record is durable. An earlier response could hide a newer replica set that the replica had
    /// accepted before it restarted.
    fn receive_heartbeat(&self, from: SocketAddr, id: HeartbeatId, actions: &mut Vec<Action<V>>) {
        let knows_its_record =
            self.bootstrap_check.is_none() && !self.acceptor.awaits_first_record();
        if knows_its_record {
            let response = self.heartbeat_response(id);
            self.send(from, MessageBody::HeartbeatResponse(response), actions);
        }
    }

    /// Learns a chosen proposal. A new state is reported as [`Action::Learned`] if the node has
    /// read from a quorum since it started.
    pub(super) fn learn(&mut self, proposal: &Proposal<V>, actions: &mut Vec<Action<V>>) {
        if self.learner.learn(proposal).is_some() && self.has_read_from_quorum {
            actions.push(Action::Learned(Arc::clone(&proposal.state)));
        }
    }
}
