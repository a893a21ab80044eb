//! Messages between a gate and the owner of a key.
//!
//! The messages contain durations and no timestamps, because the clocks of gate and owner are not
//! compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::view::{FencingToken, GateId};

/// A gate's request for permits, sent to the owner of the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest<K> {
    /// The gate that sends the request.
    pub gate: GateId,
    /// The number of the request, unique within this incarnation of the gate.
    pub sequence: u64,
    /// The owner and the epoch by the gate's newest view. A request with another owner than the
    /// receiver is rejected.
    pub token: FencingToken,
    /// The server instance or the service that the permits are for.
    pub key: K,
    /// The number of permits requested.
    pub requested: u32,
    /// Permits that the owner may have outstanding in one window, by the gate's configuration.
    pub pool: u32,
    /// How long after sending the request the gate may use its permits.
    pub lifetime: Duration,
    /// How long the owner may queue the request until it can grant it.
    pub max_wait: Duration,
    /// Completed grants of this key that the gate has not reported to this owner yet.
    pub completed: Vec<CompletedGrant>,
}

/// The owner's answer to a [`PermitRequest`]. The permits expire once the request's lifetime has
/// passed since the gate sent it, by the gate's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant<K> {
    /// The fencing token of the owner; gates reject a grant with an older epoch than the last one.
    pub token: FencingToken,
    /// The gate that sent the request.
    pub gate: GateId,
    /// The sequence number of the request.
    pub sequence: u64,
    /// The key of the request.
    pub key: K,
    /// The number of permits granted; 0 rejects the request.
    pub count: u32,
    /// Whether more than half of the pool is outstanding: the gate then reports the grant as soon
    /// as its last permit is used.
    pub contended: bool,
    /// With a rejection, how long the gate must wait before it sends another request for the key.
    pub retry_after: Duration,
}

/// A gate's report of completed grants that requests no permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release<K> {
    /// The gate that received the grants.
    pub gate: GateId,
    /// The key that the permits were granted for.
    pub key: K,
    /// The completed grants, which the owner then counts only by their used permits.
    pub completed: Vec<CompletedGrant>,
}

/// The end of a grant: the gate will use no more of its permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedGrant {
    /// The sequence number of the request that was granted.
    pub sequence: u64,
    /// The number of permits used; the others are released.
    pub used: u32,
    /// The time from sending the request to the last use; zero if no permit was used.
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
