//! The service of the client-facing listener: reads each request completely, finds its route, and
//! returns the response that an [`exchange`] obtains.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_LENGTH, HOST};
use actix_http::{ConnectionType, HttpMessage as _, Request, Response, StatusCode};
use ironmast_routing::{Micros, Route, RouteKind};
use ironmast_transport::body::{BodyBudget, HeldBody};
use ironmast_transport::connection::ClientConnection;
use ironmast_transport::listener::Service;
use ironmast_transport::request_body::{self, RequestBodyError};
use tokio::sync::oneshot;

use crate::exchange;
use crate::gate::{CONFIGURATION_RETRY_DELAY, Gate};
use crate::headers;
use crate::request::{ForwardedRequest, RequestHints};
use crate::response::rejection;

/// The `Retry-After` of a gate that is shutting down, in s. It is short, because another gate can
/// serve the request at once.
const SHUTDOWN_RETRY_AFTER: &str = "0.02";
/// The `Retry-After` of a gate whose memory for bodies is used up, in s: about the time after which a
/// body is released, once its request has its answer.
const OUT_OF_MEMORY_RETRY_AFTER: &str = "0.500";

/// The service that handles requests of clients.
pub(crate) struct Frontend {
    gate: Rc<Gate>,
    bodies: BodyBudget,
}

impl Frontend {
    /// Creates the frontend of a gate that may use `memory_mb` MiB of memory.
    pub(crate) fn new(gate: Rc<Gate>, memory_mb: u64) -> Self {
        Frontend {
            gate,
            bodies: BodyBudget::new(memory_mb as usize),
        }
    }

    async fn serve(
        &self,
        mut request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        let began_at = connection.request_started_at().min(self.gate.clock.now());
        let body = match self.read_body(&mut request, connection).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let active = connection.mark_request_pending();
        active.set_fully_received(true);
        if !self.gate.wait_for_configuration().await {
            let retry_after = format!("{:.3}", CONFIGURATION_RETRY_DELAY.as_secs_f64());
            return unavailable(&retry_after);
        }
        let Some(route) = self.find_route(&request) else {
            return Response::new(StatusCode::NOT_FOUND);
        };
        if !self.gate.accepts_long_requests() && is_long(&route) {
            return unavailable(SHUTDOWN_RETRY_AFTER);
        }
        let routed = routing_request(route, RequestHints::read(request.headers()), began_at);
        let forwarded = ForwardedRequest::new(&request, body);
        let (reply, response) = oneshot::channel();
        actix_rt::spawn(exchange::run(
            Rc::clone(&self.gate),
            routed,
            forwarded,
            reply,
        ));
        match response.await {
            Ok(response) => response.into_http(active),
            Err(_) => Response::new(StatusCode::BAD_GATEWAY),
        }
    }

    /// Reads the body completely.
    ///
    /// # Errors
    /// The response: 413 if the body is too long, 400 if it is incomplete, and 503 if the gate has no
    /// memory left for it.
    async fn read_body(
        &self,
        request: &mut Request,
        connection: &Rc<ClientConnection>,
    ) -> Result<HeldBody, Response<BoxBody>> {
        let content_length = content_length(request);
        let payload = request.take_payload();
        request_body::read_whole(payload, content_length, &self.bodies, connection)
            .await
            .map_err(|error| match error {
                RequestBodyError::TooLong => closing_response(StatusCode::PAYLOAD_TOO_LARGE),
                RequestBodyError::Incomplete => closing_response(StatusCode::BAD_REQUEST),
                RequestBodyError::OutOfMemory => unavailable(OUT_OF_MEMORY_RETRY_AFTER),
            })
    }

    fn find_route(&self, request: &Request) -> Option<Arc<Route>> {
        let host_header = request
            .headers()
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = request
            .uri()
            .authority()
            .map(actix_http::uri::Authority::as_str)
            .or(host_header)
            .unwrap_or("");
        self.gate
            .decider
            .borrow()
            .table()
            .router()
            .route(host, request.path())
            .cloned()
    }
}

impl Service for Frontend {
    async fn handle(
        &self,
        request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        let mut response = self.serve(request, connection).await;
        if self.gate.is_shutting_down() {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }
}

/// Whether a request of this route may take longer than the rest of the grace period.
fn is_long(route: &Route) -> bool {
    matches!(route.spec.kind, RouteKind::Stream { .. })
}

fn content_length(request: &Request) -> Option<u64> {
    headers::text(request.headers(), CONTENT_LENGTH.as_str())?
        .parse()
        .ok()
}

/// Builds the decider's view of a request.
fn routing_request(
    route: Arc<Route>,
    hints: RequestHints,
    began_at: Micros,
) -> ironmast_routing::Request {
    let mut request = ironmast_routing::Request::new(route);
    request.model = hints.model;
    request.parts = hints.parts.into();
    request.prompt_tokens = hints.tokens.input;
    request.max_output_tokens = hints.tokens.output;
    request.deadline = hints.deadline.map(|deadline| began_at + deadline);
    request.last_event = hints.last_event;
    request
}

fn unavailable(retry_after: &str) -> Response<BoxBody> {
    rejection(StatusCode::SERVICE_UNAVAILABLE.as_u16(), retry_after)
}

/// A response after which the connection is closed, because the rest of the request is not read.
fn closing_response(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(status);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}
