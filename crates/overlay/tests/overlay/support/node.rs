//! A node of the simulated network.

use std::collections::BTreeMap;
use std::time::Duration;

use ironmast_overlay::{Descriptor, Event, Overlay};

use super::traffic::Traffic;

/// A simulated machine and its process, if one runs.
pub(crate) struct Node {
    pub descriptor: Descriptor,
    pub overlay: Option<Overlay>,
    pub sent: Traffic,
    pub received: Traffic,
    /// Whether the machine is off: connections to it hang, while those to a machine without the
    /// process are refused.
    pub(super) is_powered_off: bool,
    pub(super) timer: Option<Duration>,
    pub(super) connections: BTreeMap<usize, u64>,
    /// Newest version reported by `Changed`, by key.
    pub versions: BTreeMap<u64, u64>,
    /// Number of events handled.
    pub events_handled: u64,
    /// Number of received messages with pushed entries.
    pub pushes: u64,
    /// Events that a paused process has not read yet.
    pub(super) unread: Option<Vec<Event>>,
}

impl Node {
    /// A machine that is on and has no running process.
    pub(super) fn new(descriptor: Descriptor) -> Node {
        Node {
            descriptor,
            overlay: None,
            sent: Traffic::default(),
            received: Traffic::default(),
            is_powered_off: false,
            timer: None,
            connections: BTreeMap::new(),
            versions: BTreeMap::new(),
            events_handled: 0,
            pushes: 0,
            unread: None,
        }
    }
}
