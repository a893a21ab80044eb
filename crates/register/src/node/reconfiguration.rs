//! Reconfiguration of the replica set: reports unreachable members and a stalled disk to the other
//! nodes, and proposes the replica change that is due.

use std::sync::Arc;
use std::time::Duration;

use crate::node::{Action, Node};
use crate::operation::{Operation, RegisterValue};
use crate::reconfiguration::DueChange;

impl<V: RegisterValue> Node<V> {
    /// Broadcasts the status at once when a member has become unreachable, or reachable again.
    pub(super) fn report_unreachable(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
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

    /// Broadcasts that the node gives up its membership when a write has taken as long as the
    /// unreachable timeout, since a replica that can't vote is of no use as a member. Withdraws
    /// this once the write completes.
    pub(super) fn report_disk_stall(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let timeout = self.settings.unreachable_timeout;
        let is_stalled = self
            .background
            .writing_since
            .is_some_and(|since| now >= since + timeout);
        if is_stalled != self.background.is_disk_stalled {
            self.background.is_disk_stalled = is_stalled;
            self.controller.set_leaving(self.is_leaving());
            self.broadcast_status(actions);
        }
    }

    /// Proposes the replica change that is due, if any.
    pub(super) fn change_replicas(&mut self, now: Duration) {
        let Some(state) = self.chosen().map(Arc::clone) else {
            return;
        };
        if let Some(DueChange { expected, change }) =
            self.controller.due_change(now, &state.members)
        {
            self.submit_internal(now, Operation::ChangeReplicas { expected, change });
        }
    }
}
