//! The start of an initial member on an empty disk: it becomes a member, or starts over under a new
//! identity. Also the wait of a member that has voted for nothing until a majority has started. The
//! rules and their reasons are those of [`crate::bootstrap`].

use std::time::Duration;

use crate::acceptor::Acceptor;
use crate::ballot::{Ballot, Identity};
use crate::bootstrap::BootstrapVerdict;
use crate::message::Participation;
use crate::node::{Action, Node};
use crate::operation::RegisterValue;
use crate::record::Record;

impl<V: RegisterValue> Node<V> {
    /// What this node's disk may have taken part in.
    pub(super) fn participation(&self) -> Participation {
        if self.acceptor.has_participated() || self.learner.ballot() > Ballot::ZERO {
            return Participation::Advanced;
        }
        // Before the record of a new member is durable, a crash would make it blank again.
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

    /// Concludes the bootstrap check once it has a verdict: this node continues as an initial
    /// member, or under a new identity.
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

    /// Takes another identity, under which this node has promised nothing.
    fn adopt_new_identity(&mut self, actions: &mut Vec<Action<V>>) -> Identity {
        let identity = Identity(self.random.next());
        self.proposer.set_identity(identity);
        self.controller.set_identity(identity);
        actions.push(Action::DiskLost);
        identity
    }
}
