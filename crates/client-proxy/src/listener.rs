//! HTTP service for clients: validates each request, submits it to the driver and returns the final
//! response. `ironmast_transport::listener` owns the connections.

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

/// Path at which the platform checks whether this process is ready.
const READINESS_PATH: &str = "/health/ready";

/// Timeout of an incomplete request and of an idle connection, in µs. It lies above the 2 s for
/// which the platform's protocol keeps a connection open after a response, and below the 3 s that
/// the protocol allows for an incomplete request. A request that is still incomplete after this
/// timeout must have arrived at the agreed minimum rate.
const CLIENT_TIMEOUT: Micros = 2_200_000;

/// Maximum time in µs for receiving a streamed request, however fast the client sends.
const MAX_STREAMED_REQUEST_TIME: Micros = 600_000_000;

/// Limits on requests and on the time that clients take to send them. `max_header_bytes` is
/// unlimited here because actix-http bounds the length of a request head.
pub(crate) const LIMITS: ClientLimits = ClientLimits {
    header_timeout: CLIENT_TIMEOUT,
    idle_timeout: CLIENT_TIMEOUT,
    max_header_bytes: usize::MAX,
    max_body_bytes: MAX_BODY_BYTES,
};

/// Handler of client requests; holds what all connections share.
pub(crate) struct ClientService {
    /// Request classes and tenants of this deployment.
    pub deployment: DeploymentSettings,
    /// Clock for request deadlines.
    pub clock: Clock,
    /// Sender of the driver's queue.
    pub queue: Queue,
    /// Whether any server has ever been listed; reported as readiness.
    pub is_ready: Rc<Cell<bool>>,
    /// Memory budget for streamed bodies.
    pub memory: BodyMemory,
    /// Transaction IDs (`X-Txn`) of the open requests.
    pub open_names: Rc<OpenNames>,
}

/// Validated request with a complete body, or a streamed body that is still being received.
struct ReceivedRequest {
    ticket: Ticket,
    head: RequestHead,
    body: RequestBody,
    /// Clock reading at which the client stops waiting.
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
    ///
    /// # Errors
    /// [`RequestError`] if the head is invalid or the body incomplete.
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
        // Rejects a second request with the same transaction ID as an open one, because servers
        // could execute both.
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
            // Dropping `pending` while it is unanswered reports the disconnect to the driver.
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
    /// Converts the request into the message to the driver; `reply` receives the final response.
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

/// Returns when a client disconnects before the end of its streamed body. Never returns for a
/// buffered request.
async fn client_aborted(body: Option<&StreamedRequestBody>) {
    match body {
        Some(body) => body.aborted().await,
        None => std::future::pending().await,
    }
}

/// Request that has been submitted to the driver. Dropping it before the final response reports to
/// the driver that the client has disconnected.
struct PendingRequest<'a> {
    ticket: Ticket,
    queue: &'a Queue,
    is_answered: bool,
    /// Dropped after `drop` has reported the disconnect.
    _name: OpenName<'a>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.queue.send(Message::ClientDisconnected(self.ticket));
        }
    }
}
