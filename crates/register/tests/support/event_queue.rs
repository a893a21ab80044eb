//! Event queue of a simulation, ordered by the time at which events are due; events due at the same
//! time keep the order in which they were scheduled.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// An event and the time at which it is due.
pub(super) struct DueEvent<E> {
    pub at: Duration,
    pub event: E,
}

/// Scheduled events that have not been taken yet.
pub(super) struct EventQueue<E> {
    events: BTreeMap<u64, E>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    last_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            last_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event for the time `at`.
    pub(super) fn schedule(&mut self, at: Duration, event: E) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.due.push(Reverse((at, self.last_number)));
    }

    /// Removes and returns the next event that is due no later than `end`.
    pub(super) fn take_due(&mut self, end: Duration) -> Option<DueEvent<E>> {
        let &Reverse((at, number)) = self.due.peek()?;
        if at > end {
            return None;
        }
        self.due.pop();
        let event = self.events.remove(&number)?;
        Some(DueEvent { at, event })
    }
}
