//! The queue of events and the time that messages take.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use ironmast_keyed_ownership::{Instance, Message, View};
use rand::RngExt as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{MS, Micros};

/// What happens in the world.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    /// A message reaches a gate.
    Deliver {
        to: usize,
        message: Message<Instance>,
    },
    /// A gate learns a view.
    Learn { to: usize, view: Arc<View> },
    /// A proposed view reaches a witness.
    Propose {
        proposer: usize,
        witness: usize,
        view: Arc<View>,
    },
    /// A witness is told a view that was installed.
    CatchUp { witness: usize, view: Arc<View> },
    /// A question of a gate reaches a witness.
    Question {
        from: usize,
        life: u64,
        question: u64,
        witness: usize,
    },
    /// A witness's answer reaches a gate.
    Answer {
        to: usize,
        life: u64,
        question: u64,
        witness: usize,
        newest: u64,
    },
    /// A gate's timer.
    Wake { gate: usize, life: u64 },
    /// A gate tries its waiting requests for a key again.
    Again { gate: usize, life: u64, key: usize },
    /// A client's request for a key.
    Request { key: usize },
    /// A fault begins.
    Fault(super::faults::Fault),
    /// A proposer counts the members of the view anew.
    Recount { proposer: usize },
}

#[derive(Clone, Debug)]
struct Entry {
    at: Micros,
    number: u64,
    what: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events in the order of their moments.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Entry>,
    number: u64,
}

impl Queue {
    pub(crate) fn push(&mut self, at: Micros, what: Happening) {
        self.number += 1;
        self.heap.push(Entry {
            at,
            number: self.number,
            what,
        });
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, Happening)> {
        self.heap.pop().map(|entry| (entry.at, entry.what))
    }
}

/// Regions that gates, servers and witnesses are spread over.
pub(crate) const REGIONS: usize = 3;

/// The region of a gate, a server or a witness.
pub(crate) fn region(place: usize) -> u32 {
    (place % REGIONS) as u32
}

/// The time a message takes one way between two places, 0 to 60 ms.
pub(crate) fn way(random: &mut Xoshiro256PlusPlus, from: usize, to: usize) -> Micros {
    if from == to {
        return random.random_range(20..100);
    }
    if region(from) == region(to) {
        return random.random_range(200..3 * MS);
    }
    random.random_range(50 * MS..60 * MS)
}
