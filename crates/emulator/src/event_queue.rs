//! The event queue of a run: a binary heap ordered by time, then by the order of insertion, so that
//! runs are reproducible.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ironmast_balancer::Micros;

struct Scheduled<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn order(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reverses the order of time, since [`BinaryHeap`] pops the greatest element.
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

/// A priority queue of events by time.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Inserts an event. Events with the same time are popped in the order of insertion.
    pub(crate) fn push(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence: self.sequence,
            event,
        });
    }

    /// Removes the earliest event.
    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }

    /// The number of events inserted so far.
    pub(crate) fn total_pushed(&self) -> u64 {
        self.sequence
    }
}
