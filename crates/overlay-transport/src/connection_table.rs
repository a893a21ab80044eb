//! The connections of a node by peer. Two nodes that connect to each other at the same time have
//! two connections; a peer is disconnected when none is left.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ironmast_overlay::Message;

use crate::connection::ConnectionId;
use crate::send_queue::{QueueFull, SendQueue};

/// A connection that is established.
#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    queue: SendQueue,
}

/// The connections of a node, by peer.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    peers: BTreeMap<SocketAddr, Vec<Connection>>,
}

impl ConnectionTable {
    /// Adds a connection. Returns whether it is the first to its peer.
    pub(crate) fn add(&mut self, peer: SocketAddr, id: ConnectionId, queue: SendQueue) -> bool {
        let connections = self.peers.entry(peer).or_default();
        connections.push(Connection { id, queue });
        connections.len() == 1
    }

    /// Removes a connection that has closed. Returns whether it was the last to its peer.
    pub(crate) fn remove(&mut self, peer: SocketAddr, id: ConnectionId) -> bool {
        let Some(connections) = self.peers.get_mut(&peer) else {
            return false;
        };
        connections.retain(|connection| connection.id != id);
        let was_last = connections.is_empty();
        if was_last {
            self.peers.remove(&peer);
        }
        was_last
    }

    /// Closes all connections to a peer, once the messages that are already queued have been sent
    /// or the flush timeout has expired.
    pub(crate) fn close(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Queues a message on the oldest connection to a peer. The message is dropped if there is no
    /// connection.
    ///
    /// # Errors
    /// [`QueueFull`] if the queue of the connection is full.
    pub(crate) fn send(&self, peer: SocketAddr, message: Message) -> Result<(), QueueFull> {
        let connections = self.peers.get(&peer);
        match connections.and_then(|connections| connections.first()) {
            Some(connection) => connection.queue.push(message),
            None => Ok(()),
        }
    }

    /// Whether the table contains the connection: neither this node nor the peer has closed it.
    pub(crate) fn contains(&self, peer: SocketAddr, id: ConnectionId) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|connections| connections.iter().any(|connection| connection.id == id))
    }
}
