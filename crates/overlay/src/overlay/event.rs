//! The interface between a node and its caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Key, Version};
use crate::message::Message;

/// An event that the caller reports to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Addresses of seed nodes as the caller knows them now; they replace the previous ones.
    Seeds(Vec<SocketAddr>),
    /// A connection with the node that listens at this address is established, whichever side
    /// opened it.
    Connected(SocketAddr),
    /// The last connection with the node has closed, or connecting has failed.
    Disconnected(SocketAddr),
    /// A message has arrived.
    Message {
        /// Listening address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Publishes an entry. Ignored unless it is newer than the stored one.
    Publish {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
        /// The payload.
        payload: Arc<[u8]>,
    },
    /// Publishes a tombstone, which is itself a version of the key.
    Remove {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
    },
    /// Sets whether this coordinator is in contact with a majority of the replica set; assumed true
    /// until the first such event. A coordinator that is not in contact emits no root heartbeats, and agents choose
    /// another parent if there is one below a coordinator in contact.
    InContact(bool),
    /// The time requested by [`Action::Timer`] has come. Additional timer events are harmless.
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
        /// The message.
        message: Message,
    },
    /// Open a connection unless there is one, and report [`Event::Connected`] or
    /// [`Event::Disconnected`].
    Connect(SocketAddr),
    /// Close the connection after the messages already sent on it; [`Event::Disconnected`] need not
    /// be reported.
    Disconnect(SocketAddr),
    /// A newer version has been stored, published by this node or by another.
    Changed {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
        /// The payload, `None` for a tombstone.
        payload: Option<Arc<[u8]>>,
    },
    /// Report [`Event::Timer`] at this time, which replaces the time requested before.
    Timer(Duration),
}
