//! All state of a coordinator, and what is done to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ironmast_endpoints::{EndpointTable, ExpiryTimeouts, MergeOutcome, Micros};
use ironmast_overlay_transport::OverlayHandle;
use ironmast_register::{Operation, State as RegisterState};
use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::{ControlState, Entry, FromCoordinator, Key, ToCoordinator, Value};
use ironmast_schema::registration::Heartbeat;
use ironmast_schema::settings::Settings;
use slog::Logger;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::contact::{ContactState, Request, RequestPolicy};
use crate::pending_reports::PendingReports;
use crate::register_log::Persisted;
use crate::replica::{RegisterReplica, ReplicaOutput};
use crate::resolve;
use crate::value::{ConfigurationDocument, ControlValue};

mod contact;
mod registrations;

/// Heartbeats that a server may miss before it counts as silent.
const MAX_MISSED_HEARTBEATS: u64 = 4;
/// A gate that says nothing for this long gets no new clients.
const GATE_TIMEOUT_US: Micros = 1_300_000;

/// Clients ask again after this many seconds at the latest: so long a gate that was lost may still
/// get their requests.
const MAX_TTL_S: f64 = 1.0;

/// Why a word isn't acknowledged.
const OUT_OF_CONTACT: &str = "no majority of the coordinators is in contact";

/// What an HTTP handler asks for.
#[derive(Debug)]
pub(crate) enum Command {
    /// A server's heartbeat.
    Heartbeat(String, Heartbeat, oneshot::Sender<Reply>),
    /// A server ends.
    Leave(String, oneshot::Sender<Reply>),
    /// The operator's configuration, checked: its number, its body, and the version it builds on.
    Configure(u64, Vec<u8>, u64, oneshot::Sender<Reply>),
    /// The configuration in force.
    ReadConfiguration(oneshot::Sender<Reply>),
    /// Empty a zone, or take that back.
    Evacuate(String, bool, oneshot::Sender<Reply>),
    /// Where a client may go.
    Resolve(resolve::Query, oneshot::Sender<Reply>),
}

/// What the handler answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    /// The status.
    pub status: u16,
    /// The body, JSON or one line.
    pub body: Vec<u8>,
}

impl Reply {
    /// An answer with a JSON body.
    pub(crate) fn json(body: impl Into<Vec<u8>>) -> Self {
        Reply {
            status: 200,
            body: body.into(),
        }
    }

    /// A refusal in one line.
    pub(crate) fn refused(status: u16, why: &str) -> Self {
        Reply {
            status,
            body: format!("{why}\n").into_bytes(),
        }
    }
}

/// The relay tree, as the state uses it.
pub(crate) trait EntryPublisher {
    /// Spreads an entry.
    fn publish(&self, entry: &Entry);
    /// Lets all nodes forget a key.
    fn remove(&self, of: &Key, version: u64);
    /// Tells whether beats make their hearers fresh.
    fn set_in_contact(&self, in_contact: bool);
}

impl EntryPublisher for OverlayHandle {
    fn publish(&self, entry: &Entry) {
        OverlayHandle::publish(self, entry);
    }

    fn remove(&self, of: &Key, version: u64) {
        OverlayHandle::remove(self, of, version);
    }

    fn set_in_contact(&self, in_contact: bool) {
        OverlayHandle::set_in_contact(self, in_contact);
    }
}

/// A subscriber's queue.
type Subscriber = mpsc::UnboundedSender<FromCoordinator>;

/// All state of a coordinator.
pub(crate) struct CoordinatorNode {
    log: Logger,
    standing: ContactState,
    pending_reports: PendingReports,
    pub(crate) own: SocketAddr,
    ttl_s: f64,
    catalog: EndpointTable,
    replica: RegisterReplica,
    publisher: Box<dyn EntryPublisher>,
    /// The configuration in force, as sent and as read.
    in_force: Option<(ConfigurationDocument, Configuration)>,
    /// What waits for the links to other coordinators.
    outgoing: BTreeMap<SocketAddr, mpsc::UnboundedSender<ToCoordinator>>,
    subscribers: BTreeMap<u64, (Subscriber, bool)>,
    next_subscriber: u64,
    pub(crate) coordinators: BTreeSet<SocketAddr>,
    /// Told when another coordinator has called this one.
    inbound_notifies: BTreeMap<SocketAddr, Rc<Notify>>,
}

impl CoordinatorNode {
    /// The state at the start.
    pub(crate) fn new(
        settings: &Settings,
        own: SocketAddr,
        replica: RegisterReplica,
        publisher: Box<dyn EntryPublisher>,
        log: &Logger,
    ) -> Self {
        publisher.set_in_contact(false);
        let instance = settings.heartbeat_interval_ms * 1_000 * MAX_MISSED_HEARTBEATS;
        let ttl_s = (settings.timing_bounds.ttl_max_s / 2.0).min(MAX_TTL_S);
        CoordinatorNode {
            log: log.clone(),
            standing: ContactState::Starting,
            pending_reports: PendingReports::default(),
            own,
            ttl_s,
            catalog: EndpointTable::new(
                0,
                ExpiryTimeouts {
                    instance,
                    gate: GATE_TIMEOUT_US,
                },
            ),
            replica,
            publisher,
            in_force: None,
            outgoing: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            next_subscriber: 0,
            coordinators: BTreeSet::new(),
            inbound_notifies: BTreeMap::new(),
        }
    }

