//! The passive view: a partial view of the nodes, refreshed by shuffles.
//!
//! The ages of the entries follow Cyclon (Voulgaris, Gavidia and van Steen 2005), the separation of
//! the active from the passive view follows `HyParView` (Leitão, Pereira and Rodrigues 2007): the
//! links of [`crate::Overlay`] are the active view. The passive view is partitioned into
//! coordinators, agents of the own region and agents of other regions, as the choice of links needs
//! nodes of each kind.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::hash;
use crate::message::AgedDescriptor;
use crate::node::Descriptor;
use crate::settings::Settings;

/// Maximum age of an agent in the view.
const AGENT_EXPIRY: Duration = Duration::from_secs(300);

/// Maximum age of a coordinator in the view.
const COORDINATOR_EXPIRY: Duration = Duration::from_secs(3_600);

/// Maximum number of coordinators in the view.
const MAX_COORDINATORS: usize = 32;

/// A node in the view, with the time from which its age follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewEntry {
    /// Descriptor of the newest known incarnation.
    pub node: Descriptor,
    /// Time at which the node was last known to be alive, from its own messages or from samples of
    /// other nodes.
    pub last_alive: Duration,
}

/// Result of [`PassiveView::record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// The node, or its incarnation, was not known and has been added.
    Added,
    /// The incarnation was known already, or the descriptor was ignored: it is that of the local
    /// node or expired.
    Unchanged,
}

type Partition = BTreeMap<SocketAddr, ViewEntry>;

/// A bounded partial view of the nodes; the oldest entries of a full partition are evicted.
#[derive(Clone, Debug)]
pub struct PassiveView {
    local_node: Descriptor,
    max_local_agents: usize,
    max_remote_agents: usize,
    max_remote_agents_per_region: usize,
    coordinators: Partition,
    local_agents: Partition,
    remote_agents: Partition,
}

impl PassiveView {
    /// Creates the empty view of `local_node`.
    #[must_use]
    pub fn new(local_node: Descriptor, settings: &Settings) -> PassiveView {
        let (max_remote_agents, max_remote_agents_per_region) = if local_node.is_coordinator() {
            (usize::MAX, settings.region_passive_view_size)
        } else {
            (settings.passive_view_size / 2, usize::MAX)
        };
        PassiveView {
            local_node,
            max_local_agents: settings.passive_view_size,
            max_remote_agents,
            max_remote_agents_per_region,
            coordinators: BTreeMap::new(),
            local_agents: BTreeMap::new(),
            remote_agents: BTreeMap::new(),
        }
    }

    /// Records a descriptor whose node was alive `age` ago.
    pub fn record(&mut self, now: Duration, node: Descriptor, age: Duration) -> ViewUpdate {
        let expiry = if node.is_coordinator() {
            COORDINATOR_EXPIRY
        } else {
            AGENT_EXPIRY
        };
        if node.address == self.local_node.address || age > expiry {
            return ViewUpdate::Unchanged;
        }
        let last_alive = now.saturating_sub(age);
        let partition = self.partition_mut(&node);
        if let Some(entry) = partition.get_mut(&node.address) {
            return entry.update(node, last_alive);
        }
        partition.insert(node.address, ViewEntry { node, last_alive });
        self.evict_oldest(node);
        ViewUpdate::Added
    }

    fn partition_mut(&mut self, node: &Descriptor) -> &mut Partition {
        if node.is_coordinator() {
            &mut self.coordinators
        } else if node.locality.same_region(self.local_node.locality) {
            &mut self.local_agents
        } else {
            &mut self.remote_agents
        }
    }

    /// Evicts the oldest nodes from the partition of `node` while the partition exceeds its limit.
    fn evict_oldest(&mut self, node: Descriptor) {
        let region = node.locality.region;
        if node.is_coordinator() {
            evict(&mut self.coordinators, MAX_COORDINATORS, |_| true);
        } else if node.locality.same_region(self.local_node.locality) {
            evict(&mut self.local_agents, self.max_local_agents, |_| true);
        } else {
            let per_region = self.max_remote_agents_per_region;
            evict(&mut self.remote_agents, per_region, |entry| {
                entry.node.locality.region == region
            });
            evict(&mut self.remote_agents, self.max_remote_agents, |_| true);
        }
    }

    /// Removes a node that has left the overlay.
    pub fn remove_departed(&mut self, address: SocketAddr) {
        self.remove_unresponsive(address);
        self.coordinators.remove(&address);
    }

    /// Removes a node that does not respond. A coordinator is kept, as nodes need it when it
    /// responds again.
    pub fn remove_unresponsive(&mut self, address: SocketAddr) {
        self.local_agents.remove(&address);
        self.remote_agents.remove(&address);
    }

