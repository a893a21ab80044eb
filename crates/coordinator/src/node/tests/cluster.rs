//! Coordinators in one process: their clock is set by hand, their links are queues that the test
//! empties.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ironmast_schema::control::{Entry, FromCoordinator, GateRecord, Key, ToCoordinator, Value};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use ironmast_schema::settings::Settings;
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::node::{Command, CoordinatorNode, EntryPublisher, Reply};
use crate::register_log::Persisted;
use crate::replica::RegisterReplica;
use crate::resolve::Query;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u32 = 25;
const PORT: u16 = 7_000;

/// What a coordinator has told its relay tree.
#[derive(Debug, Default)]
pub(crate) struct PublishedState {
    pub published: RefCell<Vec<Entry>>,
    pub in_contact: Cell<bool>,
}

impl EntryPublisher for Rc<PublishedState> {
    fn publish(&self, entry: &Entry) {
        self.published.borrow_mut().push(entry.clone());
    }

    fn remove(&self, _of: &Key, _version: u64) {}

    fn set_in_contact(&self, in_contact: bool) {
        self.in_contact.set(in_contact);
    }
}

/// One coordinator.
pub(super) struct Member {
    pub state: CoordinatorNode,
    pub told: Rc<PublishedState>,
    /// What an agent that is linked to it hears.
    pub heard: mpsc::UnboundedReceiver<FromCoordinator>,
    pub is_frozen: bool,
    persisted: mpsc::UnboundedReceiver<Persisted>,
    outgoing: Vec<(usize, mpsc::UnboundedReceiver<ToCoordinator>)>,
    inbox: VecDeque<ToCoordinator>,
}

/// All coordinators of a test.
pub(super) struct Cluster {
    pub members: Vec<Member>,
    /// Frames from the first to the second are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    now: Rc<Cell<Duration>>,
    steps: u32,
    _folder: TempDir,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).expect("few") + 1], PORT))
}

fn settings(folder: &TempDir, number: usize, count: usize) -> Settings {
    let disk = folder.path().join(number.to_string());
    std::fs::create_dir(&disk).expect("a disk");
    let seeds: String = (0..count)
        .map(|seed| format!("\n  - \"{}\"", address(seed)))
        .collect();
    let text = format!(
        "node_name: m{number}
ip_address: {ip}
zone: z{number}
region: r{number}
internal_port_range: [{PORT}, 7009]
bootstrap: true
data_directory: {disk}
limits:
  disk_mb: 16
seed_nodes:{seeds}
",
        ip = address(number).ip(),
        disk = disk.display(),
    );
    Settings::parse(&disk, &text).expect("sound")
}

impl Cluster {
    /// Coordinators that start for the first time.
    pub(super) fn starting(count: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let now = Rc::new(Cell::new(Duration::from_secs(1)));
        let members = (0..count)
            .map(|number| member(&folder, &now, number, count))
            .collect();
        let mut cluster = Cluster {
            members,
            cuts: BTreeSet::new(),
            now,
            steps: 0,
            _folder: folder,
        };
        for from in 0..count {
            (0..count)
                .filter(|to| *to != from)
                .for_each(|to| cluster.link(from, to));
        }
        cluster
    }

    /// Coordinators that are in contact.
    pub(super) fn new(count: usize) -> Self {
        let mut cluster = Cluster::starting(count);
        cluster.run(Duration::from_secs(2));
        cluster
    }

    /// A link comes up, in place of the one before.
    pub(super) fn link(&mut self, from: usize, to: usize) {
        let (queue, frames) = mpsc::unbounded_channel();
        let member = &mut self.members[from];
        member.outgoing.retain(|(other, _)| *other != to);
        member.state.add_peer(address(to));
        member.state.link_established(address(to), queue);
        member.outgoing.push((to, frames));
    }

