//! The other coordinators: their addresses, the queues of the links to them, and the notifications
//! that end the reconnect delay early once a peer has connected to this coordinator.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_schema::control::{Readability, ToCoordinator};
use tokio::sync::{Notify, mpsc};

/// Sender of frames to the link to one other coordinator.
pub(crate) type PeerQueue = mpsc::UnboundedSender<ToCoordinator>;

/// The known coordinators, without this one.
pub(crate) struct Peers {
    own_address: SocketAddr,
    addresses: BTreeSet<SocketAddr>,
    queues: BTreeMap<SocketAddr, PeerQueue>,
    inbound: BTreeMap<SocketAddr, Rc<Notify>>,
    /// Peers that cannot read the newest configuration, with its generation.
    unreadable: BTreeMap<SocketAddr, u64>,
}

impl Peers {
    /// Creates an empty set of peers for the coordinator at `own_address`.
    pub(crate) fn new(own_address: SocketAddr) -> Self {
        Peers {
            own_address,
            addresses: BTreeSet::new(),
            queues: BTreeMap::new(),
            inbound: BTreeMap::new(),
            unreadable: BTreeMap::new(),
        }
    }

    /// The address of this coordinator.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Adds a peer; returns whether it is new. The coordinator's own address is ignored.
    pub(crate) fn add(&mut self, address: SocketAddr) -> bool {
        address != self.own_address && self.addresses.insert(address)
    }

    /// The addresses of all peers, in ascending order.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().copied().collect()
    }

    /// Sets the queue of the link to a peer, in place of an earlier link's.
    pub(crate) fn set_queue(&mut self, to: SocketAddr, queue: PeerQueue) {
        self.queues.insert(to, queue);
    }

    /// Queues a frame for a peer. It is lost if there is no link, or if the link has failed.
    pub(crate) fn send(&self, to: SocketAddr, frame: ToCoordinator) {
        if let Some(queue) = self.queues.get(&to) {
            // A failed link drops the frame; the register repeats unanswered messages, and a new
            // link carries the pending reports.
            let _ = queue.send(frame);
        }
    }

    /// Queues a frame for every peer with a link; frames for links that have failed are lost.
    pub(crate) fn broadcast(&self, frame: &ToCoordinator) {
        for queue in self.queues.values() {
            // A failed link drops the frame, as in `send`.
            let _ = queue.send(frame.clone());
        }
    }

    /// Number of links that are up.
    pub(crate) fn open_links(&self) -> usize {
        self.queues
            .values()
            .filter(|queue| !queue.is_closed())
            .count()
    }

    /// Records whether a peer can read the newest configuration; returns whether this has changed.
    pub(crate) fn set_readability(&mut self, readability: &Readability) -> bool {
        let coordinator = readability.coordinator;
        let previous = match readability.unreadable_generation {
            Some(generation) => self.unreadable.insert(coordinator, generation),
            None => self.unreadable.remove(&coordinator),
        };
        previous != readability.unreadable_generation
    }

    /// Generation of the configuration that a peer cannot read, if there is one.
    #[cfg(test)]
    pub(crate) fn unreadable_generation(&self, peer: SocketAddr) -> Option<u64> {
        self.unreadable.get(&peer).copied()
    }

    /// Returns the notification that is sent when a peer has connected to this coordinator. The
    /// peer is listening by then, so that a connection to it need not wait for the reconnect delay.
    pub(crate) fn inbound_notify(&mut self, peer: SocketAddr) -> Rc<Notify> {
        Rc::clone(self.inbound.entry(peer).or_default())
    }
}
