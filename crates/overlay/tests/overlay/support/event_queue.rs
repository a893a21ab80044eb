//! The event queue of the simulated network.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use ironmast_overlay::Message;

/// An event of the simulated network.
#[derive(Debug)]
pub(super) enum NetworkEvent {
    Deliver {
        from: usize,
        to: usize,
        connection: u64,
        message: Box<Message>,
    },
    /// The reply to the opening packet of a connection arrives.
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
    /// The time limit for acknowledgements of bytes that `node` sent on this connection is over.
    Unacknowledged {
        node: usize,
        peer: usize,
        connection: u64,
    },
    Timer {
        node: usize,
    },
}

struct ScheduledEvent {
    at: Duration,
    order: u64,
    event: NetworkEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events by time; events of the same time stay in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    next_order: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Duration, event: NetworkEvent) {
        self.next_order += 1;
        self.events.push(Reverse(ScheduledEvent {
            at,
            order: self.next_order,
            event,
        }));
    }

    /// Removes the next event that is due at `until` or before, and returns it with its time.
    pub(super) fn pop_until(&mut self, until: Duration) -> Option<(Duration, NetworkEvent)> {
        if self.events.peek()?.0.at > until {
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        Some((next.at, next.event))
    }
}
