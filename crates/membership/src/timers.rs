//! The queue of the timers that foca has scheduled, ordered by deadline.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use foca::Timer;

use crate::member::Member;

struct Scheduled {
    deadline: Duration,
    /// Timers with the same deadline fire in the order in which they were scheduled.
    sequence: u64,
    timer: Timer<Member>,
}

impl Scheduled {
    fn order(&self) -> (Duration, u64) {
        (self.deadline, self.sequence)
    }
}

/// Reversed: the earliest timer is the greatest, since [`BinaryHeap`] pops the greatest.
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Scheduled {}

/// The pending timers.
#[derive(Default)]
pub(crate) struct TimerQueue {
    pending: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl TimerQueue {
    pub(crate) fn push(&mut self, deadline: Duration, timer: Timer<Member>) {
        self.sequence += 1;
        self.pending.push(Scheduled {
            deadline,
            sequence: self.sequence,
            timer,
        });
    }

    /// Removes the earliest timer if its deadline is at or before `now`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer<Member>> {
        if self.next_deadline()? > now {
            return None;
        }
        self.pending.pop().map(|scheduled| scheduled.timer)
    }

    /// The earliest deadline of the pending timers.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        self.pending.peek().map(|scheduled| scheduled.deadline)
    }
}
