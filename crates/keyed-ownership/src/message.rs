//! Messages between a gate and the owner of a key.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::view::{GateId, Token};

/// A gate asks the owner of a key for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask<K> {
    /// The gate that asks.
    pub gate: GateId,
    /// The number of the ask, unique within this life of the gate.
    pub sequence: u64,
    /// The owner as the gate knows it.
    pub token: Token,
    /// The server instance or the service.
    pub key: K,
    /// Permits wanted.
    pub want: u32,
    /// Permits that the owner may have out in one span, as the gate's configuration says.
    pub pool: u32,
    /// How long after the sending of the ask its permits will be used at most.
    pub life: Duration,
    /// How long the owner may keep the ask until it can grant it.
    pub patience: Duration,
    /// Earlier grants of this key that are over.
    pub settled: Vec<Settled>,
}

/// The owner's answer. Permits may be used until the life named in the ask has passed since the
/// gate sent it, by the gate's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant<K> {
    /// The ownership under which it is given.
    pub token: Token,
    /// The gate that asked.
    pub gate: GateId,
    /// The number of the ask.
    pub sequence: u64,
    /// The server instance or the service.
    pub key: K,
    /// Permits given; 0 refuses.
    pub count: u32,
    /// The pool is nearly used up: the gate tells of the last use at once.
    pub pressed: bool,
    /// With a refusal: how long the gate must not ask again.
    pub retry_after: Duration,
}

/// A gate tells the owner of grants that are over, without asking for more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return<K> {
    /// The gate.
    pub gate: GateId,
    /// The server instance or the service.
    pub key: K,
    /// The grants that are over.
    pub settled: Vec<Settled>,
}

/// The end of a grant: the gate will use none of its permits any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The number of the ask.
    pub sequence: u64,
    /// Permits used; the others are returned.
    pub used: u32,
    /// Time from the sending of the ask to the last use; zero if none was used.
    pub last_used_after: Duration,
}

/// Any message between a gate and an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<K> {
    /// From a gate to the owner.
    Ask(Ask<K>),
    /// From the owner to a gate.
    Grant(Grant<K>),
    /// From a gate to the owner.
    Return(Return<K>),
}
