//! Requests at the proxies, with their attempts.

use std::ops::{Index, IndexMut};

use ironmast_balancer::{Micros, Outcome, RequestId};
use slotmap::{DefaultKey, Key as _, KeyData, SlotMap};
use smallvec::SmallVec;

use super::ids::AttemptId;
use super::operation::OperationKey;
use crate::server::JobKey;

/// One request of an operation at a proxy.
pub(super) struct PendingRequest {
    /// The key of the operation.
    pub(super) operation: OperationKey,
    /// The number of the proxy.
    pub(super) proxy: u32,
    /// When the client's timeout ends.
    pub(super) expires: Micros,
    /// Whether the request has its final response or its client no longer waits for one.
    pub(super) finished: bool,
    /// Whether the client closed its connection.
    pub(super) client_disconnected: bool,
    /// The attempts so far, by index.
    pub(super) attempts: SmallVec<[Attempt; 1]>,
}

impl PendingRequest {
    /// Whether any attempt is open.
    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.open)
    }
}

/// One attempt at a request.
pub(super) struct Attempt {
    /// The number of the server.
    pub(super) server: u32,
    /// The server's incarnation when the attempt was sent.
    pub(super) incarnation: u32,
    /// When the attempt was sent.
    pub(super) sent: Micros,
    /// Whether the outcome is still pending.
    pub(super) open: bool,
    /// Whether the attempt needs a new connection.
    pub(super) new_connection: bool,
    /// Whether the attempt has a connection that counts towards the server's limit.
    pub(super) connected: bool,
    /// The key of the job at the server, once the server has accepted it.
    pub(super) job: Option<JobKey>,
    /// The outcome of which the proxy was notified.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    /// Creates an attempt that was not sent.
    pub(super) fn not_sent(now: Micros) -> Self {
        Attempt {
            server: 0,
            incarnation: 0,
            sent: now,
            open: false,
            new_connection: false,
            connected: false,
            job: None,
            outcome: None,
        }
    }

    /// Whether the server may have executed the attempt, as far as the proxy knows.
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// The outcome of a request for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The client received a response.
    Served,
    /// The proxy rejected the request, with the Retry-After in microseconds if there is one.
    Rejected(Option<Micros>),
    /// The proxy answered with an error.
    Failed,
    /// The proxy was not running.
    ProxyUnreachable,
    /// No response came in time, or the proxy stopped before it responded.
    Unanswered,
    /// The client closed its connection before the timeout.
    ClientDisconnected,
}

/// The requests that are not finished or have open attempts, by their ids.
#[derive(Default)]
pub(super) struct RequestTable(SlotMap<DefaultKey, PendingRequest>);

fn key(id: RequestId) -> DefaultKey {
    KeyData::from_ffi(id).into()
}

impl RequestTable {
    /// Inserts a request and returns its id.
    pub(super) fn insert(&mut self, request: PendingRequest) -> RequestId {
        self.0.insert(request).data().as_ffi()
    }

    /// The request with an id, if it is in the table.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.0.get(key(id))
    }

    /// Mutable access to the request with an id, if it is in the table.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.0.get_mut(key(id))
    }

    /// Removes a request if it is finished and has no open attempt.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.get(id)
            .filter(|request| request.finished && !request.has_open_attempt())?;
        self.0.remove(key(id))
    }

    /// All requests with their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        self.0
            .iter()
            .map(|(key, request)| (key.data().as_ffi(), request))
    }

    /// The attempt with an id, if it is open.
    pub(super) fn open_attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.get(id.request)?
            .attempts
            .get(usize::from(id.index))
            .filter(|attempt| attempt.open)
    }

    /// The ids of all attempts of a request.
    pub(super) fn attempt_ids(
        &self,
        request: RequestId,
    ) -> impl Iterator<Item = AttemptId> + use<> {
        let count = self.get(request).map_or(0, |found| found.attempts.len());
        (0..count as u8).map(move |index| AttemptId { request, index })
    }
}

impl Index<RequestId> for RequestTable {
    type Output = PendingRequest;

    fn index(&self, id: RequestId) -> &PendingRequest {
        &self.0[key(id)]
    }
}

impl IndexMut<RequestId> for RequestTable {
    fn index_mut(&mut self, id: RequestId) -> &mut PendingRequest {
        &mut self.0[key(id)]
    }
}

impl Index<AttemptId> for RequestTable {
    type Output = Attempt;

    fn index(&self, id: AttemptId) -> &Attempt {
        &self[id.request].attempts[usize::from(id.index)]
    }
}

impl IndexMut<AttemptId> for RequestTable {
    fn index_mut(&mut self, id: AttemptId) -> &mut Attempt {
        &mut self[id.request].attempts[usize::from(id.index)]
    }
}
