//! The register as a model: hosts with an acceptor each, proposers on the first of them, and
//! requests in transit.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_register::acceptor::Acceptor;
use ironmast_register::guard::{Guard, Guards};
use ironmast_register::message::{ReplyBody, Request, RequestBody, RoundId};
use ironmast_register::round::{Phase, QuorumRead, Round};
use ironmast_register::state::Proposal;
use ironmast_register::{Ballot, Identity, Membership, Record, Replica, State};
use stateright::{Model, Property};

pub(crate) const ALL_COMPLETED: &str = "all tasks can be completed";
const MEMBERS: usize = 3;
const SPARE: Identity = Identity(77);
const EMPTIED: Identity = Identity(88);

type Value = Vec<u8>;

/// The task of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    /// Append a content.
    Put(u8),
    /// Append a content if there are that many others: an operator's change on a base version,
    /// which several proposers may have.
    ConditionalPut { base: u8, content: u8 },
    /// Make the membership joint; in the next set the spare replaces the last member.
    EnterJoint,
    /// Leave the joint membership.
    LeaveJoint,
}

/// Bounds of a check.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// One for each proposer.
    pub tasks: Vec<Task>,
    /// Ballots of each proposer.
    pub ballots: Vec<u8>,
    /// Whether a proposer begins another round only if its round is lost or forgotten, and not also
    /// while it waits for acceptances. Before the accept phase, an abandoned round is the same as
    /// one whose replies are late.
    pub waits_for_acceptances: bool,
    pub restarts: u8,
    pub wipes: u8,
    pub lost_replies: u8,
    pub joint: Joint,
}

/// Whether the spare was added already, so that the membership is joint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Joint {
    /// It wasn't.
    None,
    /// The change is incomplete: the last proposer's host and the spare have accepted it.
    Incomplete,
    /// It is chosen, and only the last proposer knows.
    Chosen,
}

pub(crate) struct Register {
    pub bounds: Bounds,
    pub guards: Guards,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelProposer {
    task: Task,
    round: Option<Round<Value>>,
    known: Proposal<Value>,
    counter: u64,
    ballots: u8,
    completed: bool,
}

impl ModelProposer {
    fn accepts(&self) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.phase == Phase::Accept)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    acceptor: Acceptor<Value>,
    disk: Record<Value>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ModelState {
    hosts: Vec<Host>,
    proposers: Vec<ModelProposer>,
    /// Requests in transit, by proposer and host.
    requests: Vec<(usize, usize, Request<Value>)>,
    decided: BTreeMap<u64, Arc<State<Value>>>,
    restarts: u8,
    wipes: u8,
    lost_replies: u8,
    has_two_states: bool,
    has_lost_decision: bool,
    /// Contents of conditional changes that were acknowledged, and of those that were rejected.
    acknowledged: BTreeSet<u8>,
    rejected: BTreeSet<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// A proposer begins a ballot and abandons the one before.
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

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(host).expect("few")))
}

fn initial_record(host: usize) -> Record<Value> {
    let members: Vec<SocketAddr> = (0..MEMBERS).map(address).collect();
    Record::bootstrap(address(host), &members, Value::new())
}

