//! Fixtures of this crate's unit tests: gates by number, views, fencing tokens, confirmations and
//! completed grants.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::confirmation::ConfirmedEpoch;
use crate::message::CompletedGrant;
use crate::view::{FencingToken, GateId, View};

/// A duration, or a time of the steady clock, of `value` milliseconds.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The first incarnation of the gate with this number.
pub(crate) fn gate(number: u8) -> GateId {
    GateId {
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7000)),
        incarnation: 1,
        region: 0,
    }
}

/// Another incarnation of the gate with this number.
pub(crate) fn gate_incarnation(number: u8, incarnation: u64) -> GateId {
    GateId {
        incarnation,
        ..gate(number)
    }
}

/// A view of these gates whose predecessor is the epoch before it.
pub(crate) fn view(epoch: u64, numbers: &[u8]) -> Arc<View> {
    Arc::new(View {
        epoch,
        follows: Some(epoch - 1),
        gates: numbers.iter().copied().map(gate).collect(),
    })
}

/// The fencing token of gate 1 as an owner in the view of this epoch.
pub(crate) fn token(epoch: u64) -> FencingToken {
    FencingToken {
        epoch,
        owner: gate(1),
    }
}

/// A confirmation of `epoch` by a majority of the acceptors.
pub(crate) fn confirmed(epoch: u64, requested_at: Duration) -> ConfirmedEpoch {
    ConfirmedEpoch {
        epoch,
        requested_at,
    }
}

/// The report of the completed grant for the request `sequence`.
pub(crate) fn completed(sequence: u64, used: u32, last_used_after: Duration) -> CompletedGrant {
    CompletedGrant {
        sequence,
        used,
        last_used_after,
    }
}
