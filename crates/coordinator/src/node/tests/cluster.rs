//! Several coordinators in one process, with a clock that the test advances and with queues in
//! place of links.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::{Entry, FromCoordinator, GateRecord, Key, ToCoordinator, Value};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use ironmast_schema::settings::Settings;
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::sync::{mpsc, oneshot};

use crate::api::reply::Reply;
use crate::caller::Caller;
use crate::clock::Clock;
use crate::command::Command;
use crate::directory::{ConfigurationParser, Directory};
use crate::node::CoordinatorNode;
use crate::outcome::{ChangeOutcome, ReadOutcome, RegistrationOutcome, ResolveOutcome};
use crate::peers::Peers;
use crate::publisher::EntryPublisher;
use crate::register_log::WriteCompletion;
use crate::replica::{OpenedReplica, RegisterReplica};
use crate::resolve::Query;
use crate::subscribers::SubscriberKind;
use crate::value::{ConfigurationDocument, ZoneState};

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u32 = 25;
const PORT: u16 = 7_000;

/// Entries and contact state that a coordinator has published to the overlay.
#[derive(Debug, Default)]
pub(crate) struct PublishedState {
    pub entries: RefCell<Vec<Entry>>,
    pub in_contact: Cell<bool>,
}

impl EntryPublisher for Rc<PublishedState> {
    fn publish(&self, entry: &Entry) {
        self.entries.borrow_mut().push(entry.clone());
    }

    fn remove(&self, _of: &Key, _version: u64) {}

    fn set_in_contact(&self, in_contact: bool) {
        self.in_contact.set(in_contact);
    }
}

/// The HTTP response that the API sends for an outcome.
#[derive(Debug)]
pub(super) struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A response that may not have been sent yet.
pub(super) struct PendingResponse<Outcome>(oneshot::Receiver<Outcome>);

impl<Outcome> PendingResponse<Outcome>
where
    Reply: From<Outcome>,
{
    pub(super) fn try_recv(&mut self) -> Result<Response, oneshot::error::TryRecvError> {
        let reply = Reply::from(self.0.try_recv()?);
        Ok(Response {
            status: reply.status.as_u16(),
            body: reply.body,
        })
    }
}

/// One coordinator.
pub(super) struct Member {
    pub node: CoordinatorNode,
    pub published: Rc<PublishedState>,
    /// Keep-alive frames for an agent that has subscribed.
    pub keep_alives: mpsc::UnboundedReceiver<FromCoordinator>,
    completions: mpsc::UnboundedReceiver<WriteCompletion>,
    outgoing: Vec<(usize, mpsc::UnboundedReceiver<ToCoordinator>)>,
    inbox: VecDeque<ToCoordinator>,
}

/// All coordinators of a test.
pub(super) struct Cluster {
    pub members: Vec<Member>,
    /// Pairs of members: frames from the first to the second are lost.
    pub partitions: BTreeSet<(usize, usize)>,
    now: Rc<Cell<Duration>>,
    steps: u32,
    _folder: TempDir,
}

pub(super) fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, 0, u8::try_from(number).expect("a small number") + 1],
        PORT,
    ))
}

fn settings(folder: &TempDir, number: usize, count: usize) -> Settings {
    let disk = folder.path().join(number.to_string());
    std::fs::create_dir(&disk).expect("a disk");
    let seeds: Vec<String> = (0..count)
        .map(|seed| format!("\n  - \"{}\"", address(seed)))
        .collect();
    let seeds = seeds.concat();
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
    Settings::parse(&disk, &text).expect("valid settings")
}

impl Cluster {
    /// Coordinators that start for the first time.
    pub(super) fn starting(count: usize) -> Self {
        Cluster::starting_with(count, |_| Configuration::parse)
    }

