//! One round of a proposer: the replies counted so far and what follows from them. It knows no
//! time.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, Identity};
use crate::guard::{Guard, Guards};
use crate::message::{AcceptorState, ReplyBody, RequestBody, RoundId};
use crate::replicas::{Membership, Replica};
use crate::state::Proposal;

#[cfg(test)]
mod tests;

/// What a round waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Reports without promises.
    Query,
    /// Promises.
    Prepare,
    /// Acceptances.
    Accept,
}

/// The newest state that a quorum of its own membership reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuorumRead<V> {
    /// The state, with the ballot in which it was accepted.
    pub proposal: Proposal<V>,
    /// Whether it is known as chosen.
    pub confirmed: bool,
}

/// The replies of one round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<V> {
    /// Number of the round.
    pub id: RoundId,
    /// What it waits for.
    pub stage: Phase,
    /// Its ballot; zero for a query.
    pub ballot: Ballot,
    /// What the proposer knew as chosen at the start.
    base: Option<Proposal<V>>,
    /// Newest state seen, whose members are asked.
    view: Proposal<V>,
    /// Ballots reported as accepted, by replica.
    reports: BTreeMap<Identity, Option<Ballot>>,
    /// Newest proposal reported.
    newest: Option<Proposal<V>>,
    /// Highest ballot reported as chosen.
    chosen: Ballot,
    /// What is to be accepted.
    proposal: Option<Proposal<V>>,
    accepted: BTreeSet<Identity>,
    refused: BTreeSet<Identity>,
    guards: Guards,
}

impl<V: Clone> Round<V> {
    /// A round of reports without promises. `base` is what the proposer knows as chosen, `view` the
    /// newest state that it has seen.
    #[must_use]
    pub fn query(
        id: RoundId,
        base: Option<Proposal<V>>,
        view: Proposal<V>,
        guards: Guards,
    ) -> Self {
        Self {
            id,
            stage: Phase::Query,
            ballot: Ballot::ZERO,
            chosen: base
                .as_ref()
                .map_or(Ballot::ZERO, |proposal| proposal.ballot),
            view,
            base,
            reports: BTreeMap::new(),
            newest: None,
            proposal: None,
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            guards,
        }
    }

    /// The round with promises in the ballot instead of mere reports.
    #[must_use]
    pub fn with_promises(self, ballot: Ballot) -> Self {
        Self {
            stage: Phase::Prepare,
            ballot,
            ..self
        }
    }

    /// The replicas that have not answered yet.
    #[must_use]
    pub fn unanswered(&self) -> Vec<Replica> {
        let mut replicas: Vec<Replica> = Vec::new();
        for replica in self.asked().flat_map(super::replicas::Membership::replicas) {
            let listed = replicas
                .iter()
                .any(|listed| listed.identity == replica.identity);
            if !listed && !self.has_answered(replica.identity) {
                replicas.push(replica.clone());
            }
        }
        replicas
    }

    /// What is asked of them.
    #[must_use]
    pub fn ask(&self) -> RequestBody<V> {
        let known = self.known();
        match (self.stage, &self.proposal) {
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

    /// Counts an answer. Answers of replicas that were not asked don't count.
    pub fn answer(&mut self, from: Identity, answer: ReplyBody<V>) {
        match (self.stage, answer) {
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
                self.refused.insert(from);
            }
            (_, ReplyBody::NotMember { .. }) => {
                self.refused.insert(from);
            }
            _ => {}
        }
    }

    /// The newest state that a quorum of its own members reports, once there is one.
    #[must_use]
    pub fn found(&self) -> Option<QuorumRead<V>> {
        let proposal = self.newest.as_ref()?;
        let members = &proposal.state.members;
        let reported = self.is_quorum(members, |identity| self.reports.contains_key(&identity));
        if !reported || proposal.ballot < self.chosen {
            return None;
        }
        let confirmed = self.is_confirmed(proposal);
        if !confirmed && !self.guards.keeps(Guard::CompleteAccepted) {
            let proposal = self.base.clone()?;
            return Some(QuorumRead {
                proposal,
                confirmed: true,
            });
        }
        Some(QuorumRead {
            proposal: proposal.clone(),
            confirmed,
        })
    }

    /// Whether the newest proposal reported is known as chosen.
    fn is_confirmed(&self, proposal: &Proposal<V>) -> bool {
        let holds = |identity| self.reports.get(&identity) == Some(&Some(proposal.ballot));
        proposal.ballot <= self.chosen
            || self.is_quorum(&proposal.state.members, holds)
            || !self.guards.keeps(Guard::ConfirmBeforeReport)
    }

    /// Goes over to acceptance of the proposal, which must follow from what was found.
    pub fn propose(&mut self, proposal: Proposal<V>) {
        self.stage = Phase::Accept;
        self.refused.clear();
        self.proposal = Some(proposal);
    }

    /// The proposal, once it is chosen.
    #[must_use]
    pub fn chosen(&self) -> Option<&Proposal<V>> {
        let proposal = self.proposal.as_ref()?;
        let members = &proposal.state.members;
        self.is_quorum(members, |identity| self.accepted.contains(&identity))
            .then_some(proposal)
    }

    /// Whether the replicas that have not refused are too few.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.asked()
            .any(|members| !self.is_quorum(members, |identity| !self.refused.contains(&identity)))
    }

    /// Whether every replica asked has answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.unanswered().is_empty()
    }

    /// The memberships whose replicas are asked: of the newest state seen, which may not be chosen,
    /// and of the newest one reported or known as chosen, from which it may differ.
    fn asked(&self) -> impl Iterator<Item = &Membership> {
        let accepting = self.proposal.iter();
        let settled = self
            .newest
            .iter()
            .chain(&self.base)
            .max_by_key(|proposal| proposal.ballot);
        let preparing = std::iter::once(&self.view)
            .chain(settled)
            .filter(|_| self.proposal.is_none());
        accepting
            .chain(preparing)
            .map(|proposal| &proposal.state.members)
    }

    fn record_state(&mut self, from: Identity, state: AcceptorState<V>) {
        if !self.is_asked(from) {
            return;
        }
        self.chosen = self.chosen.max(state.chosen);
        self.reports.insert(from, state.accepted);
        let base = self
            .base
            .clone()
            .filter(|base| Some(base.ballot) == state.accepted);
        let Some(proposal) = state.proposal.or(base) else {
            return;
        };
        if self
            .newest
            .as_ref()
            .is_none_or(|newest| newest.ballot < proposal.ballot)
        {
            self.newest = Some(proposal.clone());
        }
        if self.view.ballot < proposal.ballot {
            self.view = proposal;
        }
    }

    fn is_asked(&self, identity: Identity) -> bool {
        self.asked().any(|members| members.contains(identity))
    }

    fn has_answered(&self, identity: Identity) -> bool {
        let counted = match self.stage {
            Phase::Accept => self.accepted.contains(&identity),
            Phase::Query | Phase::Prepare => self.reports.contains_key(&identity),
        };
        counted || self.refused.contains(&identity)
    }

    fn is_quorum(&self, members: &Membership, voted: impl Fn(Identity) -> bool) -> bool {
        #[cfg(feature = "mutations")]
        if !self.guards.keeps(Guard::JointQuorum) {
            return members.is_quorum_of_latest(voted);
        }
        members.is_quorum(voted)
    }

    fn known(&self) -> Ballot {
        self.base
            .as_ref()
            .map_or(Ballot::ZERO, |proposal| proposal.ballot)
    }
}