    /// Cuts all frames from `from` to the others.
    pub(super) fn cut_from(&mut self, from: usize) {
        self.cuts.extend(
            (0..self.members.len())
                .filter(|to| *to != from)
                .map(|to| (from, to)),
        );
    }

    /// Cuts all frames from the others to `to`.
    pub(super) fn cut_to(&mut self, to: usize) {
        self.cuts.extend(
            (0..self.members.len())
                .filter(|from| *from != to)
                .map(|from| (from, to)),
        );
    }

    pub(super) fn cut(&mut self, number: usize) {
        self.cut_from(number);
        self.cut_to(number);
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now.get() + time;
        while self.now.get() < end {
            self.step();
        }
    }

    pub(super) fn step(&mut self) {
        self.now.set(self.now.get() + STEP);
        self.steps += 1;
        let is_tick = self.steps.is_multiple_of(STEPS_PER_TICK);
        for number in 0..self.members.len() {
            self.carry(number);
            let now = self.now.get();
            let member = &mut self.members[number];
            if !member.is_frozen {
                member.work(now, is_tick);
            }
        }
    }

    /// Takes the frames of a member to the others.
    fn carry(&mut self, from: usize) {
        let mut frames = Vec::new();
        for (to, queue) in &mut self.members[from].outgoing {
            frames.extend(std::iter::from_fn(|| queue.try_recv().ok()).map(|frame| (*to, frame)));
        }
        for (to, frame) in frames {
            if !self.cuts.contains(&(from, to)) {
                self.members[to].inbox.push_back(frame);
            }
        }
    }

    /// Time passes while nobody works.
    pub(super) fn stand_still(&mut self, time: Duration) {
        self.now.set(self.now.get() + time);
    }

    /// Asks a coordinator; the answer may come later.
    pub(super) fn ask(
        &mut self,
        number: usize,
        command: impl FnOnce(oneshot::Sender<Reply>) -> Command,
    ) -> oneshot::Receiver<Reply> {
        let (to, reply) = oneshot::channel();
        self.members[number].state.command(command(to));
        reply
    }

    /// Asks a coordinator and waits for its answer for a second.
    pub(super) fn answer(
        &mut self,
        number: usize,
        command: impl FnOnce(oneshot::Sender<Reply>) -> Command,
    ) -> Reply {
        let mut reply = self.ask(number, command);
        for _ in 0..100 {
            match reply.try_recv() {
                Ok(reply) => return reply,
                Err(_) => self.step(),
            }
        }
        reply.try_recv().expect("callers wait for a second")
    }

    pub(super) fn status(
        &mut self,
        number: usize,
        command: impl FnOnce(oneshot::Sender<Reply>) -> Command,
    ) -> u16 {
        self.answer(number, command).status
    }

    /// A gate of that region says to a coordinator that it takes clients.
    pub(super) fn gate_speaks(&mut self, to: usize, number: u16, region: &str) {
        let version = self.now.get().as_millis() as u64 * 4;
        let frontend = SocketAddr::from(([10, 0, 1, 1], number));
        let record = GateRecord {
            zone: "z".to_string(),
            region: region.to_string(),
            ready: true,
            down: false,
        };
        let entry = Entry {
            key: Key::Gate(frontend),
            version,
            value: Value::Gate(record),
        };
        self.members[to]
            .state
            .take_subscriber_frame(ToCoordinator::Entries(vec![entry]));
    }

    /// Entries that are news go from the relay tree of one coordinator to the others.
    pub(super) fn spread(&mut self, from: usize) {
        let entries = std::mem::take(&mut *self.members[from].told.published.borrow_mut());
        for (number, member) in self
            .members
            .iter_mut()
            .enumerate()
            .filter(|(number, _)| *number != from)
        {
            assert_ne!(number, from);
            entries.iter().for_each(|entry| member.state.heard(entry));
        }
    }
}

