//! One round of a proposer: the replies counted so far and the result that follows from them
//! (Rystsov 2018, section 2). A round reads no clock and sends nothing itself.
//!
//! A round is either a query (a read without promises), or a prepare phase (phase 1) followed by an
//! accept phase (phase 2). Its quorums are those of the newest membership that it has seen; this
//! guards against a decision by a replica set that has been replaced.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, Identity};
use crate::guard::{Guard, Guards};
use crate::message::{AcceptorState, ReplyBody, RequestBody, RoundId};
use crate::replicas::{Membership, Replica};
use crate::state::{Proposal, ballot_of, newest};

#[cfg(test)]
mod tests;

/// Phase of a round, named after the requests that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits for query results, which carry no promise.
    Query,
    /// Waits for promises (phase 1).
    Prepare,
    /// Waits for acceptances (phase 2).
    Accept,
}

/// The newest state that a quorum of its own membership has reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuorumRead<V> {
    /// The state and the ballot in which it was accepted.
    pub proposal: Proposal<V>,
    /// Whether the state is known as chosen. Otherwise the state may have been chosen or may yet
    /// be, and must be accepted again before it is reported.
    pub is_chosen: bool,
}

/// A round in progress and the replies to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<V> {
    /// Id of the round, which its replies repeat.
    pub id: RoundId,
    /// Current phase of the round.
    pub phase: Phase,
    /// Ballot of the round; [`Ballot::ZERO`] for a query.
    pub ballot: Ballot,
    /// The proposal that the proposer knew as chosen when the round began.
    known: Option<Proposal<V>>,
    /// The newest proposal seen, chosen or not; the members of its state receive the requests.
    view: Proposal<V>,
    /// Ballots reported as accepted, by replica.
    reported: BTreeMap<Identity, Option<Ballot>>,
    /// The newest proposal reported in a reply.
    newest: Option<Proposal<V>>,
    /// The highest ballot known as chosen, here or at a replica that replied.
    chosen: Ballot,
    /// The proposal of the accept phase.
    proposal: Option<Proposal<V>>,
    accepted: BTreeSet<Identity>,
    rejected: BTreeSet<Identity>,
    guards: Guards,
}

impl<V: Clone> Round<V> {
    /// Creates a query round. `known` is the proposal that the proposer knows as chosen, `view` the
    /// newest proposal that it has seen.
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

    /// Turns a new query round into the prepare phase of this ballot.
    #[must_use]
    pub fn into_prepare(self, ballot: Ballot) -> Self {
        Self {
            phase: Phase::Prepare,
            ballot,
            ..self
        }
    }

    /// Starts the accept phase with a proposal, which must result from the quorum read.
    pub fn start_accept(&mut self, proposal: Proposal<V>) {
        self.phase = Phase::Accept;
        self.rejected.clear();
        self.proposal = Some(proposal);
    }

    /// The replicas that have not replied in the current phase, each once.
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

    /// Counts a reply. Replies from replicas that received no request, and replies to another phase
    /// or ballot, don't count.
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

    /// Returns the newest proposal reported, once a quorum of its own members has replied and no
    /// newer ballot is known as chosen.
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

    /// Returns the proposal of the accept phase, once a quorum has accepted it.
    #[must_use]
    pub fn chosen(&self) -> Option<&Proposal<V>> {
        let proposal = self.proposal.as_ref()?;
        let members = &proposal.state.members;
        self.is_quorum(members, |identity| self.accepted.contains(&identity))
            .then_some(proposal)
    }

    /// Whether the round has failed: the replicas that have not rejected it are too few for a
    /// quorum.
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

    /// The memberships whose replicas receive the requests. In the accept phase, this is the
    /// membership of the proposal. Before, these are the membership of the newest proposal seen,
    /// which may not be chosen, and that of the newest proposal reported or known as chosen, which
    /// may be an older one.
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

    /// Counts the accepted proposal and the chosen ballot that a member has reported.
    fn record_state(&mut self, from: Identity, state: AcceptorState<V>) {
        if !self.memberships().any(|members| members.contains(from)) {
            return;
        }
        self.chosen = self.chosen.max(state.chosen);
        self.reported.insert(from, state.accepted);
        // An acceptor sends only the ballot of a proposal that this node knows.
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

    /// Whether the newest proposal reported is known as chosen: a node knows its ballot or a higher
    /// one as chosen, or a quorum has accepted it.
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
