//! Handles a request from its arrival to its final response.

use ironmast_balancer::{Event, Micros, Request, RequestId};
use slog::debug;

use super::Driver;
use super::open_requests::OpenRequest;
use crate::message::{Arrival, FinalResponse, Ticket, UpstreamCommand};

impl Driver {
    pub(super) fn request_arrived(&mut self, arrival: Arrival) {
        let expires = arrival.expires;
        let id = self
            .open
            .insert(arrival.ticket, expires, arrival.payload, arrival.reply);
        debug!(self.log, "request arrived"; "at" => self.clock.now(), "request" => id, "class" => arrival.class, "expires" => expires);
        self.dispatch(Event::Request(Request {
            id,
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.subject,
            work_hint: None,
            client_retry: arrival.client_retry,
            expires,
        }));
    }

    /// Starts the client's timeout, because the last byte of a streamed request has arrived.
    pub(super) fn request_complete(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let Some(id) = self.open.id_of(ticket) else {
            return;
        };
        let Some(request) = self.open.get_mut(id) else {
            return;
        };
        request.complete_at = now;
        request.expires = now + request.payload.client_timeout;
        let expires = request.expires;
        debug!(self.log, "request complete"; "at" => now, "request" => id, "expires" => expires);
        self.dispatch(Event::RequestComplete { id, expires });
    }

    pub(super) fn client_disconnected(&mut self, ticket: Ticket) {
        debug!(self.log, "client disconnected"; "at" => self.clock.now(), "request" => self.open.id_of(ticket));
        if let Some(id) = self.open.disconnect(ticket) {
            self.outputs
                .command_upstream(UpstreamCommand::CancelUnstarted(id));
            self.dispatch(Event::ClientDisconnected { id });
            self.open.remove_if_finished(id);
        }
    }

    /// Responds that the request was not executed.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Micros>) {
        self.respond(id, FinalResponse::Rejected(retry_after));
        self.open.remove_if_finished(id);
    }

    /// Responds that the request failed and may have been executed.
    pub(super) fn fail(&mut self, id: RequestId) {
        self.respond(id, FinalResponse::Failed);
        self.open.remove_if_finished(id);
    }

    /// Sends the final response, if the request has none yet.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) {
        let Some(reply) = self.open.take_reply(id) else {
            return;
        };
        debug!(self.log, "request answered"; "at" => self.clock.now(), "request" => id, "answer" => match &response {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
        });
        let request = self.open.get(id);
        if request.is_some_and(OpenRequest::has_attempt_in_flight) {
            self.outputs
                .command_upstream(UpstreamCommand::CancelUnstarted(id));
        }
        // Fails if the client has just disconnected; the listener reports that through the queue.
        let _ = reply.send(response);
    }
}
