//! The connections of a node. There may be two to a peer, when both have opened one at once; a peer
//! counts as disconnected when none is left.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ironmast_overlay::Message;
use serde::{Deserialize, Serialize};

use crate::queue::Queue;

/// Names a connection of this node.
pub(crate) type ConnectionId = u64;

/// A frame between two nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The first frame of who has opened the connection: where it listens.
    Hello(SocketAddr),
    /// A message of the overlay.
    Message(Message),
}

/// The connections of a node, by peer.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    peers: BTreeMap<SocketAddr, Vec<(ConnectionId, Queue)>>,
}

impl Connections {
    /// Adds a connection; true where it is the first to its peer.
    pub(crate) fn add(&mut self, peer: SocketAddr, id: ConnectionId, queue: Queue) -> bool {
        let connections = self.peers.entry(peer).or_default();
        connections.push((id, queue));
        connections.len() == 1
    }

    /// A connection has ended; true where it was the last to its peer.
    pub(crate) fn remove(&mut self, peer: SocketAddr, id: ConnectionId) -> bool {
        let Some(connections) = self.peers.get_mut(&peer) else {
            return false;
        };
        connections.retain(|(known, _)| *known != id);
        let last = connections.is_empty();
        if last {
            self.peers.remove(&peer);
        }
        last
    }

    /// Closes the connections to a peer; what was sent before still leaves.
    pub(crate) fn close(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Queues a message; it is dropped where there is no connection. False where too much waits for
    /// the peer already.
    #[must_use]
    pub(crate) fn send(&self, peer: SocketAddr, message: Message) -> bool {
        match self
            .peers
            .get(&peer)
            .and_then(|connections| connections.first())
        {
            Some((_, queue)) => queue.push(message),
            None => true,
        }
    }

    /// Whether a message of this connection is still wanted.
    pub(crate) fn holds(&self, peer: SocketAddr, id: ConnectionId) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|connections| connections.iter().any(|(known, _)| *known == id))
    }
}
