//! Maintenance of the active view: a node opens the links that it lacks and closes surplus ones.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};

use super::{Action, Overlay};
use crate::hash;
use crate::link::Link;
use crate::node::Descriptor;
use crate::position::TreePosition;

/// Maximum number of seeds to which one round of maintenance opens connections.
const MAX_SEEDS_PER_ROUND: usize = 3;

/// Maximum number of links inside the region that one round of maintenance opens.
const MAX_REGION_LINKS_PER_ROUND: usize = 2;

/// Minimum age at which a surplus link is closed.
const MIN_SURPLUS_AGE: Duration = Duration::from_secs(3);

/// Inverse of the probability that, in one round, a coordinator opens a missing link to a
/// coordinator with a lower address.
const HIGHER_ADDRESS_OPENS_ONE_IN: u32 = 4;

/// The links that an agent lacks inside its region.
#[derive(Clone, Copy, Debug)]
struct RegionDemand {
    missing: usize,
    /// Whether the next link should be inside the zone.
    prefer_zone: bool,
}

impl Overlay {
    /// Opens the links that are missing and closes those that are surplus.
    pub(super) fn maintain(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.view.expire(now);
        if self.local_node.is_coordinator() {
            self.maintain_coordinator_links(now, out);
        } else {
            self.maintain_region(now, out);
            self.maintain_standby(now, out);
            self.close_surplus(now, out);
        }
        let is_isolated =
            self.links.is_empty() || !self.tree.position.is_attached() && self.has_no_candidates();
        if is_isolated {
            self.open_seeds(now, out);
        }
    }

    /// Opens the missing links to other coordinators and to seeds, as each coordinator keeps a link
    /// with every other. The one with the lower address opens it, and at times the other.
    fn maintain_coordinator_links(&mut self, now: Duration, out: &mut Vec<Action>) {
        let known = self.view.coordinators().map(|node| node.address);
        let coordinators: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        for peer in coordinators {
            if self.local_node.address < peer
                || self.random.random_ratio(1, HIGHER_ADDRESS_OPENS_ONE_IN)
            {
                self.open(now, peer, out);
            }
        }
    }

    fn open_seeds(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut seeds = self.seeds.clone();
        seeds.shuffle(&mut self.random);
        seeds.retain(|seed| self.can_open(now, *seed));
        for seed in seeds.into_iter().take(MAX_SEEDS_PER_ROUND) {
            self.open(now, seed, out);
        }
    }

    /// Opens links of an agent inside its region. The agent keeps `active_view_size` links with
    /// agents, about half of them inside its zone, and one with a coordinator.
    fn maintain_region(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.open_region_coordinator(now, out);
        let (in_zone, other_zones): (Vec<Descriptor>, Vec<Descriptor>) = self
            .view
            .local_agents()
            .partition(|node| self.is_in_zone(node));
        let demand = self.region_demand(now);
        for _ in 0..demand.missing.min(MAX_REGION_LINKS_PER_ROUND) {
            let [first, second] = if demand.prefer_zone {
                [&in_zone, &other_zones]
            } else {
                [&other_zones, &in_zone]
            };
            if !self.open_any(now, first, out) {
                self.open_any(now, second, out);
            }
        }
    }

    fn region_demand(&self, now: Duration) -> RegionDemand {
        let target = self.settings.active_view_size;
        let zone_target = target.div_ceil(2);
        let linked = self.count_region_links(now, |_| true);
        let zone_links = self.count_region_links(now, |node| self.is_in_zone(node));
        let other_zone_links = self.count_region_links(now, |node| !self.is_in_zone(node));
        let missing = target.saturating_sub(linked);
        let missing_in_zone = zone_target.saturating_sub(zone_links);
        let is_unbalanced = missing_in_zone > 0 && other_zone_links > target - zone_target;
        let needs_independent_parent =
            linked < target + self.settings.fanout && self.lacks_independent_parent();
        let needs_one_more = missing == 0 && (is_unbalanced || needs_independent_parent);
        RegionDemand {
            missing: if needs_one_more { 1 } else { missing },
            prefer_zone: missing_in_zone > 0 && !needs_independent_parent,
        }
    }

    /// Whether no neighbour other than the parent is attached through a path without the parent and
    /// without this agent. Always false where changes enter the region through the parent alone, as
    /// all nodes inside the region then depend on it.
    fn lacks_independent_parent(&self) -> bool {
        let parent = self.parent_link();
        let Some((node, link)) = parent.and_then(|link| link.node.map(|node| (node, link))) else {
            return false;
        };
        if self.is_only_region_ingress(&node, &link.position) {
            return false;
        }
        let is_independent = |link: &Link| {
            let is_parent = link.node.is_none_or(|other| other.address == node.address);
            let position = &link.position;
            !is_parent
                && position.is_attached()
                && !position.path_contains(node.id())
                && !position.path_contains(self.local_node.id())
        };
        !self.links.values().any(is_independent)
    }