    fn now(&self) -> Micros {
        self.replica.clock().now().as_micros() as Micros
    }

    /// Carries out what a handler asks for.
    pub(crate) fn command(&mut self, command: Command) {
        self.observe();
        match command {
            Command::Heartbeat(id, heartbeat, to) => self.heartbeat(id, heartbeat, to),
            Command::Leave(id, to) => self.server_leaves(id, to),
            Command::Configure(generation, body, base, to) => {
                let document = ConfigurationDocument { generation, body };
                let change =
                    Operation::change(move |value: &ControlValue| value.configure(&document, base));
                self.decide(Request::Configuration, change, to);
            }
            Command::Evacuate(zone, out, to) => {
                let change =
                    Operation::change(move |value: &ControlValue| value.evacuate(&zone, out));
                self.decide(Request::Evacuation, change, to);
            }
            Command::ReadConfiguration(to) => self.read(to),
            Command::Resolve(query, to) => {
                let _ = to.send(self.resolve(&query));
            }
        }
    }

    fn decide(
        &mut self,
        request: Request,
        change: Operation<ControlValue>,
        to: oneshot::Sender<Reply>,
    ) {
        if self.standing.policy(request) == RequestPolicy::Reject {
            let _ = to.send(Reply::refused(503, OUT_OF_CONTACT));
            return;
        }
        let outputs = self.replica.change(change, to);
        self.carry_out(outputs);
    }

    fn read(&mut self, to: oneshot::Sender<Reply>) {
        if self.standing.policy(Request::Read) == RequestPolicy::Reject {
            let _ = to.send(Reply::refused(503, OUT_OF_CONTACT));
            return;
        }
        let outputs = self.replica.read(to);
        self.carry_out(outputs);
    }

    fn resolve(&self, query: &resolve::Query) -> Reply {
        let gates: Vec<_> = self.catalog.gates(self.now()).collect();
        let configuration = self
            .in_force
            .as_ref()
            .map(|(_, configuration)| configuration);
        let addresses = match self.standing.policy(Request::Resolve) {
            RequestPolicy::AllGates => resolve::addresses(&gates, configuration, query),
            _ => resolve::addresses_heard_here(&gates, configuration, query),
        };
        resolve::answer(&addresses, self.ttl_s)
    }

