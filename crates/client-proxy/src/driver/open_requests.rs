//! Table of the open requests: those without a final response or with an attempt in flight.

use std::collections::BTreeMap;
use std::rc::Rc;

use ironmast_balancer::{Micros, RequestId, ServerId};
use tokio::sync::oneshot;

use crate::message::{FinalResponse, Payload, Ticket};

/// State of one open request.
pub(super) struct OpenRequest {
    /// Clock reading at which the client stops waiting.
    pub expires: Micros,
    /// Parts of the request that are forwarded to a server.
    pub payload: Rc<Payload>,
    /// Clock reading at which the last byte of a streamed body arrived; 0 until then, and
    /// for a body that was complete when the request arrived here.
    pub complete_at: Micros,
    /// Attempts so far, indexed by attempt number.
    pub attempts: Vec<AttemptState>,
    ticket: Ticket,
    /// Sender of the final response; `None` once it is sent or the client has disconnected.
    reply: Option<oneshot::Sender<FinalResponse>>,
}

/// State of one attempt.
pub(super) struct AttemptState {
    /// Server to which the attempt was assigned.
    pub server: ServerId,
    /// Clock reading at which the attempt was sent or suppressed.
    pub sent_at: Micros,
    /// Whether the result is still outstanding.
    pub in_flight: bool,
}

impl OpenRequest {
    /// Whether the final response has been sent or the client has disconnected.
    pub(super) fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    /// Whether the result of any attempt is still outstanding.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// All open requests of the process.
#[derive(Default)]
pub(super) struct OpenRequests {
    requests: BTreeMap<RequestId, OpenRequest>,
    /// IDs of the requests without a final response.
    ids: BTreeMap<Ticket, RequestId>,
    last_id: RequestId,
}

impl OpenRequests {
    /// Adds a request and returns the ID assigned to it. IDs start at 1 and are never reused.
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

    /// ID of the request with this ticket, while it has no final response.
    pub(super) fn id_of(&self, ticket: Ticket) -> Option<RequestId> {
        self.ids.get(&ticket).copied()
    }

    /// Request with this ID, if it is open.
    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// Mutable request with this ID, if it is open.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Takes the sender of the final response; `None` if the request is no longer waiting for one.
    pub(super) fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let request = self.requests.get_mut(&id)?;
        let reply = request.reply.take()?;
        self.ids.remove(&request.ticket);
        Some(reply)
    }

    /// Marks the client of this ticket as disconnected. Returns the ID of the request, if it had no
    /// final response.
    pub(super) fn disconnect(&mut self, ticket: Ticket) -> Option<RequestId> {
        let id = self.ids.remove(&ticket)?;
        self.requests.get_mut(&id)?.reply = None;
        Some(id)
    }

    /// Removes a request if it is answered or its client has disconnected, and no attempt is in
    /// flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            |request: &OpenRequest| request.is_answered() && !request.has_attempt_in_flight();
        if self.get(id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }
}
