//! The event queue: a binary heap by time, then by the order of the calls, so that runs repeat
//! exactly.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ironmast_balancer::Micros;

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// The heap yields its greatest: the earliest is that.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events in the order of their times.
pub(crate) struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    number: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue {
            heap: BinaryHeap::new(),
            number: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Puts an event in; among those of one time, the first put in comes out first.
    pub(crate) fn push(&mut self, at: Micros, event: E) {
        self.number += 1;
        self.heap.push(Entry {
            at,
            number: self.number,
            event,
        });
    }

    /// Takes the earliest.
    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// How many were ever put in.
    pub(crate) fn pushed(&self) -> u64 {
        self.number
    }
}
