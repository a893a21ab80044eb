//! Relay targets: the neighbours other than the children to which an entry is pushed.
//!
//! Pushes to children reach all agents below a coordinator. Pushes to relay targets bring an entry
//! to the other coordinators, and thereby to each region, and bring an entry that did not arrive
//! over the tree back onto it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Overlay;
use super::state::Origin;
use crate::link::Link;
use crate::node::Descriptor;

impl Overlay {
    /// The neighbours, besides the children, to which an entry of this origin is pushed.
    pub(super) fn relay_targets(&self, origin: Origin) -> Vec<SocketAddr> {
        let Some(from) = origin.sender() else {
            return self.published_entry_targets();
        };
        let Some(sender) = self.links.get(&from).and_then(|link| link.node) else {
            return Vec::new();
        };
        let is_between_coordinators = self.local_node.is_coordinator() && sender.is_coordinator();
        if matches!(origin, Origin::Dissemination(_)) && !is_between_coordinators {
            self.off_tree_targets(from)
        } else {
            self.remote_entry_targets(&sender)
        }
    }

    /// The targets of an entry that this node publishes. A coordinator in contact pushes the entry
    /// to the coordinators of its region and to one of each other region, which forwards it within
    /// its region. Any other node, an agent or a coordinator out of contact, is not a root from
    /// which the tree reaches all agents, and pushes the entry to all neighbours.
    fn published_entry_targets(&self) -> Vec<SocketAddr> {
        if self.local_node.is_coordinator() && self.in_contact {
            self.coordinator_targets()
        } else {
            self.links.keys().copied().collect()
        }
    }

    /// The targets of an entry received from `sender`: a coordinator pushes an entry from another
    /// region to the coordinators of its own region.
    fn remote_entry_targets(&self, sender: &Descriptor) -> Vec<SocketAddr> {
        if !self.local_node.is_coordinator() || self.is_in_region(sender) {
            return Vec::new();
        }
        self.linked_coordinators()
            .filter(|node| self.is_in_region(node))
            .map(|node| node.address)
            .collect()
    }

    /// The targets of an entry that did not arrive from the parent, so that the tree may lack it. A
    /// coordinator pushes it as if it had published it, an agent pushes it to its parent and to the
    /// neighbours in its region.
    fn off_tree_targets(&self, from: SocketAddr) -> Vec<SocketAddr> {
        if self.tree.parent == Some(from) || !self.settings.guards.eager_relay {
            return Vec::new();
        }
        if self.local_node.is_coordinator() {
            return self.coordinator_targets();
        }
        let is_regional = |link: &Link| link.node.is_some_and(|node| self.is_in_region(&node));
        self.links
            .iter()
            .filter(|(peer, link)| is_regional(link) || self.tree.parent == Some(**peer))
            .map(|(peer, _)| *peer)
            .collect()
    }

    /// The coordinators among the neighbours.
    fn linked_coordinators(&self) -> impl Iterator<Item = Descriptor> {
        self.neighbours().filter(Descriptor::is_coordinator)
    }

    /// The coordinators of the own region, and of each other region the one with the lowest
    /// rendezvous weight.
    fn coordinator_targets(&self) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let mut remote: BTreeMap<u32, (u64, SocketAddr)> = BTreeMap::new();
        for node in self.linked_coordinators() {
            if self.is_in_region(&node) {
                targets.push(node.address);
                continue;
            }
            let weight = (self.rendezvous_weight(&node), node.address);
            let best = remote.entry(node.locality.region).or_insert(weight);
            *best = weight.min(*best);
        }
        targets.extend(remote.into_values().map(|(_, address)| address));
        targets
    }
}