    /// Coordinators that start for the first time, each with its own configuration parser.
    fn starting_with(count: usize, parser: impl Fn(usize) -> ConfigurationParser) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let now = Rc::new(Cell::new(Duration::from_secs(1)));
        let members = (0..count)
            .map(|number| member(&folder, &now, number, count, parser(number)))
            .collect();
        let mut cluster = Cluster {
            members,
            partitions: BTreeSet::new(),
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

    /// Coordinators that are in contact, each with its own configuration parser.
    pub(super) fn with_parsers(
        count: usize,
        parser: impl Fn(usize) -> ConfigurationParser,
    ) -> Self {
        let mut cluster = Cluster::starting_with(count, parser);
        cluster.run(Duration::from_secs(2));
        cluster
    }

    /// Coordinators that are in contact.
    pub(super) fn new(count: usize) -> Self {
        let mut cluster = Cluster::starting(count);
        cluster.run(Duration::from_secs(2));
        cluster
    }

    /// Establishes a link in place of the earlier one.
    pub(super) fn link(&mut self, from: usize, to: usize) {
        let (queue, frames) = mpsc::unbounded_channel();
        let member = &mut self.members[from];
        member.outgoing.retain(|(other, _)| *other != to);
        member.node.add_peer(address(to));
        member.node.link_established(address(to), queue);
        member.outgoing.push((to, frames));
    }

    /// Drops all frames from `from` to the others.
    pub(super) fn partition_from(&mut self, from: usize) {
        self.partitions.extend(
            (0..self.members.len())
                .filter(|to| *to != from)
                .map(|to| (from, to)),
        );
    }

    /// Drops all frames from the others to `to`.
    pub(super) fn partition_to(&mut self, to: usize) {
        self.partitions.extend(
            (0..self.members.len())
                .filter(|from| *from != to)
                .map(|from| (from, to)),
        );
    }

    /// Drops all frames from and to a member.
    pub(super) fn partition(&mut self, number: usize) {
        self.partition_from(number);
        self.partition_to(number);
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
            self.deliver_frames(number);
            let now = self.now.get();
            self.members[number].handle_events(now, is_tick);
        }
    }

    /// Delivers the frames of a member to the others.
    fn deliver_frames(&mut self, from: usize) {
        let mut frames = Vec::new();
        for (to, queue) in &mut self.members[from].outgoing {
            frames.extend(std::iter::from_fn(|| queue.try_recv().ok()).map(|frame| (*to, frame)));
        }
        for (to, frame) in frames {
            if !self.partitions.contains(&(from, to)) {
                self.members[to].inbox.push_back(frame);
            }
        }
    }

    /// Advances the clock without running any coordinator, as if all processes were suspended.
    pub(super) fn pause_processes(&mut self, time: Duration) {
        self.now.set(self.now.get() + time);
    }

    /// Submits a command to a coordinator.
    pub(super) fn submit<Outcome>(
        &mut self,
        number: usize,
        command: impl FnOnce(oneshot::Sender<Outcome>) -> Command,
    ) -> PendingResponse<Outcome> {
        let (reply, outcome) = oneshot::channel();
        self.members[number].node.execute(command(reply));
        PendingResponse(outcome)
    }

    /// Submits a command to a coordinator and waits for its response for one second.
    pub(super) fn response<Outcome>(
        &mut self,
        number: usize,
        command: impl FnOnce(oneshot::Sender<Outcome>) -> Command,
    ) -> Response
    where
        Reply: From<Outcome>,
    {
        let mut pending = self.submit(number, command);
        for _ in 0..100 {
            match pending.try_recv() {
                Ok(response) => return response,
                Err(_) => self.step(),
            }
        }
        pending.try_recv().expect("callers wait for a second")
    }

    /// Status of the response to a command.
    pub(super) fn status<Outcome>(
        &mut self,
        number: usize,
        command: impl FnOnce(oneshot::Sender<Outcome>) -> Command,
    ) -> u16
    where
        Reply: From<Outcome>,
    {
        self.response(number, command).status
    }

    /// Delivers to a coordinator the report of a gate of a region that it is ready.
    pub(super) fn report_gate(&mut self, to: usize, number: u16, region: &str) {
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
            .node
            .receive_subscriber_frame(ToCoordinator::Entries(vec![entry]));
    }

    /// Delivers the entries that a coordinator has published to the others.
    pub(super) fn deliver_published(&mut self, from: usize) {
        let entries = std::mem::take(&mut *self.members[from].published.entries.borrow_mut());
        for (number, member) in self
            .members
            .iter_mut()
            .enumerate()
            .filter(|(number, _)| *number != from)
        {
            assert_ne!(number, from);
            for entry in &entries {
                member.node.receive_entry(entry);
            }
        }
    }
}

fn member(
    folder: &TempDir,
    now: &Rc<Cell<Duration>>,
    number: usize,
    count: usize,
    parser: ConfigurationParser,
) -> Member {
    let settings = settings(folder, number, count);
    let log = Logger::root(Discard, o!());
    let clock = Rc::clone(now);
    let clock = Clock::from_fn(move || clock.get());
    let OpenedReplica {
        replica,
        completions,
    } = RegisterReplica::open(&settings, address(number), clock, log.clone()).expect("a replica");
    let published = Rc::new(PublishedState::default());
    let mut node = CoordinatorNode::new(
        &settings,
        Peers::new(address(number)),
        replica,
        Box::new(Rc::clone(&published)),
        Directory::new(&settings.timing_bounds, parser),
        &log,
    );
    let (queue, keep_alives) = mpsc::unbounded_channel();
    node.subscribe(queue, SubscriberKind::Agent);
    let (outgoing, inbox) = Default::default();
    Member {
        node,
        published,
        keep_alives,
        completions,
        outgoing,
        inbox,
    }
}

