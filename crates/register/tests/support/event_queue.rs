//! The events of a simulation by the time at which they are due; those due at the same time come in
//! the order in which they were scheduled.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// An event that is due.
pub(super) struct DueEvent<E> {
    pub at: Duration,
    pub event: E,
}

/// The events that were scheduled and have not been taken.
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
    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Duration, event: E) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.due.push(Reverse((at, self.last_number)));
    }

    /// Takes the next event that is due at `end` at the latest.
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
