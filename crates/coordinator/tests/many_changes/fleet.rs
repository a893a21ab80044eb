//! Three coordinators and the network between them, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::message::{AcceptorState, MessageBody, Reply, ReplyBody};
use ironmast_register::{Action, Event, Message, Operation, OperationId, Outcome};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::host::{Host, Received};
use super::value::{Control, Put};

/// Coordinators.
pub(crate) const HOSTS: usize = 3;
/// A write that failed is tried again after this, as the coordinator does.
const REWRITE: Duration = Duration::from_millis(200);
/// An order is answered within this.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
const STEP: Duration = Duration::from_millis(5);

enum Happening {
    Arrives {
        to: usize,
        message: Message<Control>,
        bytes: u64,
    },
    Written {
        host: usize,
        life: u64,
    },
    Rings {
        host: usize,
        life: u64,
        at: Duration,
    },
}

/// The deployment.
pub(crate) struct Fleet {
    pub now: Duration,
    pub random: Xoshiro256PlusPlus,
    pub hosts: Vec<Host>,
    pub violations: Vec<String>,
    pub outcomes: BTreeMap<OperationId, Outcome<Control>>,
    body_bytes: usize,
    orders: BTreeMap<OperationId, (usize, u64)>,
    happenings: BTreeMap<u64, Happening>,
    agenda: BinaryHeap<Reverse<(Duration, u64)>>,
    serial: u64,
}

impl Fleet {
    /// All start at once, on empty disks.
    pub(crate) fn new(seed: u64, body_bytes: usize) -> Self {
        let hosts = (0..)
            .take(HOSTS)
            .map(|index| Host::new(index, seed * 31 + u64::from(index)));
        let mut fleet = Self {
            now: Duration::ZERO,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            hosts: hosts.collect(),
            violations: Vec::new(),
            outcomes: BTreeMap::new(),
            body_bytes,
            orders: BTreeMap::new(),
            happenings: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            serial: 0,
        };
        for host in 0..HOSTS {
            fleet.start_from(host, true);
        }
        fleet
    }

    /// Lets the first start come to its end.
    pub(crate) fn settle(&mut self) {
        self.run(Duration::from_secs(1));
    }

    /// Starts a host from its disk; false where that can't be read now.
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

    /// Ends a process; its files stay as they are.
    pub(crate) fn kill(&mut self, host: usize) {
        let operations = self.random.random_range(0..8);
        self.hosts[host].end(operations);
        self.hosts[host].disk.clear_faults();
        self.orders.retain(|_, (at, _)| *at != host);
    }

    /// Ends a process by a loss of power.
    pub(crate) fn lose_power(&mut self, host: usize) {
        let operations = self.random.random_range(0..8);
        self.hosts[host].end(operations);
        self.hosts[host].disk.lose_power();
        self.orders.retain(|_, (at, _)| *at != host);
    }

    /// A frozen process goes on; what came meanwhile is lost.
    pub(crate) fn thaw(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        self.handle(host, Event::Timer);
    }

