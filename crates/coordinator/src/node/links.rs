//! The node's handlers for links: new peers and subscribers, and the frames received from them.

use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_schema::control::{FromCoordinator, Readability, ToCoordinator};
use slog::{info, warn};
use tokio::sync::Notify;

use super::CoordinatorNode;
use crate::contact::ContactState;
use crate::peers::PeerQueue;
use crate::subscribers::{KeepAlive, SubscriberId, SubscriberKind, SubscriberQueue};

impl CoordinatorNode {
    /// The address of this coordinator.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.peers.own_address()
    }

    /// Adds another coordinator; returns whether it was unknown.
    pub(crate) fn add_peer(&mut self, address: SocketAddr) -> bool {
        if !self.peers.add(address) {
            return false;
        }
        let outputs = self.replica.set_peers(self.peers.addresses());
        self.apply(outputs);
        true
    }

    /// Returns the notification that is sent when `peer` has connected to this coordinator.
    pub(crate) fn inbound_notify(&mut self, peer: SocketAddr) -> Rc<Notify> {
        self.peers.inbound_notify(peer)
    }

    /// Handles a new link to a peer; frames for the peer go into `queue`, pending reports first.
    /// Without contact, checks the contact at once, because this link may complete the quorum.
    pub(crate) fn link_established(&mut self, to: SocketAddr, queue: PeerQueue) {
        self.send_pending_reports(&queue);
        self.send_readability(&queue);
        self.peers.set_queue(to, queue);
        if self.contact != ContactState::InContact {
            let outputs = self.replica.check_quorum();
            self.apply(outputs);
            self.check_contact();
        }
    }

    /// Adds a subscriber and sends it the first keep-alive.
    pub(crate) fn subscribe(
        &mut self,
        queue: SubscriberQueue,
        kind: SubscriberKind,
    ) -> SubscriberId {
        let keep_alive = KeepAlive {
            coordinators: self.peers.addresses(),
            observed: Vec::new(),
            in_contact: self.is_fresh(),
        };
        self.subscribers.add(queue, kind, &keep_alive)
    }

    /// Removes a subscriber.
    pub(crate) fn unsubscribe(&mut self, id: SubscriberId) {
        self.subscribers.remove(id);
    }

    /// Handles a frame of a subscriber.
    pub(crate) fn receive_subscriber_frame(&mut self, frame: ToCoordinator) {
        match frame {
            // The link's task has handled the first `Hello`; further ones are ignored.
            ToCoordinator::Hello(_) => {}
            ToCoordinator::Entries(entries) => {
                for entry in entries {
                    self.endpoints.merge_direct(entry);
                }
            }
            ToCoordinator::Register(message) => {
                self.check_contact();
                let outputs = self.replica.receive(&message);
                self.apply(outputs);
                self.check_contact();
            }
            ToCoordinator::KeepAlive(observed) => self.endpoints.merge_observed(&observed),
            ToCoordinator::Readability(readability) => self.receive_readability(&readability),
        }
    }

    /// Handles a keep-alive of a peer; returns the coordinators that it knows.
    pub(crate) fn receive_peer_frame(&mut self, frame: FromCoordinator) -> Vec<SocketAddr> {
        let FromCoordinator::KeepAlive {
            coordinators,
            observed,
            ..
        } = frame;
        self.endpoints.merge_observed(&observed);
        coordinators
    }

    /// Records whether a peer can read the newest configuration, and logs each change.
    fn receive_readability(&mut self, readability: &Readability) {
        if !self.peers.set_readability(readability) {
            return;
        }
        let coordinator = readability.coordinator;
        match readability.unreadable_generation {
            Some(generation) => warn!(
                self.log,
                "another coordinator cannot read the configuration";
                "coordinator" => %coordinator, "version" => generation
            ),
            None => info!(
                self.log,
                "the other coordinator can read the configuration again";
                "coordinator" => %coordinator
            ),
        }
    }

    /// Tells a peer whose link was just established if this node cannot read the newest
    /// configuration. A peer that receives no such frame assumes that it can.
    fn send_readability(&self, queue: &PeerQueue) {
        if self.directory.unreadable_generation().is_some() {
            // A link that has failed already is replaced by one that begins with this frame.
            let _ = queue.send(self.readability());
        }
    }

    /// Sends a peer whose link was just established the entries that pending reports are about.
    fn send_pending_reports(&self, queue: &PeerQueue) {
        let entries = self
            .pending_reports
            .keys()
            .filter_map(|key| self.endpoints.get(key));
        for entry in entries {
            // A link that has failed already is replaced by one that begins with these entries.
            let _ = queue.send(ToCoordinator::Entries(vec![entry.clone()]));
        }
    }
}
