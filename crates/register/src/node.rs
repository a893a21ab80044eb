//! One coordinator's part in the register: acceptor, proposer, learner and steward behind one
//! interface.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::acceptor::{Acceptor, Addressed, Record};
use crate::ballot::{Ballot, Identity};
use crate::contact::Contact;
use crate::first_start::FirstStart;
use crate::guard::Guard;
use crate::learner::Learner;
use crate::message::{Answer, Body, Message, Reply, Request};
use crate::proposer::{Context, Counters, Effect, Proposer};
use crate::random::Random;
use crate::replicas::{Membership, Replica};
use crate::settings::Settings;
use crate::state::{Proposal, State};
use crate::steward::Steward;

mod announce;
mod background;
mod bootstrap;
mod event;
mod question;

pub use event::{Action, Event, Origin, Place};

/// Counters reserved by one write.
const RESERVATION: u64 = 1_024;

/// One coordinator's part in the register.
pub struct Node<V> {
    place: Place,
    settings: Settings,
    acceptor: Acceptor<V>,
    proposer: Proposer<V>,
    learner: Learner<V>,
    random: Random,
    peers: BTreeSet<SocketAddr>,
    leaving: bool,
    steward: Steward,
    /// Whether a state was read from a majority, or chosen by one, in this life. What others tell
    /// before may be older than what an earlier life has acknowledged, so it is not passed on.
    has_read: bool,
    /// Whether the whole system starts for the first time, while that isn't known; and until a
    /// majority of the initial members is known to have started. Until then the node gives no vote.
    first_start: Option<FirstStart<V>>,
    contact: Contact,
    background: background::Background,
    timer: Option<Duration>,
}

