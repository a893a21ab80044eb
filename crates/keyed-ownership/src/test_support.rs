//! Set-up that the unit tests of this crate share: gates by number, their views and the tokens of
//! their ownerships, and moments of the steady clock in milliseconds.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::confirmation::ConfirmedEpoch;
use crate::message::CompletedGrant;
use crate::view::{FencingToken, GateId, View};

/// A duration, or a moment of the steady clock, in milliseconds.
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

/// The view of these gates that follows the epoch before it without a gap.
pub(crate) fn view(epoch: u64, numbers: &[u8]) -> Arc<View> {
    Arc::new(View {
        epoch,
        follows: Some(epoch - 1),
        gates: numbers.iter().copied().map(gate).collect(),
    })
}

/// The token of gate 1 for its ownership in the view of this epoch.
pub(crate) fn token(epoch: u64) -> FencingToken {
    FencingToken {
        epoch,
        owner: gate(1),
    }
}

/// A majority's confirmation of an epoch.
pub(crate) fn confirmed(epoch: u64, requested_at: Duration) -> ConfirmedEpoch {
    ConfirmedEpoch {
        epoch,
        requested_at,
    }
}

/// The end of the grant for the request with this number.
pub(crate) fn completed(sequence: u64, used: u32, last_used_after: Duration) -> CompletedGrant {
    CompletedGrant {
        sequence,
        used,
        last_used_after,
    }
}
