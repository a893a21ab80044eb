//! The readiness endpoint for the platform, `/api/readyz`.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use ironmast_transport::connection::ClientConnection;
use ironmast_transport::listener::Service;

use crate::gate::Gate;

/// Responds to readiness checks: 200 if the gate is ready, 503 if not.
pub(crate) struct ReadinessService {
    gate: Rc<Gate>,
}

impl ReadinessService {
    /// Creates the readiness service of a gate.
    pub(crate) fn new(gate: Rc<Gate>) -> Self {
        ReadinessService { gate }
    }
}

impl Service for ReadinessService {
    async fn handle(&self, request: Request, _: &Rc<ClientConnection>) -> Response<BoxBody> {
        let status = match (request.path(), self.gate.is_ready()) {
            ("/api/readyz", true) => StatusCode::OK,
            ("/api/readyz", false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Response::new(status)
    }
}