    /// Removes the nodes whose age exceeds the maximum: 5 minutes for an agent, 1 hour for a
    /// coordinator.
    pub fn expire(&mut self, now: Duration) {
        let is_fresh = |expiry: Duration| {
            move |_: &SocketAddr, entry: &mut ViewEntry| {
                now.saturating_sub(entry.last_alive) <= expiry
            }
        };
        self.local_agents.retain(is_fresh(AGENT_EXPIRY));
        self.remote_agents.retain(is_fresh(AGENT_EXPIRY));
        self.coordinators.retain(is_fresh(COORDINATOR_EXPIRY));
    }

    /// The entry of the node at `address`, in any partition.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&ViewEntry> {
        self.local_agents
            .get(&address)
            .or_else(|| self.remote_agents.get(&address))
            .or_else(|| self.coordinators.get(&address))
    }

    /// The coordinators of all regions.
    pub fn coordinators(&self) -> impl Iterator<Item = &Descriptor> {
        self.coordinators.values().map(|entry| &entry.node)
    }

    /// The agents of the own region.
    pub fn local_agents(&self) -> impl Iterator<Item = &Descriptor> {
        self.local_agents.values().map(|entry| &entry.node)
    }

    /// The agents of other regions.
    pub fn remote_agents(&self) -> impl Iterator<Item = &Descriptor> {
        self.remote_agents.values().map(|entry| &entry.node)
    }

    /// Number of nodes in the view.
    #[must_use]
    pub fn len(&self) -> usize {
        self.local_agents.len() + self.remote_agents.len() + self.coordinators.len()
    }

    /// Whether the view has no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Draws a random sample of up to `size` nodes for `receiver`. A quarter are coordinators, one
    /// is an agent of another region, through which a region that is partitioned from its
    /// coordinators finds others, and the rest are agents of the receiver's region. If there are
    /// too few of these, further agents of other regions take their places.
    pub fn sample(
        &self,
        now: Duration,
        receiver: &Descriptor,
        size: usize,
        random: &mut Xoshiro256PlusPlus,
    ) -> Vec<AgedDescriptor> {
        let is_not_receiver = |entry: &&ViewEntry| entry.node.address != receiver.address;
        let in_region = |entry: &&ViewEntry| entry.node.locality.same_region(receiver.locality);
        let agents = || {
            self.local_agents
                .values()
                .chain(self.remote_agents.values())
                .filter(is_not_receiver)
        };
        let coordinators = self.coordinators.values().filter(is_not_receiver);
        let mut chosen = choose(coordinators, size.div_ceil(4), random);
        let in_region_count = size.saturating_sub(chosen.len() + 1);
        chosen.extend(choose(agents().filter(in_region), in_region_count, random));
        let rest = size.saturating_sub(chosen.len());
        let other_regions = agents().filter(|entry| !in_region(entry));
        chosen.extend(choose(other_regions, rest, random));
        chosen.into_iter().map(|entry| entry.aged(now)).collect()
    }
}

impl ViewEntry {
    fn update(&mut self, node: Descriptor, last_alive: Duration) -> ViewUpdate {
        self.last_alive = self.last_alive.max(last_alive);
        if node.incarnation <= self.node.incarnation {
            return ViewUpdate::Unchanged;
        }
        self.node = node;
        ViewUpdate::Added
    }

    fn aged(&self, now: Duration) -> AgedDescriptor {
        let age_s = now.saturating_sub(self.last_alive).as_secs();
        AgedDescriptor {
            node: self.node,
            age_s: u16::try_from(age_s).unwrap_or(u16::MAX),
        }
    }
}

/// Removes the oldest of the nodes that `is_counted` selects until `limit` of them are left. Equal
/// ages are ordered by a hash, so that the view is not biased towards low addresses.
fn evict(partition: &mut Partition, limit: usize, is_counted: impl Fn(&ViewEntry) -> bool) {
    while partition.values().filter(|entry| is_counted(entry)).count() > limit {
        let counted = partition.values().filter(|entry| is_counted(entry));
        let oldest =
            counted.min_by_key(|entry| (entry.last_alive, hash::address(entry.node.address)));
        let Some(oldest) = oldest.map(|entry| entry.node.address) else {
            return;
        };
        partition.remove(&oldest);
    }
}

/// Chooses up to `size` of `entries` uniformly at random.
fn choose<'a>(
    entries: impl Iterator<Item = &'a ViewEntry>,
    size: usize,
    random: &mut Xoshiro256PlusPlus,
) -> Vec<&'a ViewEntry> {
    let mut entries: Vec<&ViewEntry> = entries.collect();
    let (chosen, _) = entries.partial_shuffle(random, size);
    chosen.to_vec()
}
