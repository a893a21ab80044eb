//! Standby links: links to coordinators that an agent keeps in addition to the link to its parent.
//!
//! A region head and the designated successor keep a standby link so that the region is attached
//! again soon after a failure. Some agents keep a standby link to another region. Over it arrive
//! the changes that the coordinators of the own region lack while out of contact with the majority.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Overlay};
use crate::node::Descriptor;

/// Number of agents that keep a standby link to another region, in a region with one coordinator.
const REMOTE_STANDBYS_SINGLE_COORDINATOR: usize = 2;

/// Number of agents that keep a standby link to another region, in a region with several
/// coordinators.
const REMOTE_STANDBYS: usize = 1;

impl Overlay {
    /// Opens a standby link if this agent needs one and has none.
    pub(super) fn maintain_standby(&mut self, now: Duration, out: &mut Vec<Action>) {
        let must_be_remote = self.keeps_remote_standby();
        let is_suitable = |node: &Descriptor| !must_be_remote || !self.is_in_region(node);
        if !self.needs_standby() || self.standbys(now).any(|node| is_suitable(&node)) {
            return;
        }
        let next = self
            .coordinators_by_preference(now)
            .into_iter()
            .find(is_suitable);
        next.map(|node| self.open(now, node.address, out));
    }

    /// Whether this agent keeps a standby link.
    pub(super) fn needs_standby(&self) -> bool {
        self.is_region_head()
            || self.tree.is_successor
            || self.keeps_remote_standby()
            || !self.settings.guards.region_heads
    }

    /// Whether this agent keeps a standby link to another region. The agents with the lowest scores
    /// do, and more of them in a region with a single coordinator. The choice depends on the scores
    /// and not on the tree, so that no change of parents leaves the region without such a link.
    fn keeps_remote_standby(&self) -> bool {
        if !self.settings.guards.stable_standby {
            return false;
        }
        let wanted = match self.count_region_coordinators() {
            0 => return false,
            1 => REMOTE_STANDBYS_SINGLE_COORDINATOR,
            _ => REMOTE_STANDBYS,
        };
        let preceding = self
            .view
            .local_agents()
            .filter(|node| self.precedes(node))
            .filter(|node| !self.connect_failures.contains_key(&node.address))
            .count();
        preceding < wanted
    }

    /// The coordinators with a link that is not silent, or to which a connection is being opened.
    pub(super) fn live_coordinators(&self, now: Duration) -> impl Iterator<Item = Descriptor> {
        let linked = self
            .links
            .iter()
            .filter(move |(peer, link)| !self.is_silent(now, **peer, link))
            .filter_map(|(_, link)| link.node)
            .filter(Descriptor::is_coordinator);
        let known = |peer: &SocketAddr| {
            self.view
                .coordinators()
                .find(|node| node.address == *peer)
                .copied()
        };
        linked.chain(self.connecting.keys().filter_map(known))
    }

    /// The live coordinators other than the parent that are not known to be out of contact.
    fn standbys(&self, now: Duration) -> impl Iterator<Item = Descriptor> {
        let is_out_of_contact = |node: &Descriptor| {
            self.links
                .get(&node.address)
                .is_some_and(Self::is_out_of_contact)
        };
        self.live_coordinators(now)
            .filter(|node| Some(node.address) != self.tree.parent)
            .filter(move |node| !is_out_of_contact(node))
    }
}
