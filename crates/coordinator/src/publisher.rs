//! The interface through which the endpoint table publishes its entries to the overlay.

use ironmast_overlay_transport::OverlayHandle;
use ironmast_schema::control::{Entry, Key};

/// Publishes entries to all nodes of the overlay.
pub(crate) trait EntryPublisher {
    /// Broadcasts an entry to all nodes.
    fn publish(&self, entry: &Entry);
    /// Makes all nodes remove the entry of a key unless its version is above `version`.
    fn remove(&self, key: &Key, version: u64);
    /// Sets whether receivers of this node's overlay heartbeats may treat their state as fresh.
    fn set_in_contact(&self, in_contact: bool);
}

impl EntryPublisher for OverlayHandle {
    fn publish(&self, entry: &Entry) {
        OverlayHandle::publish(self, entry);
    }

    fn remove(&self, key: &Key, version: u64) {
        OverlayHandle::remove(self, key, version);
    }

    fn set_in_contact(&self, in_contact: bool) {
        OverlayHandle::set_in_contact(self, in_contact);
    }
}
