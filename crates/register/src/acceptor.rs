//! The acceptor: gives promises and acceptances (Rystsov 2018, section 2), each of which is
//! durable before the reply is sent.
//!
//! This guards against a replica that forgets a promise in a crash, and against one whose disk was
//! lost and that replies as if it were still the old replica.

use std::net::SocketAddr;

use crate::ballot::{Ballot, Identity};
use crate::guard::{Guard, Guards};
use crate::message::{AcceptorState, Reply, ReplyBody, Request, RequestBody};
use crate::record::{PersistToken, Record, Write};
use crate::state::{Proposal, ballot_of, newest};

#[cfg(test)]
mod tests;

/// A reply and its destination.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AddressedReply<V> {
    /// Address of the proposer's node.
    pub to: SocketAddr,
    /// The replica that replies.
    pub sender: Identity,
    /// The reply.
    pub reply: Reply<V>,
}

/// When a reply may be sent.
enum Readiness<V> {
    /// At once: it reports only what is durable.
    Immediate(ReplyBody<V>),
    /// Once the current record is durable.
    AfterWrite(ReplyBody<V>),
}

/// One replica's promises and acceptances.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    /// The current record, in memory.
    record: Record<V>,
    /// The record that is known to be durable.
    durable: Record<V>,
    /// Whether `record` has changed since the last write began.
    is_dirty: bool,
    write_in_flight: Option<Write<V>>,
    /// Replies that wait for the next write.
    awaiting_next_write: Vec<AddressedReply<V>>,
    /// Replies that wait for the write in flight.
    awaiting_write_in_flight: Vec<AddressedReply<V>>,
    last_token: PersistToken,
    /// Whether the first record isn't durable yet: until then no request is answered.
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
            is_dirty: false,
            write_in_flight: None,
            awaiting_next_write: Vec::new(),
            awaiting_write_in_flight: Vec::new(),
            last_token: 0,
            awaits_first_record: false,
            guards,
        }
    }

    /// An acceptor whose first record must become durable before any request is answered: a new
    /// one, or one that was read from the disk and may be in the page cache only.
    #[must_use]
    pub fn unsynced(record: Record<V>, guards: Guards) -> Self {
        let mut acceptor = Self::recovered(Record::empty(record.identity), guards);
        acceptor.record = record;
        acceptor.is_dirty = true;
        acceptor.awaits_first_record = guards.enforces(Guard::PersistBeforeReply);
        acceptor
    }

    /// Identity of the replica.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.record.identity
    }

    /// The proposal that is accepted and durable.
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
    pub fn reserved_counter(&self) -> u64 {
        if self.guards.enforces(Guard::BallotReservation) {
            self.durable.reserved
        } else {
            u64::MAX
        }
    }

    /// Highest ballot counter that the proposer may have used, in earlier incarnations too.
    #[must_use]
    pub fn used_counter(&self) -> u64 {
        self.record.reserved
    }

    /// Whether no request is answered yet, since the first record isn't durable.
    #[must_use]
    pub fn awaits_first_record(&self) -> bool {
        self.awaits_first_record
    }

    /// Whether the replica has no state at all, durable or not.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.record.accepted.is_none()
    }

    /// Whether the replica has promised, accepted or proposed anything beyond the initial state.
    #[must_use]
    pub fn has_participated(&self) -> bool {
        self.record.has_participated()
    }

    /// Reserves ballot counters up to that one; they may be used once the record is durable. A
    /// proposer that restarts begins above all reserved ones, and so never uses a ballot twice.
    pub fn reserve(&mut self, counter: u64) {
        if counter > self.record.reserved {
            self.record.reserved = counter;
            self.is_dirty = true;
        }
    }

    /// Handles a request. The reply is returned if it may be sent at once, else by
    /// [`persisted`](Self::persisted) after the next write; of one node's requests only the latest
    /// waits. `chosen` is what the node knows as chosen.
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
        let sender = if self.guards.enforces(Guard::IdentityCheck) {
            self.record.identity
        } else {
            request.to
        };
        let addressed = |body| AddressedReply {
            to: from,
            sender,
            reply: Reply { round, body },
        };
        match self.reply(request, chosen) {
            Readiness::Immediate(body) => Some(addressed(body)),
            Readiness::AfterWrite(body) if !self.guards.enforces(Guard::PersistBeforeReply) => {
                Some(addressed(body))
            }
            Readiness::AfterWrite(body) => {
                self.awaiting_next_write
                    .retain(|earlier| earlier.to != from);
                self.awaiting_next_write.push(addressed(body));
                None
            }
        }
    }

    /// The next write, if one is due; at most one is in flight.
    pub fn next_write(&mut self) -> Option<Write<V>> {
        if self.write_in_flight.is_some() {
            return None;
        }
        if !self.is_dirty && self.awaiting_next_write.is_empty() {
            return None;
        }
        self.last_token += 1;
        let write = Write {
            token: self.last_token,
            record: self.record.clone(),
            accepted_changed: self.record.accepted_ballot() != self.durable.accepted_ballot(),
        };
        self.is_dirty = false;
        self.awaiting_write_in_flight = std::mem::take(&mut self.awaiting_next_write);
        self.write_in_flight = Some(write.clone());
        Some(write)
    }

    /// Handles that a write is durable: returns the replies that waited for it.
    pub fn persisted(&mut self, token: PersistToken) -> Vec<AddressedReply<V>> {
        match self.write_in_flight.take_if(|write| write.token == token) {
            Some(write) => {
                self.durable = write.record;
                self.awaits_first_record = false;
                std::mem::take(&mut self.awaiting_write_in_flight)
            }
            None => Vec::new(),
        }
    }

    fn reply(&mut self, request: Request<V>, chosen: Option<&Proposal<V>>) -> Readiness<V> {
        let chosen_ballot = ballot_of(chosen);
        let not_member = Readiness::Immediate(ReplyBody::NotMember {
            chosen: chosen_ballot,
        });
        if request.to != self.record.identity && self.guards.enforces(Guard::IdentityCheck) {
            return not_member;
        }
        match request.body {
            RequestBody::Query { known } => {
                let state = acceptor_state(&self.durable, known, chosen_ballot);
                Readiness::Immediate(ReplyBody::QueryResult(state))
            }
            RequestBody::Prepare { view, .. } if self.is_removed(view, chosen) => not_member,
            RequestBody::Prepare { ballot, known, .. } => {
                self.promise(ballot, known, chosen_ballot)
            }
            RequestBody::Accept { proposal } => self.accept(proposal, chosen_ballot),
        }
    }

    /// Phase 1 (Rystsov 2018, section 2): promises the ballot unless a higher one is promised.
    fn promise(&mut self, ballot: Ballot, known: Ballot, chosen: Ballot) -> Readiness<V> {
        if ballot < self.record.promised {
            return self.conflict();
        }
        self.record.promised = ballot;
        let state = acceptor_state(&self.record, known, chosen);
        self.after_write_unless_durable(ReplyBody::Promise { ballot, state })
    }

    /// Phase 2 (Rystsov 2018, section 2): accepts the proposal unless a higher ballot is promised
    /// or this replica isn't one of its members.
    fn accept(&mut self, proposal: Proposal<V>, chosen: Ballot) -> Readiness<V> {
        let ballot = proposal.ballot;
        if ballot < self.record.promised {
            return self.conflict();
        }
        let is_member = proposal.state.members.contains(self.record.identity);
        if !is_member && self.guards.enforces(Guard::IdentityCheck) {
            return Readiness::Immediate(ReplyBody::NotMember { chosen });
        }
        self.record.promised = ballot;
        self.record.accepted = Some(proposal);
        self.after_write_unless_durable(ReplyBody::Accepted { ballot })
    }

    fn conflict(&self) -> Readiness<V> {
        Readiness::Immediate(ReplyBody::Conflict {
            promised: self.record.promised,
        })
    }

    /// The readiness of a reply that reports the current record. A promise or an acceptance that
    /// was given before may be durable already.
    fn after_write_unless_durable(&mut self, body: ReplyBody<V>) -> Readiness<V> {
        let is_durable = self.record.promised == self.durable.promised
            && self.record.accepted_ballot() == self.durable.accepted_ballot();
        if is_durable {
            return Readiness::Immediate(body);
        }
        self.is_dirty = true;
        Readiness::AfterWrite(body)
    }

    /// Whether the newest state known here, newer than the proposer's view, doesn't name this
    /// replica. A promise would then count towards a quorum of an outdated replica set.
    fn is_removed(&self, view: Ballot, chosen: Option<&Proposal<V>>) -> bool {
        newest(self.record.accepted.as_ref(), chosen).is_some_and(|newest| {
            newest.ballot > view && !newest.state.members.contains(self.record.identity)
        })
    }
}

/// The state of a record as reported to a proposer, for which `known` is the newest chosen ballot.
/// A proposal that the proposer has already is left out.
fn acceptor_state<V: Clone>(record: &Record<V>, known: Ballot, chosen: Ballot) -> AcceptorState<V> {
    let is_new = |proposal: &&Proposal<V>| proposal.ballot > known || known == Ballot::ZERO;
    AcceptorState {
        accepted: record.accepted_ballot(),
        proposal: record.accepted.as_ref().filter(is_new).cloned(),
        chosen,
    }
}
