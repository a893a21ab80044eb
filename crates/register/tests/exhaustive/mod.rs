//! The register as a stateright model: the steps of the proposers, the network and the disks, and
//! the properties that must hold.

mod model_state;
mod task;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ironmast_register::acceptor::Acceptor;
use ironmast_register::guard::Guards;
use ironmast_register::message::{ReplyBody, RoundId};
use ironmast_register::round::{Phase, Round};
use ironmast_register::state::Proposal;
use ironmast_register::{Ballot, Identity, Record};
use stateright::{Model, Property};

use model_state::{
    Host, MEMBERS, ModelProposer, ModelState, RequestInTransit, SPARE, Value, address,
    discard_stale_prepares, initial_record, send_requests, write, written_reply,
};
pub(crate) use task::Task;
use task::{is_completed, joint_with_spare, successor};

pub(crate) const ALL_COMPLETED: &str = "all tasks can be completed";
const WIPED_IDENTITY: Identity = Identity(88);

/// Bounds of the states that a check explores.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// Task of each proposer.
    pub tasks: Vec<Task>,
    /// Maximum number of ballots of each proposer.
    pub ballots: Vec<u8>,
    /// Whether a proposer waits for acceptances until its round fails or is lost in a restart,
    /// instead of also starting another round meanwhile. Before the accept phase, an abandoned
    /// round is equivalent to one with delayed replies.
    pub waits_for_acceptances: bool,
    pub restarts: u8,
    pub wipes: u8,
    pub lost_replies: u8,
    pub joint: Joint,
}

/// Progress of a replica change that adds the spare, in the initial state of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Joint {
    /// The change has not begun: the membership is a single set.
    None,
    /// The change is incomplete: the last proposer's host and the spare have accepted it.
    Incomplete,
    /// The joint membership is chosen, and only the last proposer knows.
    Chosen,
}

pub(crate) struct Register {
    pub bounds: Bounds,
    pub guards: Guards,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// A proposer starts a round with a new ballot and abandons its previous round.
    Begin { proposer: usize },
    /// A request is delivered; its reply may be lost.
    Deliver { index: usize, replied: bool },
    /// The pending write of a host becomes durable.
    Write { host: usize },
    /// A host loses power and starts from its disk.
    Restart { host: usize },
    /// A host returns with an empty disk.
    Wipe { host: usize },
}

