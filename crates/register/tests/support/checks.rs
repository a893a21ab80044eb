//! Properties checked on all states and outcomes that the hosts and clients of a simulation
//! observe.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ironmast_register::{Outcome, State};

use super::value::{Change, Value};

/// A violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two different states have the same sequence number.
    ConflictingStates { sequence: u64 },
    /// A later state lacks changes that an earlier one contains.
    HistoryLost { earlier: u64, later: u64 },
    /// An operation returned a state older than one reported before the operation began.
    Stale { seen: u64, reported: u64 },
    /// A state lacks an acknowledged change.
    AcknowledgedMissing { change: u64, sequence: u64 },
    /// A state contains a change that was rejected or never attempted.
    RejectedApplied { change: u64, sequence: u64 },
    /// A retried change got an answer other than the first one.
    AnswerChanged { change: u64 },
    /// An operation wasn't completed in time although there was no fault.
    NoProgress { host: usize, at: Duration },
}

/// A client's request that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub host: usize,
    pub change: Option<Change>,
    /// Highest sequence number reported to any client before the request began.
    pub min_sequence: u64,
}

/// Collects observed states and outcomes, and the violations that they show.
#[derive(Default)]
pub(crate) struct Checks {
    states: BTreeMap<u64, Arc<State<Value>>>,
    acknowledged: BTreeMap<u64, u64>,
    /// Changes that were rejected; a retry must be rejected again.
    rejected: BTreeSet<u64>,
    /// Changes with a submission that expired before an attempt.
    expired: BTreeSet<u64>,
    submitted: BTreeSet<u64>,
    /// Changes submitted more than once; one may be applied although another submission of it
    /// expired.
    resubmitted: BTreeSet<u64>,
    /// Highest sequence number reported to any client.
    pub reported: u64,
    pub violations: Vec<Violation>,
    pub acknowledged_count: u64,
    pub unknown_count: u64,
    pub expired_count: u64,
    pub rejected_count: u64,
    pub read_count: u64,
}

impl Checks {
    /// Records a state that a host reports as chosen.
    pub(crate) fn record_chosen(&mut self, state: &Arc<State<Value>>) {
        let sequence = state.sequence;
        if let Some(known) = self.states.get(&sequence) {
            if known != state {
                self.violations
                    .push(Violation::ConflictingStates { sequence });
            }
            return;
        }
        self.compare_with_neighbours(state);
        self.states.insert(sequence, Arc::clone(state));
    }

    /// Records that a client submits a change.
    pub(crate) fn record_submission(&mut self, change: Change) {
        if !self.submitted.insert(change.number()) {
            self.resubmitted.insert(change.number());
        }
    }

    /// Records the outcome of a client's request.
    pub(crate) fn record_outcome(&mut self, request: &Request, outcome: &Outcome<Value>) {
        match outcome {
            Outcome::Read(state) => {
                self.read_count += 1;
                self.report(request, state);
            }
            Outcome::Written(state) | Outcome::Unchanged(state) => {
                self.acknowledged_count += 1;
                self.report(request, state);
                if let Some(change) = request.change.filter(|change| change.is_recorded()) {
                    self.acknowledged
                        .entry(change.number())
                        .or_insert(state.sequence);
                }
            }
            Outcome::Rejected { state, .. } => {
                self.rejected_count += 1;
                self.report(request, state);
                self.rejected.extend(request.change.map(Change::number));
            }
            Outcome::Expired => {
                self.expired_count += 1;
                self.expired.extend(request.change.map(Change::number));
            }
            Outcome::Unknown => self.unknown_count += 1,
        }
    }

    /// Compares all acknowledged and rejected changes with all observed states.
    pub(crate) fn finish(&mut self) {
        let mut reported_changes = BTreeSet::new();
        let never_attempted: BTreeSet<u64> = self
            .expired
            .difference(&self.resubmitted)
            .copied()
            .collect();
        let rejected: BTreeSet<u64> = self.rejected.union(&never_attempted).copied().collect();
        for (&sequence, state) in &self.states {
            let changes = state.value.all();
            for (&change, &since) in &self.acknowledged {
                if sequence >= since
                    && !changes.contains(&change)
                    && reported_changes.insert(change)
                {
                    self.violations
                        .push(Violation::AcknowledgedMissing { change, sequence });
                }
            }
            for &change in rejected.intersection(&changes) {
                if reported_changes.insert(change) {
                    self.violations
                        .push(Violation::RejectedApplied { change, sequence });
                }
            }
        }
    }

    /// Number of observed changes of the replica set.
    pub(crate) fn replica_changes(&self) -> u64 {
        let sets: Vec<_> = self.states.values().map(|state| &state.members).collect();
        sets.windows(2).filter(|pair| pair[0] != pair[1]).count() as u64
    }

    fn report(&mut self, request: &Request, state: &Arc<State<Value>>) {
        self.record_chosen(state);
        if state.sequence < request.min_sequence {
            self.violations.push(Violation::Stale {
                seen: state.sequence,
                reported: request.min_sequence,
            });
        }
        self.reported = self.reported.max(state.sequence);
    }

    fn compare_with_neighbours(&mut self, state: &State<Value>) {
        let before = self
            .states
            .range(..state.sequence)
            .next_back()
            .map(|(_, before)| Arc::clone(before));
        let after = self
            .states
            .range(state.sequence..)
            .next()
            .map(|(_, after)| Arc::clone(after));
        if let Some(before) = before.filter(|before| !before.value.is_prefix_of(&state.value)) {
            self.violations.push(Violation::HistoryLost {
                earlier: before.sequence,
                later: state.sequence,
            });
        }
        if let Some(after) = after.filter(|after| !state.value.is_prefix_of(&after.value)) {
            self.violations.push(Violation::HistoryLost {
                earlier: state.sequence,
                later: after.sequence,
            });
        }
    }
}
