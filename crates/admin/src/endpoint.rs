//! An endpoint of discovery's list, as discovery writes it and as the decision module sees it.

use std::net::SocketAddr;

use ironmast_balancer::{Micros, Phase, Scope, Server, ServerId, ZoneId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An endpoint as discovery writes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Target {
    /// The server's name, the same at every proxy.
    pub uid: String,
    /// The address that it listens on.
    pub endpoint: SocketAddr,
    /// The name of its zone.
    pub az: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u64,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Its capacity relative to the other servers.
    pub capacity_hint: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// A target that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidTarget {
    /// Its `state` is none of the known ones.
    #[error("`{0}` is not a known state")]
    UnknownState(String),
    /// Its `uid` is empty.
    #[error("it has no uid")]
    MissingUid,
}

/// A valid endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server in the decision module's terms.
    pub server: Server,
    /// The endpoint as discovery wrote it.
    pub target: Target,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// How the endpoints relate to the list before.
    pub scope: Scope,
    /// The revision of the list, where it is known.
    pub revision: Option<u64>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl Target {
    /// Converts the target into the decision module's terms; `zone_id` gives the id of a zone's
    /// name.
    ///
    /// # Errors
    /// [`InvalidTarget`] if the state is unknown or the uid is missing.
    pub fn into_endpoint(
        self,
        zone_id: impl FnOnce(&str) -> ZoneId,
    ) -> Result<Endpoint, InvalidTarget> {
        let phase = match self.state.as_str() {
            "up" => Phase::Ready,
            "draining" => Phase::Draining,
            "removed" => Phase::Gone,
            other => return Err(InvalidTarget::UnknownState(other.to_string())),
        };
        if self.uid.is_empty() {
            return Err(InvalidTarget::MissingUid);
        }
        let started = (self.boot_ms as Micros).saturating_mul(1_000);
        let server = Server {
            id: ServerId::from_name(&self.uid),
            zone: zone_id(&self.az),
            cell: self.pod_group,
            phase,
            size: self
                .capacity_hint
                .filter(|size| size.is_finite())
                .unwrap_or(1.0),
            started: Some(started).filter(|&at| at > 0),
        };
        Ok(Endpoint {
            server,
            target: self,
        })
    }
}
