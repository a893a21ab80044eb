//! The acceptor: promises ballots and accepts proposals (Rystsov 2018, section 2).
//!
//! Each promise and each acceptance is durable before the reply is sent, so that a crash can't make
//! the replica forget it. Requests are addressed to an identity, so that a replica whose disk was
//! lost doesn't reply in the name of the identity that it had before.

use std::net::SocketAddr;

use crate::ballot::{Ballot, Identity};
use crate::guard::{Guard, Guards};
use crate::message::{AcceptorState, Reply, ReplyBody, Request, RequestBody};
use crate::record::{PersistToken, Record, Write};
use crate::state::{Proposal, ballot_of, newest};

#[cfg(test)]
mod tests;

/// A reply with its destination and the identity under which it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AddressedReply<V> {
    /// Address of the proposer's node.
    pub to: SocketAddr,
    /// Identity of the replying replica.
    pub sender: Identity,
    /// The reply, with the round of the request.
    pub reply: Reply<V>,
}

/// When a reply may be sent.
enum Readiness<V> {
    /// The reply may be sent at once, since it reports only durable state.
    Immediate(ReplyBody<V>),
    /// The reply must wait until the current record is durable.
    AfterWrite(ReplyBody<V>),
}

/// The acceptor of one replica, with at most one write of its record in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    /// The current record, in memory.
    record: Record<V>,
    /// The last record reported as durable.
    durable: Record<V>,
    /// Whether `record` has changed since the last write began.
    is_dirty: bool,
    write_in_flight: Option<Write<V>>,
    /// Replies that wait for the next write.
    awaiting_next_write: Vec<AddressedReply<V>>,
    /// Replies that wait for the write in flight.
    awaiting_write_in_flight: Vec<AddressedReply<V>>,
    last_token: PersistToken,
    /// Whether the first record is not durable yet; no request is answered until it is.
    awaits_first_record: bool,
    guards: Guards,
}

impl<V: Clone> Acceptor<V> {
    /// Creates an acceptor whose record is durable already.
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

    /// Creates an acceptor that answers no request before its first record is durable. The record
    /// is either new, or was read from the disk and may be in the page cache only.
    #[must_use]
    pub fn unsynced(record: Record<V>, guards: Guards) -> Self {
        let mut acceptor = Self::recovered(Record::empty(record.identity), guards);
        acceptor.record = record;
        acceptor.is_dirty = true;
        acceptor.awaits_first_record = guards.enforces(Guard::PersistBeforeReply);
        acceptor
    }

    /// Identity of the replica, under which the acceptor replies.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.record.identity
    }

    /// The last accepted proposal that is durable.
    #[must_use]
    pub fn accepted(&self) -> Option<&Proposal<V>> {
        self.durable.accepted.as_ref()
    }

    /// The highest ballot promised, durable or not.
    #[must_use]
    pub fn promised(&self) -> Ballot {
        self.record.promised
    }

    /// Highest ballot counter that this node's proposer may use: the highest one whose reservation
    /// is durable.
    #[must_use]
    pub fn reserved_counter(&self) -> u64 {
        if self.guards.enforces(Guard::BallotReservation) {
            self.durable.reserved
        } else {
            u64::MAX
        }
    }

    /// Highest ballot counter that this node's proposer may have used, in any incarnation.
    #[must_use]
    pub fn used_counter(&self) -> u64 {
        self.record.reserved
    }

    /// Whether the first record is not durable yet, so that no request is answered.
    #[must_use]
    pub fn awaits_first_record(&self) -> bool {
        self.awaits_first_record
    }

    /// Whether the replica has no accepted proposal, not even that of the initial state, durable or
    /// not.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.record.accepted.is_none()
    }

    /// Whether the replica has promised, accepted or proposed anything beyond the initial state.
    #[must_use]
    pub fn has_participated(&self) -> bool {
        self.record.has_participated()
    }

    /// Reserves the ballot counters up to `counter`. They may be used once the record is durable. A
    /// restarted proposer begins above all reserved counters and so never uses a ballot twice.
    pub fn reserve(&mut self, counter: u64) {
        if counter > self.record.reserved {
            self.record.reserved = counter;
            self.is_dirty = true;
        }
    }

    /// Handles a request. A reply that may be sent at once is returned here; any other is returned
    /// by [`persisted`](Self::persisted) after the next write. Of the replies to one node that wait
    /// for that write, only the latest is kept. `chosen` is the newest proposal that the node knows
    /// as chosen.
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

    /// Begins the next write, if one is due and none is in flight.
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

    /// Marks a write as durable and returns the replies that waited for it. An unknown token has no
    /// effect.
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

    /// Phase 1 (Rystsov 2018, section 2): promises the ballot unless a higher one has been
    /// promised.
    fn promise(&mut self, ballot: Ballot, known: Ballot, chosen: Ballot) -> Readiness<V> {
        if ballot < self.record.promised {
            return self.conflict();
        }
        self.record.promised = ballot;
        let state = acceptor_state(&self.record, known, chosen);
        self.after_write_unless_durable(ReplyBody::Promise { ballot, state })
    }

    /// Phase 2 (Rystsov 2018, section 2): accepts the proposal unless a higher ballot has been
    /// promised or this replica isn't a member by the proposed state.
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

    /// Readiness of a reply that reports the current record. A repeated promise or acceptance may
    /// be durable already and then needs no write.
    fn after_write_unless_durable(&mut self, body: ReplyBody<V>) -> Readiness<V> {
        let is_durable = self.record.promised == self.durable.promised
            && self.record.accepted_ballot() == self.durable.accepted_ballot();
        if is_durable {
            return Readiness::Immediate(body);
        }
        self.is_dirty = true;
        Readiness::AfterWrite(body)
    }

    /// Whether the newest state that this node has is newer than the proposer's view and doesn't
    /// include this replica as a member. A promise would then count towards a quorum of an outdated
    /// replica set.
    fn is_removed(&self, view: Ballot, chosen: Option<&Proposal<V>>) -> bool {
        newest(self.record.accepted.as_ref(), chosen).is_some_and(|newest| {
            newest.ballot > view && !newest.state.members.contains(self.record.identity)
        })
    }
}

/// State of a record as reported to a proposer. The proposal is left out if its ballot is not above
/// `known`, the highest ballot that the proposer knows as chosen, since the proposer then needs no
/// copy.
fn acceptor_state<V: Clone>(record: &Record<V>, known: Ballot, chosen: Ballot) -> AcceptorState<V> {
    let is_new = |proposal: &&Proposal<V>| proposal.ballot > known || known == Ballot::ZERO;
    AcceptorState {
        accepted: record.accepted_ballot(),
        proposal: record.accepted.as_ref().filter(is_new).cloned(),
        chosen,
    }
}
