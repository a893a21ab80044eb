//! Hosts, disks and the network of a simulation, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::node::NodeLocation;
use ironmast_register::{
    Action, Event, Identity, Message, Node, Operation, OperationId, Outcome, PersistToken, Record,
    RecordSource, Settings, Write,
};

use super::checks::{Checks, Request, Violation};
use super::random::Random;
use super::value::{Change, Value};

/// Chances and times of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    /// Percent of messages lost.
    pub loss: u64,
    /// Percent of messages that arrive twice.
    pub doubled: u64,
    /// Largest extra delay, in milliseconds.
    pub jitter: u64,
    /// Time of a write, in milliseconds.
    pub sync: u64,
    /// Every message takes this time at least, in milliseconds.
    pub distance: u64,
}

pub(crate) const CALM: Weather = Weather {
    loss: 0,
    doubled: 0,
    jitter: 2,
    sync: 3,
    distance: 0,
};

/// All links are as long as those between distant regions, and disks are slow.
pub(crate) const FAR: Weather = Weather {
    sync: 5,
    distance: 55,
    ..CALM
};

/// A write that has failed is tried again after this.
const REWRITE: Duration = Duration::from_millis(200);

pub(crate) struct Host {
    pub address: SocketAddr,
    pub zone: String,
    pub disk: Option<Record<Value>>,
    pub node: Option<Node<Value>>,
    /// Raised at each start and stop; events of earlier lives are void.
    life: u64,
    /// What comes to the host before this waits until then: its process stands still.
    frozen_until: Duration,
    /// Writes end no earlier than this.
    pub stalled_until: Duration,
    /// Writes fail, and what they would have written may be there or not.
    pub fails: bool,
    /// The write under way.
    writing: Option<Write<Value>>,
    timer: Duration,
    /// Sequences of the states told as learnt in this life.
    pub told: Vec<u64>,
}

enum Happening {
    Arrives {
        to: SocketAddr,
        message: Message<Value>,
    },
    Written {
        host: usize,
        life: u64,
        token: PersistToken,
    },
    Rings {
        host: usize,
        life: u64,
        at: Duration,
    },
    Asked {
        host: usize,
        life: u64,
        id: OperationId,
        change: Option<Change>,
        limit: Duration,
    },
}

impl Happening {
    /// The host whose process must run for it.
    fn host(&self, hosts: &[Host]) -> Option<usize> {
        match self {
            Happening::Arrives { to, .. } => hosts.iter().position(|host| host.address == *to),
            Happening::Written { host, .. }
            | Happening::Rings { host, .. }
            | Happening::Asked { host, .. } => Some(*host),
        }
    }
}

/// The simulated deployment.
pub(crate) struct World {
    pub now: Duration,
    pub random: Random,
    pub weather: Weather,
    pub settings: Settings,
    pub hosts: Vec<Host>,
    pub checks: Checks,
    pub cuts: BTreeSet<(usize, usize)>,
    pub messages: u64,
    pub storage_failures: u64,
    seeds: Vec<SocketAddr>,
    happenings: BTreeMap<u64, Happening>,
    agenda: BinaryHeap<Reverse<(Duration, u64)>>,
    serial: u64,
    requests: BTreeMap<OperationId, Request>,
    pub outcomes: BTreeMap<OperationId, Outcome<Value>>,
}

