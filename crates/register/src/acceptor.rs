//! The acceptor: promises and acceptances, each durable before it is answered.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Identity};
use crate::guard::{Guard, Guards};
use crate::message::{AcceptorState, Reply, ReplyBody, Request, RequestBody};
use crate::replicas::{Membership, ReplicaSet};
use crate::state::{Proposal, State};

#[cfg(test)]
mod tests;

/// Number of a write; given back once the write is durable.
pub type PersistToken = u64;

/// What a replica keeps on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record<V> {
    /// Identity of the replica.
    pub identity: Identity,
    /// Nothing below this ballot is accepted.
    pub promised: Ballot,
    /// What was accepted last.
    pub accepted: Option<Proposal<V>>,
    /// Counters up to this one may have been used in ballots by the proposer of this node.
    pub reserved: u64,
}

impl<V> Record<V> {
    /// Record of a replica that is no member yet.
    #[must_use]
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            promised: Ballot::ZERO,
            accepted: None,
            reserved: 0,
        }
    }

    /// Record of an initial member at the very first start. All initial members must pass the same
    /// addresses and an equal value.
    pub fn bootstrap(own: SocketAddr, members: &[SocketAddr], value: V) -> Self {
        let members = Membership::single(ReplicaSet::from_seed_addresses(members.iter().copied()));
        let state = State::initial(members, value).into();
        let accepted = Some(Proposal {
            ballot: Ballot::ZERO,
            state,
        });
        Self {
            accepted,
            ..Self::empty(Identity::from_seed_address(own))
        }
    }

    /// Whether the replica has promised, accepted or proposed anything beyond the initial state.
    #[must_use]
    pub fn has_participated(&self) -> bool {
        let accepted = self
            .accepted
            .as_ref()
            .map_or(Ballot::ZERO, |proposal| proposal.ballot);
        self.promised.max(accepted) > Ballot::ZERO || self.reserved > 0
    }
}

/// A reply and where it goes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AddressedReply<V> {
    /// Address of the asking node.
    pub to: SocketAddr,
    /// The replica that answers.
    pub sender: Identity,
    /// The reply.
    pub reply: Reply<V>,
}

/// A record to be made durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write<V> {
    /// Number of the write.
    pub token: PersistToken,
    /// The whole record.
    pub record: Record<V>,
    /// Whether the accepted proposal differs from the one written last.
    pub accepted_changed: bool,
}

/// One replica's votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    record: Record<V>,
    durable: Record<V>,
    dirty: bool,
    writing: Option<Write<V>>,
    waiting: Vec<AddressedReply<V>>,
    covered: Vec<AddressedReply<V>>,
    last_token: PersistToken,
    /// Whether the first record isn't durable yet: until then nothing is answered.
    awaits_first_record: bool,
    guards: Guards,
}

impl<V: Clone> Acceptor<V> {
    /// An acceptor whose record is durable already.
    #[must_use]
    pub fn recovered(record: Record<V>, guards: Guards) -> Self {
        Self {
            durable: record.clone(),
            record,
            dirty: false,
            writing: None,
            waiting: Vec::new(),
            covered: Vec::new(),
            last_token: 0,
            awaits_first_record: false,
            guards,
        }
    }

    /// An acceptor whose first record must become durable before anything is said: a new one, or
    /// one that was read and may stand in the page cache only.
    #[must_use]
    pub fn fresh(record: Record<V>, guards: Guards) -> Self {
        let mut acceptor = Self::recovered(Record::empty(record.identity), guards);
        acceptor.record = record;
        acceptor.dirty = true;
        acceptor.awaits_first_record = guards.keeps(Guard::PersistBeforeReply);
        acceptor
    }