impl Model for Register {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut records: Vec<Record<Value>> = (0..MEMBERS).map(initial_record).collect();
        let known = records[0].accepted.clone().expect("initial");
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
        let holders = match self.bounds.joint {
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
            state: with_spare(&known.state, ballot),
        };
        for &holder in holders {
            records[holder].accepted = Some(joint.clone());
            records[holder].promised = ballot;
        }
        if self.bounds.joint == Joint::Chosen {
            proposers.iter_mut().last().expect("some").known = joint;
        }
        vec![ModelState {
            hosts: records.into_iter().map(host).collect(),
            proposers,
            requests: Vec::new(),
            decided: BTreeMap::new(),
            restarts: 0,
            wipes: 0,
            lost_replies: 0,
            has_two_states: false,
            has_lost_decision: false,
            acknowledged: BTreeSet::new(),
            rejected: BTreeSet::new(),
        }]
    }

    fn actions(&self, model_state: &ModelState, steps: &mut Vec<Step>) {
        for (proposer, state) in model_state.proposers.iter().enumerate() {
            let is_open = state.round.as_ref().is_some_and(|round| !round.is_lost());
            let may_begin = !is_open || (state.accepts() && !self.bounds.waits_for_acceptances);
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
        if model_state.restarts < self.bounds.restarts && model_state.proposers[0].accepts() {
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
                |_, model_state: &ModelState| !model_state.has_two_states,
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
    /// Base and content of each conditional change.
    fn conditional_puts(&self) -> impl Iterator<Item = (u8, u8)> {
        self.bounds.tasks.iter().filter_map(|task| match *task {
            Task::ConditionalPut { base, content } => Some((base, content)),
            _ => None,
        })
    }

    /// A proposer begins a prepare phase; the promise of its own host comes at once.
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
        let is_own = |(from, to, request): &(usize, usize, Request<Value>)| {
            (*from, *to) == (proposer, proposer)
                && matches!(request.body, RequestBody::Prepare { .. })
        };
        if let Some(index) = model_state.requests.iter().position(is_own) {
            self.deliver(model_state, index, true);
        }
    }

    fn deliver(&self, model_state: &mut ModelState, index: usize, replied: bool) {
        let (proposer, host, request) = model_state.requests.remove(index);
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

    /// A state is known as chosen; the proposer has completed its task if the state shows it.
    fn decide(model_state: &mut ModelState, proposer: usize, chosen: Proposal<Value>) {
        let known = model_state
            .decided
            .entry(chosen.state.sequence)
            .or_insert_with(|| Arc::clone(&chosen.state));
        model_state.has_two_states |= *known != chosen.state;
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
        forget_prepares(model_state, proposer);
    }

    /// The host's proposer has lost its task and gets another one.
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
        proposer.known = initial_record(host).accepted.expect("initial");
    }

    fn wipe(&self, model_state: &mut ModelState, host: usize) {
        model_state.wipes += 1;
        let disk = Record::empty(EMPTIED);
        model_state.hosts[host] = Host {
            acceptor: Acceptor::recovered(disk.clone(), self.guards),
            disk,
        };
    }
}

/// Sends the proposer's current request to all replicas that have not received it. Of its earlier
/// requests only those to accept may still be delivered: a promise that no round awaits is the same
/// as one more lost reply.
fn send_requests(model_state: &mut ModelState, proposer: usize) {
    forget_prepares(model_state, proposer);
    let Some(round) = &model_state.proposers[proposer].round else {
        return;
    };
    for replica in round.awaiting_reply() {
        let host = usize::from(replica.address.port() - 7_000);
        let request = Request {
            round: round.id,
            to: replica.identity,
            body: round.request_body(),
        };
        let is_sent = model_state.requests.iter().any(|(from, to, sent)| {
            let is_same_phase = matches!(sent.body, RequestBody::Accept { .. })
                == matches!(request.body, RequestBody::Accept { .. });
            (*from, *to) == (proposer, host) && sent.round == request.round && is_same_phase
        });
        if !is_sent {
            model_state.requests.push((proposer, host, request));
        }
    }
    model_state.requests.sort_by_key(|(from, to, request)| {
        (
            *from,
            *to,
            request.round.0,
            matches!(request.body, RequestBody::Accept { .. }),
        )
    });
}

fn forget_prepares(model_state: &mut ModelState, proposer: usize) {
    let round = model_state.proposers[proposer].round.as_ref();
    let preparing = round
        .filter(|round| round.phase == Phase::Prepare)
        .map(|round| round.id);
    model_state.requests.retain(|(from, _, request)| {
        let is_prepare = matches!(request.body, RequestBody::Prepare { .. });
        *from != proposer || !is_prepare || Some(request.round) == preparing
    });
}

/// Makes the acceptor's pending write durable.
fn write(host: &mut Host) {
    written_reply(host);
}

fn written_reply(host: &mut Host) -> Option<ironmast_register::acceptor::AddressedReply<Value>> {
    let write = host.acceptor.next_write()?;
    host.disk = write.record;
    host.acceptor.persisted(write.token).pop()
}

fn successor(
    task: Task,
    read: &QuorumRead<Value>,
    ballot: Ballot,
    guards: Guards,
) -> Arc<State<Value>> {
    let state = &read.proposal.state;
    let value = Arc::clone(&state.value);
    let may_leave = read.is_chosen || !guards.keeps(Guard::JointChosenFirst);
    if let Some(next) = state.members.next.clone().filter(|_| may_leave) {
        return Arc::new(state.successor(ballot, Membership::single(next), value));
    }
    match task {
        Task::Put(content) if !state.value.contains(&content) => {
            let mut value = (*value).clone();
            value.push(content);
            Arc::new(state.successor(ballot, state.members.clone(), Arc::new(value)))
        }
        Task::ConditionalPut { base, content }
            if usize::from(base) == state.value.len() && !state.value.contains(&content) =>
        {
            let mut value = (*value).clone();
            value.push(content);
            Arc::new(state.successor(ballot, state.members.clone(), Arc::new(value)))
        }
        Task::EnterJoint if !state.members.is_joint() && !state.members.contains(SPARE) => {
            with_spare(state, ballot)
        }
        _ => Arc::clone(state),
    }
}

/// The state with a joint membership, in the next set of which the spare replaces the last member.
fn with_spare(state: &State<Value>, ballot: Ballot) -> Arc<State<Value>> {
    let current = state.members.current.clone();
    let spare = Replica {
        identity: SPARE,
        address: address(MEMBERS),
        zone: String::new(),
    };
    let next = current
        .without(Identity::from_seed_address(address(MEMBERS - 1)))
        .with(spare);
    Arc::new(state.successor(
        ballot,
        Membership::joint(current, next),
        Arc::clone(&state.value),
    ))
}

fn is_completed(task: Task, state: &State<Value>) -> bool {
    match task {
        Task::Put(content) => state.value.contains(&content),
        Task::ConditionalPut { base, content } => {
            state.value.contains(&content) || state.value.len() > usize::from(base)
        }
        Task::EnterJoint => state.members.contains(SPARE),
        Task::LeaveJoint => !state.members.is_joint() && state.members.contains(SPARE),
    }
}
