//! Runs the node's proposer and carries out its effects, as messages to other replicas, requests to
//! the node's own acceptor, and actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::acceptor::AddressedReply;
use crate::ballot::Identity;
use crate::message::{Message, MessageBody, Reply, Request};
use crate::node::{Action, Node};
use crate::operation::RegisterValue;
use crate::proposer::{Context, Effect};
use crate::state::Proposal;

/// Number of ballot counters reserved by one write of the record.
const RESERVED_COUNTERS: u64 = 1_024;

impl<V: RegisterValue> Node<V> {
    /// Polls the proposer until it can only wait for replies, writes or timers.
    pub(super) fn run_proposer(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        loop {
            let mut effects = Vec::new();
            let may_vote = self.bootstrap_check.is_none();
            let context = Context {
                chosen: self.learner.chosen().filter(|_| may_vote),
                accepted: self.acceptor.accepted().filter(|_| may_vote),
                reserved_counter: self.acceptor.reserved_counter(),
                promised: self.acceptor.promised(),
            };
            self.proposer.poll(now, &context, &mut effects);
            let is_waiting = effects
                .iter()
                .all(|effect| matches!(effect, Effect::Reserve { .. }));
            self.apply_effects(now, effects, actions);
            if is_waiting {
                return;
            }
        }
    }

    /// Passes an acceptor's reply to the proposer and carries out the effects.
    pub(super) fn handle_proposer_reply(
        &mut self,
        now: Duration,
        sender: Identity,
        reply: Reply<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        let mut effects = Vec::new();
        self.proposer.reply(now, sender, reply, &mut effects);
        self.apply_effects(now, effects, actions);
    }

    /// Sends a reply of this node's acceptor. A reply to this node's own proposer is passed on
    /// directly.
    pub(super) fn send_reply(
        &mut self,
        now: Duration,
        addressed: AddressedReply<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        let AddressedReply { to, sender, reply } = addressed;
        if to == self.location.address {
            self.handle_proposer_reply(now, sender, reply, actions);
            return;
        }
        let message = Message {
            sender,
            address: self.location.address,
            body: MessageBody::Reply(reply),
        };
        actions.push(Action::Send { to, message });
    }

    fn apply_effects(
        &mut self,
        now: Duration,
        effects: Vec<Effect<V>>,
        actions: &mut Vec<Action<V>>,
    ) {
        for effect in effects {
            match effect {
                Effect::Send { to, request } => {
                    self.send_request(now, to.address, request, actions);
                }
                Effect::Completed { id, outcome } => {
                    actions.push(Action::Completed { id, outcome });
                }
                Effect::ReadChosen(proposal) => {
                    self.learn_from_quorum(now, &proposal, actions);
                }
                Effect::Decided(proposal) => {
                    let is_new = self.learner.ballot() < proposal.ballot;
                    self.learn_from_quorum(now, &proposal, actions);
                    if is_new {
                        self.broadcast_status(actions);
                    }
                }
                Effect::Reserve { counter } => self.acceptor.reserve(counter + RESERVED_COUNTERS),
            }
        }
    }

    /// Learns a proposal that a quorum has reported or accepted. If its membership is joint, the
    /// node starts to leave it at once.
    fn learn_from_quorum(
        &mut self,
        now: Duration,
        proposal: &Proposal<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        let is_new = self.learner.ballot() < proposal.ballot;
        self.learn(proposal, actions);
        self.report_first_read(actions);
        if is_new && proposal.state.members.is_joint() {
            self.leave_joint(now);
        }
    }

    /// Reports the newest state known as chosen when a quorum has been read for the first time.
    fn report_first_read(&mut self, actions: &mut Vec<Action<V>>) {
        if !std::mem::replace(&mut self.has_read_from_quorum, true) {
            let state = self
                .learner
                .chosen()
                .map(|chosen| Arc::clone(&chosen.state));
            actions.extend(state.map(Action::Learned));
        }
    }

    fn send_request(
        &mut self,
        now: Duration,
        to: SocketAddr,
        request: Request<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        if to != self.location.address {
            self.send(to, MessageBody::Request(request), actions);
            return;
        }
        let chosen = self.learner.chosen();
        if let Some(addressed) = self.acceptor.request(to, request, chosen) {
            self.send_reply(now, addressed, actions);
        }
    }
}
