//! The events that a node handles, the actions that it returns, and what it starts from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::Identity;
use crate::message::Message;
use crate::operation::{Operation, OperationId, Outcome, RegisterValue};
use crate::record::{PersistToken, Record, Write};
use crate::state::State;

/// An event that a node handles.
#[derive(Debug)]
pub enum Event<V: RegisterValue> {
    /// A message arrived.
    Message(Message<V>),
    /// The write of that token is durable.
    Persisted(PersistToken),
    /// An operation is submitted.
    Submit {
        /// Identifies the operation in [`Action::Completed`].
        id: OperationId,
        /// The operation.
        operation: Operation<V>,
        /// When it is completed as [`Outcome::Expired`] or [`Outcome::Unknown`] at the latest.
        deadline: Duration,
    },
    /// Addresses of the other coordinators known, members or not. Replaces those set before.
    Peers(Vec<SocketAddr>),
    /// The machine is about to stop for good.
    Leaving,
    /// A heartbeat is to be sent at once: once a majority has acknowledged it,
    /// [`Node::quorum_confirmed_at`](crate::Node::quorum_confirmed_at) is this moment.
    CheckQuorum,
    /// The time last set by [`Action::Timer`] has come. Must also be the first event of a node.
    Timer,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<V: RegisterValue> {
    /// Send a message; it may be lost.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message<V>,
    },
    /// Make the record durable in place of the one before, then report [`Event::Persisted`]. At
    /// most one write is in flight at a time.
    ///
    /// A write or sync that fails is not reported: the caller writes the whole record again, to
    /// another file, until that is durable. Until then the replica promises and accepts nothing
    /// new. That is safe since a failed write is like one that a crash interrupts: the record may
    /// be found on the disk later or not, and no reply depends on it.
    Persist(Write<V>),
    /// An operation has ended.
    Completed {
        /// The operation that was submitted.
        id: OperationId,
        /// How it ended.
        outcome: Outcome<V>,
    },
    /// A newer state is known as chosen. The first one after a start was read from a majority, so
    /// that none is older than what the node acknowledged before it restarted.
    Learned(Arc<State<V>>),
    /// The settings say that the whole system starts for the first time, but another coordinator
    /// knows more: this replica's disk was lost, and it takes a new identity.
    DiskLost,
    /// Report [`Event::Timer`] at that time; replaces the time set before.
    Timer(Duration),
}

/// Where a node's record comes from.
#[derive(Clone, Debug)]
pub enum RecordSource<V> {
    /// From the disk, and durable.
    Durable(Record<V>),
    /// From the disk, but perhaps from the page cache only: it has to be written again before it
    /// counts.
    Unsynced(Record<V>),
    /// The disk is empty and the settings say that the whole system starts for the first time, with
    /// these members.
    Bootstrap {
        /// Addresses of all initial members; the same at each of them.
        members: Vec<SocketAddr>,
        /// The initial value; equal at each of them.
        value: V,
    },
    /// The disk is empty: a replica of a new identity, which isn't a member.
    Empty {
        /// The identity, drawn at random.
        identity: Identity,
    },
}

/// Where a node runs.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Address at which the others reach it.
    pub address: SocketAddr,
    /// Zone of its machine.
    pub zone: String,
}