fn member(folder: &TempDir, now: &Rc<Cell<Duration>>, number: usize, count: usize) -> Member {
    let settings = settings(folder, number, count);
    let log = Logger::root(Discard, o!());
    let clock = Rc::clone(now);
    let clock = Clock::read_by(move || clock.get());
    let (replica, persisted) =
        RegisterReplica::open(&settings, address(number), clock, log.clone()).expect("a replica");
    let told = Rc::new(PublishedState::default());
    let mut state = CoordinatorNode::new(
        &settings,
        address(number),
        replica,
        Box::new(Rc::clone(&told)),
        &log,
    );
    let (to, heard) = mpsc::unbounded_channel();
    state.subscribe(to, false);
    let (outgoing, inbox) = Default::default();
    Member {
        state,
        told,
        heard,
        is_frozen: false,
        persisted,
        outgoing,
        inbox,
    }
}

impl Member {
    fn work(&mut self, now: Duration, is_tick: bool) {
        while let Some(frame) = self.inbox.pop_front() {
            self.state.take_subscriber_frame(frame);
        }
        if self.state.wake_at() <= now {
            self.state.wake();
        }
        while self.state.replica.is_writing() {
            let completion = self.persisted.blocking_recv().expect("the writer tells");
            self.state.persisted(completion);
        }
        if is_tick {
            self.state.tick();
        }
    }

    /// Whether an agent that is linked to it was last told that it is in contact.
    pub(super) fn says_in_contact(&mut self) -> Option<bool> {
        let frames = std::iter::from_fn(|| self.heard.try_recv().ok());
        frames
            .last()
            .map(|FromCoordinator::KeepAlive { in_contact, .. }| in_contact)
    }

    /// The configuration that the relay tree was last told.
    pub(super) fn published_generation(&self) -> Option<u64> {
        let published = self.told.published.borrow();
        published.iter().rev().find_map(|entry| match &entry.value {
            Value::Control(state) => state
                .configuration
                .as_ref()
                .map(|configuration| configuration.generation),
            _ => None,
        })
    }

    /// What the relay tree was last told of a server.
    pub(super) fn published(&self, id: &str) -> Option<Entry> {
        let key = Key::Instance(id.to_string());
        self.told
            .published
            .borrow()
            .iter()
            .rev()
            .find(|entry| entry.key == key)
            .cloned()
    }
}

/// A heartbeat of a server.
pub(super) fn heartbeat(
    id: &str,
    sequence: u64,
    state: InstanceState,
) -> impl FnOnce(oneshot::Sender<Reply>) -> Command {
    let heartbeat = Heartbeat {
        backend: "app".to_string(),
        address: "10.0.0.9:80".parse().expect("an address"),
        zone: "z".to_string(),
        generation: "v1".to_string(),
        capacity: 8,
        state,
        warmup_left_ms: 0.0,
        sequence,
        remaining_ms: None,
    };
    let id = id.to_string();
    move |to| Command::Heartbeat(id, heartbeat, to)
}

pub(super) fn delete(id: &str) -> impl FnOnce(oneshot::Sender<Reply>) -> Command {
    let id = id.to_string();
    move |to| Command::Leave(id, to)
}

pub(super) fn resolve(region: &str) -> impl FnOnce(oneshot::Sender<Reply>) -> Command {
    let query = Query {
        region: region.to_string(),
        zone: "z".to_string(),
        ..Query::default()
    };
    move |to| Command::Resolve(query, to)
}

pub(super) fn evacuate(zone: &str) -> impl FnOnce(oneshot::Sender<Reply>) -> Command {
    let zone = zone.to_string();
    move |to| Command::Evacuate(zone, true, to)
}

pub(super) fn configure(
    generation: u64,
    base: u64,
) -> impl FnOnce(oneshot::Sender<Reply>) -> Command {
    let body = body(generation);
    move |to| Command::Configure(generation, body, base, to)
}

/// A configuration without routes.
pub(super) fn body(generation: u64) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes()
}
