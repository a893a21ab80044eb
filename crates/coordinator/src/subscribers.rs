//! Agents and coordinators that are connected to this coordinator and receive its keep-alive
//! frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ironmast_schema::control::{FromCoordinator, Observation};
use tokio::sync::mpsc;

/// Frames queued for one subscriber.
pub(crate) type SubscriberQueue = mpsc::UnboundedSender<FromCoordinator>;

/// Identifies a subscriber for as long as the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SubscriberId(u64);

/// The kind of node that has subscribed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubscriberKind {
    /// An agent. It receives no reports about endpoints.
    Agent,
    /// Another coordinator.
    Coordinator,
}

/// Content of a keep-alive frame to all subscribers.
#[derive(Debug, Clone)]
pub(crate) struct KeepAlive {
    /// The other coordinators that are known.
    pub coordinators: Vec<SocketAddr>,
    /// Endpoints that have reported since the previous keep-alive, each with the sequence number or
    /// version of the report. Sent to coordinators only.
    pub observed: Vec<Observation>,
    /// Whether the subscriber may treat this coordinator's state as fresh.
    pub in_contact: bool,
}

impl KeepAlive {
    fn to_frame(&self, kind: SubscriberKind) -> FromCoordinator {
        FromCoordinator::KeepAlive {
            coordinators: self.coordinators.clone(),
            observed: match kind {
                SubscriberKind::Agent => Vec::new(),
                SubscriberKind::Coordinator => self.observed.clone(),
            },
            in_contact: self.in_contact,
        }
    }
}

struct Subscriber {
    queue: SubscriberQueue,
    kind: SubscriberKind,
}

/// All subscribers.
#[derive(Default)]
pub(crate) struct Subscribers {
    subscribers: BTreeMap<SubscriberId, Subscriber>,
    last_id: u64,
}

impl Subscribers {
    /// Adds a subscriber and sends it the first keep-alive.
    pub(crate) fn add(
        &mut self,
        queue: SubscriberQueue,
        kind: SubscriberKind,
        first: &KeepAlive,
    ) -> SubscriberId {
        // A subscriber that has disconnected already is removed by the next broadcast.
        let _ = queue.send(first.to_frame(kind));
        self.last_id += 1;
        let id = SubscriberId(self.last_id);
        self.subscribers.insert(id, Subscriber { queue, kind });
        id
    }

    /// Removes a subscriber.
    pub(crate) fn remove(&mut self, id: SubscriberId) {
        self.subscribers.remove(&id);
    }

    /// Sends a keep-alive to all subscribers, and removes those that have disconnected.
    pub(crate) fn broadcast(&mut self, keep_alive: &KeepAlive) {
        self.subscribers.retain(|_, subscriber| {
            subscriber
                .queue
                .send(keep_alive.to_frame(subscriber.kind))
                .is_ok()
        });
    }
}