    /// Identity of the replica.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.record.identity
    }

    /// What is accepted and durable.
    #[must_use]
    pub fn accepted(&self) -> Option<&Proposal<V>> {
        self.durable.accepted.as_ref()
    }

    /// The highest ballot promised, durable or not.
    #[must_use]
    pub fn promised(&self) -> Ballot {
        self.record.promised
    }

    /// Highest ballot counter that the proposer of this node may use.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        if self.guards.keeps(Guard::BallotReservation) {
            self.durable.reserved
        } else {
            u64::MAX
        }
    }

    /// Highest ballot counter that earlier lives may have used.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.record.reserved
    }

    /// Whether nothing is answered yet, since the first record isn't durable.
    #[must_use]
    pub fn awaits_first_record(&self) -> bool {
        self.awaits_first_record
    }

    /// Whether the replica holds no state at all, durable or not.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.record.accepted.is_none()
    }

    /// Whether the replica has promised, accepted or proposed anything beyond the initial state.
    #[must_use]
    pub fn has_participated(&self) -> bool {
        self.record.has_participated()
    }

    /// Asks for counters up to that one; they can be used once the record is durable.
    pub fn reserve(&mut self, counter: u64) {
        if counter > self.record.reserved {
            self.record.reserved = counter;
            self.dirty = true;
        }
    }

    /// Answers a request, at once or after the next write; of one asker's requests only the latest
    /// waits for it. `chosen` is what the node knows as chosen.
    pub fn request(
        &mut self,
        from: SocketAddr,
        request: Request<V>,
        chosen: Option<&Proposal<V>>,
    ) -> Option<AddressedReply<V>> {
        if self.awaits_first_record {
            return None;
        }
        let round = request.round;
        let sender = if self.guards.keeps(Guard::IdentityCheck) {
            self.record.identity
        } else {
            request.to
        };
        let (body, durable) = self.answer(request, chosen);
        let addressed = AddressedReply {
            to: from,
            sender,
            reply: Reply { round, body },
        };
        if durable || !self.guards.keeps(Guard::PersistBeforeReply) {
            return Some(addressed);
        }
        self.waiting.retain(|earlier| earlier.to != addressed.to);
        self.waiting.push(addressed);
        None
    }

    /// The next write, if one is due; at most one is under way.
    pub fn next_write(&mut self) -> Option<Write<V>> {
        if self.writing.is_some() {
            return None;
        }
        if !self.dirty && self.waiting.is_empty() {
            return None;
        }
        self.last_token += 1;
        let accepted_ballot =
            |record: &Record<V>| record.accepted.as_ref().map(|proposal| proposal.ballot);
        let write = Write {
            token: self.last_token,
            record: self.record.clone(),
            accepted_changed: accepted_ballot(&self.record) != accepted_ballot(&self.durable),
        };
        self.dirty = false;
        self.covered = std::mem::take(&mut self.waiting);
        self.writing = Some(write.clone());
        Some(write)
    }

    /// A write is durable: returns the replies that waited for it.
    pub fn persisted(&mut self, token: PersistToken) -> Vec<AddressedReply<V>> {
        match self.writing.take_if(|write| write.token == token) {
            Some(write) => {
                self.durable = write.record;
                self.awaits_first_record = false;
                std::mem::take(&mut self.covered)
            }
            None => Vec::new(),
        }
    }

    /// The answer, and whether it may be sent before the next write.
    fn answer(
        &mut self,
        request: Request<V>,
        chosen: Option<&Proposal<V>>,
    ) -> (ReplyBody<V>, bool) {
        let chosen_ballot = chosen.map_or(Ballot::ZERO, |proposal| proposal.ballot);
        if request.to != self.record.identity && self.guards.keeps(Guard::IdentityCheck) {
            return (
                ReplyBody::NotMember {
                    chosen: chosen_ballot,
                },
                true,
            );
        }
        match request.body {
            RequestBody::Query { known } => (
                ReplyBody::QueryResult(acceptor_state(&self.durable, known, chosen_ballot)),
                true,
            ),
            RequestBody::Prepare { view, .. } if self.is_removed(view, chosen) => (
                ReplyBody::NotMember {
                    chosen: chosen_ballot,
                },
                true,
            ),
            RequestBody::Prepare { ballot, known, .. } => {
                self.promise(ballot, known, chosen_ballot)
            }
            RequestBody::Accept { proposal } => self.accept(proposal, chosen_ballot),
        }
    }

    fn promise(&mut self, ballot: Ballot, known: Ballot, chosen: Ballot) -> (ReplyBody<V>, bool) {
        if ballot < self.record.promised {
            return (
                ReplyBody::Conflict {
                    promised: self.record.promised,
                },
                true,
            );
        }
        self.record.promised = ballot;
        let state = acceptor_state(&self.record, known, chosen);
        let durable = self.is_durable();
        self.dirty |= !durable;
        (ReplyBody::Promise { ballot, state }, durable)
    }

    fn accept(&mut self, proposal: Proposal<V>, chosen: Ballot) -> (ReplyBody<V>, bool) {
        let ballot = proposal.ballot;
        if ballot < self.record.promised {
            return (
                ReplyBody::Conflict {
                    promised: self.record.promised,
                },
                true,
            );
        }
        let is_member = proposal.state.members.contains(self.record.identity);
        if !is_member && self.guards.keeps(Guard::IdentityCheck) {
            return (ReplyBody::NotMember { chosen }, true);
        }
        self.record.promised = ballot;
        self.record.accepted = Some(proposal);
        let durable = self.is_durable();
        self.dirty |= !durable;
        (ReplyBody::Accepted { ballot }, durable)
    }

    /// Whether the newest state known here, newer than the asker's view, doesn't name this replica.
    fn is_removed(&self, view: Ballot, chosen: Option<&Proposal<V>>) -> bool {
        let newest = [self.record.accepted.as_ref(), chosen]
            .into_iter()
            .flatten()
            .max_by_key(|held| held.ballot);
        newest.is_some_and(|held| {
            held.ballot > view && !held.state.members.contains(self.record.identity)
        })
    }

    /// Whether a vote given now was given and made durable before.
    fn is_durable(&self) -> bool {
        let ballot = |record: &Record<V>| record.accepted.as_ref().map(|proposal| proposal.ballot);
        let same = self.record.promised == self.durable.promised;
        same && ballot(&self.record) == ballot(&self.durable)
    }
}

fn acceptor_state<V: Clone>(record: &Record<V>, known: Ballot, chosen: Ballot) -> AcceptorState<V> {
    let accepted = record.accepted.as_ref().map(|proposal| proposal.ballot);
    let proposal = record
        .accepted
        .as_ref()
        .filter(|proposal| proposal.ballot > known || known == Ballot::ZERO);
    AcceptorState {
        accepted,
        proposal: proposal.cloned(),
        chosen,
    }
}
