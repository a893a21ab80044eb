//! Where the driver's commands go.

use tokio::sync::mpsc;

use crate::message::{DiscoveryCommand, PeerMessage, UpstreamCommand};

/// The tasks that carry out the driver's commands. Each runs for as long as the driver; while the
/// process exits a command to a task that has ended is dropped.
pub(crate) struct Outputs {
    /// To the connections to servers.
    pub upstream: mpsc::UnboundedSender<UpstreamCommand>,
    /// To discovery.
    pub discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// To the peers.
    pub peers: mpsc::UnboundedSender<PeerMessage>,
}

impl Outputs {
    /// Sends a command to the connections to servers.
    pub(super) fn command_upstream(&self, command: UpstreamCommand) {
        // Fails only while the process exits.
        let _ = self.upstream.send(command);
    }

    /// Sends a command to discovery.
    pub(super) fn command_discovery(&self, command: DiscoveryCommand) {
        // Fails only while the process exits.
        let _ = self.discovery.send(command);
    }

    /// Sends a message to peers.
    pub(super) fn send_to_peers(&self, message: PeerMessage) {
        // Fails only while the process exits.
        let _ = self.peers.send(message);
    }
}
