//! The start of an initial member on an empty disk: it becomes a member, or begins anew under
//! another identity. And the wait of a member that has voted for nothing until a majority has
//! started.

use std::net::SocketAddr;
use std::time::Duration;

use crate::acceptor::{Acceptor, Record};
use crate::ballot::{Ballot, Identity};
use crate::first_start::Verdict;
use crate::message::Past;
use crate::node::{Action, Node};

impl<V: Clone> Node<V> {
    /// What this node's disk may have taken part in.
    pub(super) fn past(&self) -> Past {
        if self.acceptor.has_voted() || self.learner.ballot() > Ballot::ZERO {
            return Past::Changed;
        }
        // Before the record of a new member is durable, a kill would make it blank again.
        let is_new = self
            .first_start
            .as_ref()
            .is_some_and(|first_start| !first_start.has_returned);
        if self.acceptor.is_blank() || is_new && self.acceptor.awaits_first_record() {
            Past::Blank
        } else {
            Past::Initial
        }
    }

    /// Another coordinator tells of its past.
    pub(super) fn hear_past(&mut self, sender: Identity, address: SocketAddr, past: Past) {
        if let Some(first_start) = &mut self.first_start {
            first_start.hear(sender, address, past);
        }
    }

    /// Goes on as what the others' pasts show this node to be, once they do.
    pub(super) fn conclude_first_start(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let Some(first_start) = &mut self.first_start else {
            return;
        };
        if first_start.is_member {
            let is_changed = self.learner.ballot() > Ballot::ZERO;
            if is_changed || first_start.may_vote(now) {
                self.first_start = None;
                self.read(now);
            }
            return;
        }
        let record = match first_start.verdict(now) {
            Verdict::Open => return,
            Verdict::First => {
                first_start.is_member = true;
                first_start.record()
            }
            Verdict::Later => {
                self.first_start = None;
                Record::empty(self.begin_anew(actions))
            }
        };
        self.acceptor = Acceptor::fresh(record, self.settings.guards);
        self.background.announce_at = now;
        self.read(now);
    }

    /// Takes another identity.
    fn begin_anew(&mut self, actions: &mut Vec<Action<V>>) -> Identity {
        let identity = Identity(self.random.next());
        self.proposer.take_identity(identity);
        self.steward.take_identity(identity);
        actions.push(Action::DiskWasLost);
        identity
    }
}
