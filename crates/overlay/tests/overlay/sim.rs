//! A deterministic network of nodes: latency by locality, loss, cuts by direction, crashes and
//! restarts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ironmast_overlay::{Action, Descriptor, Event, Message, Overlay, Settings};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::plan::{Plan, address, index};
use crate::traffic::{Traffic, wire_size};

pub(crate) const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub(crate) struct Node {
    pub descriptor: Descriptor,
    pub overlay: Option<Overlay>,
    pub sent: Traffic,
    pub received: Traffic,
    /// The machine is off: connections to it hang, while a process that ended has them refused.
    dark: bool,
    timer: Option<Duration>,
    connections: BTreeMap<usize, u64>,
    /// Newest version told by `Changed`, by key.
    pub seen: BTreeMap<u64, u64>,
    pub wakes: u64,
    /// Messages of pushed entries received.
    pub pushes: u64,
    /// What a frozen process has not read yet.
    unread: Option<Vec<Event>>,
}

#[derive(Debug)]
enum Happening {
    Deliver {
        from: usize,
        to: usize,
        connection: u64,
        message: Box<Message>,
    },
    Establish {
        from: usize,
        to: usize,
    },
    Connected {
        node: usize,
        peer: usize,
        connection: u64,
    },
    Disconnected {
        node: usize,
        peer: usize,
        connection: Option<u64>,
    },
    /// Bytes sent on this connection are still unacknowledged.
    Unacknowledged {
        node: usize,
        peer: usize,
        connection: u64,
    },
    Timer {
        node: usize,
    },
}

struct Queued {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

type Cut = Box<dyn Fn(&Descriptor, &Descriptor) -> bool>;

/// How long sent bytes may stay unacknowledged before the sender's system gives the connection up.
const USER_TIMEOUT: Duration = ms(2_000);

/// What becomes of messages and connections across a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Across {
    /// Messages are lost, connections stay.
    #[default]
    Lost,
    /// Messages arrive after the cut, unless the connection has been given up.
    StoredEntry,
    /// Connections are reset as the cut begins; new ones hang.
    Reset,
    /// Connections are reset as the cut begins; new ones are refused.
    Refused,
}

pub(crate) struct Sim {
    pub now: Duration,
    pub plan: Plan,
    pub settings: Settings,
    pub nodes: Vec<Node>,
    pub seeds: Vec<SocketAddr>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Times at which versions reached nodes.
    pub arrivals: BTreeMap<(u64, u64), BTreeMap<usize, Duration>>,
    /// Versions told after newer ones.
    pub setbacks: usize,
    cut: Cut,
    across: Across,
    /// What waits for the end of a cut: sender, receiver, connection, message.
    held: Vec<(usize, usize, u64, Message)>,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    connections: u64,
    /// Pairs of which only the opener knows of the connection yet.
    opening: BTreeSet<(usize, usize)>,
    last: BTreeMap<(usize, usize), Duration>,
    random: Xoshiro256PlusPlus,
}

impl Sim {
    /// All nodes of `plan` started within a second of each other, with up to three coordinators as
    /// seeds.
    pub(crate) fn start(plan: Plan, settings: Settings, seed: u64) -> Sim {
        let mut sim = Sim::new(plan, settings, seed);
        for node in 0..plan.len() {
            sim.boot(node);
        }
        sim
    }

