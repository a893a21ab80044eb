//! What a node keeps about one neighbour.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::beats::Sent;
use crate::message::{Heartbeat, Position};
use crate::node::{Descriptor, NodeId};
use crate::store::Key;

/// Heartbeat intervals after which one is sent even on a link with other traffic, as only it
/// carries the position.
const STATUS_INTERVALS: u32 = 3;

/// A connection to a neighbour.
#[derive(Debug)]
pub(crate) struct Link {
    /// The neighbour, once it has said who it is.
    pub node: Option<Descriptor>,
    /// Whether this node opened the connection.
    pub opened_here: bool,
    pub opened: Duration,
    pub heard: Duration,
    pub sent: Duration,
    status_sent: Duration,
    sequence: u32,
    peer_sequence: u32,
    /// Oldest heartbeat the neighbour has not confirmed, and when it was sent.
    unconfirmed: Option<(u32, Duration)>,
    /// Whether the neighbour has confirmed a heartbeat of ours, so that the link works both ways.
    pub confirmed: bool,
    pub position: Position,
    pub room: u8,
    /// We push changes to the neighbour.
    pub feeds: bool,
    /// Changes to push.
    pub eager: BTreeSet<Key>,
    /// When the last push left.
    pub pushed: Duration,
    /// Changes to announce.
    pub lazy: BTreeSet<Key>,
    /// When they are announced.
    pub announce_at: Option<Duration>,
    /// Until when the neighbour is not asked to be the source: it refused or failed as one.
    pub avoid_until: Duration,
    /// Beats sent on this link.
    pub beats: Sent,
    /// Heartbeats in a row whose digest differs from ours.
    pub differing: u32,
    /// A change of our state that the neighbour must be told.
    pub tell: bool,
}

impl Link {
    pub(crate) fn new(now: Duration) -> Link {
        Link {
            node: None,
            opened_here: false,
            opened: now,
            heard: now,
            sent: now,
            status_sent: now,
            sequence: 0,
            peer_sequence: 0,
            unconfirmed: None,
            confirmed: false,
            position: Position::Detached,
            room: 0,
            feeds: false,
            eager: BTreeSet::new(),
            pushed: Duration::ZERO,
            lazy: BTreeSet::new(),
            announce_at: None,
            avoid_until: Duration::ZERO,
            beats: Sent::default(),
            differing: 0,
            tell: true,
        }
    }

    pub(crate) fn is_coordinator(&self) -> bool {
        self.node.is_some_and(|node| node.is_coordinator())
    }

    /// The number and the confirmation for a heartbeat that leaves now.
    pub(crate) fn number(&mut self, now: Duration) -> (u32, u32) {
        self.sequence += 1;
        self.status_sent = now;
        self.unconfirmed.get_or_insert((self.sequence, now));
        (self.sequence, self.peer_sequence)
    }

    /// Takes the neighbour's heartbeat in; whether its position changed.
    pub(crate) fn heartbeat(&mut self, heartbeat: &Heartbeat) -> bool {
        // The first one is answered at once: it is by the answer that the neighbour knows of both
        // ways.
        self.tell |= self.peer_sequence == 0;
        self.peer_sequence = heartbeat.sequence;
        if heartbeat.echo > 0 {
            self.confirmed = true;
        }
        if self
            .unconfirmed
            .is_some_and(|(sequence, _)| heartbeat.echo >= sequence)
        {
            self.unconfirmed = None;
        }
        self.room = heartbeat.room;
        let changed = self.position != heartbeat.position;
        self.position = heartbeat.position.clone();
        changed
    }

    /// Since when a heartbeat has waited for its confirmation.
    pub(crate) fn unconfirmed_since(&self) -> Option<Duration> {
        self.unconfirmed.map(|(_, at)| at)
    }

    /// Puts off all deadlines of the neighbour by the time that this node was stopped.
    pub(crate) fn forgive(&mut self, stall: Duration) {
        self.opened += stall;
        self.heard += stall;
        if let Some((_, since)) = &mut self.unconfirmed {
            *since += stall;
        }
    }

    /// When the last heartbeat was sent.
    pub(crate) fn status_sent(&self) -> Duration {
        self.status_sent
    }

    /// When the next heartbeat is due with this interval: the interval after the last message, and
    /// at the latest some intervals after the last heartbeat.
    pub(crate) fn heartbeat_due(&self, interval: Duration) -> Duration {
        (self.sent + interval).min(self.status_sent + interval * STATUS_INTERVALS)
    }

    /// When pending changes are pushed.
    pub(crate) fn push_due(&self, batch: Duration) -> Option<Duration> {
        (!self.eager.is_empty()).then_some(self.pushed + batch)
    }

    /// The neighbour has `key` in the version that we have, by its own word.
    pub(crate) fn settle(&mut self, key: Key) {
        self.lazy.remove(&key);
        self.eager.remove(&key);
        if self.lazy.is_empty() {
            self.announce_at = None;
        }
    }
}

impl Position {
    /// Whether a node at this position is fed, or a coordinator.
    #[must_use]
    pub fn is_attached(&self) -> bool {
        !matches!(self, Position::Detached)
    }

    /// Whether a node at this position is fed by a coordinator in contact with a majority, or is
    /// one.
    #[must_use]
    pub fn is_in_contact(&self) -> bool {
        matches!(
            self,
            Position::Root { in_contact: true }
                | Position::Under {
                    in_contact: true,
                    ..
                }
        )
    }

    /// The coordinator at the start of the path to an agent.
    pub(crate) fn root(&self) -> Option<NodeId> {
        match self {
            Position::Under { path, .. } => path.first().copied(),
            Position::Root { .. } | Position::Detached => None,
        }
    }

    /// Whether the way to a node at this position leads over `node`.
    pub(crate) fn passes(&self, node: NodeId) -> bool {
        matches!(self, Position::Under { path, .. } if path.contains(&node))
    }

    /// Hops from a coordinator; `None` when not fed.
    #[must_use]
    pub fn depth(&self) -> Option<usize> {
        match self {
            Position::Root { .. } => Some(0),
            Position::Detached => None,
            Position::Under { path, .. } => Some(path.len()),
        }
    }

    /// The position of `me` when fed by `source`, which stands at this one.
    pub(crate) fn below(&self, source: &Descriptor, me: &Descriptor) -> Position {
        let near = source.place.same_region(me.place);
        let close = source.place == me.place;
        let (mut path, region_head, zone_head) = match self {
            Position::Detached => return Position::Detached,
            Position::Root { .. } => (Vec::new(), 0, 0),
            Position::Under {
                path,
                region_head,
                zone_head,
                ..
            } => (path.clone(), *region_head, *zone_head),
        };
        path.push(source.id());
        Position::Under {
            path,
            region_head: if near { region_head } else { me.score() },
            zone_head: if close { zone_head } else { me.score() },
            in_contact: self.is_in_contact(),
        }
    }
}
