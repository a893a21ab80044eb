//! One round of a proposer: the replies counted so far and what follows from them (Rystsov 2018,
//! section 2). A round reads no clock and sends nothing itself.
//!
//! A round either queries (reads without a promise), or prepares (phase 1) and then accepts (phase
//! 2). Its quorums are those of the newest membership that it has seen: this guards against a
//! decision by a replica set that is no longer in force.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, Identity};
use crate::guard::{Guard, Guards};
use crate::message::{AcceptorState, ReplyBody, RequestBody, RoundId};
use crate::replicas::{Membership, Replica};
use crate::state::{Proposal, ballot_of, newest};

#[cfg(test)]
mod tests;

/// What a round waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Query results, which come without a promise.
    Query,
    /// Promises (phase 1).
    Prepare,
    /// Acceptances (phase 2).
    Accept,
}

/// The newest state that a quorum of its own membership has reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuorumRead<V> {
    /// The state, with the ballot in which it was accepted.
    pub proposal: Proposal<V>,
    /// Whether it is known as chosen. If it isn't, it may have been chosen or may yet be, and has
    /// to be accepted again before it is reported.
    pub is_chosen: bool,
}

/// The replies of one round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<V> {
    /// Number of the round.
    pub id: RoundId,
    /// What it waits for.
    pub phase: Phase,
    /// Its ballot; zero for a query.
    pub ballot: Ballot,
    /// What the proposer knew as chosen when the round began.
    known: Option<Proposal<V>>,
    /// The newest proposal seen, chosen or not; its members receive the requests.
    view: Proposal<V>,
    /// Ballots reported as accepted, by replica.
    reported: BTreeMap<Identity, Option<Ballot>>,
    /// The newest proposal reported.
    newest: Option<Proposal<V>>,
    /// The highest ballot reported or known as chosen.
    chosen: Ballot,
    /// The proposal of the accept phase.
    proposal: Option<Proposal<V>>,
    accepted: BTreeSet<Identity>,
    rejected: BTreeSet<Identity>,
    guards: Guards,
}

impl<V: Clone> Round<V> {
    /// A round of queries. `known` is what the proposer knows as chosen, `view` the newest proposal
    /// that it has seen.
    #[must_use]
    pub fn query(
        id: RoundId,
        known: Option<Proposal<V>>,
        view: Proposal<V>,
        guards: Guards,
    ) -> Self {
        Self {
            id,
            phase: Phase::Query,
            ballot: Ballot::ZERO,
            chosen: ballot_of(known.as_ref()),
            view,
            known,
            reported: BTreeMap::new(),
            newest: None,
            proposal: None,
            accepted: BTreeSet::new(),
            rejected: BTreeSet::new(),
            guards,
        }
    }

    /// The round with promises in the ballot instead of queries.
    #[must_use]
    pub fn into_prepare(self, ballot: Ballot) -> Self {
        Self {
            phase: Phase::Prepare,
            ballot,
            ..self
        }
    }

    /// Begins the accept phase with the proposal, which must result from the quorum read.
    pub fn start_accept(&mut self, proposal: Proposal<V>) {
        self.phase = Phase::Accept;
        self.rejected.clear();
        self.proposal = Some(proposal);
    }

    /// The replicas of which a reply is missing, each once.
    #[must_use]
    pub fn awaiting_reply(&self) -> Vec<Replica> {
        let mut replicas: Vec<Replica> = Vec::new();
        for replica in self.memberships().flat_map(Membership::replicas) {
            let is_listed = replicas
                .iter()
                .any(|listed| listed.identity == replica.identity);
            if !is_listed && !self.has_replied(replica.identity) {
                replicas.push(replica.clone());
            }
        }
        replicas
    }

    /// The request of the current phase.
    #[must_use]
    pub fn request_body(&self) -> RequestBody<V> {
        let known = ballot_of(self.known.as_ref());
        match (self.phase, &self.proposal) {
            (Phase::Accept, Some(proposal)) => RequestBody::Accept {
                proposal: proposal.clone(),
            },
            (Phase::Prepare, _) => RequestBody::Prepare {
                ballot: self.ballot,
                view: self.view.ballot,
                known,
            },
            (Phase::Query | Phase::Accept, _) => RequestBody::Query { known },
        }
    }

