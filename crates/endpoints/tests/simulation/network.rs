//! The network between the nodes, with delays and a partition among the coordinators.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use ironmast_schema::control::{Entry, Observation};
use rand::RngExt as _;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Range of the latency of a message.
const LATENCY: std::ops::Range<Duration> = Duration::from_millis(1)..Duration::from_millis(400);

/// A message between nodes.
pub(super) enum Message {
    Entry(Entry),
    Observed(Vec<Observation>),
}

/// A partition of one coordinator from the others, in one direction or both.
#[derive(Debug, Clone, Copy)]
pub(super) struct Partition {
    pub(super) coordinator: usize,
    pub(super) outgoing: bool,
    pub(super) incoming: bool,
}

/// A message with its destination.
pub(super) struct Delivery {
    pub(super) to: usize,
    pub(super) message: Message,
}

/// The messages in transit. Nodes are identified by index, coordinators first.
pub(super) struct Network {
    coordinators: usize,
    pub(super) partition: Option<Partition>,
    in_transit: BTreeMap<u64, Delivery>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    last_number: u64,
}

impl Network {
    pub(super) fn new(coordinators: usize) -> Self {
        Network {
            coordinators,
            partition: None,
            in_transit: BTreeMap::new(),
            due: BinaryHeap::new(),
            last_number: 0,
        }
    }

    /// Sends a message, which is lost if the nodes are partitioned.
    pub(super) fn send(
        &mut self,
        now: Duration,
        random: &mut Xoshiro256PlusPlus,
        from: usize,
        delivery: Delivery,
    ) {
        if self.is_partitioned(from, delivery.to) {
            return;
        }
        self.last_number += 1;
        let at = now + random.random_range(LATENCY);
        self.in_transit.insert(self.last_number, delivery);
        self.due.push(Reverse((at, self.last_number)));
    }

    /// Takes the next message that has arrived by `now`.
    pub(super) fn take_due(&mut self, now: Duration) -> Option<Delivery> {
        let &Reverse((at, number)) = self.due.peek()?;
        if at > now {
            return None;
        }
        self.due.pop();
        self.in_transit.remove(&number)
    }

    /// Only coordinators are partitioned, from each other; agents reach all of them.
    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let both = from < self.coordinators && to < self.coordinators;
        both && self.partition.is_some_and(|partition| {
            partition.outgoing && from == partition.coordinator
                || partition.incoming && to == partition.coordinator
        })
    }
}
