//! The HTTP service for clients: validates a request, submits it to the driver and writes the final
//! response. The connections are owned by `ironmast_transport::listener`.

pub(crate) mod open_names;
mod request_head;
mod responses;

use std::cell::Cell;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use ironmast_balancer::Micros;
use ironmast_settings::DeploymentSettings;
use ironmast_transport::body::{
    BodyMemory, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, ResponseBody, StreamedRequestBody,
};
use ironmast_transport::clock::Clock;
use ironmast_transport::connection::{ClientConnection, ClientLimits};
use ironmast_transport::listener::Service;
use ironmast_transport::request_body::{self, RequestBody};
use tokio::sync::oneshot;

use crate::message::{Arrival, FinalResponse, Message, Payload, Queue, Ticket};

use open_names::{NameInUse, OpenName, OpenNames};
use request_head::{RequestError, RequestHead};

/// The path at which the platform asks whether this process is ready.
const READINESS_PATH: &str = "/health/ready";

/// The time-out of an incomplete request and of an idle connection, in µs. The platform allows
/// 3 s for an incomplete request: one that is incomplete after this time must have arrived at the agreed rate. It leaves
/// a connection open for at least 2 s after a response.
const CLIENT_TIMEOUT: Micros = 2_200_000;

/// A streamed request is abandoned after this, in µs, at whatever rate its client sends.
const MAX_STREAMED_REQUEST_TIME: Micros = 600_000_000;

/// What clients may send, and how long they may take. The length of a head is bounded by
/// actix-http.
pub(crate) const LIMITS: ClientLimits = ClientLimits {
    header_timeout: CLIENT_TIMEOUT,
    idle_timeout: CLIENT_TIMEOUT,
    max_header_bytes: usize::MAX,
    max_body_bytes: MAX_BODY_BYTES,
};

/// The HTTP service for clients.
pub(crate) struct ClientService {
    /// The classes and tenants of requests.
    pub deployment: DeploymentSettings,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// To the driver.
    pub queue: Queue,
    /// Whether a server has ever been known.
    pub is_ready: Rc<Cell<bool>>,
    /// The memory for bodies.
    pub memory: BodyMemory,
    /// The names of the open requests.
    pub open_names: Rc<OpenNames>,
}

/// A valid request, as far as it has been received.
struct ReceivedRequest {
    ticket: Ticket,
    head: RequestHead,
    body: RequestBody,
    /// The clock reading at which the client gives up.
    expires: Micros,
}

impl Service for ClientService {
    async fn handle(
        &self,
        mut request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        if request.path() == READINESS_PATH {
            return self.readiness(request.method());
        }
        match self.receive(&mut request, connection).await {
            Ok(received) => self.submit(received, connection).await,
            Err(error) => responses::invalid_request(&error),
        }
    }
}

impl ClientService {
    fn readiness(&self, method: &Method) -> Response<BoxBody> {
        if method != Method::GET {
            return responses::invalid_request(&RequestError::MethodNotAllowed { allowed: "GET" });
        }
        responses::readiness(self.is_ready.get())
    }

    /// Validates a request and reads its body, or the beginning of a long one.
    async fn receive(
        &self,
        request: &mut Request,
        connection: &Rc<ClientConnection>,
    ) -> Result<ReceivedRequest, RequestError> {
        let head = RequestHead::parse(request, &self.deployment)?;
        let ticket = self.queue.ticket();
        let queue = self.queue.clone();
        let on_complete = move || queue.send(Message::RequestComplete(ticket));
        let body = request_body::read(
            request.take_payload(),
            head.content_length,
            MAX_BUFFERED_BODY_BYTES,
            &self.memory,
            connection,
            on_complete,
        );
        let body = body.await.map_err(|_| RequestError::IncompleteBody)?;
        let streaming_time = match body {
            RequestBody::Buffered(_) => 0,
            RequestBody::Streamed(_) => MAX_STREAMED_REQUEST_TIME,
        };
        let expires = self.clock.now() + head.client_timeout + streaming_time;
        Ok(ReceivedRequest {
            ticket,
            head,
            body,
            expires,
        })
    }

    /// Submits a request to the driver and waits for its final response.
    async fn submit(
        &self,
        request: ReceivedRequest,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        let active = connection.mark_request_pending();
        // Guards servers against a request that is sent under the name of one that is open.
        let name = match self.open_names.open(&request.head.txn).await {
            Ok(name) => name,
            Err(NameInUse) => return responses::conflict(),
        };
        let ticket = request.ticket;
        let (reply, response) = oneshot::channel();
        let arrival = request.into_arrival(reply);
        let streamed_body = arrival.payload.streamed_body().cloned();
        active.set_fully_received(streamed_body.is_none());
        self.queue.send(Message::RequestArrived(arrival));
        let mut pending = PendingRequest {
            ticket,
            queue: &self.queue,
            is_answered: false,
            _name: name,
        };
        let response = tokio::select! {
            biased;
            response = response => response,
            // Dropping `pending` unanswered reports the disconnect.
            () = client_aborted(streamed_body.as_deref()) => {
                return responses::invalid_request(&RequestError::IncompleteBody);
            }
        };
        pending.is_answered = true;
        match response {
            Ok(FinalResponse::Served(ResponseBody::Buffered(body))) => responses::buffered(body),
            Ok(FinalResponse::Served(ResponseBody::Streamed(body))) => {
                responses::streamed(body, active)
            }
            Ok(FinalResponse::Rejected(retry_after)) => responses::rejected(retry_after),
            Ok(FinalResponse::Failed) | Err(_) => responses::failed(),
        }
    }
}

impl ReceivedRequest {
    /// The request in the driver's terms; the final response goes to `reply`.
    fn into_arrival(self, reply: oneshot::Sender<FinalResponse>) -> Arrival {
        let head = self.head;
        let payload = Payload {
            is_safe: head.is_safe,
            target: head.target,
            txn: head.txn,
            idempotency_key: head.idempotency_key,
            body: self.body,
            client_timeout: head.client_timeout,
        };
        Arrival {
            ticket: self.ticket,
            class: head.class,
            tenant: head.tenant,
            subject: head.subject,
            client_retry: head.is_client_retry,
            expires: self.expires,
            payload: Rc::new(payload),
            reply,
        }
    }
}

/// Returns when the client of a streamed request disconnects in the middle of it; never for a
/// buffered request.
async fn client_aborted(body: Option<&StreamedRequestBody>) {
    match body {
        Some(body) => body.aborted().await,
        None => std::future::pending().await,
    }
}

/// A request at the driver. If it is dropped unanswered, the client has disconnected.
struct PendingRequest<'a> {
    ticket: Ticket,
    queue: &'a Queue,
    is_answered: bool,
    /// Released after the disconnect is reported.
    _name: OpenName<'a>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.queue.send(Message::ClientDisconnected(self.ticket));
        }
    }
}
