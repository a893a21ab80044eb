//! The event queue and the network delays.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use ironmast_keyed_ownership::{Instance, Message, View};
use rand::RngExt as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::fault::Fault;
use super::{MS, Micros};

/// An event of a run.
#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    /// A message reaches a gate.
    Deliver {
        to: usize,
        message: Message<Instance>,
    },
    /// A gate learns a view.
    LearnView { to: usize, view: Arc<View> },
    /// A proposed view reaches an acceptor.
    Propose {
        proposer: usize,
        acceptor: usize,
        view: Arc<View>,
    },
    /// An acceptor learns a view that was installed.
    CatchUp { acceptor: usize, view: Arc<View> },
    /// A gate's query for the newest epoch reaches an acceptor.
    EpochQuery(EpochQuery),
    /// An acceptor's answer reaches a gate.
    EpochReply { query: EpochQuery, newest: u64 },
    /// A gate's timer fires.
    Timer { gate: usize, incarnation: u64 },
    /// A gate retries its waiting requests for a key.
    Retry {
        gate: usize,
        incarnation: u64,
        key: usize,
    },
    /// A client's request for a key arrives.
    Request { key: usize },
    /// A fault begins.
    Fault(Fault),
    /// A proposer determines the members of the next view.
    Reconfigure { proposer: usize },
}

/// A query of the owner at a gate for the newest epoch of an acceptor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EpochQuery {
    pub from: usize,
    /// The incarnation of the querying gate.
    pub incarnation: u64,
    /// The confirmation that the answer counts for.
    pub confirmation_id: u64,
    pub acceptor: usize,
}

#[derive(Clone, Debug)]
struct QueuedEvent {
    at: Micros,
    /// The position in the order of queueing, in which events of the same time are handled.
    sequence: u64,
    event: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The events of a run, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<QueuedEvent>,
    sequence: u64,
}

impl Queue {
    pub(crate) fn push(&mut self, at: Micros, event: WorldEvent) {
        self.sequence += 1;
        self.heap.push(QueuedEvent {
            at,
            sequence: self.sequence,
            event,
        });
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, WorldEvent)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

/// The number of regions that gates, servers and acceptors are distributed over.
pub(crate) const REGIONS: usize = 3;

/// The region of a gate, a server or an acceptor.
pub(crate) fn region(index: usize) -> u32 {
    (index % REGIONS) as u32
}

/// The one-way delay of a message between two processes, 0 to 60 ms.
pub(crate) fn network_delay(random: &mut Xoshiro256PlusPlus, from: usize, to: usize) -> Micros {
    if from == to {
        return random.random_range(20..100);
    }
    if region(from) == region(to) {
        return random.random_range(200..3 * MS);
    }
    random.random_range(50 * MS..60 * MS)
}