    /// The nodes of `plan`, none of which runs.
    pub(crate) fn new(plan: Plan, settings: Settings, seed: u64) -> Sim {
        let nodes = (0..plan.len())
            .map(|at| Node::new(plan.descriptor(at)))
            .collect();
        Sim {
            now: Duration::ZERO,
            plan,
            settings,
            nodes,
            seeds: (0..plan.coordinators.min(3)).map(address).collect(),
            loss: 0.0,
            arrivals: BTreeMap::new(),
            setbacks: 0,
            cut: Box::new(|_, _| false),
            across: Across::Lost,
            held: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            connections: 0,
            opening: BTreeSet::new(),
            last: BTreeMap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Starts the process of `node` with a new incarnation.
    pub(crate) fn boot(&mut self, node: usize) {
        self.nodes[node].descriptor.incarnation += 1;
        let seed = self.random.random();
        let overlay = Overlay::new(
            self.nodes[node].descriptor,
            self.settings.clone(),
            seed,
            self.now,
        );
        self.nodes[node].overlay = Some(overlay);
        self.nodes[node].dark = false;
        self.nodes[node].seen.clear();
        let seeds = self.seeds.clone();
        self.give(node, Event::Seeds(seeds));
    }

    /// Adds a node that was not part of the plan.
    pub(crate) fn add(&mut self, descriptor: Descriptor) -> usize {
        self.locality(descriptor);
        self.boot(self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    /// Adds a node that does not run yet.
    pub(crate) fn locality(&mut self, descriptor: Descriptor) {
        self.nodes.push(Node::new(descriptor));
    }

    /// Ends a process: its neighbours see closed connections.
    pub(crate) fn kill(&mut self, node: usize) {
        let peers: Vec<(usize, u64)> = self.nodes[node]
            .connections
            .iter()
            .map(|(peer, id)| (*peer, *id))
            .collect();
        for (peer, id) in peers {
            self.tell_closed(node, peer, id);
        }
        self.power_off(node);
        self.nodes[node].dark = false;
    }

    /// Ends a machine: its neighbours see nothing.
    pub(crate) fn power_off(&mut self, node: usize) {
        self.nodes[node].dark = true;
        self.nodes[node].overlay = None;
        self.nodes[node].unread = None;
        self.nodes[node].connections.clear();
        self.nodes[node].timer = None;
    }

    /// Running agents that nobody feeds.
    pub(crate) fn unfed(&self) -> usize {
        let running = self.nodes.iter().filter_map(|node| node.overlay.as_ref());
        running
            .filter(|overlay| !overlay.position().is_attached())
            .count()
    }

    pub(crate) fn source(&self, agent: usize) -> Option<usize> {
        self.nodes[agent].overlay.as_ref()?.parent().map(index)
    }

    /// Whether the source of `agent` lies in another region.
    pub(crate) fn is_fed_from_outside(&self, agent: usize) -> bool {
        let locality = self.nodes[agent].descriptor.locality;
        self.source(agent)
            .is_some_and(|source| !self.nodes[source].descriptor.locality.same_region(locality))
    }

    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].overlay.is_some()
    }

    /// Stops a process; what is sent to it waits.
    pub(crate) fn freeze(&mut self, node: usize) {
        self.nodes[node].unread = Some(Vec::new());
    }

    /// Lets a frozen process run on, which then reads what has waited.
    pub(crate) fn thaw(&mut self, node: usize) {
        let unread = self.nodes[node].unread.take().unwrap_or_default();
        for event in unread {
            self.give(node, event);
        }
    }

    pub(crate) fn cut(&mut self, cut: impl Fn(&Descriptor, &Descriptor) -> bool + 'static) {
        self.cut_with(Across::Lost, cut);
    }

    /// Cuts the pairs, of sender and receiver, that `cut` selects.
    pub(crate) fn cut_with(
        &mut self,
        across: Across,
        cut: impl Fn(&Descriptor, &Descriptor) -> bool + 'static,
    ) {
        self.cut = Box::new(cut);
        self.across = across;
        self.release();
        if matches!(across, Across::Reset | Across::Refused) {
            self.reset_across();
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cut(|_, _| false);
    }

    /// Sends on what no cut holds any more.
    fn release(&mut self) {
        for (from, to, connection, message) in std::mem::take(&mut self.held) {
            if self.is_cut(from, to) {
                self.held.push((from, to, connection, message));
            } else if self.nodes[from].connections.get(&to) == Some(&connection) {
                let at = self.arrival(from, to);
                self.push(
                    at,
                    Happening::Deliver {
                        from,
                        to,
                        connection,
                        message: Box::new(message),
                    },
                );
            }
        }
    }

    fn reset_across(&mut self) {
        let ends = self.nodes.iter().enumerate().flat_map(|(node, state)| {
            state
                .connections
                .iter()
                .map(move |(peer, connection)| (node, *peer, *connection))
        });
        for (node, peer, connection) in ends.collect::<Vec<_>>() {
            if self.is_cut(node, peer) || self.is_cut(peer, node) {
                self.happen(Happening::Disconnected {
                    node,
                    peer,
                    connection: Some(connection),
                });
            }
        }
    }

    /// Whether both nodes run and messages pass in both directions.
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        self.is_up(from) && self.is_up(to) && !self.is_cut(from, to) && !self.is_cut(to, from)
    }

    pub(crate) fn publish(&mut self, node: usize, key: u64, version: u64, size: usize) -> Duration {
        let payload: Arc<[u8]> = Arc::from(vec![(key ^ version) as u8; size]);
        self.give(
            node,
            Event::Publish {
                key,
                version,
                payload,
            },
        );
        self.now
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(next)| next.at <= until)
        {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.happen(next.what);
        }
        self.now = until;
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Deliver {
                from,
                to,
                connection,
                message,
            } => {
                if self.nodes[to].connections.get(&from) == Some(&connection) {
                    self.deliver(from, to, *message);
                } else if self.across == Across::StoredEntry {
                    self.tell_closed(to, from, connection);
                }
            }
            Happening::Unacknowledged {
                node,
                peer,
                connection,
            } => {
                if self.is_cut(node, peer) || self.is_cut(peer, node) {
                    self.happen(Happening::Disconnected {
                        node,
                        peer,
                        connection: Some(connection),
                    });
                }
            }
            Happening::Establish { from, to } => self.establish(from, to),
            Happening::Connected {
                node,
                peer,
                connection,
            } => {
                self.opening.remove(&(peer, node));
                if self.is_up(node) {
                    self.nodes[node].connections.insert(peer, connection);
                    self.give(node, Event::Connected(address(peer)));
                }
            }
            Happening::Disconnected {
                node,
                peer,
                connection,
            } => {
                let current = self.nodes[node].connections.get(&peer).copied();
                if current == connection && self.is_up(node) {
                    self.nodes[node].connections.remove(&peer);
                    self.give(node, Event::Disconnected(address(peer)));
                }
            }
            Happening::Timer { node } => {
                if self.nodes[node].timer == Some(self.now) {
                    self.nodes[node].timer = None;
                    self.give(node, Event::Timer);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let size = wire_size(&message);
        self.nodes[to].received.messages += 1;
        self.nodes[to].pushes +=
            u64::from(matches!(message, Message::Entries { pushed: true, .. }));
        self.nodes[to].received.bytes += size;
        self.give(
            to,
            Event::Message {
                from: address(from),
                message,
            },
        );
    }

    /// The opening packet of a connection has come back.
    fn establish(&mut self, from: usize, to: usize) {
        let cut = self.is_cut(from, to) || self.is_cut(to, from);
        let refused = self.across == Across::Refused;
        if !self.is_up(from) || self.nodes[to].dark || cut && !refused {
            return;
        }
        if !self.is_up(to) || cut {
            return self.happen(Happening::Disconnected {
                node: from,
                peer: to,
                connection: None,
            });
        }
        if self.nodes[from].connections.contains_key(&to) || self.opening.contains(&(to, from)) {
            return;
        }
        self.opening.insert((from, to));
        self.connections += 1;
        let connection = self.connections;
        let latency = self.latency(from, to);
        self.push(
            self.now + latency,
            Happening::Connected {
                node: to,
                peer: from,
                connection,
            },
        );
        self.last.insert((from, to), self.now + latency);
        self.happen(Happening::Connected {
            node: from,
            peer: to,
            connection,
        });
    }

    /// Gives an event to a node and carries out its actions.
    pub(crate) fn give(&mut self, node: usize, event: Event) {
        if let Some(unread) = &mut self.nodes[node].unread {
            return unread.push(event);
        }
        let Some(overlay) = self.nodes[node].overlay.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        overlay.handle(self.now, event, &mut actions);
        self.nodes[node].wakes += 1;
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, index(to), message),
            Action::Connect(to) => {
                let to = index(to);
                let latency = self.latency(node, to) * 2;
                self.push(self.now + latency, Happening::Establish { from: node, to });
            }
            Action::Disconnect(to) => {
                if let Some(connection) = self.nodes[node].connections.remove(&index(to)) {
                    self.tell_closed(node, index(to), connection);
                }
            }
            Action::Changed { key, version, .. } => self.changed(node, key, version),
            Action::Timer(at) => {
                self.nodes[node].timer = Some(at);
                self.push(at, Happening::Timer { node });
            }
        }
    }

    fn changed(&mut self, node: usize, key: u64, version: u64) {
        let before = self.nodes[node].seen.insert(key, version);
        self.setbacks += usize::from(before.is_some_and(|before| before >= version));
        self.arrivals
            .entry((key, version))
            .or_default()
            .entry(node)
            .or_insert(self.now);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let Some(connection) = self.nodes[from].connections.get(&to).copied() else {
            return;
        };
        self.count(from, to, &message);
        if self.across == Across::StoredEntry && self.is_blocked(from, to, connection) {
            self.held.push((from, to, connection, message));
            return;
        }
        if self.is_cut(from, to) || self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        let at = self.arrival(from, to);
        self.push(
            at,
            Happening::Deliver {
                from,
                to,
                connection,
                message: Box::new(message),
            },
        );
    }

    /// Whether the cut holds what is sent; where it holds at least the acknowledgement, the
    /// connection fails in time.
    fn is_blocked(&mut self, from: usize, to: usize, connection: u64) -> bool {
        let blocked = self.is_cut(from, to);
        if blocked || self.is_cut(to, from) {
            let at = self.now + USER_TIMEOUT;
            self.push(
                at,
                Happening::Unacknowledged {
                    node: from,
                    peer: to,
                    connection,
                },
            );
        }
        blocked
    }

    fn count(&mut self, from: usize, to: usize, message: &Message) {
        let size = wire_size(message);
        let far = !self.nodes[from]
            .descriptor
            .locality
            .same_region(self.nodes[to].descriptor.locality);
        let sent = &mut self.nodes[from].sent;
        sent.messages += 1;
        sent.bytes += size;
        if far {
            sent.far_bytes += size;
            sent.far_entries += if matches!(message, Message::Entries { .. }) {
                size
            } else {
                0
            };
        }
    }

    fn tell_closed(&mut self, node: usize, peer: usize, connection: u64) {
        if !self.is_cut(node, peer) {
            let at = self.arrival(node, peer);
            self.push(
                at,
                Happening::Disconnected {
                    node: peer,
                    peer: node,
                    connection: Some(connection),
                },
            );
        }
    }

    /// When something sent now arrives: after the latency, and after what was sent before it.
    fn arrival(&mut self, from: usize, to: usize) -> Duration {
        let at = self.now + self.latency(from, to);
        let last = self.last.entry((from, to)).or_default();
        *last = at.max(*last);
        *last
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let (from, to) = (
            self.nodes[from].descriptor.locality,
            self.nodes[to].descriptor.locality,
        );
        let base = match (from == to, from.same_region(to)) {
            (true, _) => 250,
            (_, true) => 1_400,
            _ => 55_000,
        };
        Duration::from_micros(base + self.random.random_range(0..=base / 5))
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        (self.cut)(&self.nodes[from].descriptor, &self.nodes[to].descriptor)
    }

    fn push(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Queued {
            at,
            order: self.order,
            what,
        }));
    }
}

impl Node {
    fn new(descriptor: Descriptor) -> Node {
        Node {
            descriptor,
            overlay: None,
            sent: Traffic::default(),
            received: Traffic::default(),
            dark: false,
            timer: None,
            connections: BTreeMap::new(),
            seen: BTreeMap::new(),
            wakes: 0,
            pushes: 0,
            unread: None,
        }
    }
}
