//! The state of the model: hosts with an acceptor each, proposers on the first hosts, and the
//! requests in transit.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_register::acceptor::{Acceptor, AddressedReply};
use ironmast_register::message::{Request, RequestBody};
use ironmast_register::round::{Phase, Round};
use ironmast_register::state::Proposal;
use ironmast_register::{Identity, Record, State};

use super::task::Task;

/// Number of initial members.
pub(super) const MEMBERS: usize = 3;
/// Identity of the replica that isn't an initial member.
pub(super) const SPARE: Identity = Identity(77);
/// Port of the first host; the other hosts have the ports that follow.
const FIRST_PORT: u16 = 7_000;

/// The register's value: contents in the order in which they were appended.
pub(super) type Value = Vec<u8>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelProposer {
    pub(super) task: Task,
    pub(super) round: Option<Round<Value>>,
    pub(super) known: Proposal<Value>,
    pub(super) counter: u64,
    pub(super) ballots: u8,
    pub(super) completed: bool,
}

impl ModelProposer {
    pub(super) fn is_accepting(&self) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.phase == Phase::Accept)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub(super) acceptor: Acceptor<Value>,
    pub(super) disk: Record<Value>,
}

/// A request that has been sent but not delivered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestInTransit {
    /// Index of the proposer that sent it.
    pub(super) proposer: usize,
    /// Index of the host to which the request is addressed.
    pub(super) host: usize,
    pub(super) request: Request<Value>,
}

impl RequestInTransit {
    fn is_accept(&self) -> bool {
        matches!(self.request.body, RequestBody::Accept { .. })
    }

    pub(super) fn is_prepare(&self) -> bool {
        matches!(self.request.body, RequestBody::Prepare { .. })
    }

    /// Whether the other request has the same sender, host, round and phase.
    fn is_duplicate_of(&self, other: &Self) -> bool {
        self.proposer == other.proposer
            && self.host == other.host
            && self.request.round == other.request.round
            && self.is_accept() == other.is_accept()
    }
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ModelState {
    pub(super) hosts: Vec<Host>,
    pub(super) proposers: Vec<ModelProposer>,
    /// Requests in transit, ordered by proposer, host and round.
    pub(super) requests: Vec<RequestInTransit>,
    pub(super) decided: BTreeMap<u64, Arc<State<Value>>>,
    pub(super) restarts: u8,
    pub(super) wipes: u8,
    pub(super) lost_replies: u8,
    pub(super) has_conflicting_states: bool,
    pub(super) has_lost_decision: bool,
    /// Contents of conditional changes that were acknowledged, and of those that were rejected.
    pub(super) acknowledged: BTreeSet<u8>,
    pub(super) rejected: BTreeSet<u8>,
}

pub(super) fn address(host: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        FIRST_PORT + u16::try_from(host).expect("index fits in u16"),
    ))
}

pub(super) fn initial_record(host: usize) -> Record<Value> {
    let members: Vec<SocketAddr> = (0..MEMBERS).map(address).collect();
    Record::bootstrap(address(host), &members, Value::new())
}

/// Sends the proposer's current request to all replicas that have not received it. Of the earlier
/// requests, only accept requests stay in transit: a promise that no round awaits is equivalent to
/// a lost reply.
pub(super) fn send_requests(model_state: &mut ModelState, proposer: usize) {
    discard_stale_prepares(model_state, proposer);
    let Some(round) = &model_state.proposers[proposer].round else {
        return;
    };
    for replica in round.awaiting_reply() {
        let host = usize::from(replica.address.port() - FIRST_PORT);
        let sent = RequestInTransit {
            proposer,
            host,
            request: Request {
                round: round.id,
                to: replica.identity,
                body: round.request_body(),
            },
        };
        if !model_state
            .requests
            .iter()
            .any(|other| sent.is_duplicate_of(other))
        {
            model_state.requests.push(sent);
        }
    }
    model_state.requests.sort_by_key(|sent| {
        (
            sent.proposer,
            sent.host,
            sent.request.round.0,
            sent.is_accept(),
        )
    });
}

/// Removes a proposer's prepare requests except those of its current prepare phase.
pub(super) fn discard_stale_prepares(model_state: &mut ModelState, proposer: usize) {
    let round = model_state.proposers[proposer].round.as_ref();
    let preparing = round
        .filter(|round| round.phase == Phase::Prepare)
        .map(|round| round.id);
    model_state.requests.retain(|sent| {
        sent.proposer != proposer || !sent.is_prepare() || Some(sent.request.round) == preparing
    });
}

/// Makes the pending write of a host durable, without delivering the reply that waited for it.
pub(super) fn write(host: &mut Host) {
    written_reply(host);
}

/// Makes the pending write of a host durable; returns the reply that waited for the write.
pub(super) fn written_reply(host: &mut Host) -> Option<AddressedReply<Value>> {
    let write = host.acceptor.next_write()?;
    host.disk = write.record;
    host.acceptor.persisted(write.token).pop()
}
