//! One coordinator's part in the register: acceptor, proposer, learner and steward behind one
//! interface.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::acceptor::{Acceptor, AddressedReply, Record};
use crate::ballot::{Ballot, Identity};
use crate::bootstrap::BootstrapCheck;
use crate::guard::Guard;
use crate::learner::Learner;
use crate::message::{Message, MessageBody, Reply, ReplyBody, Request};
use crate::proposer::{Context, Effect, Proposer, ProposerMetrics};
use crate::quorum_lease::QuorumLease;
use crate::random::Random;
use crate::reconfiguration::ReplicaSetController;
use crate::replicas::{Membership, Replica};
use crate::settings::Settings;
use crate::state::{Proposal, State};

mod background;
mod bootstrap;
mod event;
mod heartbeat;
mod status;

pub use event::{Action, Event, NodeLocation, RecordSource};

/// Counters reserved by one write.
const RESERVATION: u64 = 1_024;

/// One coordinator's part in the register.
pub struct Node<V> {
    location: NodeLocation,
    settings: Settings,
    acceptor: Acceptor<V>,
    proposer: Proposer<V>,
    learner: Learner<V>,
    random: Random,
    peers: BTreeSet<SocketAddr>,
    leaving: bool,
    controller: ReplicaSetController,
    /// Whether a state was read from a majority, or chosen by one, in this life. What others tell
    /// before may be older than what an earlier life has acknowledged, so it is not passed on.
    has_read: bool,
    /// Whether the whole system starts for the first time, while that isn't known; and until a
    /// majority of the initial members is known to have started. Until then the node gives no vote.
    bootstrap_check: Option<BootstrapCheck<V>>,
    quorum_lease: QuorumLease,
    background: background::Background,
    timer: Option<Duration>,
}

impl<V: Clone> Node<V> {
    /// A node as it starts. `seed` must differ at each start.
    pub fn recover(
        origin: RecordSource<V>,
        location: NodeLocation,
        seed: u64,
        settings: Settings,
    ) -> Self {
        let mut random = Random::new(seed);
        let guards = settings.guards;
        let mut bootstrap_check = match &origin {
            RecordSource::Durable(record) | RecordSource::Unsynced(record)
                if guards.keeps(Guard::RestartBeforeFirstVote) =>
            {
                BootstrapCheck::restarted(location.address, record, settings.bootstrap_timeout)
            }
            _ => None,
        };
        let acceptor = match origin {
            RecordSource::Durable(record) => Acceptor::recovered(record, guards),
            RecordSource::Unsynced(record) => Acceptor::unsynced(record, guards),
            RecordSource::Bootstrap { members, value } if guards.keeps(Guard::BootstrapCheck) => {
                bootstrap_check = Some(BootstrapCheck::new(
                    location.address,
                    members,
                    value,
                    settings.bootstrap_timeout,
                ));
                Acceptor::recovered(
                    Record::empty(Identity::from_seed_address(location.address)),
                    guards,
                )
            }
            RecordSource::Bootstrap { members, value } => {
                Acceptor::unsynced(Record::bootstrap(location.address, &members, value), guards)
            }
            RecordSource::Empty { identity } => Acceptor::unsynced(Record::empty(identity), guards),
        };
        let used = acceptor.used_counter();
        let replica = Replica {
            identity: acceptor.identity(),
            address: location.address,
            zone: location.zone.clone(),
        };
        let controller = ReplicaSetController::new(replica, &settings);
        let quorum_lease = QuorumLease::new(settings.quorum_lease, Random::new(!seed).next() >> 32);
        let proposer = Proposer::new(acceptor.identity(), used, random.next(), settings.clone());
        Self {
            location,
            acceptor,
            proposer,
            learner: Learner::default(),
            random,
            peers: BTreeSet::new(),
            leaving: false,
            controller,
            bootstrap_check,
            has_read: !guards.keeps(Guard::ReadBeforeLearned),
            quorum_lease,
            background: background::Background::default(),
            timer: None,
            settings,
        }
    }

    /// Identity of this node's replica.
    pub fn identity(&self) -> Identity {
        self.acceptor.identity()
    }

    /// The newest state known as chosen.
    pub fn chosen(&self) -> Option<&Arc<State<V>>> {
        self.learner.chosen().map(|proposal| &proposal.state)
    }

