//! Periodic work of a node: status messages, heartbeats, replica changes and read repair. Also the
//! detection of pauses of the node's own process.

use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::guard::Guard;
use crate::node::{Action, Node};
use crate::operation::RegisterValue;

/// Interval at which the node checks whether a replica change is due.
const RECONFIGURATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an event after which the process is taken to have been paused. A running node
/// handles an event at least every [`RECONFIGURATION_INTERVAL`].
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// The last fetch of a chosen state from another node.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    ballot: Ballot,
    sent_at: Duration,
}

/// Schedule and state of the background work.
#[derive(Clone, Debug, Default)]
pub(super) struct Background {
    has_started: bool,
    pub(super) next_status_at: Duration,
    next_reconfiguration_at: Duration,
    pub(super) next_read_repair_at: Option<Duration>,
    /// When the membership was first seen to be joint; `None` while it is not.
    pub(super) joint_since: Option<Duration>,
    fetch: Option<Fetch>,
    last_event_at: Duration,
    /// Unreachable members, as last reported to the other nodes.
    pub(super) unreachable: Vec<Identity>,
    /// When the write in flight began.
    pub(super) writing_since: Option<Duration>,
    /// Whether the write in flight has taken so long that another coordinator should take this
    /// replica's place.
    pub(super) is_disk_stalled: bool,
}

impl Background {
    /// When the next background work is due.
    pub(super) fn next_wakeup(&self) -> Duration {
        let regular = self.next_status_at.min(self.next_reconfiguration_at);
        self.next_read_repair_at
            .map_or(regular, |read_repair| read_repair.min(regular))
    }

    /// Begins a fetch of a chosen state and returns true, unless a fetch of the same state or a
    /// newer one was sent less than `timeout` ago.
    pub(super) fn begin_fetch(&mut self, now: Duration, ballot: Ballot, timeout: Duration) -> bool {
        let is_under_way = self
            .fetch
            .is_some_and(|fetch| fetch.ballot >= ballot && now < fetch.sent_at + timeout);
        if !is_under_way {
            self.fetch = Some(Fetch {
                ballot,
                sent_at: now,
            });
        }
        !is_under_way
    }
}

impl<V: RegisterValue> Node<V> {
    /// Detects that the node's own process was paused (by the scheduler, a debugger or a suspended
    /// machine). The pause doesn't count towards the timeouts of other nodes or of the disk, since
    /// their messages and completions could not be handled during it.
    pub(super) fn detect_process_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.background.last_event_at);
        let was_paused = self.background.has_started && pause >= PROCESS_PAUSE_THRESHOLD;
        if was_paused && self.settings.guards.enforces(Guard::ProcessPause) {
            self.controller.discount_process_pause(pause);
            self.background.writing_since =
                self.background.writing_since.map(|since| since + pause);
        }
        self.background.last_event_at = now;
    }

    /// Runs the background work that is due.
    pub(super) fn run_background(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        if !self.background.has_started {
            self.background.has_started = true;
            self.background.next_status_at = now;
            self.controller.start(now);
            self.read(now);
        }
        self.conclude_bootstrap_check(now, actions);
        self.send_status(now, actions);
        self.send_heartbeats(now, actions);
        if self.bootstrap_check.is_some() {
            self.background.next_reconfiguration_at = self.background.next_status_at;
            return;
        }
        if now >= self.background.next_reconfiguration_at {
            self.background.next_reconfiguration_at = now + RECONFIGURATION_INTERVAL;
            self.report_unreachable(now, actions);
            self.report_disk_stall(now, actions);
            self.change_replicas(now);
        }
        self.run_read_repair(now);
        if !self.has_read_from_quorum && !self.proposer.is_busy() {
            self.read(now);
        }
    }

    fn send_status(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        if now < self.background.next_status_at {
            return;
        }
        let interval = match self.bootstrap_check {
            Some(_) => self.settings.bootstrap_status_interval,
            None => self.settings.status_interval,
        };
        self.background.next_status_at = now + interval;
        self.broadcast_status(actions);
    }
}
