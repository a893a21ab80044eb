//! A simulation of three coordinators and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::message::{AcceptorState, MessageBody, Reply, ReplyBody};
use ironmast_register::{Action, Event, Message, Operation, OperationId, Outcome};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::host::{Host, Received};
use super::value::{Control, SetGeneration};

/// Number of coordinators.
pub(crate) const HOST_COUNT: usize = 3;
/// Delay before a failed write is retried, as in the coordinator.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Deadline of an operation, as in the coordinator.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(900);
/// Step in which the simulated time advances while a test waits for a condition.
const STEP: Duration = Duration::from_millis(5);

enum SimulatedEvent {
    MessageDelivered {
        to: usize,
        message: Message<Control>,
        bytes: u64,
    },
    WriteCompleted {
        host: usize,
        incarnation: u64,
    },
    TimerFired {
        host: usize,
        incarnation: u64,
        at: Duration,
    },
}

/// The coordinators, the scheduled events, and the observed outcomes and violations.
pub(crate) struct Cluster {
    pub now: Duration,
    pub random: Xoshiro256PlusPlus,
    pub hosts: Vec<Host>,
    pub violations: Vec<String>,
    pub outcomes: BTreeMap<OperationId, Outcome<Control>>,
    body_bytes: usize,
    /// Host and generation of each submitted change, until its outcome is taken or its host stops.
    pending_changes: BTreeMap<OperationId, (usize, u64)>,
    events: BTreeMap<u64, SimulatedEvent>,
    /// Times and identifiers of the scheduled events.
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    last_id: u64,
}

impl Cluster {
    /// Starts all hosts at once, on empty disks.
    pub(crate) fn new(seed: u64, body_bytes: usize) -> Self {
        let hosts = (0..)
            .take(HOST_COUNT)
            .map(|index| Host::new(index, seed * 31 + u64::from(index)));
        let mut cluster = Self {
            now: Duration::ZERO,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            hosts: hosts.collect(),
            violations: Vec::new(),
            outcomes: BTreeMap::new(),
            body_bytes,
            pending_changes: BTreeMap::new(),
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            last_id: 0,
        };
        for host in 0..HOST_COUNT {
            cluster.start_from(host, true);
        }
        cluster
    }

    /// Runs until the bootstrap is complete.
    pub(crate) fn finish_bootstrap(&mut self) {
        self.run(Duration::from_secs(1));
    }

    /// Starts a host from its disk; returns false if the disk cannot be read now.
    pub(crate) fn start(&mut self, host: usize) -> bool {
        self.start_from(host, false)
    }