impl Model for Register {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut records: Vec<Record<Value>> = (0..MEMBERS).map(initial_record).collect();
        let known = records[0]
            .accepted
            .clone()
            .expect("the record has an accepted proposal");
        records.push(Record::empty(SPARE));
        let host = |disk: Record<Value>| Host {
            acceptor: Acceptor::recovered(disk.clone(), self.guards),
            disk,
        };
        let proposer = |&task: &Task| ModelProposer {
            task,
            round: None,
            known: known.clone(),
            counter: 0,
            ballots: 0,
            completed: false,
        };
        let mut proposers: Vec<ModelProposer> = self.bounds.tasks.iter().map(proposer).collect();
        let accepted_at = match self.bounds.joint {
            Joint::None => [].as_slice(),
            Joint::Incomplete => &[1, MEMBERS],
            Joint::Chosen => &[0, 1],
        };
        let ballot = Ballot {
            counter: 1,
            identity: records[1].identity,
        };
        let joint = Proposal {
            ballot,
            state: joint_with_spare(&known.state, ballot),
        };
        for &host in accepted_at {
            records[host].accepted = Some(joint.clone());
            records[host].promised = ballot;
        }
        if self.bounds.joint == Joint::Chosen {
            proposers
                .iter_mut()
                .last()
                .expect("at least one proposer")
                .known = joint;
        }
        vec![ModelState {
            hosts: records.into_iter().map(host).collect(),
            proposers,
            requests: Vec::new(),
            decided: BTreeMap::new(),
            restarts: 0,
            wipes: 0,
            lost_replies: 0,
            has_conflicting_states: false,
            has_lost_decision: false,
            acknowledged: BTreeSet::new(),
            rejected: BTreeSet::new(),
        }]
    }

    fn actions(&self, model_state: &ModelState, steps: &mut Vec<Step>) {
        for (proposer, state) in model_state.proposers.iter().enumerate() {
            let is_open = state.round.as_ref().is_some_and(|round| !round.is_lost());
            let may_begin =
                !is_open || (state.is_accepting() && !self.bounds.waits_for_acceptances);
            if !state.completed && may_begin && state.ballots < self.bounds.ballots[proposer] {
                steps.push(Step::Begin { proposer });
            }
        }
        for index in 0..model_state.requests.len() {
            steps.push(Step::Deliver {
                index,
                replied: true,
            });
            if model_state.lost_replies < self.bounds.lost_replies {
                steps.push(Step::Deliver {
                    index,
                    replied: false,
                });
            }
        }
        for host in 0..self.bounds.tasks.len() {
            if model_state.hosts[host]
                .acceptor
                .clone()
                .next_write()
                .is_some()
            {
                steps.push(Step::Write { host });
            }
        }
        if model_state.restarts < self.bounds.restarts && model_state.proposers[0].is_accepting() {
            steps.push(Step::Restart { host: 0 });
        }
        if model_state.wipes < self.bounds.wipes {
            steps.push(Step::Wipe { host: MEMBERS - 1 });
        }
    }

    fn next_state(&self, last: &ModelState, step: Step) -> Option<ModelState> {
        let mut next = last.clone();
        match step {
            Step::Begin { proposer } => self.begin(&mut next, proposer),
            Step::Deliver { index, replied } => self.deliver(&mut next, index, replied),
            Step::Write { host } => write(&mut next.hosts[host]),
            Step::Restart { host } => self.restart(&mut next, host),
            Step::Wipe { host } => self.wipe(&mut next, host),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one state per sequence number",
                |_, model_state: &ModelState| !model_state.has_conflicting_states,
            ),
            Property::always("nothing decided is lost", |_, model_state: &ModelState| {
                !model_state.has_lost_decision
            }),
            Property::always(
                "a rejected change is never in force",
                |_, model_state: &ModelState| {
                    let in_force = |content| {
                        model_state
                            .decided
                            .values()
                            .any(|state| state.value.contains(content))
                    };
                    !model_state.rejected.iter().any(in_force)
                },
            ),
            Property::always(
                "at most one change on a base is acknowledged",
                |model: &Self, model_state: &ModelState| {
                    model.conditional_puts().all(|(base, content)| {
                        let mut rivals = model
                            .conditional_puts()
                            .filter(|rival| rival.0 == base && rival.1 != content);
                        !model_state.acknowledged.contains(&content)
                            || !rivals.any(|rival| model_state.acknowledged.contains(&rival.1))
                    })
                },
            ),
            Property::sometimes(ALL_COMPLETED, |_, model_state: &ModelState| {
                model_state
                    .proposers
                    .iter()
                    .all(|proposer| proposer.completed)
            }),
        ]
    }
}

impl Register {
    /// Returns the base and content of each conditional change.
    fn conditional_puts(&self) -> impl Iterator<Item = (u8, u8)> {
        self.bounds.tasks.iter().filter_map(|task| match *task {
            Task::ConditionalPut { base, content } => Some((base, content)),
            _ => None,
        })
    }

    /// Starts a proposer's prepare phase; its own host promises at once.
    fn begin(&self, model_state: &mut ModelState, proposer: usize) {
        let host = &mut model_state.hosts[proposer];
        let state = &mut model_state.proposers[proposer];
        let seen = host
            .disk
            .accepted
            .as_ref()
            .map_or(0, |accepted| accepted.ballot.counter);
        state.counter = state.counter.max(seen).max(state.known.ballot.counter) + 1;
        if state.counter > host.acceptor.reserved_counter() {
            host.acceptor.reserve(state.counter);
            write(host);
        }
        state.ballots += 1;
        let ballot = Ballot {
            counter: state.counter,
            identity: host.acceptor.identity(),
        };
        let known = state.known.clone();
        let id = RoundId(u64::from(state.ballots));
        let round = Round::query(id, Some(known.clone()), known, self.guards).into_prepare(ballot);
        state.round = Some(round);
        send_requests(model_state, proposer);
        let is_own = |sent: &RequestInTransit| {
            sent.proposer == proposer && sent.host == proposer && sent.is_prepare()
        };
        if let Some(index) = model_state.requests.iter().position(is_own) {
            self.deliver(model_state, index, true);
        }
    }