    /// Whether this replica is a member by the newest state known.
    pub fn is_member(&self) -> bool {
        self.chosen()
            .is_some_and(|state| state.members.contains(self.identity()))
    }

    /// When the newest question was asked that a majority of the replicas has answered; both
    /// majorities where two sets are held. Nothing before the first such answers, or before any
    /// replica set is known.
    pub fn quorum_confirmed_at(&self, now: Duration) -> Option<Duration> {
        self.quorum_lease
            .confirmed_at(now, self.identity(), self.members()?)
    }

    /// Whether a majority has answered a question asked within the bound of the settings.
    pub fn has_quorum_lease(&self, now: Duration) -> bool {
        self.members()
            .is_some_and(|members| self.quorum_lease.is_valid(now, self.identity(), members))
    }

    /// The newest state held, chosen or only accepted.
    fn newest(&self) -> Option<&Proposal<V>> {
        [self.learner.chosen(), self.acceptor.accepted()]
            .into_iter()
            .flatten()
            .max_by_key(|held| held.ballot)
    }

    fn members(&self) -> Option<&Membership> {
        self.newest().map(|held| &held.state.members)
    }

    /// Counts of the proposer's rounds.
    pub fn proposer_metrics(&self) -> ProposerMetrics {
        self.proposer.proposer_metrics()
    }

    /// Takes in an event at the time `now` of a steady clock, and adds what is to be done to
    /// `actions`.
    pub fn handle(&mut self, now: Duration, event: Event<V>, actions: &mut Vec<Action<V>>) {
        self.detect_process_pause(now);
        match event {
            Event::Message(message) => self.receive(now, message, actions),
            Event::Persisted(token) => {
                self.background.writing_since = None;
                for addressed in self.acceptor.persisted(token) {
                    self.send_reply(now, addressed, actions);
                }
            }
            Event::Submit {
                id,
                operation,
                deadline,
            } => self.proposer.submit(Some(id), operation, deadline),
            Event::Peers(addresses) => self.set_peers(addresses),
            Event::Leaving => self.leave(actions),
            Event::CheckQuorum => self.quorum_lease.expedite_heartbeat(),
            Event::Timer => self.timer = None,
        }
        self.tend(now, actions);
        self.propose(now, actions);
        self.write(now, actions);
        self.set_timer(now, actions);
    }

    fn set_peers(&mut self, addresses: Vec<SocketAddr>) {
        self.peers = addresses.into_iter().collect();
    }

    fn leave(&mut self, actions: &mut Vec<Action<V>>) {
        self.leaving = true;
        self.controller.set_leaving(true);
        self.broadcast_status(actions);
    }

    /// Whether another coordinator is to take this replica's location.
    fn is_leaving(&self) -> bool {
        self.leaving || self.background.is_disk_stalled
    }

    fn receive(&mut self, now: Duration, message: Message<V>, actions: &mut Vec<Action<V>>) {
        let Message {
            sender,
            address,
            body,
        } = message;
        self.controller.message_received(now, sender, address);
        match body {
            MessageBody::Request(request) if self.bootstrap_check.is_none() => {
                if let Some(addressed) =
                    self.acceptor
                        .request(address, request, self.learner.chosen())
                {
                    self.send_reply(now, addressed, actions);
                }
            }
            MessageBody::Request(_) => {}
            MessageBody::Reply(reply) => self.receive_reply(now, sender, address, reply, actions),
            MessageBody::Status(status) => {
                self.controller.status_received(sender, address, &status);
                if let Some(check) = &mut self.bootstrap_check {
                    check.participation_received(sender, address, status.participation);
                }
                self.receive_status(now, address, &status, actions);
            }
            MessageBody::FetchState { known } => {
                if let Some(chosen) = self
                    .learner
                    .chosen()
                    .filter(|chosen| chosen.ballot > known || known == Ballot::ZERO)
                {
                    let body = MessageBody::ChosenState(chosen.clone());
                    self.send(address, body, actions);
                }
            }
            MessageBody::ChosenState(proposal) => self.learn(&proposal, actions),
            MessageBody::Heartbeat { id } if self.knows_its_record() => {
                self.send(
                    address,
                    MessageBody::HeartbeatResponse(self.heartbeat_response(id)),
                    actions,
                );
            }
            MessageBody::Heartbeat { .. } => {}
            MessageBody::HeartbeatResponse(response) => {
                self.receive_heartbeat_response(now, sender, address, response, actions)
            }
        }
    }

