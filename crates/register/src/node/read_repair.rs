//! Read repair: completes proposals and membership changes whose proposer has crashed.
//!
//! A proposal that this node has accepted but doesn't know as chosen is read from a quorum, which
//! completes it, and a joint membership is left. Otherwise the change could stay undecided, and the
//! replica set joint.

use std::time::Duration;

use crate::node::Node;
use crate::operation::{Operation, RegisterValue};

impl<V: RegisterValue> Node<V> {
    /// Starts the repair that is due: a read of a proposal, or the end of a joint membership, once
    /// either has been incomplete for the read-repair delay plus a random delay of up to the same
    /// length.
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

    /// Reads the register on the node's own behalf; the learner receives the state.
    pub(super) fn read(&mut self, now: Duration) {
        self.submit_internal(now, Operation::Read);
    }

    /// Proposes to leave the joint membership.
    pub(super) fn leave_joint(&mut self, now: Duration) {
        self.submit_internal(now, Operation::LeaveJoint);
    }

    /// Submits an operation on the node's own behalf. Its outcome is not reported.
    pub(super) fn submit_internal(&mut self, now: Duration, operation: Operation<V>) {
        let deadline = now + self.settings.round_timeout * 2;
        self.proposer.submit(None, operation, deadline);
    }
}
