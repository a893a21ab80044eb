//! Distribution of small versioned state from a few coordinators to all agents, over a relay tree
//! that the nodes build among themselves. No I/O, no clock: [`Overlay::handle`] takes events with
//! the time and appends actions.
//!
//! - [`Store`] holds an entry per key; the newest version wins, in whatever order versions arrive.
//!   Stores are compared by digest.
//! - [`View`] is a partial view of the nodes, kept fresh by shuffles (Cyclon, `HyParView`).
//! - [`Overlay`] holds the links, the tree over them (Plumtree) with one edge into each region,
//!   heartbeats only where there is no other traffic, and the repair.
//!
//! The caller owns the connections. A node is named by the address it listens at; a connection
//! begins with a preamble of the caller's in which the opener says its own. When two nodes open one
//! to each other at once, the caller keeps either and reports [`Event::Disconnected`] only when
//! none is left.

#![forbid(unsafe_code)]

mod beats;
mod hash;
mod link;
mod message;
mod node;
mod overlay;
mod settings;
mod store;
mod view;

pub use beats::Beats;
pub use message::{Aged, Beat, Entry, Heartbeat, Message, Position};
pub use node::{Descriptor, NodeId, Place, Role};
pub use overlay::{Action, Event, Overlay};
#[doc(hidden)]
pub use settings::Guards;
pub use settings::Settings;
pub use store::{BUCKETS, Buckets, Held, Key, Merged, Store, Version};
pub use view::{Known, Learned, View};
