//! Command channels of the driver.

use tokio::sync::mpsc;

use crate::message::{DiscoveryCommand, PeerMessage, UpstreamCommand};

/// Channels to the tasks that execute the driver's commands. These tasks run as long as the driver;
/// while the process exits, a command to a task that has already ended is dropped.
pub(crate) struct Outputs {
    /// Channel to the task that owns the connections to servers.
    pub upstream: mpsc::UnboundedSender<UpstreamCommand>,
    /// Channel to the discovery task.
    pub discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// Channel to the task that exchanges datagrams with peers.
    pub peers: mpsc::UnboundedSender<PeerMessage>,
}

impl Outputs {
    /// Sends a command to the upstream task.
    pub(super) fn command_upstream(&self, command: UpstreamCommand) {
        // Fails only while the process exits.
        let _ = self.upstream.send(command);
    }

    /// Sends a command to the discovery task.
    pub(super) fn command_discovery(&self, command: DiscoveryCommand) {
        // Fails only while the process exits.
        let _ = self.discovery.send(command);
    }

    /// Sends a datagram to one peer or to all.
    pub(super) fn send_to_peers(&self, message: PeerMessage) {
        // Fails only while the process exits.
        let _ = self.peers.send(message);
    }
}