impl<V: Clone> Node<V> {
    /// A node as it starts. `seed` must differ at each start.
    pub fn recover(origin: Origin<V>, place: Place, seed: u64, settings: Settings) -> Self {
        let mut random = Random::new(seed);
        let guards = settings.guards;
        let mut first_start = match &origin {
            Origin::Disk(record) | Origin::Unconfirmed(record)
                if guards.keeps(Guard::InitialReturn) =>
            {
                FirstStart::returned(place.address, record, settings.first_start)
            }
            _ => None,
        };
        let acceptor = match origin {
            Origin::Disk(record) => Acceptor::recovered(record, guards),
            Origin::Unconfirmed(record) => Acceptor::fresh(record, guards),
            Origin::Bootstrap { members, value } if guards.keeps(Guard::FirstStart) => {
                first_start = Some(FirstStart::new(
                    place.address,
                    members,
                    value,
                    settings.first_start,
                ));
                Acceptor::recovered(Record::empty(Identity::of_seed(place.address)), guards)
            }
            Origin::Bootstrap { members, value } => {
                Acceptor::fresh(Record::bootstrap(place.address, &members, value), guards)
            }
            Origin::Empty { identity } => Acceptor::fresh(Record::empty(identity), guards),
        };
        let used = acceptor.used();
        let replica = Replica {
            identity: acceptor.identity(),
            address: place.address,
            zone: place.zone.clone(),
        };
        let steward = Steward::new(replica, &settings);
        let contact = Contact::new(settings.contact, Random::new(!seed).next() >> 32);
        let proposer = Proposer::new(acceptor.identity(), used, random.next(), settings.clone());
        Self {
            place,
            acceptor,
            proposer,
            learner: Learner::default(),
            random,
            peers: BTreeSet::new(),
            leaving: false,
            steward,
            first_start,
            has_read: !guards.keeps(Guard::ReadBeforeTold),
            contact,
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
    pub fn contact_since(&self, now: Duration) -> Option<Duration> {
        self.contact.since(now, self.identity(), self.members()?)
    }

    /// Whether a majority has answered a question asked within the bound of the settings.
    pub fn is_in_contact(&self, now: Duration) -> bool {
        self.members()
            .is_some_and(|members| self.contact.is_held(now, self.identity(), members))
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
    pub fn counters(&self) -> Counters {
        self.proposer.counters()
    }

    /// Takes in an event at the time `now` of a steady clock, and adds what is to be done to
    /// `actions`.
    pub fn handle(&mut self, now: Duration, event: Event<V>, actions: &mut Vec<Action<V>>) {
        self.notice_pause(now);
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
            Event::Question => self.contact.ask_at_once(),
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
        self.steward.set_leaving(true);
        self.announce(actions);
    }

    /// Whether another coordinator is to take this replica's place.
    fn gives_place_up(&self) -> bool {
        self.leaving || self.background.disk_is_stuck
    }

    fn receive(&mut self, now: Duration, message: Message<V>, actions: &mut Vec<Action<V>>) {
        let Message {
            sender,
            address,
            body,
        } = message;
        self.steward.hear(now, sender, address);
        match body {
            Body::Request(request) if self.first_start.is_none() => {
                if let Some(addressed) =
                    self.acceptor
                        .request(address, request, self.learner.chosen())
                {
                    self.send_reply(now, addressed, actions);
                }
            }
            Body::Request(_) => {}
            Body::Reply(reply) => self.take_reply(now, sender, address, reply, actions),
            Body::Announce(announcement) => {
                self.steward.hear_of(sender, address, &announcement);
                self.hear_past(sender, address, announcement.past);
                self.take_announcement(now, address, &announcement, actions);
            }
            Body::Fetch { known } => {
                if let Some(chosen) = self
                    .learner
                    .chosen()
                    .filter(|chosen| chosen.ballot > known || known == Ballot::ZERO)
                {
                    let body = Body::State(chosen.clone());
                    self.send(address, body, actions);
                }
            }
            Body::State(proposal) => self.learn(&proposal, actions),
            Body::Question { number } if self.knows_its_record() => {
                self.send(address, Body::Echo(self.echo(number)), actions);
            }
            Body::Question { .. } => {}
            Body::Echo(echo) => self.take_echo(now, sender, address, echo, actions),
        }
    }

    /// Whether what this replica held is known, so that its silence about a newer replica set means
    /// that it holds none.
    fn knows_its_record(&self) -> bool {
        self.first_start.is_none() && !self.acceptor.awaits_first_record()
    }

    fn take_reply(
        &mut self,
        now: Duration,
        sender: Identity,
        address: SocketAddr,
        reply: Reply<V>,
        actions: &mut Vec<Action<V>>,
    ) {
        if let Answer::NotMember { chosen } = reply.answer {
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
    fn tell_first(&mut self, actions: &mut Vec<Action<V>>) {
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
                chosen: self.learner.chosen().filter(|_| self.first_start.is_none()),
                accepted: self
                    .acceptor
                    .accepted()
                    .filter(|_| self.first_start.is_none()),
                reserved: self.acceptor.reserved(),
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
                    self.tell_first(actions);
                    if announce && is_new {
                        self.announce(actions);
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
        if to != self.place.address {
            self.send(to, Body::Request(request), actions);
            return;
        }
        let chosen = self.learner.chosen();
        if let Some(addressed) = self.acceptor.request(to, request, chosen) {
            self.send_reply(now, addressed, actions);
        }
    }

    fn send_reply(&mut self, now: Duration, addressed: Addressed<V>, actions: &mut Vec<Action<V>>) {
        let Addressed { to, sender, reply } = addressed;
        if to != self.place.address {
            let message = Message {
                sender,
                address: self.place.address,
                body: Body::Reply(reply),
            };
            actions.push(Action::Send { to, message });
            return;
        }
        let mut effects = Vec::new();
        self.proposer.reply(now, sender, reply, &mut effects);
        self.carry_out(now, effects, actions);
    }

    /// Addresses of all other coordinators known, members or not.
    fn others(&self) -> BTreeSet<SocketAddr> {
        let members = self.members().into_iter().flat_map(Membership::replicas);
        let mut addresses = self.peers.clone();
        addresses.extend(self.first_start.iter().flat_map(FirstStart::members));
        addresses.extend(members.map(|replica| replica.address));
        addresses.remove(&self.place.address);
        addresses
    }

    fn send(&self, to: SocketAddr, body: Body<V>, actions: &mut Vec<Action<V>>) {
        let message = Message {
            sender: self.identity(),
            address: self.place.address,
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
            .chain([self.background.wake(), self.contact.wake()])
            .min();
        let due = due.map(|at| at.max(now));
        if due != self.timer {
            self.timer = due;
            actions.extend(due.map(Action::Timer));
        }
    }
}
