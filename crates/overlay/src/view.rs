//! Partial view of the nodes, kept fresh by shuffles.
//!
//! After Cyclon (Voulgaris, Gavidia and van Steen 2005) for the ages and `HyParView` (Leitão, Pereira
//! and Rodrigues 2007) for the split: the links are the active view and belong to
//! [`crate::Overlay`], the passive view is here. It is kept in parts, as the choice of links needs
//! all of them: the coordinators, nodes of the own region, nodes of others.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::hash;
use crate::message::Aged;
use crate::node::Descriptor;
use crate::settings::Settings;

/// Age at which an agent that nobody has heard of is forgotten.
const FORGET_AGENT: Duration = Duration::from_secs(300);

/// Age at which a coordinator that nobody has heard of is forgotten.
const FORGET_COORDINATOR: Duration = Duration::from_secs(3_600);

/// Coordinators remembered at most.
const COORDINATORS: usize = 32;

/// A node and when it was last known to be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// The node.
    pub node: Descriptor,
    /// Time of the last sign of life that came here directly or through others.
    pub alive: Duration,
}

/// The passive view.
#[derive(Clone, Debug)]
pub struct View {
    me: Descriptor,
    near_limit: usize,
    far_limit: usize,
    far_region_limit: usize,
    coordinators: BTreeMap<SocketAddr, Known>,
    near: BTreeMap<SocketAddr, Known>,
    far: BTreeMap<SocketAddr, Known>,
}

/// What a view learned from a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// The node, or its incarnation, was not known.
    New,
    /// Nothing but perhaps a later sign of life.
    Known,
}

impl View {
    /// An empty view of `me`.
    #[must_use]
    pub fn new(me: Descriptor, settings: &Settings) -> View {
        let coordinator = me.is_coordinator();
        View {
            me,
            near_limit: settings.passive,
            far_limit: if coordinator {
                usize::MAX
            } else {
                settings.passive / 2
            },
            far_region_limit: if coordinator {
                settings.passive_region
            } else {
                usize::MAX
            },
            coordinators: BTreeMap::new(),
            near: BTreeMap::new(),
            far: BTreeMap::new(),
        }
    }

    /// Takes a descriptor whose node was alive `age` ago.
    pub fn learn(&mut self, now: Duration, node: Descriptor, age: Duration) -> Learned {
        let forget = if node.is_coordinator() {
            FORGET_COORDINATOR
        } else {
            FORGET_AGENT
        };
        if node.address == self.me.address || age > forget {
            return Learned::Known;
        }
        let alive = now.saturating_sub(age);
        if let Some(known) = self.part(&node).get_mut(&node.address) {
            return known.update(node, alive);
        }
        self.part(&node).insert(node.address, Known { node, alive });
        self.trim(node);
        Learned::New
    }

    fn part(&mut self, node: &Descriptor) -> &mut BTreeMap<SocketAddr, Known> {
        if node.is_coordinator() {
            &mut self.coordinators
        } else if node.place.same_region(self.me.place) {
            &mut self.near
        } else {
            &mut self.far
        }
    }

    /// Forgets the oldest nodes of the part that `node` came into, where it has outgrown its bound.
    fn trim(&mut self, node: Descriptor) {
        let region = node.place.region;
        if node.is_coordinator() {
            trim(&mut self.coordinators, COORDINATORS, |_| true);
        } else if node.place.same_region(self.me.place) {
            trim(&mut self.near, self.near_limit, |_| true);
        } else {
            trim(&mut self.far, self.far_region_limit, |known| {
                known.node.place.region == region
            });
            trim(&mut self.far, self.far_limit, |_| true);
        }
    }

    /// Forgets a node that has left or does not answer. A coordinator that does not answer is kept,
    /// as it will be needed when it comes back; one that `left` is not.
    pub fn forget(&mut self, address: SocketAddr, left: bool) {
        self.near.remove(&address);
        self.far.remove(&address);
        if left {
            self.coordinators.remove(&address);
        }
    }

