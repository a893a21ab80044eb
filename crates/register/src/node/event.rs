//! The interface of a node: the events that it handles, the actions that it returns, and the
//! sources of its record.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::Identity;
use crate::message::Message;
use crate::operation::{Operation, OperationId, Outcome, RegisterValue};
use crate::record::{PersistToken, Record, Write};
use crate::state::State;

/// An event for a node to handle.
#[derive(Debug)]
pub enum Event<V: RegisterValue> {
    /// A message has been received.
    Message(Message<V>),
    /// The write with this token is durable.
    Persisted(PersistToken),
    /// A client submits an operation.
    Submit {
        /// Identifies the operation in [`Action::Completed`].
        id: OperationId,
        /// The operation to carry out.
        operation: Operation<V>,
        /// Time at which the operation ends as [`Outcome::Expired`] or [`Outcome::Unknown`] if it
        /// has not ended before.
        deadline: Duration,
    },
    /// Addresses of the other known coordinators, members or not. Replaces those set before.
    Peers(Vec<SocketAddr>),
    /// The machine is about to stop for good.
    Leaving,
    /// Requests a heartbeat at once. Once a majority has acknowledged it,
    /// [`Node::quorum_confirmed_at`](crate::Node::quorum_confirmed_at) is the time of this event.
    CheckQuorum,
    /// The timer set by the last [`Action::Timer`] has expired. Must also be the first event of a
    /// node.
    Timer,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<V: RegisterValue> {
    /// Send a message. It may be lost.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message to send.
        message: Message<V>,
    },
    /// Make the record durable in place of the previous one, then report [`Event::Persisted`]. At
    /// most one write is in flight at a time.
    ///
    /// The caller does not report a failed write or sync, but writes the whole record again, to
    /// another file, until it is durable. Until then the replica promises and accepts nothing new.
    /// This is safe, since a failed write is like one interrupted by a crash: the record may or may
    /// not be found on the disk later, and no reply depends on it.
    Persist(Write<V>),
    /// Report the outcome of an operation to its client.
    Completed {
        /// The identifier given in [`Event::Submit`].
        id: OperationId,
        /// Outcome of the operation.
        outcome: Outcome<V>,
    },
    /// A newer state is known as chosen. The first one after a start is reported only once a
    /// majority has been read, so that none is older than what the node acknowledged before it
    /// restarted.
    Learned(Arc<State<V>>),
    /// The replica's disk was lost, and the replica has taken a new identity. The settings say that
    /// the whole system starts for the first time, but another coordinator has reported that it had
    /// started before.
    DiskLost,
    /// Report [`Event::Timer`] at this time. Replaces the time set before.
    Timer(Duration),
}

/// The source of a node's record at start.
#[derive(Clone, Debug)]
pub enum RecordSource<V> {
    /// The record was read from the disk and is durable.
    Durable(Record<V>),
    /// The record was read from the disk, but may have been in the page cache only. The node writes
    /// it again, and answers no request before it is durable.
    Unsynced(Record<V>),
    /// The disk is empty, and the settings say that the whole system starts for the first time with
    /// the given members.
    Bootstrap {
        /// Addresses of all initial members. Must be the same at each of them.
        members: Vec<SocketAddr>,
        /// The initial value. Must be equal at each initial member.
        value: V,
    },
    /// The disk is empty, and the replica starts under a new identity without being a member.
    Empty {
        /// The new identity, drawn at random.
        identity: Identity,
    },
}

/// Network address and availability zone of a node.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Address at which other nodes reach the node.
    pub address: SocketAddr,
    /// Availability zone of the node's machine.
    pub zone: String,
}
