//! An endpoint of discovery's list, as discovery serializes it and as the decision module uses it.

use std::net::SocketAddr;

use ironmast_balancer::{Micros, Phase, Scope, Server, ServerId, ZoneId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An endpoint in the serialized form of discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Target {
    /// The server's unique name, the same at every proxy.
    pub uid: String,
    /// The address on which the server listens.
    pub endpoint: SocketAddr,
    /// The name of the server's zone.
    pub az: String,
    /// The server's cell within its zone; 0 if absent.
    #[serde(default)]
    pub pod_group: u64,
    /// The server's state: `up`, `draining` or `removed`.
    pub state: String,
    /// The server's capacity relative to the other servers; 1 if absent or not finite.
    pub capacity_hint: Option<f64>,
    /// When the server last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// The reason why a [`Target`] cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidTarget {
    /// The `state` is none of the known ones.
    #[error("the endpoint's state `{0}` is not up, draining or removed")]
    UnknownState(String),
    /// The `uid` is empty.
    #[error("the endpoint has an empty uid")]
    MissingUid,
}

/// An endpoint whose [`Target`] is valid.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server as the decision module represents it.
    pub server: Server,
    /// The form in which discovery reported the endpoint.
    pub target: Target,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// Whether the endpoints replace the previous list or change it.
    pub scope: Scope,
    /// Discovery's revision of the list, if known.
    pub revision: Option<u64>,
    /// The endpoints that the update contains.
    pub endpoints: Vec<Endpoint>,
}

impl Target {
    /// Converts the target into an [`Endpoint`]; `zone_id` maps the name of its zone to an id.
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