    /// Sends an order to a host.
    pub(crate) fn order(&mut self, host: usize, generation: u64) -> OperationId {
        self.serial += 1;
        let id = self.serial;
        self.orders.insert(id, (host, generation));
        let operation = Operation::change(Put {
            generation,
            bytes: self.body_bytes,
        });
        let deadline = self.now + ANSWER_WITHIN;
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

    /// Waits for the outcome of an order; none where its host has ended or is frozen.
    pub(crate) fn outcome(&mut self, id: OperationId) -> Option<Outcome<Control>> {
        let end = self.now + ANSWER_WITHIN + STEP;
        while self.now < end && !self.outcomes.contains_key(&id) && self.orders.contains_key(&id) {
            self.run(STEP);
        }
        self.orders.remove(&id);
        self.outcomes.remove(&id)
    }

    /// Has changes acknowledged by one host, each following the one before.
    pub(crate) fn change_through(&mut self, host: usize, changes: u64) {
        let newest = self.hosts[host].generation().expect("known");
        for generation in newest + 1..=newest + changes {
            let id = self.order(host, generation);
            let outcome = self.outcome(id);
            assert!(
                matches!(outcome, Some(Outcome::Written(_))),
                "{generation}: {outcome:?}"
            );
        }
    }

    /// Time until a host knows that generation as chosen.
    pub(crate) fn until_level(&mut self, host: usize, generation: u64) -> Duration {
        let start = self.now;
        while self.hosts[host].generation() != Some(generation) {
            self.run(STEP);
            assert!(self.now < start + Duration::from_secs(10), "never level");
        }
        self.now - start
    }

    pub(crate) fn received(&self, host: usize) -> Received {
        self.hosts[host].received
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(&Reverse((at, serial))) = self.agenda.peek() {
            if at > end {
                break;
            }
            self.agenda.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&serial) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives { to, message, bytes } => {
                let received = &mut self.hosts[to].received;
                received.bytes += bytes;
                received.states += u64::from(holds_state(&message.body));
                self.handle(to, Event::Message(message));
            }
            Happening::Written { host, life } if life == self.hosts[host].life => {
                if self.hosts[host].frozen {
                    self.schedule(self.now + REWRITE, Happening::Written { host, life })
                } else {
                    self.end_write(host)
                }
            }
            Happening::Rings { host, life, at } if life == self.hosts[host].life => {
                if self.hosts[host].timer == at {
                    self.handle(host, Event::Timer);
                }
            }
            Happening::Written { .. } | Happening::Rings { .. } => {}
        }
    }

    fn end_write(&mut self, host: usize) {
        if let Some(token) = self.hosts[host].end_write() {
            self.handle(host, Event::Persisted(token))
        } else {
            let life = self.hosts[host].life;
            self.schedule(self.now + REWRITE, Happening::Written { host, life });
        }
    }

    fn handle(&mut self, host: usize, event: Event<Control>) {
        if self.hosts[host].frozen {
            return;
        }
        for action in self.hosts[host].handle(self.now, event) {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action<Control>) {
        let life = self.hosts[host].life;
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Persist(write) => {
                let entry = &mut self.hosts[host];
                entry.begin_write(write.token, write.record);
                let at = (self.now + entry.sync).max(entry.stalled_until);
                self.schedule(at, Happening::Written { host, life });
            }
            Action::Completed { id, outcome } => self.complete(host, id, outcome),
            Action::Learned(state) => {
                let (fed, acknowledged) = (state.value.generation, self.hosts[host].acknowledged);
                if fed < acknowledged {
                    let what =
                        format!("host {host} feeds {fed} after it acknowledged {acknowledged}");
                    self.violations.push(format!("{what}, at {:?}", self.now));
                }
            }
            Action::Timer(at) => {
                self.hosts[host].timer = at;
                self.schedule(at, Happening::Rings { host, life, at });
            }
            other => self.violations.push(format!("host {host} wants {other:?}")),
        }
    }

    fn complete(&mut self, host: usize, id: OperationId, outcome: Outcome<Control>) {
        let Some((_, generation)) = self.orders.get(&id).copied() else {
            return;
        };
        if let Outcome::Written(state) | Outcome::Unchanged(state) = &outcome {
            if state.value.generation < generation {
                self.violations.push(format!(
                    "{generation} acknowledged at {}",
                    state.value.generation
                ));
            }
            let entry = &mut self.hosts[host];
            entry.acknowledged = entry.acknowledged.max(generation);
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
        self.schedule(self.now + delay, Happening::Arrives { to, message, bytes });
    }

    fn schedule(&mut self, at: Duration, happening: Happening) {
        self.serial += 1;
        self.happenings.insert(self.serial, happening);
        self.agenda.push(Reverse((at, self.serial)));
    }
}

/// Whether a message holds a whole state.
fn holds_state(body: &MessageBody<Control>) -> bool {
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