impl Member {
    fn handle_events(&mut self, now: Duration, is_tick: bool) {
        while let Some(frame) = self.inbox.pop_front() {
            self.node.receive_subscriber_frame(frame);
        }
        if self.node.wake_at() <= now {
            self.node.wake();
        }
        while self.node.replica.is_writing() {
            let completion = self.completions.blocking_recv().expect("a completion");
            self.node.handle_write_completion(completion);
        }
        if is_tick {
            self.node.tick();
        }
    }

    /// Whether the latest keep-alive frame to an agent marks the state as fresh.
    pub(super) fn keep_alive_in_contact(&mut self) -> Option<bool> {
        let frames = std::iter::from_fn(|| self.keep_alives.try_recv().ok());
        frames
            .last()
            .map(|FromCoordinator::KeepAlive { in_contact, .. }| in_contact)
    }

    /// Generation of the configuration published last.
    pub(super) fn published_generation(&self) -> Option<u64> {
        let entries = self.published.entries.borrow();
        entries.iter().rev().find_map(|entry| match &entry.value {
            Value::Control(state) => state
                .configuration
                .as_ref()
                .map(|configuration| configuration.generation),
            _ => None,
        })
    }

    /// Names of the evacuated zones published last.
    pub(super) fn published_evacuations(&self) -> Vec<String> {
        let entries = self.published.entries.borrow();
        let mut controls = entries.iter().rev();
        controls
            .find_map(|entry| match &entry.value {
                Value::Control(state) => Some(state.evacuated.clone()),
                _ => None,
            })
            .unwrap_or_default()
    }

    /// Version of the operator's state that was published last.
    pub(super) fn published_control_version(&self) -> Option<u64> {
        let entries = self.published.entries.borrow();
        let mut control = entries.iter().filter(|entry| entry.key == Key::Control);
        control.next_back().map(|entry| entry.version)
    }

    /// The entry of a server published last.
    pub(super) fn published_instance(&self, id: &str) -> Option<Entry> {
        let key = Key::Instance(id.to_string());
        self.published
            .entries
            .borrow()
            .iter()
            .rev()
            .find(|entry| entry.key == key)
            .cloned()
    }
}

/// A server's heartbeat.
pub(super) fn heartbeat(
    id: &str,
    sequence: u64,
    state: InstanceState,
) -> impl FnOnce(oneshot::Sender<RegistrationOutcome>) -> Command {
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
    move |reply| Command::Heartbeat {
        id,
        heartbeat,
        reply,
    }
}

/// A server's deregistration.
pub(super) fn delete(id: &str) -> impl FnOnce(oneshot::Sender<RegistrationOutcome>) -> Command {
    let id = id.to_string();
    move |reply| Command::Deregister { id, reply }
}

/// A resolution by a client of a region.
pub(super) fn resolve(region: &str) -> impl FnOnce(oneshot::Sender<ResolveOutcome>) -> Command {
    let query = Query {
        region: region.to_string(),
        zone: "z".to_string(),
        ..Query::default()
    };
    move |reply| Command::Resolve { query, reply }
}

/// A caller that waits for as long as the test runs.
pub(super) fn waiting() -> Caller {
    let (guard, caller) = Caller::waiting();
    std::mem::forget(guard);
    caller
}

/// The evacuation of a zone.
pub(super) fn evacuate(zone: &str) -> impl FnOnce(oneshot::Sender<ChangeOutcome>) -> Command {
    set_zone_state(zone, ZoneState::Evacuated, waiting())
}

/// An order for a zone.
pub(super) fn set_zone_state(
    zone: &str,
    state: ZoneState,
    caller: Caller,
) -> impl FnOnce(oneshot::Sender<ChangeOutcome>) -> Command + use<> {
    let zone = zone.to_string();
    move |reply| Command::SetZoneState {
        zone,
        state,
        caller,
        reply,
    }
}

/// A change of the configuration.
pub(super) fn configure(
    generation: u64,
    base: u64,
) -> impl FnOnce(oneshot::Sender<ChangeOutcome>) -> Command {
    let document = ConfigurationDocument {
        generation,
        body: body(generation),
    };
    move |reply| Command::Configure {
        document,
        base,
        reply,
    }
}

/// A read of the configuration in force.
pub(super) fn read_configuration() -> impl FnOnce(oneshot::Sender<ReadOutcome>) -> Command {
    |reply| Command::ReadConfiguration { reply }
}

/// Body of a configuration without routes.
pub(super) fn body(generation: u64) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes()
}
