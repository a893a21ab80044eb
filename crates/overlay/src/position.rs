//! The position of a node in the relay tree, which heartbeats carry.

use serde::{Deserialize, Serialize};

use crate::node::{Descriptor, NodeId};

/// The position of a node in the relay tree, from which neighbours choose their parents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TreePosition {
    /// A coordinator, the root of a tree.
    Root {
        /// Whether the coordinator is in contact with a majority of the coordinators.
        in_contact: bool,
    },
    /// An agent without a parent.
    #[default]
    Detached,
    /// An agent with a parent.
    Descendant {
        /// Nodes on the path from the coordinator to the agent's parent, both included.
        path: Vec<NodeId>,
        /// Score of the agent through which its region is attached, 0 when the region is attached
        /// to a coordinator inside it.
        region_head: u32,
        /// Score of the agent through which its zone is attached, 0 when the zone is attached to a
        /// coordinator inside it.
        zone_head: u32,
        /// Whether the coordinator at the start of the path is in contact with a majority, as far
        /// as this agent knows.
        in_contact: bool,
    },
}

impl TreePosition {
    /// Whether a node at this position is a coordinator or has a parent.
    #[must_use]
    pub fn is_attached(&self) -> bool {
        !matches!(self, TreePosition::Detached)
    }

    /// Whether the root above a node at this position, or the node itself if it is a root, is in
    /// contact with a majority of the coordinators.
    #[must_use]
    pub fn is_in_contact(&self) -> bool {
        matches!(
            self,
            TreePosition::Root { in_contact: true }
                | TreePosition::Descendant {
                    in_contact: true,
                    ..
                }
        )
    }

    /// The coordinator at the start of the path to an agent; `None` for a coordinator and for a
    /// detached agent.
    pub(crate) fn root(&self) -> Option<NodeId> {
        match self {
            TreePosition::Descendant { path, .. } => path.first().copied(),
            TreePosition::Root { .. } | TreePosition::Detached => None,
        }
    }

    /// Whether `node` is on the path from the root to a node at this position.
    pub(crate) fn path_contains(&self, node: NodeId) -> bool {
        matches!(self, TreePosition::Descendant { path, .. } if path.contains(&node))
    }

    /// Number of hops from the root; `None` for a detached agent.
    #[must_use]
    pub fn depth(&self) -> Option<usize> {
        match self {
            TreePosition::Root { .. } => Some(0),
            TreePosition::Detached => None,
            TreePosition::Descendant { path, .. } => Some(path.len()),
        }
    }

    /// The position of `child` below `parent`, where `self` is the position of the parent.
    pub(crate) fn child_position(&self, parent: &Descriptor, child: &Descriptor) -> TreePosition {
        let (mut path, region_head, zone_head) = match self {
            TreePosition::Detached => return TreePosition::Detached,
            TreePosition::Root { .. } => (Vec::new(), 0, 0),
            TreePosition::Descendant {
                path,
                region_head,
                zone_head,
                ..
            } => (path.clone(), *region_head, *zone_head),
        };
        path.push(parent.id());
        let same_region = parent.locality.same_region(child.locality);
        let same_zone = parent.locality == child.locality;
        TreePosition::Descendant {
            path,
            region_head: if same_region {
                region_head
            } else {
                child.score()
            },
            zone_head: if same_zone { zone_head } else { child.score() },
            in_contact: self.is_in_contact(),
        }
    }
}
