//! Subscribers: agents and other coordinators that are connected to this coordinator and receive
//! its keep-alive frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ironmast_schema::control::{FromCoordinator, Observation};
use tokio::sync::mpsc;

/// The queue of frames to one subscriber.
pub(crate) type SubscriberQueue = mpsc::UnboundedSender<FromCoordinator>;

/// Identifies a subscriber; never reused while the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SubscriberId(u64);

/// The kind of node that has subscribed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubscriberKind {
    /// An agent, which receives no observations of endpoints.
    Agent,
    /// Another coordinator.
    Coordinator,
}

/// Contents of a keep-alive frame to all subscribers.
#[derive(Debug, Clone)]
pub(crate) struct KeepAlive {
    /// Addresses of the other known coordinators.
    pub coordinators: Vec<SocketAddr>,
    /// Endpoints that have reported since the previous keep-alive, each with the sequence number or
    /// version of the report. Sent to coordinators only.
    pub observed: Vec<Observation>,
    /// Whether subscribers may treat this coordinator's state as fresh.
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

/// The connected subscribers.
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
        // If the subscriber has already disconnected, the next broadcast removes it.
        let _ = queue.send(first.to_frame(kind));
        self.last_id += 1;
        let id = SubscriberId(self.last_id);
        self.subscribers.insert(id, Subscriber { queue, kind });
        id
    }

    /// Removes a subscriber, if it has not been removed already.
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
