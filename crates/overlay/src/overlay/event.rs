//! The interface between a node and its caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Key, Version};
use crate::message::Message;

/// An event that the caller reports to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Replaces the addresses of the seed nodes.
    Seeds(Vec<SocketAddr>),
    /// A connection with the node that listens at this address is established, whichever side has
    /// opened it.
    Connected(SocketAddr),
    /// The last connection with the node has closed, or connecting has failed.
    Disconnected(SocketAddr),
    /// A message has arrived.
    Message {
        /// Listening address of the sender.
        from: SocketAddr,
        /// Message as decoded by the caller.
        message: Message,
    },
    /// Publishes an entry. Ignored unless it is newer than the stored one.
    Publish {
        /// Key of the entry.
        key: Key,
        /// Version of the entry.
        version: Version,
        /// Opaque payload.
        payload: Arc<[u8]>,
    },
    /// Publishes a tombstone, which is itself a version of the key.
    Remove {
        /// Key of the removed entry.
        key: Key,
        /// Version of the tombstone. Ignored unless it is newer than the stored one.
        version: Version,
    },
    /// Sets whether this coordinator is in contact with a majority of the replica set, which is
    /// assumed until the first such event. A coordinator out of contact emits no root heartbeats,
    /// and agents below it choose another parent if there is one below a coordinator in contact.
    InContact(bool),
    /// The time requested by [`Action::Timer`] has been reached. Additional timer events are
    /// harmless.
    Timer,
    /// The node is about to stop and notifies its neighbours.
    Leave,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message, or drop it when there is no connection.
    Send {
        /// Listening address of the receiver.
        to: SocketAddr,
        /// Message to encode and send.
        message: Message,
    },
    /// Open a connection to the node at this address unless there is one, and report
    /// [`Event::Connected`] or [`Event::Disconnected`].
    Connect(SocketAddr),
    /// Close the connection with the node at this address after the messages already sent on it;
    /// [`Event::Disconnected`] need not be reported.
    Disconnect(SocketAddr),
    /// Process a newer version that has been stored, published by this node or by another.
    Changed {
        /// Key of the entry.
        key: Key,
        /// Version of the entry.
        version: Version,
        /// Opaque payload; `None` for a tombstone.
        payload: Option<Arc<[u8]>>,
    },
    /// Report [`Event::Timer`] at this time. Replaces the time requested before.
    Timer(Duration),
}
