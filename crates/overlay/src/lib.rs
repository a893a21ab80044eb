//! Distribution of small versioned state from a few coordinators to all agents, over a relay tree
//! that the nodes build among themselves. The crate performs no I/O and reads no clock:
//! [`Overlay::handle`] takes events with the time and appends actions.
//!
//! - [`Store`] keeps one entry for each key; the newest version wins, in whatever order versions
//!   arrive. Stores are compared by digest.
//! - [`PassiveView`] is a partial view of the nodes, refreshed by shuffles (Cyclon, `HyParView`).
//! - [`Overlay`] holds the links, the tree over them (Plumtree) with one edge into each region,
//!   heartbeats where there is no other traffic, and anti-entropy.
//!
//! # Vocabulary
//!
//! | here | meaning | in the papers |
//! | --- | --- | --- |
//! | neighbour, link | a node with which there is a connection | `HyParView`'s active view |
//! | [`PassiveView`] | nodes that links may be opened to | Cyclon's cache, `HyParView`'s passive view |
//! | root, parent, child | a coordinator; the neighbour that pushes entries to an agent, and the reverse | Plumtree's eager peers |
//! | push | an entry that is sent without having been requested | eager push, GOSSIP |
//! | announcement | versions that are offered to neighbours that are not children | lazy push, IHAVE |
//! | request of a missing version | what follows an announcement whose entry doesn't arrive | the first part of GRAFT |
//! | graft, prune | becoming, and ceasing to be, a neighbour's child | GRAFT, PRUNE |
//! | relay target | a neighbour other than the children to which an entry is pushed | - |
//! | region head, zone head | the agent through which a region or a zone is attached to the tree | - |
//! | root heartbeat | a heartbeat of a coordinator that is passed down the tree; what arrives late shows a failed parent | - |
//! | shuffle | an exchange of samples of two views | Cyclon's shuffle |
//! | anti-entropy | comparison of stores by digest, and exchange of what differs | - |
//!
//! The caller owns the connections. A node is identified by the address it listens at; a connection
//! begins with a preamble of the caller's in which the opener states its own. When two nodes open a
//! connection to each other at once, the caller may use either and reports
//! [`Event::Disconnected`] only when none is left.

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
