//! The simulated deployment: hosts, the network between them, and their clients, in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::node::NodeLocation;
use ironmast_register::{
    Action, Event, Identity, Message, Node, Operation, OperationId, Outcome, PersistToken,
    RecordSource, Settings,
};

use super::checks::{Checks, Request, Violation};
use super::conditions::{Conditions, LOCAL};
use super::event::SimulatedEvent;
use super::event_queue::{DueEvent, EventQueue};
use super::host::Host;
use super::random::Random;
use super::value::{Change, Value};

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Minimum latency of a message between two regions, in microseconds.
const LATENCY_BETWEEN_REGIONS: u64 = 55_000;
/// Minimum latency of a message within a region, in microseconds.
const LATENCY_WITHIN_REGION: u64 = 1_400;

/// A simulated deployment at a simulated time.
pub(crate) struct World {
    pub now: Duration,
    pub random: Random,
    pub conditions: Conditions,
    pub settings: Settings,
    pub hosts: Vec<Host>,
    pub checks: Checks,
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub messages: u64,
    pub failed_writes: u64,
    seeds: Vec<SocketAddr>,
    events: EventQueue<SimulatedEvent>,
    last_operation: OperationId,
    requests: BTreeMap<OperationId, Request>,
    pub outcomes: BTreeMap<OperationId, Outcome<Value>>,
}

