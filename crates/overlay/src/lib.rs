//! Dissemination of small versioned entries from a few coordinators to all agents, over a relay
//! tree that the nodes build among themselves. The tree follows Plumtree, the views of the nodes
//! follow Cyclon and `HyParView`. The crate performs no I/O and reads no clock:
//! [`Overlay::handle`] takes events with the current time and appends the actions that the caller
//! carries out.
//!
//! - [`Store`] keeps one entry for each key; the newest version wins, in whatever order versions
//!   arrive. Two stores are compared by digest.
//! - [`PassiveView`] is a partial view of the nodes, refreshed by shuffles (Cyclon, `HyParView`).
//! - [`FreshnessTable`] derives the age of the local state from the heartbeats of the coordinators.
//! - [`Message`] is what nodes send each other; the caller encodes it.
//! - [`Overlay`] holds the links and combines the above: the relay tree over the links (Plumtree)
//!   with one edge into each region, heartbeats on links without other traffic, and anti-entropy.
//!
//! # Vocabulary
//!
//! | in this crate | meaning | in the papers |
//! | --- | --- | --- |
//! | neighbour, link | a node to which there is a connection, and the state kept for it | `HyParView`'s active view |
//! | [`PassiveView`] | nodes to which links may be opened | Cyclon's cache, `HyParView`'s passive view |
//! | root | a coordinator, at the top of a relay tree | - |
//! | parent, child | the neighbour that pushes entries to an agent, and the receiver of these pushes | Plumtree's eager push peers |
//! | push | an entry sent without a request | eager push, GOSSIP |
//! | announcement | keys and versions sent to neighbours that are not children | lazy push, IHAVE |
//! | request of a missing version | sent when an announced version does not arrive in time | the retransmission part of GRAFT |
//! | graft, prune | becoming, and ceasing to be, the child of a neighbour | GRAFT, PRUNE |
//! | relay target | a neighbour other than the children to which an entry is pushed | - |
//! | region head, zone head | the agent through which a region or a zone is attached to the tree | - |
//! | root heartbeat | a heartbeat of a coordinator that is relayed down the tree; it shows the age of the state, and a late one shows a failed parent | - |
//! | in contact | of a coordinator: able to reach a majority of the coordinators | - |
//! | shuffle | an exchange of samples of two views | Cyclon's shuffle |
//! | anti-entropy | comparison of two stores by digest, and exchange of the entries that differ | - |
//!
//! # Connections
//!
//! The caller owns the connections. A node is identified by its listening address; the side that
//! opens a connection states its own listening address first, in a preamble that the caller
//! defines. When two nodes open a connection to each other at the same time, the caller may use
//! either, and reports [`Event::Disconnected`] only when none is left.

#![forbid(unsafe_code)]

mod digest;
mod entry;
mod freshness;
mod hash;
mod link;
mod message;
mod node;
mod overlay;
mod passive_view;
mod position;
mod settings;
mod store;

pub use digest::{BUCKETS, Buckets};
pub use entry::{Entry, Key, Version};
pub use freshness::FreshnessTable;
pub use message::{AgedDescriptor, Heartbeat, Message, RootHeartbeat};
pub use node::{Descriptor, Locality, NodeId, Role};
pub use overlay::{Action, Event, Overlay};
pub use passive_view::{PassiveView, ViewEntry, ViewUpdate};
pub use position::TreePosition;
#[doc(hidden)]
pub use settings::Guards;
pub use settings::Settings;
pub use store::{Collected, Comparison, MergeOutcome, Store, StoredEntry};