    fn start_from(&mut self, host: usize, bootstrap: bool) -> bool {
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|host| host.address).collect();
        let seed = self.random.random();
        if !self.hosts[host].start(&addresses, bootstrap, seed) {
            return false;
        }
        self.handle(host, Event::Timer);
        let others = addresses
            .into_iter()
            .filter(|address| *address != self.hosts[host].address)
            .collect();
        self.handle(host, Event::Peers(others));
        true
    }

    /// Kills a process. Its files remain; a write in flight may reach the disk in part.
    pub(crate) fn kill(&mut self, host: usize) {
        let operations = self.random.random_range(0..8);
        self.hosts[host].stop(operations);
        self.hosts[host].disk.clear_faults();
        self.pending_changes.retain(|_, (at, _)| *at != host);
    }

    /// Makes a host lose power, which ends its process and may lose unsynced data.
    pub(crate) fn lose_power(&mut self, host: usize) {
        let operations = self.random.random_range(0..8);
        self.hosts[host].stop(operations);
        self.hosts[host].disk.lose_power();
        self.pending_changes.retain(|_, (at, _)| *at != host);
    }

    /// Resumes a paused process; messages that arrived meanwhile are lost.
    pub(crate) fn resume(&mut self, host: usize) {
        self.hosts[host].is_paused = false;
        self.handle(host, Event::Timer);
    }

    /// Submits a change to a host.
    pub(crate) fn submit_change(&mut self, host: usize, generation: u64) -> OperationId {
        self.last_id += 1;
        let id = self.last_id;
        self.pending_changes.insert(id, (host, generation));
        let operation = Operation::change(SetGeneration {
            generation,
            bytes: self.body_bytes,
        });
        let deadline = self.now + OPERATION_TIMEOUT;
        self.handle(
            host,
            Event::Submit {
                id,
                operation,
                deadline,
            },
        );
        id
    }

    /// Waits for the outcome of a change; `None` if its host was stopped or is paused.
    pub(crate) fn wait_for_outcome(&mut self, id: OperationId) -> Option<Outcome<Control>> {
        let end = self.now + OPERATION_TIMEOUT + STEP;
        while self.now < end
            && !self.outcomes.contains_key(&id)
            && self.pending_changes.contains_key(&id)
        {
            self.run(STEP);
        }
        self.pending_changes.remove(&id);
        self.outcomes.remove(&id)
    }

    /// Submits changes through one host, each after the previous one was acknowledged.
    pub(crate) fn apply_changes(&mut self, host: usize, changes: u64) {
        let newest = self.hosts[host].generation().expect("known");
        for generation in newest + 1..=newest + changes {
            let id = self.submit_change(host, generation);
            let outcome = self.wait_for_outcome(id);
            assert!(
                matches!(outcome, Some(Outcome::Written(_))),
                "outcome of generation {generation}: {outcome:?}"
            );
        }
    }

    /// Runs until a host has learned that a generation is chosen; returns the time that took.
    pub(crate) fn time_until_caught_up(&mut self, host: usize, generation: u64) -> Duration {
        let start = self.now;
        while self.hosts[host].generation() != Some(generation) {
            self.run(STEP);
            assert!(
                self.now < start + Duration::from_secs(10),
                "host {host} never reached generation {generation}"
            );
        }
        self.now - start
    }

    pub(crate) fn received(&self, host: usize) -> Received {
        self.hosts[host].received
    }

    /// Advances the simulated time and processes the events that become due.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(&Reverse((at, id))) = self.due.peek() {
            if at > end {
                break;
            }
            self.due.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.process(event);
            }
        }
        self.now = end;
    }

    fn process(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::MessageDelivered { to, message, bytes } => {
                let received = &mut self.hosts[to].received;
                received.bytes += bytes;
                received.states += u64::from(carries_state(&message.body));
                self.handle(to, Event::Message(message));
            }
            SimulatedEvent::WriteCompleted { host, incarnation }
                if incarnation == self.hosts[host].incarnation =>
            {
                if self.hosts[host].is_paused {
                    self.schedule(
                        self.now + WRITE_RETRY_DELAY,
                        SimulatedEvent::WriteCompleted { host, incarnation },
                    );
                } else {
                    self.complete_write(host);
                }
            }
            SimulatedEvent::TimerFired {
                host,
                incarnation,
                at,
            } if incarnation == self.hosts[host].incarnation => {
                if self.hosts[host].timer_at == at {
                    self.handle(host, Event::Timer);
                }
            }
            SimulatedEvent::WriteCompleted { .. } | SimulatedEvent::TimerFired { .. } => {}
        }
    }

    fn complete_write(&mut self, host: usize) {
        if let Some(token) = self.hosts[host].complete_write() {
            self.handle(host, Event::Persisted(token));
        } else {
            let incarnation = self.hosts[host].incarnation;
            self.schedule(
                self.now + WRITE_RETRY_DELAY,
                SimulatedEvent::WriteCompleted { host, incarnation },
            );
        }
    }

    fn handle(&mut self, host: usize, event: Event<Control>) {
        if self.hosts[host].is_paused {
            return;
        }
        for action in self.hosts[host].handle(self.now, event) {
            self.perform(host, action);
        }
    }

    fn perform(&mut self, host: usize, action: Action<Control>) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Persist(write) => {
                let host_state = &mut self.hosts[host];
                host_state.start_write(write.token, write.record);
                let at = (self.now + host_state.write_time).max(host_state.stalled_until);
                self.schedule(at, SimulatedEvent::WriteCompleted { host, incarnation });
            }
            Action::Completed { id, outcome } => self.complete(host, id, outcome),
            Action::Learned(state) => {
                let (published, acknowledged) =
                    (state.value.generation, self.hosts[host].acknowledged);
                if published < acknowledged {
                    let what = format!(
                        "host {host} publishes {published} after it acknowledged {acknowledged}"
                    );
                    self.violations.push(format!("{what}, at {:?}", self.now));
                }
            }
            Action::Timer(at) => {
                self.hosts[host].timer_at = at;
                self.schedule(
                    at,
                    SimulatedEvent::TimerFired {
                        host,
                        incarnation,
                        at,
                    },
                );
            }
            other @ Action::DiskLost => {
                self.violations
                    .push(format!("host {host} requests {other:?}"));
            }
        }
    }

    fn complete(&mut self, host: usize, id: OperationId, outcome: Outcome<Control>) {
        let Some((_, generation)) = self.pending_changes.get(&id).copied() else {
            return;
        };
        if let Outcome::Written(state) | Outcome::Unchanged(state) = &outcome {
            if state.value.generation < generation {
                self.violations.push(format!(
                    "generation {generation} acknowledged in a state of generation {}",
                    state.value.generation
                ));
            }
            let host_state = &mut self.hosts[host];
            host_state.acknowledged = host_state.acknowledged.max(generation);
        }
        self.outcomes.insert(id, outcome);
    }

    fn send(&mut self, to: SocketAddr, message: Message<Control>) {
        let Some(to) = self.hosts.iter().position(|host| host.address == to) else {
            return;
        };
        if !self.hosts[to].is_up() {
            return;
        }
        let bytes = postcard::experimental::serialized_size(&message).expect("encoded") as u64;
        let delay = Duration::from_micros(self.random.random_range(1_000..3_000));
        self.schedule(
            self.now + delay,
            SimulatedEvent::MessageDelivered { to, message, bytes },
        );
    }

    fn schedule(&mut self, at: Duration, event: SimulatedEvent) {
        self.last_id += 1;
        self.events.insert(self.last_id, event);
        self.due.push(Reverse((at, self.last_id)));
    }
}

/// Whether a message carries a complete state.
fn carries_state(body: &MessageBody<Control>) -> bool {
    let in_reply = |state: &AcceptorState<Control>| state.proposal.is_some();
    match body {
        MessageBody::ChosenState(_) => true,
        MessageBody::Reply(Reply {
            body: ReplyBody::QueryResult(state) | ReplyBody::Promise { state, .. },
            ..
        }) => in_reply(state),
        _ => false,
    }
}