impl World {
    /// Creates a deployment whose first `members` hosts are the initial members and are started;
    /// the `spares` after them are not.
    pub(crate) fn new(seed: u64, members: usize, spares: usize, settings: Settings) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            random: Random(seed),
            conditions: LOCAL,
            settings,
            hosts: (0..members + spares).map(Host::new).collect(),
            checks: Checks::default(),
            blocked_links: BTreeSet::new(),
            messages: 0,
            failed_writes: 0,
            seeds: (0..members).map(|index| Host::new(index).address).collect(),
            events: EventQueue::default(),
            last_operation: 0,
            requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        };
        for host in 0..members {
            world.start_bootstrapping(host);
        }
        world
    }

    /// Starts a host whose settings say that the whole system starts for the first time. They only
    /// matter if the disk is empty.
    pub(crate) fn start_bootstrapping(&mut self, host: usize) {
        if self.hosts[host].disk.is_some() {
            self.start(host);
        } else {
            let source = RecordSource::Bootstrap {
                members: self.seeds.clone(),
                value: Value::default(),
            };
            self.start_from(host, source);
            self.update_peers();
        }
    }

    /// Starts a host from its disk, or with a new identity if the disk is empty.
    pub(crate) fn start(&mut self, host: usize) {
        let source = match self.hosts[host].disk.clone() {
            Some(record) => RecordSource::Durable(record),
            None => RecordSource::Empty {
                identity: Identity(self.random.next()),
            },
        };
        self.start_from(host, source);
        self.update_peers();
    }

    fn start_from(&mut self, host: usize, source: RecordSource<Value>) {
        let seed = self.random.next();
        let settings = self.settings.clone();
        let location = NodeLocation {
            address: self.hosts[host].address,
            zone: self.hosts[host].zone.clone(),
        };
        let entry = &mut self.hosts[host];
        entry.incarnation += 1;
        entry.learned.clear();
        entry.node = Some(Node::recover(source, location, seed, settings));
        self.handle(host, Event::Timer);
    }

    /// Starts a host that knows only the peers `learned`, and is known only to the host `known_by`.
    pub(crate) fn start_with_peers(&mut self, host: usize, learned: &[usize], known_by: usize) {
        let source = RecordSource::Empty {
            identity: Identity(self.random.next()),
        };
        self.start_from(host, source);
        let others = learned
            .iter()
            .map(|&other| self.hosts[other].address)
            .collect();
        self.handle(host, Event::Peers(others));
        self.handle(known_by, Event::Peers(vec![self.hosts[host].address]));
    }

    /// Sets the peers of every running host to all running hosts and the initial members.
    fn update_peers(&mut self) {
        let up: Vec<usize> = self.running_hosts().collect();
        let mut addresses: BTreeSet<SocketAddr> =
            up.iter().map(|&host| self.hosts[host].address).collect();
        addresses.extend(&self.seeds);
        let now = self.now;
        for host in up
            .into_iter()
            .filter(|&host| self.hosts[host].paused_until <= now)
            .collect::<Vec<_>>()
        {
            let own = self.hosts[host].address;
            let others = addresses
                .iter()
                .copied()
                .filter(|&address| address != own)
                .collect();
            self.handle(host, Event::Peers(others));
        }
    }

    pub(crate) fn running_hosts(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|&host| self.hosts[host].node.is_some())
    }

    /// Kills a host at once. A write in flight may or may not reach the disk.
    pub(crate) fn kill(&mut self, host: usize) {
        let reaches = self.random.chance(50);
        let entry = &mut self.hosts[host];
        entry.incarnation += 1;
        entry.node = None;
        entry.paused_until = Duration::ZERO;
        entry.writes_fail = false;
        let write = entry.writing.take().filter(|_| reaches);
        if let Some(write) = write {
            entry.disk = Some(write.record);
        }
        self.requests.retain(|_, request| request.host != host);
    }

    /// Kills hosts together, then starts them from their disks.
    pub(crate) fn restart(&mut self, hosts: &[usize]) {
        for &host in hosts {
            self.kill(host);
        }
        for &host in hosts {
            self.start(host);
        }
    }

    /// Kills a host and empties its disk.
    pub(crate) fn wipe(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host].disk = None;
    }

    pub(crate) fn leave(&mut self, host: usize) {
        if self.hosts[host].node.is_some() {
            self.handle(host, Event::Leaving);
        }
    }

    /// Submits a change, or a read if there is none, to a host on behalf of a client.
    pub(crate) fn submit(
        &mut self,
        host: usize,
        change: Option<Change>,
        limit: Duration,
    ) -> OperationId {
        self.last_operation += 1;
        let id = self.last_operation;
        if let Some(change) = change {
            self.checks.record_submission(change);
        }
        let min_sequence = self.checks.reported;
        self.requests.insert(
            id,
            Request {
                host,
                change,
                min_sequence,
            },
        );
        let incarnation = self.hosts[host].incarnation;
        self.handle_event(SimulatedEvent::OperationSubmitted {
            host,
            incarnation,
            id,
            change,
            limit,
        });
        id
    }

    /// Disconnects the client of a request, which then receives no answer.
    pub(crate) fn disconnect_client(&mut self, id: OperationId) {
        self.requests.remove(&id);
    }

    /// Pauses a host's process for a while; its events are delayed.
    pub(crate) fn pause_process(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused_until = self.now + time;
    }

    /// Partitions a host from all others in both directions.
    pub(crate) fn isolate(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            self.blocked_links.insert((host, other));
            self.blocked_links.insert((other, host));
        }
    }

    /// Advances the simulated time and handles all events due in between.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(DueEvent { at, event }) = self.events.take_due(end) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Submits a change and a read to every running host, and records a violation for each one that
    /// isn't completed within the limit.
    pub(crate) fn expect_progress(&mut self, limit: Duration) {
        let hosts: Vec<usize> = self.running_hosts().collect();
        let mut ids = Vec::new();
        for host in hosts {
            let mark = self.random.next();
            ids.push((host, self.submit(host, Some(Change::Mark { mark }), limit)));
            ids.push((host, self.submit(host, None, limit)));
        }
        self.run(limit);
        for (host, id) in ids {
            let done = matches!(
                self.outcomes.get(&id),
                Some(Outcome::Written(_) | Outcome::Read(_))
            );
            if !done {
                self.checks
                    .violations
                    .push(Violation::NoProgress { host, at: self.now });
            }
        }
    }

    /// Returns the node of a running host.
    ///
    /// # Panics
    /// Panics if the host doesn't run.
    pub(crate) fn node(&self, host: usize) -> &Node<Value> {
        self.hosts[host].node.as_ref().expect("the host runs")
    }

    /// Asserts that no property is violated.
    ///
    /// # Panics
    /// Panics if a property is violated.
    pub(crate) fn assert_no_violations(&mut self, case: &str) {
        self.checks.finish();
        assert_eq!(self.checks.violations, [], "{case}");
    }

    /// Asserts that every running host completes a change and a read within the limit, and that no
    /// property is violated.
    ///
    /// # Panics
    /// Panics if an operation isn't completed or a property is violated.
    pub(crate) fn assert_progress(&mut self, limit: Duration, case: &str) {
        self.expect_progress(limit);
        self.assert_no_violations(case);
    }

    pub(crate) fn handle(&mut self, host: usize, event: Event<Value>) {
        let mut actions = Vec::new();
        let Some(node) = self.hosts[host].node.as_mut() else {
            return;
        };
        node.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(host, action);
        }
    }

    fn handle_event(&mut self, event: SimulatedEvent) {
        let host = event.host(&self.hosts);
        let resume_at = host
            .map(|host| self.hosts[host].paused_until)
            .filter(|&resume_at| self.now < resume_at);
        if let Some(resume_at) = resume_at {
            self.events.schedule(resume_at, event);
            return;
        }
        match event {
            SimulatedEvent::MessageArrives { to, message } => {
                let target = self.hosts.iter().position(|host| host.address == to);
                if let Some(host) = target {
                    self.handle(host, Event::Message(message));
                }
            }
            SimulatedEvent::WriteCompletes {
                host,
                incarnation,
                token,
            } if incarnation == self.hosts[host].incarnation => {
                self.end_write(host, token);
            }
            SimulatedEvent::TimerFires {
                host,
                incarnation,
                at,
            } if incarnation == self.hosts[host].incarnation => {
                if self.hosts[host].timer == at {
                    self.handle(host, Event::Timer);
                }
            }
            SimulatedEvent::OperationSubmitted {
                host,
                incarnation,
                id,
                change,
                limit,
            } if incarnation == self.hosts[host].incarnation => {
                let operation = change.map_or(Operation::Read, Operation::change);
                self.handle(
                    host,
                    Event::Submit {
                        id,
                        operation,
                        deadline: self.now + limit,
                    },
                );
            }
            SimulatedEvent::WriteCompletes { .. }
            | SimulatedEvent::TimerFires { .. }
            | SimulatedEvent::OperationSubmitted { .. } => {}
        }
    }

    /// Ends a write. A write that fails may have reached the disk or not, and is retried.
    fn end_write(&mut self, host: usize, token: PersistToken) {
        let fails = self.hosts[host].writes_fail;
        let reaches = !fails || self.random.chance(50);
        let entry = &mut self.hosts[host];
        let Some(write) = entry.writing.take_if(|write| write.token == token) else {
            return;
        };
        if reaches {
            entry.disk = Some(write.record.clone());
        }
        if !fails {
            self.handle(host, Event::Persisted(token));
            return;
        }
        self.failed_writes += 1;
        entry.writing = Some(write);
        let incarnation = entry.incarnation;
        self.events.schedule(
            self.now + WRITE_RETRY_DELAY,
            SimulatedEvent::WriteCompletes {
                host,
                incarnation,
                token,
            },
        );
    }

    fn perform(&mut self, host: usize, action: Action<Value>) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            Action::Send { to, message } => self.send(host, to, &message),
            Action::Persist(write) => {
                let token = write.token;
                self.hosts[host].writing = Some(write);
                let time = self.random.millis(1, self.conditions.max_write_ms + 1);
                let at = (self.now + time).max(self.hosts[host].writes_stalled_until);
                self.events.schedule(
                    at,
                    SimulatedEvent::WriteCompletes {
                        host,
                        incarnation,
                        token,
                    },
                );
            }
            Action::Completed { id, outcome } => {
                if let Some(request) = self.requests.remove(&id) {
                    self.checks.record_outcome(&request, &outcome);
                    self.outcomes.insert(id, outcome);
                }
            }
            Action::Learned(state) => {
                self.hosts[host].learned.push(state.sequence);
                self.checks.record_chosen(&state);
            }
            Action::DiskLost => {}
            Action::Timer(at) => {
                self.hosts[host].timer = at;
                self.events.schedule(
                    at,
                    SimulatedEvent::TimerFires {
                        host,
                        incarnation,
                        at,
                    },
                );
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message<Value>) {
        let Some(target) = self.hosts.iter().position(|host| host.address == to) else {
            return;
        };
        self.messages += 1;
        if self.blocked_links.contains(&(from, target))
            || self.random.chance(self.conditions.loss_percent)
        {
            return;
        }
        let copies = if self.random.chance(self.conditions.duplicate_percent) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let at = self.now + self.latency(from, target);
            self.events.schedule(
                at,
                SimulatedEvent::MessageArrives {
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    /// Returns the random latency of a message. Every third host is in another region than the
    /// rest.
    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let base = if from % 3 == 2 || to % 3 == 2 {
            LATENCY_BETWEEN_REGIONS
        } else {
            LATENCY_WITHIN_REGION
        };
        let base = base.max(self.conditions.min_latency_ms * 1_000);
        let jitter = self.conditions.max_jitter_ms * 1_000 + 1;
        Duration::from_micros(base + self.random.below(jitter))
    }
}
