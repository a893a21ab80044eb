//! What a node does unasked: announcements, and reads of what it holds without knowing it as
//! chosen.

use std::sync::Arc;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::guard::Guard;
use crate::node::{Action, Node};
use crate::operation::Operation;
use crate::reconfiguration::DueChange;

/// How often it is asked whether a replica change is due.
const RECONFIGURATION_INTERVAL: Duration = Duration::from_millis(100);
/// A node acts each [`RECONFIGURATION_INTERVAL`] at least: if it didn't for this long, its process stood
/// still.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// Times of the unasked work.
#[derive(Clone, Debug, Default)]
pub(super) struct Background {
    started: bool,
    pub(super) status_at: Duration,
    reconfigure_at: Duration,
    scrub_at: Option<Duration>,
    joint_since: Option<Duration>,
    fetching: Option<(Ballot, Duration)>,
    /// When the node acted last.
    acted_at: Duration,
    /// Members that are not heard, as the others were told.
    pub(super) unreachable: Vec<Identity>,
    /// Since when the write under way waits for the disk.
    pub(super) writing_since: Option<Duration>,
    /// Whether the disk has taken nothing for so long that another is to vote in this replica's
    /// place.
    pub(super) is_disk_stalled: bool,
}

impl Background {
    /// When the next unasked work is due.
    pub(super) fn wake(&self) -> Duration {
        let regular = self.status_at.min(self.reconfigure_at);
        self.scrub_at.map_or(regular, |scrub| scrub.min(regular))
    }

    /// Whether a chosen state may be asked for: a lower one, or the same a while ago, may be on its
    /// way.
    pub(super) fn may_fetch(&mut self, now: Duration, ballot: Ballot, patience: Duration) -> bool {
        let is_asked = self
            .fetching
            .is_some_and(|(asked, at)| asked >= ballot && now < at + patience);
        if !is_asked {
            self.fetching = Some((ballot, now));
        }
        !is_asked
    }
}

impl<V: Clone> Node<V> {
    /// Time for which this process stood still says nothing of the others.
    pub(super) fn detect_process_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.background.acted_at);
        let is_paused = self.background.started && pause >= PROCESS_PAUSE_THRESHOLD;
        if is_paused && self.settings.guards.keeps(Guard::ProcessPause) {
            self.controller.discount_process_pause(pause);
            self.background.writing_since =
                self.background.writing_since.map(|since| since + pause);
        }
        self.background.acted_at = now;
    }

    pub(super) fn tend(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        if !self.background.started {
            self.background.started = true;
            self.background.status_at = now;
            self.controller.start(now);
            self.read(now);
        }
        self.conclude_bootstrap_check(now, actions);
        if now >= self.background.status_at {
            let interval = match self.bootstrap_check {
                Some(_) => self.settings.bootstrap_status_interval,
                None => self.settings.status_interval,
            };
            self.background.status_at = now + interval;
            self.broadcast_status(actions);
        }
        self.send_heartbeats(now, actions);
        if self.bootstrap_check.is_some() {
            self.background.reconfigure_at = self.background.status_at;
            return;
        }
        if now >= self.background.reconfigure_at {
            self.background.reconfigure_at = now + RECONFIGURATION_INTERVAL;
            self.report_unreachable(now, actions);
            self.report_disk_stall(now, actions);
            self.change_replicas(now);
        }
        self.scrub(now);
        if !self.has_read && !self.proposer.is_busy() {
            self.read(now);
        }
    }

    /// Tells the others at once that a member has fallen silent, or is heard again.
    fn report_unreachable(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let members = self
            .learner
            .chosen()
            .map(|proposal| &proposal.state.members);
        let unreachable = members
            .map(|members| self.controller.unreachable_members(now, members))
            .unwrap_or_default();
        if unreachable != self.background.unreachable {
            self.background.unreachable = unreachable;
            self.broadcast_status(actions);
        }
    }

    /// Gives the replica's place up while its disk takes no write: without a vote it is of no use
    /// as a member.
    fn report_disk_stall(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let patience = self.settings.unreachable_timeout;
        let is_stuck = self
            .background
            .writing_since
            .is_some_and(|since| now >= since + patience);
        if is_stuck != self.background.is_disk_stalled {
            self.background.is_disk_stalled = is_stuck;
            self.controller.set_leaving(self.is_leaving());
            self.broadcast_status(actions);
        }
    }

    /// Proposes the replica change that is due, if any.
    fn change_replicas(&mut self, now: Duration) {
        let Some(state) = self
            .learner
            .chosen()
            .map(|proposal| Arc::clone(&proposal.state))
        else {
            return;
        };
        if let Some(DueChange { expected, change }) =
            self.controller.due_change(now, &state.members)
        {
            let deadline = now + self.settings.round_timeout * 2;
            self.proposer.submit(
                None,
                Operation::ChangeReplicas { expected, change },
                deadline,
            );
        }
    }

    /// Reads what has been held too long without being known as chosen; leaves the old set of two
    /// held too long.
    fn scrub(&mut self, now: Duration) {
        let accepted = self.acceptor.accepted().map(|proposal| proposal.ballot);
        let held = self.learner.unchosen_since(now, accepted);
        let is_joint = self.chosen().is_some_and(|state| state.members.is_joint());
        self.background.joint_since = is_joint.then(|| self.background.joint_since.unwrap_or(now));
        let Some(since) = held.into_iter().chain(self.background.joint_since).min() else {
            self.background.scrub_at = None;
            return;
        };
        let jitter = self.random.below(self.settings.read_repair_delay);
        let due = *self
            .background
            .scrub_at
            .get_or_insert(since + self.settings.read_repair_delay + jitter);
        if now < due {
            return;
        }
        self.background.scrub_at = Some(now + self.settings.read_repair_delay + jitter);
        if self.proposer.is_busy() {
            return;
        }
        if is_joint {
            self.settle(now)
        } else {
            self.read(now)
        }
    }

    pub(super) fn read(&mut self, now: Duration) {
        self.proposer
            .submit(None, Operation::Read, now + self.settings.round_timeout * 2);
    }

    /// Asks for the old set of two to be left.
    pub(super) fn settle(&mut self, now: Duration) {
        self.proposer.submit(
            None,
            Operation::LeaveJoint,
            now + self.settings.round_timeout * 2,
        );
    }
}
