//! The register's node in one coordinator: acceptor, proposer, learner, quorum lease and
//! replica-set controller behind one interface.
//!
//! A node performs no I/O and reads no clock. It handles one [`Event`] at a time and returns
//! [`Action`]s, so that a simulation can repeat every run.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::acceptor::Acceptor;
use crate::ballot::Identity;
use crate::bootstrap::BootstrapCheck;
use crate::guard::Guard;
use crate::learner::Learner;
use crate::message::{Message, MessageBody};
use crate::node::background::Background;
use crate::node::recovery::Recovery;
use crate::operation::RegisterValue;
use crate::proposer::{Proposer, ProposerMetrics};
use crate::quorum_lease::{HeartbeatId, QuorumLease};
use crate::random::Random;
use crate::reconfiguration::ReplicaSetController;
use crate::replicas::{Membership, Replica};
use crate::settings::Settings;
use crate::state::{Proposal, State, newest};

mod background;
mod bootstrap;
mod event;
mod heartbeat;
mod proposing;
mod read_repair;
mod receiving;
mod reconfiguration;
mod recovery;
mod status;

pub use event::{Action, Event, NodeLocation, RecordSource};

/// The register's node in one coordinator, driven by events. See the [module](self).
pub struct Node<V: RegisterValue> {
    location: NodeLocation,
    settings: Settings,
    acceptor: Acceptor<V>,
    proposer: Proposer<V>,
    learner: Learner<V>,
    random: Random,
    peers: BTreeSet<SocketAddr>,
    leaving: bool,
    controller: ReplicaSetController,
    /// Whether a state has been read from a quorum, or chosen by one, since the node started. Until
    /// then, states received from others may be older than what this node acknowledged before it
    /// restarted, so none is reported as learned.
    has_read_from_quorum: bool,
    /// The bootstrap check, until it is concluded. The node gives no vote while it is pending.
    bootstrap_check: Option<BootstrapCheck<V>>,
    quorum_lease: QuorumLease,
    background: Background,
    timer: Option<Duration>,
}

impl<V: RegisterValue> Node<V> {
    /// Creates a node from its record, or for an empty disk. `seed` must differ at each start,
    /// since two incarnations with the same seed would use the same round numbers and heartbeat
    /// identifiers.
    #[must_use]
    pub fn recover(
        source: RecordSource<V>,
        location: NodeLocation,
        seed: u64,
        settings: Settings,
    ) -> Self {
        let mut random = Random::new(seed);
        let Recovery {
            acceptor,
            bootstrap_check,
        } = Recovery::new(source, location.address, &settings);
        let replica = Replica {
            identity: acceptor.identity(),
            address: location.address,
            zone: location.zone.clone(),
        };
        let first_heartbeat = HeartbeatId(Random::new(!seed).next() >> 32);
        Self {
            controller: ReplicaSetController::new(replica, &settings),
            quorum_lease: QuorumLease::new(settings.quorum_lease, first_heartbeat),
            proposer: Proposer::new(
                acceptor.identity(),
                acceptor.used_counter(),
                random.next(),
                settings.clone(),
            ),
            has_read_from_quorum: !settings.guards.enforces(Guard::ReadBeforeLearned),
            location,
            acceptor,
            learner: Learner::default(),
            random,
            peers: BTreeSet::new(),
            leaving: false,
            bootstrap_check,
            background: Background::default(),
            timer: None,
            settings,
        }
    }

    /// Identity of this node's replica. It changes if the bootstrap check finds that the disk was
    /// lost.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.acceptor.identity()
    }

    /// The newest state known as chosen, if any is.
    #[must_use]
    pub fn chosen(&self) -> Option<&Arc<State<V>>> {
        self.learner.chosen().map(|proposal| &proposal.state)
    }

    /// Whether this replica is a member according to the newest state known as chosen.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.chosen()
            .is_some_and(|state| state.members.contains(self.identity()))
    }

    /// When the newest heartbeat was sent that a majority of the replicas has acknowledged, or a
    /// majority of each set while the membership is joint. `None` before the first such heartbeat,
    /// and before any replica set is known.
    #[must_use]
    pub fn quorum_confirmed_at(&self, now: Duration) -> Option<Duration> {
        self.quorum_lease
            .confirmed_at(now, self.identity(), self.members()?)
    }

    /// Whether a majority has acknowledged a heartbeat sent within
    /// [`Settings::quorum_lease`](crate::Settings::quorum_lease).
    #[must_use]
    pub fn has_quorum_lease(&self, now: Duration) -> bool {
        self.members()
            .is_some_and(|members| self.quorum_lease.is_valid(now, self.identity(), members))
    }

    /// Metrics of the proposer's rounds.
    #[must_use]
    pub fn proposer_metrics(&self) -> ProposerMetrics {
        self.proposer.metrics()
    }

    /// Handles an event at the time `now` of a monotonic clock, and appends to `actions` what the
    /// caller has to do.
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
            Event::Peers(addresses) => self.peers = addresses.into_iter().collect(),
            Event::Leaving => self.leave(actions),
            Event::CheckQuorum => self.quorum_lease.expedite_heartbeat(),
            Event::Timer => self.timer = None,
        }
        self.run_background(now, actions);
        self.run_proposer(now, actions);
        self.write(now, actions);
        self.set_timer(now, actions);
    }

    fn leave(&mut self, actions: &mut Vec<Action<V>>) {
        self.leaving = true;
        self.controller.set_leaving(true);
        self.broadcast_status(actions);
    }

    /// Whether this node gives up its membership, so that another coordinator takes its place.
    fn is_leaving(&self) -> bool {
        self.leaving || self.background.is_disk_stalled
    }

    /// The newest proposal that this node has, chosen or only accepted.
    fn newest(&self) -> Option<&Proposal<V>> {
        newest(self.learner.chosen(), self.acceptor.accepted())
    }

    fn members(&self) -> Option<&Membership> {
        self.newest().map(|proposal| &proposal.state.members)
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
            .next_wakeup()
            .into_iter()
            .chain([
                self.background.next_wakeup(),
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
