//! Read repair: a proposal that was accepted here but isn't known as chosen is read from a quorum,
//! which completes it, and a joint membership is left. Guards against a change that stays
//! undecided, and a replica set that stays joint, because the proposer crashed.

use std::time::Duration;

use crate::node::Node;
use crate::operation::{Operation, RegisterValue};

impl<V: RegisterValue> Node<V> {
    /// Repairs what has been incomplete for too long.
    pub(super) fn run_read_repair(&mut self, now: Duration) {
        let accepted = self.acceptor.accepted().map(|proposal| proposal.ballot);
        let unchosen_since = self.learner.unchosen_since(now, accepted);
        let is_joint = self.chosen().is_some_and(|state| state.members.is_joint());
        self.background.joint_since = is_joint.then(|| self.background.joint_since.unwrap_or(now));
        let since = unchosen_since
            .into_iter()
            .chain(self.background.joint_since)
            .min();
        let Some(since) = since else {
            self.background.next_read_repair_at = None;
            return;
        };
        let delay = self.settings.read_repair_delay;
        let jitter = self.random.below(delay);
        let due = *self
            .background
            .next_read_repair_at
            .get_or_insert(since + delay + jitter);
        if now < due {
            return;
        }
        self.background.next_read_repair_at = Some(now + delay + jitter);
        if self.proposer.is_busy() {
            return;
        }
        if is_joint {
            self.leave_joint(now);
        } else {
            self.read(now);
        }
    }

    /// Reads the register without a caller: the state that is read goes to the learner.
    pub(super) fn read(&mut self, now: Duration) {
        self.submit_internal(now, Operation::Read);
    }

    /// Leaves a joint membership.
    pub(super) fn leave_joint(&mut self, now: Duration) {
        self.submit_internal(now, Operation::LeaveJoint);
    }

    /// Submits an operation of which nobody awaits the outcome.
    pub(super) fn submit_internal(&mut self, now: Duration, operation: Operation<V>) {
        let deadline = now + self.settings.round_timeout * 2;
        self.proposer.submit(None, operation, deadline);
    }
}
