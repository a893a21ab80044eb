//! Messages between a gate and the owner of a key.
//!
//! Times in them are lengths of time, never moments: the clocks of gate and owner are not compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::view::{FencingToken, GateId};

/// A gate requests permits from the owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest<K> {
    /// The gate that sends the request.
    pub gate: GateId,
    /// The number of the request, unique within this incarnation of the gate.
    pub sequence: u64,
    /// The owner as the gate knows it.
    pub token: FencingToken,
    /// The server instance or the service.
    pub key: K,
    /// The number of permits requested.
    pub requested: u32,
    /// Permits that the owner may have outstanding in one window, by the gate's configuration.
    pub pool: u32,
    /// The longest time after the sending of the request in which its permits will be used.
    pub lifetime: Duration,
    /// How long the owner may queue the request until it can grant it.
    pub max_wait: Duration,
    /// Earlier grants of this key that are completed.
    pub completed: Vec<CompletedGrant>,
}

/// The owner's answer. Permits may be used until the lifetime named in the request has passed since
/// the gate sent it, by the gate's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant<K> {
    /// The ownership under which the permits are granted.
    pub token: FencingToken,
    /// The gate that sent the request.
    pub gate: GateId,
    /// The number of the request.
    pub sequence: u64,
    /// The server instance or the service.
    pub key: K,
    /// The number of permits granted; 0 rejects the request.
    pub count: u32,
    /// The pool is nearly exhausted: the gate reports the last use at once.
    pub contended: bool,
    /// With a rejection: how long the gate must not send another request.
    pub retry_after: Duration,
}

/// A gate reports completed grants to the owner without requesting more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release<K> {
    /// The gate.
    pub gate: GateId,
    /// The server instance or the service.
    pub key: K,
    /// The completed grants.
    pub completed: Vec<CompletedGrant>,
}

/// The end of a grant: the gate will use no more of its permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedGrant {
    /// The number of the request.
    pub sequence: u64,
    /// The number of permits used; the others are released.
    pub used: u32,
    /// The time from the sending of the request to the last use; zero if none was used.
    pub last_used_after: Duration,
}

/// Any message between a gate and an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<K> {
    /// From a gate to the owner.
    Request(PermitRequest<K>),
    /// From the owner to a gate.
    Grant(Grant<K>),
    /// From a gate to the owner.
    Release(Release<K>),
}
