//! The side of the client: each request is read whole, its route found, and its answer waited for.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_LENGTH, HOST};
use actix_http::{ConnectionType, HttpMessage as _, Request, Response, StatusCode};
use ironmast_routing::Route;
use ironmast_schema::configuration::ClientLimits as Told;
use ironmast_transport::body::BodyMemory;
use ironmast_transport::connection::{ClientConnection, ClientLimits};
use ironmast_transport::listener::Service;
use ironmast_transport::request_body::{self, RequestBody, RequestBodyError};
use std::sync::Arc;
use tokio::sync::oneshot;

use crate::answer;
use crate::exchange;
use crate::gate::{CONFIGURED_SOON, Gate};
use crate::head::{self, Forward, Hints};

/// This gate ends: another takes the request at once.
const ELSEWHERE: &str = "0.02";

/// Answers clients.
pub(crate) struct Front {
    gate: Rc<Gate>,
    held: BodyMemory,
}

impl Front {
    /// A front of a gate that may use so much memory.
    pub(crate) fn new(gate: Rc<Gate>, memory_mb: u64) -> Self {
        Front {
            gate,
            held: BodyMemory::new(memory_mb as usize),
        }
    }

    async fn serve(
        &self,
        mut request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        let began = connection.request_started_at().min(self.gate.clock.now());
        let announced = announced(&request);
        let payload = request.take_payload();
        let read = request_body::read(
            payload,
            announced,
            usize::MAX,
            &self.held,
            connection,
            || {},
        );
        let body = match read.await {
            Ok(RequestBody::Buffered(body)) => body,
            Ok(RequestBody::Streamed(_)) | Err(RequestBodyError::TooLong) => {
                return closing(StatusCode::PAYLOAD_TOO_LARGE);
            }
            Err(RequestBodyError::Incomplete) => return closing(StatusCode::BAD_REQUEST),
        };
        let active = connection.request();
        active.set_fully_received(true);
        if !self.gate.until_configured().await {
            let wait = format!("{:.3}", CONFIGURED_SOON.as_secs_f64());
            return answer::refused(StatusCode::SERVICE_UNAVAILABLE.as_u16(), &wait);
        }
        let Some(route) = self.route(&request) else {
            return Response::new(StatusCode::NOT_FOUND);
        };
        if !self.gate.takes_long() && is_long(&route) {
            return answer::refused(StatusCode::SERVICE_UNAVAILABLE.as_u16(), ELSEWHERE);
        }
        let hints = Hints::read(request.headers());
        let mut asked = ironmast_routing::Request::new(route);
        asked.model = hints.model;
        asked.parts = hints.parts.into();
        (asked.prompt_tokens, asked.max_output_tokens) = hints.tokens;
        asked.deadline = hints.deadline.map(|deadline| began + deadline);
        asked.last_event = hints.last_event;
        let (reply, answered) = oneshot::channel();
        let forward = forward(&request, body);
        actix_rt::spawn(exchange::run(Rc::clone(&self.gate), asked, forward, reply));
        match answered.await {
            Ok(answer) => answer::response(answer, active),
            Err(_) => Response::new(StatusCode::BAD_GATEWAY),
        }
    }

    fn route(&self, request: &Request) -> Option<Arc<Route>> {
        let named = request
            .headers()
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = request
            .uri()
            .authority()
            .map(actix_http::uri::Authority::as_str)
            .or(named)
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

impl Service for Front {
    async fn handle(
        &self,
        request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        let mut response = self.serve(request, connection).await;
        if self.gate.ending.get().is_some() {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }
}

/// Whether a request of a route may take as long as this gate has left.
fn is_long(route: &Route) -> bool {
    matches!(route.spec.kind, ironmast_routing::RouteKind::Stream { .. })
}

fn announced(request: &Request) -> Option<u64> {
    request
        .headers()
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn forward(request: &Request, body: bytes::Bytes) -> Forward {
    let headers = request.headers();
    Forward {
        method: request.method().clone(),
        target: request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_string(),
        headers: head::forwarded(headers),
        id: headers
            .get(head::REQUEST_ID)
            .map(|id| id.as_bytes().to_vec()),
        expects_version: headers.contains_key(head::EXPECT_VERSION),
        body,
    }
}

/// An answer that ends its connection: what is left of the request is not read.
fn closing(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(status);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}

/// The operator's limits as the listener keeps them.
pub(crate) fn client_limits(told: Told) -> ClientLimits {
    ClientLimits {
        header_timeout: told.header_timeout_ms.saturating_mul(1_000),
        idle_timeout: told.idle_timeout_ms.saturating_mul(1_000),
        max_header_bytes: usize::try_from(told.max_header_bytes).unwrap_or(usize::MAX),
        max_body_bytes: usize::try_from(told.max_body_bytes).unwrap_or(usize::MAX),
    }
}

/// Answers the platform's readiness checks.
pub(crate) struct Readiness(pub Rc<Gate>);

impl Service for Readiness {
    async fn handle(&self, request: Request, _: &Rc<ClientConnection>) -> Response<BoxBody> {
        let status = match (request.path(), self.0.is_ready()) {
            ("/api/readyz", true) => StatusCode::OK,
            ("/api/readyz", false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Response::new(status)
    }
}
