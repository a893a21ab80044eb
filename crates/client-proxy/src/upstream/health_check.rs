//! Health check of a server: one request for its load report.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use awc::Client;
use ironmast_balancer::{LoadReport, Outcome, ServerId};
use ironmast_settings::parse_load_report;
use ironmast_transport::attempt::{AttemptOptions, AttemptState};
use ironmast_transport::body::MAX_BUFFERED_BODY_BYTES;
use ironmast_transport::clock::Clock;
use slog::{Logger, warn};
use tokio::time::timeout;

use crate::message::Message;

/// Timeout of a health check, from connecting to the last byte of the response.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// One health check and the resources that it uses.
pub(super) struct HealthCheck {
    /// HTTP client of the server.
    pub client: Client,
    /// Server to check.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Clock that measures the latency.
    pub clock: Clock,
    /// Logger for rejected health checks.
    pub log: Logger,
}

/// A server's response to a health check.
struct Response {
    status: StatusCode,
    load: Option<LoadReport>,
}

impl HealthCheck {
    /// Checks the server and returns the message that reports the result to the driver. Any status
    /// but 200 counts as [`Outcome::Overloaded`].
    pub(super) async fn run(&self) -> Message {
        let sent_at = self.clock.now();
        let response = timeout(HEALTH_CHECK_TIMEOUT, self.exchange()).await;
        let (outcome, load) = match response {
            Ok(Some(Response {
                status: StatusCode::OK,
                load,
            })) => (Outcome::Ok, load),
            Ok(Some(Response { status, .. })) => {
                warn!(self.log, "health check rejected";
                    "server" => %self.server, "address" => %self.address, "status" => status.as_u16());
                (Outcome::Overloaded, None)
            }
            Ok(None) => (Outcome::ConnectFailed, None),
            Err(_) => (Outcome::Timeout, None),
        };
        Message::HealthCheckEnded {
            server: self.server,
            outcome,
            latency: self.clock.now().saturating_sub(sent_at),
            load,
        }
    }

    /// Requests the load report. Returns `None` if no complete response arrives.
    async fn exchange(&self) -> Option<Response> {
        let request = self
            .client
            .get(format!("http://{}/stats", self.address))
            .send();
        let mut response = AttemptState::new(AttemptOptions::default())
            .scope(request)
            .await
            .ok()?;
        let body = response.body().limit(MAX_BUFFERED_BODY_BYTES).await.ok()?;
        Some(Response {
            status: response.status(),
            load: parse_load_report(std::str::from_utf8(&body).unwrap_or("")),
        })
    }
}

#[cfg(test)]
mod tests;