    /// Whether what this replica held is known, so that its silence about a newer replica set means
    /// that it holds none.
    fn knows_its_record(&self) -> bool {
        self.bootstrap_check.is_none() && !self.acceptor.awaits_first_record()
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
        let mut effects = Vec::new();
        self.proposer.reply(now, sender, reply, &mut effects);
        self.carry_out(now, effects, actions);
    }

    fn learn(&mut self, proposal: &Proposal<V>, actions: &mut Vec<Action<V>>) {
        if self.learner.learn(proposal).is_some() && self.has_read {
            actions.push(Action::Learned(Arc::clone(&proposal.state)));
        }
    }

    /// Tells what is known once a majority has been read for the first time.
    fn report_first_read(&mut self, actions: &mut Vec<Action<V>>) {
        if !std::mem::replace(&mut self.has_read, true) {
            let state = self
                .learner
                .chosen()
                .map(|chosen| Arc::clone(&chosen.state));
            actions.extend(state.map(Action::Learned));
        }
    }

    /// Lets the proposer work until it waits for others.
    fn propose(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        loop {
            let mut effects = Vec::new();
            let context = Context {
                chosen: self
                    .learner
                    .chosen()
                    .filter(|_| self.bootstrap_check.is_none()),
                accepted: self
                    .acceptor
                    .accepted()
                    .filter(|_| self.bootstrap_check.is_none()),
                reserved: self.acceptor.reserved_counter(),
                promised: self.acceptor.promised(),
            };
            self.proposer.poll(now, &context, &mut effects);
            let is_waiting = effects
                .iter()
                .all(|effect| matches!(effect, Effect::Reserve { .. }));
            self.carry_out(now, effects, actions);
            if is_waiting {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: Duration, effects: Vec<Effect<V>>, actions: &mut Vec<Action<V>>) {
        for effect in effects {
            match effect {
                Effect::Send { to, request } => {
                    self.send_request(now, to.address, request, actions);
                }
                Effect::Done { id, outcome } => actions.push(Action::Completed { id, outcome }),
                Effect::Chosen { proposal, announce } => {
                    let is_new = self.learner.ballot() < proposal.ballot;
                    self.learn(&proposal, actions);
                    self.report_first_read(actions);
                    if announce && is_new {
                        self.broadcast_status(actions);
                    }
                    if is_new && proposal.state.members.is_joint() {
                        self.settle(now);
                    }
                }
                Effect::Reserve { counter } => self.acceptor.reserve(counter + RESERVATION),
            }
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

    fn send_reply(
        &mut self,
        now: Duration,
        addressed: AddressedReply<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        let AddressedReply { to, sender, reply } = addressed;
        if to != self.location.address {
            let message = Message {
                sender,
                address: self.location.address,
                body: MessageBody::Reply(reply),
            };
            actions.push(Action::Send { to, message });
            return;
        }
        let mut effects = Vec::new();
        self.proposer.reply(now, sender, reply, &mut effects);
        self.carry_out(now, effects, actions);
    }

    /// Addresses of all other coordinators known, members or not.
    fn other_addresses(&self) -> BTreeSet<SocketAddr> {
        let members = self.members().into_iter().flat_map(Membership::replicas);
        let mut addresses = self.peers.clone();
        addresses.extend(
            self.bootstrap_check
                .iter()
                .flat_map(BootstrapCheck::members),
        );
        addresses.extend(members.map(|replica| replica.address));
        addresses.remove(&self.location.address);
        addresses
    }

    fn send(&self, to: SocketAddr, body: MessageBody<V>, actions: &mut Vec<Action<V>>) {
        let message = Message {
            sender: self.identity(),
            address: self.location.address,
            body,
        };
        actions.push(Action::Send { to, message });
    }

    fn write(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        if let Some(write) = self.acceptor.next_write() {
            self.background.writing_since = Some(now);
            actions.push(Action::Persist(write));
        }
    }

    fn set_timer(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let due = self
            .proposer
            .wake()
            .into_iter()
            .chain([
                self.background.wake(),
                self.quorum_lease.next_heartbeat_at(),
            ])
            .min();
        let due = due.map(|at| at.max(now));
        if due != self.timer {
            self.timer = due;
            actions.extend(due.map(Action::Timer));
        }
    }
}