    /// Forgets nodes of which nothing was heard for too long.
    pub fn expire(&mut self, now: Duration) {
        let fresh = |limit: Duration| {
            move |_: &SocketAddr, known: &mut Known| now.saturating_sub(known.alive) <= limit
        };
        self.near.retain(fresh(FORGET_AGENT));
        self.far.retain(fresh(FORGET_AGENT));
        self.coordinators.retain(fresh(FORGET_COORDINATOR));
    }

    /// What is known of the node at `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&Known> {
        let near = self.near.get(&address);
        near.or_else(|| self.far.get(&address))
            .or_else(|| self.coordinators.get(&address))
    }

    /// The coordinators.
    pub fn coordinators(&self) -> impl Iterator<Item = &Descriptor> {
        self.coordinators.values().map(|known| &known.node)
    }

    /// Agents of the own region.
    pub fn near(&self) -> impl Iterator<Item = &Descriptor> {
        self.near.values().map(|known| &known.node)
    }

    /// Agents of other regions.
    pub fn far(&self) -> impl Iterator<Item = &Descriptor> {
        self.far.values().map(|known| &known.node)
    }

    /// Number of nodes in the view.
    #[must_use]
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len() + self.coordinators.len()
    }

    /// Whether nobody is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Up to `size` nodes for `receiver`: a quarter of coordinators, an agent of another region, by
    /// which a region cut off from its coordinators finds others, and agents of its own region;
    /// more of the others where those are few.
    pub fn sample(
        &self,
        now: Duration,
        receiver: &Descriptor,
        size: usize,
        random: &mut Xoshiro256PlusPlus,
    ) -> Vec<Aged> {
        let inside = |known: &&Known| known.node.place.same_region(receiver.place);
        let all = || {
            self.near
                .values()
                .chain(self.far.values())
                .filter(|known| known.node.address != receiver.address)
        };
        let others = self
            .coordinators
            .values()
            .filter(|known| known.node.address != receiver.address);
        let mut chosen = draw(others, size.div_ceil(4), random);
        let near = draw(
            all().filter(inside),
            size.saturating_sub(chosen.len() + 1),
            random,
        );
        chosen.extend(near);
        let rest = size.saturating_sub(chosen.len());
        chosen.extend(draw(all().filter(|known| !inside(known)), rest, random));
        chosen.into_iter().map(|known| known.aged(now)).collect()
    }
}

impl Known {
    fn update(&mut self, node: Descriptor, alive: Duration) -> Learned {
        self.alive = self.alive.max(alive);
        if node.incarnation <= self.node.incarnation {
            return Learned::Known;
        }
        self.node = node;
        Learned::New
    }

    fn aged(&self, now: Duration) -> Aged {
        let age = now.saturating_sub(self.alive).as_secs();
        Aged {
            node: self.node,
            age_s: u16::try_from(age).unwrap_or(u16::MAX),
        }
    }
}

/// Removes the oldest of the nodes that `counted` selects until `limit` are left. Equal ages are
/// ordered by a hash, so that the view does not lean to low addresses.
fn trim(part: &mut BTreeMap<SocketAddr, Known>, limit: usize, counted: impl Fn(&Known) -> bool) {
    while part.values().filter(|known| counted(known)).count() > limit {
        let chosen = part.values().filter(|known| counted(known));
        let oldest = chosen.min_by_key(|known| (known.alive, hash::address(known.node.address)));
        let Some(oldest) = oldest.map(|known| known.node.address) else {
            return;
        };
        part.remove(&oldest);
    }
}

/// Up to `size` of `nodes`, each as likely as any other.
fn draw<'a>(
    nodes: impl Iterator<Item = &'a Known>,
    size: usize,
    random: &mut Xoshiro256PlusPlus,
) -> Vec<&'a Known> {
    let mut nodes: Vec<&Known> = nodes.collect();
    let (chosen, _) = nodes.partial_shuffle(random, size);
    chosen.to_vec()
}