    fn carry_out(&mut self, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(to, bytes) => self.send(to, ToCoordinator::Register(bytes)),
                ReplicaOutput::StateChosen(apply_control_state) => {
                    self.apply_control_state(&apply_control_state)
                }
                ReplicaOutput::Answered(kind, reply, to) => self.answered(kind, reply, to),
                ReplicaOutput::CaughtUp(holds_newest) => self.caught_up(holds_newest),
            }
        }
    }

    /// Queues a frame for another coordinator; it is lost where there is no link.
    fn send(&mut self, to: SocketAddr, frame: ToCoordinator) {
        if let Some(queue) = self.outgoing.get(&to) {
            let _ = queue.send(frame);
        }
    }

    /// A newer state of the register is in force: all gates are to know it.
    fn apply_control_state(&mut self, apply_control_state: &RegisterState<ControlValue>) {
        let document = apply_control_state.value.configuration.as_ref();
        if self.in_force.as_ref().map(|(document, _)| document) != document {
            self.in_force = document.and_then(|document| {
                let configuration = Configuration::parse(&document.body).ok()?;
                Some((document.clone(), configuration))
            });
        }
        let control = ControlState {
            configuration: self
                .in_force
                .as_ref()
                .map(|(_, configuration)| configuration.clone()),
            evacuated: apply_control_state
                .value
                .evacuated
                .iter()
                .cloned()
                .collect(),
        };
        let news =
            self.catalog
                .update_control_state(self.now(), apply_control_state.sequence, control);
        self.publish(news.into_iter().collect());
    }

    /// When [`CoordinatorNode::wake`] is to be called.
    pub(crate) fn wake_at(&self) -> Duration {
        self.replica.wake_at()
    }

    /// Does what the register has due.
    pub(crate) fn wake(&mut self) {
        self.observe();
        let outputs = self.replica.wake();
        self.carry_out(outputs);
    }

    /// A record is durable, or isn't.
    pub(crate) fn persisted(&mut self, completion: Persisted) {
        self.observe();
        let outputs = self.replica.persisted(completion);
        self.carry_out(outputs);
    }

    /// This machine is about to stop.
    pub(crate) fn leave(&mut self) {
        self.enter(ContactState::Leaving);
        let outputs = self.replica.leave();
        self.carry_out(outputs);
    }

    /// Whether the replica still has a place that another coordinator could take.
    pub(crate) fn can_transfer_replica(&self) -> bool {
        let link_established = self
            .outgoing
            .values()
            .filter(|queue| !queue.is_closed())
            .count();
        self.replica
            .members()
            .is_some_and(|members| link_established + 1 > members)
    }

    /// A link to another coordinator is up: what is sent there goes into this queue. Out of contact
    /// the new link may be the one that was missing, so that a majority is asked for at once.
    pub(crate) fn link_established(
        &mut self,
        to: SocketAddr,
        queue: mpsc::UnboundedSender<ToCoordinator>,
    ) {
        self.send_pending_reports(&queue);
        self.outgoing.insert(to, queue);
        if self.standing != ContactState::InContact {
            let outputs = self.replica.question();
            self.carry_out(outputs);
            self.observe();
        }
    }

    /// Told when another coordinator has called this one, which then may call it without delay.
    pub(crate) fn inbound_notify(&mut self, of: SocketAddr) -> Rc<Notify> {
        Rc::clone(self.inbound_notifies.entry(of).or_default())
    }

    /// Another coordinator has become known; true where it is new.
    pub(crate) fn add_peer(&mut self, address: SocketAddr) -> bool {
        if address == self.own || !self.coordinators.insert(address) {
            return false;
        }
        let outputs = self
            .replica
            .set_peers(self.coordinators.iter().copied().collect());
        self.carry_out(outputs);
        true
    }

    /// Spreads news over the relay tree.
    fn publish(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.publisher.publish(entry);
        }
    }

    /// Takes an entry that has come over the relay tree.
    pub(crate) fn heard(&mut self, entry: &Entry) {
        let now = self.now();
        // Unchanged heartbeats aren't told, so that an older word may look newer to those that have
        // only that.
        if let MergeOutcome::Stale(newer) = self.catalog.merge(now, entry) {
            self.publish(vec![*newer]);
        }
    }

    /// Looks for silence and tells who is alive.
    pub(crate) fn tick(&mut self) {
        self.observe();
        let now = self.now();
        // Whoever isn't heard here may be heard by others, of whom nothing is known out of contact.
        if self.standing == ContactState::InContact {
            let news = self.catalog.expire(now);
            self.publish(news);
        }
        for (key, version) in self.catalog.purge(now) {
            self.publisher.remove(&key, version);
        }
        self.broadcast_alive();
    }

    /// Adds a subscriber.
    pub(crate) fn subscribe(&mut self, to: Subscriber, coordinator: bool) -> u64 {
        let coordinators = self.coordinators.iter().copied().collect();
        let in_contact = self.is_feed_fresh();
        let _ = to.send(FromCoordinator::KeepAlive {
            coordinators,
            heard: Vec::new(),
            in_contact,
        });
        self.next_subscriber += 1;
        self.subscribers
            .insert(self.next_subscriber, (to, coordinator));
        self.next_subscriber
    }

    /// Removes a subscriber.
    pub(crate) fn unsubscribe(&mut self, number: u64) {
        self.subscribers.remove(&number);
    }

    /// Takes a frame of a subscriber.
    pub(crate) fn take_subscriber_frame(&mut self, frame: ToCoordinator) {
        let now = self.now();
        match frame {
            ToCoordinator::Hello(_) => {}
            ToCoordinator::Entries(entries) => {
                entries.into_iter().for_each(|entry| self.take_entry(entry));
            }
            ToCoordinator::Register(bytes) => {
                self.observe();
                let outputs = self.replica.receive(&bytes);
                self.carry_out(outputs);
                self.observe();
            }
            ToCoordinator::KeepAlive(heard) => self.catalog.merge_observed(now, &heard),
        }
    }

    /// Takes an entry that came directly: an agent's word of its gate, or another coordinator's of
    /// a server that leaves.
    fn take_entry(&mut self, entry: Entry) {
        let now = self.now();
        let news = match entry.value {
            Value::Gate(record) => self
                .catalog
                .update_gate(now, entry.key, entry.version, record),
            Value::Instance(_) => match self.catalog.merge(now, &entry) {
                MergeOutcome::Newer => Some(entry),
                MergeOutcome::Known => None,
                MergeOutcome::Stale(newer) => Some(*newer),
            },
            Value::Control(_) => None,
        };
        self.publish(news.into_iter().collect());
    }

    /// Takes a frame of another coordinator; returns the coordinators that it knows.
    pub(crate) fn take_coordinator_frame(&mut self, frame: FromCoordinator) -> Vec<SocketAddr> {
        let FromCoordinator::KeepAlive {
            coordinators,
            heard,
            ..
        } = frame;
        let now = self.now();
        self.catalog.merge_observed(now, &heard);
        coordinators
    }
}

#[cfg(test)]
mod tests;