    /// Counts a reply. Replies of replicas that received no request don't count, nor do those to
    /// another phase or ballot.
    pub fn record_reply(&mut self, from: Identity, body: ReplyBody<V>) {
        match (self.phase, body) {
            (Phase::Query, ReplyBody::QueryResult(state)) => self.record_state(from, state),
            (Phase::Prepare, ReplyBody::Promise { ballot, state }) if ballot == self.ballot => {
                self.record_state(from, state);
            }
            (Phase::Accept, ReplyBody::Accepted { ballot }) if ballot == self.ballot => {
                self.accepted.insert(from);
            }
            (Phase::Prepare | Phase::Accept, ReplyBody::Conflict { promised })
                if promised > self.ballot =>
            {
                self.rejected.insert(from);
            }
            (_, ReplyBody::NotMember { .. }) => {
                self.rejected.insert(from);
            }
            _ => {}
        }
    }

    /// The newest state that a quorum of its own members has reported, once there is one.
    #[must_use]
    pub fn quorum_read(&self) -> Option<QuorumRead<V>> {
        let proposal = self.newest.as_ref()?;
        let members = &proposal.state.members;
        let has_quorum = self.is_quorum(members, |identity| self.reported.contains_key(&identity));
        if !has_quorum || proposal.ballot < self.chosen {
            return None;
        }
        let is_chosen = self.is_known_as_chosen(proposal);
        if !is_chosen && !self.guards.enforces(Guard::CompleteAccepted) {
            let proposal = self.known.clone()?;
            return Some(QuorumRead {
                proposal,
                is_chosen: true,
            });
        }
        Some(QuorumRead {
            proposal: proposal.clone(),
            is_chosen,
        })
    }

    /// The proposal of the accept phase, once a quorum has accepted it.
    #[must_use]
    pub fn chosen(&self) -> Option<&Proposal<V>> {
        let proposal = self.proposal.as_ref()?;
        let members = &proposal.state.members;
        self.is_quorum(members, |identity| self.accepted.contains(&identity))
            .then_some(proposal)
    }

    /// Whether the replicas that have not rejected the round are too few for a quorum.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.memberships()
            .any(|members| !self.is_quorum(members, |identity| !self.rejected.contains(&identity)))
    }

    /// Whether every replica that received a request has replied.
    #[must_use]
    pub fn have_all_replied(&self) -> bool {
        self.awaiting_reply().is_empty()
    }

    /// The memberships whose replicas receive the requests. In the accept phase it is that of the
    /// proposal. Before, it is that of the newest proposal seen, which may not be chosen, and that
    /// of the newest one reported or known as chosen, which may be another.
    fn memberships(&self) -> impl Iterator<Item = &Membership> {
        let reported_or_known = newest(self.newest.as_ref(), self.known.as_ref());
        let read = std::iter::once(&self.view)
            .chain(reported_or_known)
            .filter(|_| self.proposal.is_none());
        self.proposal
            .iter()
            .chain(read)
            .map(|proposal| &proposal.state.members)
    }

    /// Counts what an acceptor has accepted.
    fn record_state(&mut self, from: Identity, state: AcceptorState<V>) {
        if !self.memberships().any(|members| members.contains(from)) {
            return;
        }
        self.chosen = self.chosen.max(state.chosen);
        self.reported.insert(from, state.accepted);
        // An acceptor leaves out a proposal that this node knows.
        let known = self.known.as_ref();
        let known = known.filter(|known| Some(known.ballot) == state.accepted);
        let Some(proposal) = state.proposal.or_else(|| known.cloned()) else {
            return;
        };
        let is_newest = self
            .newest
            .as_ref()
            .is_none_or(|newest| newest.ballot < proposal.ballot);
        if is_newest {
            self.newest = Some(proposal.clone());
        }
        if self.view.ballot < proposal.ballot {
            self.view = proposal;
        }
    }

    /// Whether the newest proposal reported is known as chosen: because a node has reported it as
    /// chosen, or because a quorum has accepted it.
    fn is_known_as_chosen(&self, proposal: &Proposal<V>) -> bool {
        let has_accepted = |identity| self.reported.get(&identity) == Some(&Some(proposal.ballot));
        proposal.ballot <= self.chosen
            || self.is_quorum(&proposal.state.members, has_accepted)
            || !self.guards.enforces(Guard::ConfirmBeforeReport)
    }

    fn has_replied(&self, identity: Identity) -> bool {
        let is_counted = match self.phase {
            Phase::Accept => self.accepted.contains(&identity),
            Phase::Query | Phase::Prepare => self.reported.contains_key(&identity),
        };
        is_counted || self.rejected.contains(&identity)
    }

    #[cfg_attr(
        not(feature = "mutations"),
        expect(clippy::unused_self, reason = "the guards are read in tests only")
    )]
    fn is_quorum(&self, members: &Membership, voted: impl Fn(Identity) -> bool) -> bool {
        #[cfg(feature = "mutations")]
        if !self.guards.enforces(Guard::JointQuorum) {
            return members.is_quorum_of_latest(voted);
        }
        members.is_quorum(voted)
    }
}