    fn deliver(&self, model_state: &mut ModelState, index: usize, replied: bool) {
        let RequestInTransit {
            proposer,
            host,
            request,
        } = model_state.requests.remove(index);
        let round_id = request.round;
        let entry = &mut model_state.hosts[host];
        let immediate = entry.acceptor.request(address(proposer), request, None);
        let reply = immediate.or_else(|| written_reply(entry));
        if !replied {
            model_state.lost_replies += 1;
            return;
        }
        let Some(addressed) = reply else {
            return;
        };
        let state = &mut model_state.proposers[proposer];
        let Some(round) = state.round.as_mut().filter(|round| round.id == round_id) else {
            return;
        };
        if let ReplyBody::Conflict { promised } = &addressed.reply.body {
            state.counter = state.counter.max(promised.counter);
        }
        round.record_reply(addressed.sender, addressed.reply.body);
        self.advance(model_state, proposer);
    }

    fn advance(&self, model_state: &mut ModelState, proposer: usize) {
        let task = model_state.proposers[proposer].task;
        let Some(round) = model_state.proposers[proposer].round.as_mut() else {
            return;
        };
        if round.phase == Phase::Accept {
            if let Some(chosen) = round.chosen().cloned() {
                Self::decide(model_state, proposer, chosen);
            }
            return;
        }
        let Some(read) = round.quorum_read() else {
            send_requests(model_state, proposer);
            return;
        };
        let ballot = round.ballot;
        let next = successor(task, &read, ballot, self.guards);
        let is_answer = matches!(task, Task::ConditionalPut { .. }) && is_completed(task, &next);
        if read.is_chosen && next == read.proposal.state && !is_answer {
            Self::decide(model_state, proposer, read.proposal);
            return;
        }
        round.start_accept(Proposal {
            ballot,
            state: next,
        });
        send_requests(model_state, proposer);
    }

    /// Records a state that a proposer knows as chosen, and completes the proposer's task if the
    /// state shows its result.
    fn decide(model_state: &mut ModelState, proposer: usize, chosen: Proposal<Value>) {
        let known = model_state
            .decided
            .entry(chosen.state.sequence)
            .or_insert_with(|| Arc::clone(&chosen.state));
        model_state.has_conflicting_states |= *known != chosen.state;
        let states: Vec<_> = model_state.decided.values().collect();
        model_state.has_lost_decision |= states
            .windows(2)
            .any(|pair| !pair[1].value.starts_with(&pair[0].value));
        let state = &mut model_state.proposers[proposer];
        state.round = None;
        state.completed = is_completed(state.task, &chosen.state);
        if let Task::ConditionalPut { content, .. } = state.task
            && state.completed
        {
            if chosen.state.value.contains(&content) {
                model_state.acknowledged.insert(content)
            } else {
                model_state.rejected.insert(content)
            };
        }
        state.known = chosen;
        discard_stale_prepares(model_state, proposer);
    }

    /// Restarts a host from its disk. Its proposer loses its round and, if it was to put a content,
    /// puts another content afterwards.
    fn restart(&self, model_state: &mut ModelState, host: usize) {
        model_state.restarts += 1;
        let entry = &mut model_state.hosts[host];
        entry.acceptor = Acceptor::recovered(entry.disk.clone(), self.guards);
        let proposer = &mut model_state.proposers[host];
        proposer.round = None;
        if let Task::Put(content) = &mut proposer.task {
            *content += 10;
        }
        proposer.counter = entry.acceptor.used_counter();
        proposer.known = initial_record(host)
            .accepted
            .expect("the record has an accepted proposal");
    }

    fn wipe(&self, model_state: &mut ModelState, host: usize) {
        model_state.wipes += 1;
        let disk = Record::empty(WIPED_IDENTITY);
        model_state.hosts[host] = Host {
            acceptor: Acceptor::recovered(disk.clone(), self.guards),
            disk,
        };
    }
}
