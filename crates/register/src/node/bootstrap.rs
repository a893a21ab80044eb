//! Applies the verdict of the bootstrap check: an initial member with an empty disk becomes a
//! member or continues under a new identity, and a restarted member that has never voted waits
//! until a majority has started. [`crate::bootstrap`] gives the rules and their reasons.

use std::time::Duration;

use crate::acceptor::Acceptor;
use crate::ballot::{Ballot, Identity};
use crate::bootstrap::BootstrapVerdict;
use crate::message::Participation;
use crate::node::{Action, Node};
use crate::operation::RegisterValue;
use crate::record::Record;

impl<V: RegisterValue> Node<V> {
    /// The participation to report to other nodes.
    pub(super) fn participation(&self) -> Participation {
        if self.acceptor.has_participated() || self.learner.ballot() > Ballot::ZERO {
            return Participation::Advanced;
        }
        // A new member counts as blank until its record is durable, since a crash would lose the
        // record.
        let is_new = self
            .bootstrap_check
            .as_ref()
            .is_some_and(|check| !check.has_restarted);
        if self.acceptor.is_blank() || is_new && self.acceptor.awaits_first_record() {
            Participation::Blank
        } else {
            Participation::Initial
        }
    }

    /// Acts on the verdict of the bootstrap check, if there is one: this node continues as an
    /// initial member or under a new identity. A member's check ends once the member may vote.
    pub(super) fn conclude_bootstrap_check(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let Some(check) = &mut self.bootstrap_check else {
            return;
        };
        if check.is_member {
            let is_advanced = self.learner.ballot() > Ballot::ZERO;
            if is_advanced || check.may_vote(now) {
                self.bootstrap_check = None;
                self.read(now);
            }
            return;
        }
        let record = match check.verdict(now) {
            BootstrapVerdict::Undecided => return,
            BootstrapVerdict::FirstStart => {
                check.is_member = true;
                check.record()
            }
            BootstrapVerdict::AlreadyStarted => {
                self.bootstrap_check = None;
                Record::empty(self.adopt_new_identity(actions))
            }
        };
        self.acceptor = Acceptor::unsynced(record, self.settings.guards);
        self.background.next_status_at = now;
        self.read(now);
    }

    /// Takes a new identity, under which this node has promised nothing.
    fn adopt_new_identity(&mut self, actions: &mut Vec<Action<V>>) -> Identity {
        let identity = Identity(self.random.next());
        self.proposer.set_identity(identity);
        self.controller.set_identity(identity);
        actions.push(Action::DiskLost);
        identity
    }
}