    /// Whether changes enter the region through `node` alone: it is the region head, or the only
    /// known coordinator in the region.
    fn is_only_region_ingress(&self, node: &Descriptor, position: &TreePosition) -> bool {
        let is_head = matches!(
            position,
            TreePosition::Descendant { region_head, .. } if *region_head == node.score()
        );
        is_head || node.is_coordinator() && self.count_region_coordinators() <= 1
    }

    /// Number of known coordinators in the region.
    pub(super) fn count_region_coordinators(&self) -> usize {
        self.view
            .coordinators()
            .filter(|node| self.is_in_region(node))
            .count()
    }

    /// Opens a link to a random one of `nodes`. Returns whether there was a node to connect to.
    fn open_any(&mut self, now: Duration, nodes: &[Descriptor], out: &mut Vec<Action>) -> bool {
        let available: Vec<SocketAddr> = nodes
            .iter()
            .map(|node| node.address)
            .filter(|peer| self.can_open(now, *peer))
            .collect();
        let chosen = available.choose(&mut self.random).copied();
        chosen.is_some_and(|peer| self.open(now, peer, out))
    }

    /// Counts the agents of the region that `is_counted` selects among the neighbours that are not
    /// silent and the nodes to which a connection is being opened.
    fn count_region_links(&self, now: Duration, is_counted: impl Fn(&Descriptor) -> bool) -> usize {
        let linked = self
            .links
            .iter()
            .filter(|(peer, link)| !self.is_silent(now, **peer, link))
            .filter_map(|(_, link)| link.node);
        let connecting = self
            .connecting
            .keys()
            .filter_map(|peer| self.view.get(*peer))
            .map(|entry| entry.node);
        linked
            .chain(connecting)
            .filter(|node| !node.is_coordinator() && self.is_in_region(node))
            .filter(is_counted)
            .count()
    }

    /// Opens a link to a coordinator of the region, in the own zone if possible.
    fn open_region_coordinator(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(best) = self
            .coordinators_by_preference(now)
            .into_iter()
            .find(|node| self.is_in_region(node))
        else {
            return;
        };
        let has_zone_link = self
            .live_coordinators(now)
            .any(|node| self.is_in_zone(&node));
        let has_region_link = self
            .live_coordinators(now)
            .any(|node| self.is_in_region(&node));
        if !has_region_link || !has_zone_link && self.is_in_zone(&best) {
            self.open(now, best.address, out);
        }
    }

    /// The coordinators to which a connection can be opened, those without failures first, then by
    /// proximity, then by rendezvous weight, so that the agents are distributed over them.
    pub(super) fn coordinators_by_preference(&self, now: Duration) -> Vec<Descriptor> {
        let mut nodes: Vec<Descriptor> = self
            .view
            .coordinators()
            .filter(|node| self.can_open(now, node.address))
            .copied()
            .collect();
        nodes.sort_by_key(|node| {
            let failures = self
                .connect_failures
                .get(&node.address)
                .map_or(0, |failure| failure.count);
            (
                failures > 0,
                !self.is_in_region(node),
                !self.is_in_zone(node),
                self.rendezvous_weight(node),
            )
        });
        nodes
    }

    /// Rendezvous weight of `node` for this node (Thaler and Ravishankar 1998); the lowest is
    /// preferred.
    pub(super) fn rendezvous_weight(&self, node: &Descriptor) -> u64 {
        hash::pair(
            hash::address(self.local_node.address),
            hash::address(node.address),
        )
    }

    /// Closes the surplus links of an agent while it is attached.
    fn close_surplus(&mut self, now: Duration, out: &mut Vec<Action>) {
        for peer in self.surplus_links(now) {
            if self.tree.position.is_attached() {
                self.close(now, peer, out);
            }
        }
    }

    /// The links to other regions that are neither tree edges nor standby links. While the root is
    /// out of contact, no link to a coordinator is surplus.
    fn surplus_links(&self, now: Duration) -> Vec<SocketAddr> {
        let in_contact = self.tree.position.is_in_contact();
        let mut standbys_to_keep = usize::from(self.needs_standby());
        let grafted = self.tree.pending_graft.map(|graft| graft.peer);
        let mut surplus = Vec::new();
        for (peer, link) in &self.links {
            let Some(node) = link.node else { continue };
            let is_tree_edge =
                link.is_child || Some(*peer) == self.tree.parent || Some(*peer) == grafted;
            let is_new = link.opened_at + MIN_SURPLUS_AGE > now;
            if is_tree_edge || self.is_in_region(&node) || is_new {
                continue;
            }
            let is_standby = standbys_to_keep > 0 && !Self::is_out_of_contact(link);
            if node.is_coordinator() && (!in_contact || is_standby) {
                standbys_to_keep = standbys_to_keep.saturating_sub(1);
                continue;
            }
            surplus.push(*peer);
        }
        surplus
    }

    /// Whether the neighbour is a coordinator that is out of contact with the majority.
    pub(super) fn is_out_of_contact(link: &Link) -> bool {
        link.position == TreePosition::Root { in_contact: false }
    }
}
