//! The requests that have no final response yet or have an attempt in flight.

use std::collections::BTreeMap;
use std::rc::Rc;

use ironmast_balancer::{Micros, RequestId, ServerId};
use tokio::sync::oneshot;

use crate::message::{FinalResponse, Payload, Ticket};

/// One request.
pub(super) struct OpenRequest {
    /// The clock reading at which its client gives up.
    pub expires: Micros,
    /// What a server gets of it.
    pub payload: Rc<Payload>,
    /// When its last byte came, if that was after its arrival here.
    pub complete_at: Micros,
    /// Its attempts by number.
    pub attempts: Vec<AttemptState>,
    ticket: Ticket,
    /// Taken by the final response.
    reply: Option<oneshot::Sender<FinalResponse>>,
}

/// One attempt.
pub(super) struct AttemptState {
    /// The server.
    pub server: ServerId,
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether its result is still expected.
    pub in_flight: bool,
}

impl OpenRequest {
    /// Whether it has its final response, or its client has disconnected.
    pub(super) fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    /// Whether the result of an attempt is still expected.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// All open requests.
#[derive(Default)]
pub(super) struct OpenRequests {
    requests: BTreeMap<RequestId, OpenRequest>,
    /// The requests without a final response.
    ids: BTreeMap<Ticket, RequestId>,
    last_id: RequestId,
}

impl OpenRequests {
    /// Adds a request; returns its new id.
    pub(super) fn insert(
        &mut self,
        ticket: Ticket,
        expires: Micros,
        payload: Rc<Payload>,
        reply: oneshot::Sender<FinalResponse>,
    ) -> RequestId {
        self.last_id += 1;
        let request = OpenRequest {
            expires,
            payload,
            complete_at: 0,
            attempts: Vec::new(),
            ticket,
            reply: Some(reply),
        };
        self.ids.insert(ticket, self.last_id);
        self.requests.insert(self.last_id, request);
        self.last_id
    }

    /// The id of the request with this ticket, while it has no final response.
    pub(super) fn id_of(&self, ticket: Ticket) -> Option<RequestId> {
        self.ids.get(&ticket).copied()
    }

    /// The request with this id.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// The request with this id.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Takes the place of the final response, if the request has none yet.
    pub(super) fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let request = self.requests.get_mut(&id)?;
        let reply = request.reply.take()?;
        self.ids.remove(&request.ticket);
        Some(reply)
    }

    /// Marks that the client with this ticket has disconnected; returns the id of its request, if
    /// that had no final response.
    pub(super) fn disconnect(&mut self, ticket: Ticket) -> Option<RequestId> {
        let id = self.ids.remove(&ticket)?;
        self.requests.get_mut(&id)?.reply = None;
        Some(id)
    }

    /// Removes a request that has its final response and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            |request: &OpenRequest| request.is_answered() && !request.has_attempt_in_flight();
        if self.get(id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }
}