impl World {
    /// Hosts of which the first `members` are the initial members; the rest are not started.
    pub(crate) fn new(seed: u64, members: usize, spares: usize, settings: Settings) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            random: Random(seed),
            weather: CALM,
            settings,
            hosts: (0..members + spares).map(host).collect(),
            checks: Checks::default(),
            cuts: BTreeSet::new(),
            messages: 0,
            storage_failures: 0,
            seeds: (0..members).map(|index| host(index).address).collect(),
            happenings: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            serial: 0,
            requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        };
        for host in 0..members {
            world.start_first(host);
        }
        world
    }

    /// Starts a host whose settings say that the whole system starts for the first time.
    pub(crate) fn start_first(&mut self, host: usize) {
        if self.hosts[host].disk.is_some() {
            self.start(host)
        } else {
            let origin = RecordSource::Bootstrap {
                members: self.seeds.clone(),
                value: Value::default(),
            };
            self.start_from(host, origin);
            self.tell_peers();
        }
    }

    /// Starts a host from its disk; with a new identity if it is empty.
    pub(crate) fn start(&mut self, host: usize) {
        let origin = match self.hosts[host].disk.clone() {
            Some(record) => RecordSource::Durable(record),
            None => RecordSource::Empty {
                identity: Identity(self.random.next()),
            },
        };
        self.start_from(host, origin);
        self.tell_peers();
    }

    fn start_from(&mut self, host: usize, origin: RecordSource<Value>) {
        let seed = self.random.next();
        let settings = self.settings.clone();
        let place = NodeLocation {
            address: self.hosts[host].address,
            zone: self.hosts[host].zone.clone(),
        };
        let entry = &mut self.hosts[host];
        entry.life += 1;
        entry.told.clear();
        entry.node = Some(Node::recover(origin, place, seed, settings));
        self.handle(host, Event::Timer);
    }

    /// Starts a host that is told of those others only, while nobody is told of it but one host.
    pub(crate) fn start_secluded(&mut self, host: usize, told: &[usize], known_by: usize) {
        let origin = RecordSource::Empty {
            identity: Identity(self.random.next()),
        };
        self.start_from(host, origin);
        let others = told
            .iter()
            .map(|&other| self.hosts[other].address)
            .collect();
        self.handle(host, Event::Peers(others));
        self.handle(known_by, Event::Peers(vec![self.hosts[host].address]));
    }

    /// Every host is told of all that run, and of the seeds.
    fn tell_peers(&mut self) {
        let up: Vec<usize> = self.up().collect();
        let mut addresses: BTreeSet<SocketAddr> =
            up.iter().map(|&host| self.hosts[host].address).collect();
        addresses.extend(&self.seeds);
        let now = self.now;
        for host in up
            .into_iter()
            .filter(|&host| self.hosts[host].frozen_until <= now)
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

    pub(crate) fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|&host| self.hosts[host].node.is_some())
    }

    /// Ends a host at once. What is being written may or may not reach the disk.
    pub(crate) fn kill(&mut self, host: usize) {
        let reaches = self.random.chance(50);
        let entry = &mut self.hosts[host];
        entry.life += 1;
        entry.node = None;
        entry.frozen_until = Duration::ZERO;
        entry.fails = false;
        let write = entry.writing.take().filter(|_| reaches);
        if let Some(write) = write {
            entry.disk = Some(write.record);
        }
        self.requests.retain(|_, request| request.host != host);
    }

    /// Ends a host and empties its disk.
    pub(crate) fn wipe(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host].disk = None;
    }

    pub(crate) fn leave(&mut self, host: usize) {
        if self.hosts[host].node.is_some() {
            self.handle(host, Event::Leaving);
        }
    }

    /// A client sends a change, or a read, to a host.
    pub(crate) fn submit(
        &mut self,
        host: usize,
        change: Option<Change>,
        limit: Duration,
    ) -> OperationId {
        self.serial += 1;
        let id = self.serial;
        change
            .into_iter()
            .for_each(|change| self.checks.begin(change));
        let floor = self.checks.reported;
        self.requests.insert(
            id,
            Request {
                host,
                change,
                floor,
            },
        );
        let life = self.hosts[host].life;
        self.happen(Happening::Asked {
            host,
            life,
            id,
            change,
            limit,
        });
        id
    }

    /// The client of a request has lost its connection: it hears no answer.
    pub(crate) fn forget(&mut self, id: OperationId) {
        self.requests.remove(&id);
    }

    /// Stops a host's process for a while; what comes to it waits.
    pub(crate) fn freeze(&mut self, host: usize, time: Duration) {
        self.hosts[host].frozen_until = self.now + time;
    }

    /// Cuts a host off from all others in both directions.
    pub(crate) fn isolate(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            self.cuts.insert((host, other));
            self.cuts.insert((other, host));
        }
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

    /// Every host that runs takes a change and a read within the limit.
    pub(crate) fn expect_progress(&mut self, limit: Duration) {
        let hosts: Vec<usize> = self.up().collect();
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

    pub(crate) fn handle(&mut self, host: usize, event: Event<Value>) {
        let mut actions = Vec::new();
        let Some(node) = self.hosts[host].node.as_mut() else {
            return;
        };
        node.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(host, action);
        }
    }

    fn happen(&mut self, happening: Happening) {
        let host = happening.host(&self.hosts);
        let thaw = host
            .map(|host| self.hosts[host].frozen_until)
            .filter(|&thaw| self.now < thaw);
        if let Some(thaw) = thaw {
            self.schedule(thaw, happening);
            return;
        }
        match happening {
            Happening::Arrives { to, message } => {
                let target = self.hosts.iter().position(|host| host.address == to);
                if let Some(host) = target {
                    self.handle(host, Event::Message(message));
                }
            }
            Happening::Written { host, life, token } if life == self.hosts[host].life => {
                self.end_write(host, token);
            }
            Happening::Rings { host, life, at } if life == self.hosts[host].life => {
                if self.hosts[host].timer == at {
                    self.handle(host, Event::Timer);
                }
            }
            Happening::Asked {
                host,
                life,
                id,
                change,
                limit,
            } if life == self.hosts[host].life => {
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
            Happening::Written { .. } | Happening::Rings { .. } | Happening::Asked { .. } => {}
        }
    }

    /// A write ends. One that fails may have reached the disk or not, and is tried again.
    fn end_write(&mut self, host: usize, token: PersistToken) {
        let fails = self.hosts[host].fails;
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
        self.storage_failures += 1;
        entry.writing = Some(write);
        let life = entry.life;
        self.schedule(self.now + REWRITE, Happening::Written { host, life, token });
    }

    fn act(&mut self, host: usize, action: Action<Value>) {
        let life = self.hosts[host].life;
        match action {
            Action::Send { to, message } => self.send(host, to, message),
            Action::Persist(write) => {
                let token = write.token;
                self.hosts[host].writing = Some(write);
                let time = self.random.millis(1, self.weather.sync + 1);
                let at = (self.now + time).max(self.hosts[host].stalled_until);
                self.schedule(at, Happening::Written { host, life, token });
            }
            Action::Completed { id, outcome } => {
                if let Some(request) = self.requests.remove(&id) {
                    self.checks.end(&request, &outcome);
                    self.outcomes.insert(id, outcome);
                }
            }
            Action::Learned(state) => {
                self.hosts[host].told.push(state.sequence);
                self.checks.see(&state);
            }
            Action::DiskLost => {}
            Action::Timer(at) => {
                self.hosts[host].timer = at;
                self.schedule(at, Happening::Rings { host, life, at });
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message<Value>) {
        let Some(target) = self.hosts.iter().position(|host| host.address == to) else {
            return;
        };
        self.messages += 1;
        if self.cuts.contains(&(from, target)) || self.random.chance(self.weather.loss) {
            return;
        }
        let copies = if self.random.chance(self.weather.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let at = self.now + self.latency(from, target);
            self.schedule(
                at,
                Happening::Arrives {
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    /// Hosts of even number share a region; between regions a message takes 55 ms.
    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let base = if from % 3 == 2 || to % 3 == 2 {
            55_000
        } else {
            1_400
        };
        let base = base.max(self.weather.distance * 1_000);
        let jitter = self.weather.jitter * 1_000 + 1;
        Duration::from_micros(base + self.random.below(jitter))
    }

    fn schedule(&mut self, at: Duration, happening: Happening) {
        self.serial += 1;
        self.happenings.insert(self.serial, happening);
        self.agenda.push(Reverse((at, self.serial)));
    }
}

fn host(index: usize) -> Host {
    Host {
        address: SocketAddr::from((
            [127, 0, 0, 1],
            7_000 + u16::try_from(index).expect("few hosts"),
        )),
        zone: format!("zone-{}", index % 3),
        disk: None,
        node: None,
        life: 0,
        frozen_until: Duration::ZERO,
        stalled_until: Duration::ZERO,
        fails: false,
        writing: None,
        timer: Duration::ZERO,
        told: Vec::new(),
    }
}
