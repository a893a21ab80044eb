//! The state of an in-memory network: packets in flight, links and their timeouts as the clock
//! advances.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::frames::queue::{OutgoingQueue, QueueLimits};
use crate::frames::{FrameError, Hello, LinkError, LinkErrorKind, LinkId, LinkOptions, LinkPhase};

/// A unit sent on a link from one end to the other.
#[derive(Debug)]
enum Packet {
    Hello(Vec<u8>),
    Frame(Vec<u8>),
    Close,
}

/// An event that is queued for a transport, with its frame not yet decoded.
pub(super) enum QueuedEvent {
    Up {
        link: LinkId,
        peer: SocketAddr,
        hello: Hello,
        dialed: bool,
    },
    Frame {
        link: LinkId,
        peer: SocketAddr,
        frame: Vec<u8>,
    },
    Down {
        link: LinkId,
        error: LinkError,
    },
}

impl QueuedEvent {
    fn link(&self) -> LinkId {
        match self {
            QueuedEvent::Up { link, .. }
            | QueuedEvent::Frame { link, .. }
            | QueuedEvent::Down { link, .. } => *link,
        }
    }
}

/// One end of a link.
#[expect(
    clippy::struct_excessive_bools,
    reason = "four independent facts; most combinations occur"
)]
pub(super) struct LinkEnd {
    pub(super) address: SocketAddr,
    /// The process at this end knows of the link: it opened the link, or the first packet has
    /// arrived. An end that does not know of the link gets no event of its end.
    is_aware: bool,
    /// This end's handshake has arrived at the other end and was accepted.
    handshake_done: bool,
    /// The link has ended at this end, which gets no further events.
    is_ended: bool,
    /// Packets that were sent and have not arrived, each with its arrival time.
    in_flight: VecDeque<(Duration, Packet)>,
    /// Frames that are queued and not sent.
    pub(super) queue: OutgoingQueue,
    /// The link is to be closed once the queue has been sent.
    closing: bool,
}

pub(super) struct Link {
    pub(super) id: LinkId,
    pub(super) ends: [LinkEnd; 2],
    /// When the link was opened.
    pub(super) opened_at: Duration,
}

/// One process.
pub(super) struct Node {
    pub(super) hello: Hello,
    pub(super) options: LinkOptions,
    pub(super) events: VecDeque<QueuedEvent>,
    /// Notified when an event is queued.
    pub(super) changed: Rc<Notify>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) now: Duration,
    pub(super) links_opened: u64,
    pub(super) nodes: BTreeMap<SocketAddr, Node>,
    pub(super) links: Vec<Link>,
    /// Directions in which no packet arrives, each with the time of the partition.
    pub(super) partitions: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    /// Latencies by direction.
    pub(super) delays: BTreeMap<(SocketAddr, SocketAddr), Duration>,
}

impl State {
    pub(super) fn node(&mut self, address: SocketAddr) -> Option<&mut Node> {
        self.nodes.get_mut(&address)
    }

    fn queue_event(&mut self, address: SocketAddr, event: QueuedEvent) {
        if let Some(node) = self.node(address) {
            node.events.push_back(event);
            node.changed.notify_one();
        }
    }

    /// The earliest time after now at which a packet arrives or a link times out.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let arrivals = self
            .links
            .iter()
            .flat_map(|link| &link.ends)
            .filter_map(|end| end.in_flight.front());
        let arrivals = arrivals.map(|(due, _)| *due);
        let timeouts = self.links.iter().filter_map(|link| self.timeout_at(link));
        arrivals.chain(timeouts).filter(|&due| due > self.now).min()
    }

    /// When a link times out if nothing changes.
    fn timeout_at(&self, link: &Link) -> Option<Duration> {
        let [first, second] = [link.ends[0].address, link.ends[1].address];
        let options = link
            .ends
            .iter()
            .find_map(|end| self.nodes.get(&end.address))?
            .options;
        let since = [(first, second), (second, first)]
            .iter()
            .filter_map(|direction| self.partitions.get(direction))
            .min();
        let peer_timeout = since.map(|&since| since.max(link.opened_at) + options.peer_timeout);
        let is_up = link.ends.iter().all(|end| end.handshake_done);
        let connect_timeout = (!is_up).then_some(link.opened_at + options.connect_timeout);
        [peer_timeout, connect_timeout].into_iter().flatten().min()
    }

    /// Processes everything that is due: timeouts, sends and deliveries, until nothing changes.
    pub(super) fn run_due(&mut self) {
        self.end_timed_out_links();
        loop {
            let mut has_changed = false;
            for index in 0..self.links.len() {
                for from in 0..2 {
                    has_changed |= self.send(index, from);
                    has_changed |= self.deliver(index, from);
                }
            }
            self.links
                .retain(|link| !link.ends.iter().all(|end| end.is_ended));
            if !has_changed {
                return;
            }
        }
    }

    fn end_timed_out_links(&mut self) {
        let timed_out: BTreeSet<_> = self
            .links
            .iter()
            .filter(|link| self.timeout_at(link).is_some_and(|at| at <= self.now))
            .map(|link| link.id)
            .collect();
        for index in 0..self.links.len() {
            if !timed_out.contains(&self.links[index].id) {
                continue;
            }
            for end in 0..2 {
                let phase = if self.links[index].ends.iter().all(|end| end.handshake_done) {
                    LinkPhase::Read
                } else {
                    LinkPhase::Connect
                };
                self.end_link(index, end, phase, LinkErrorKind::TimedOut);
            }
        }
    }

    /// Ends a link at one of its ends, which gets an event if it knows of the link.
    pub(super) fn end_link(
        &mut self,
        index: usize,
        end: usize,
        phase: LinkPhase,
        kind: LinkErrorKind,
    ) {
        let link = &mut self.links[index];
        if std::mem::replace(&mut link.ends[end].is_ended, true) || !link.ends[end].is_aware {
            return;
        }
        let (id, address, peer) = (link.id, link.ends[end].address, link.ends[1 - end].address);
        self.queue_event(
            address,
            QueuedEvent::Down {
                link: id,
                error: LinkError { phase, peer, kind },
            },
        );
    }

    /// Resets the selected links: packets in flight on them are lost.
    pub(super) fn reset(&mut self, selects: impl Fn(&Link) -> bool) {
        for index in 0..self.links.len() {
            if !selects(&self.links[index]) {
                continue;
            }
            for end in 0..2 {
                self.links[index].ends[end].in_flight.clear();
                let reset = std::io::ErrorKind::ConnectionReset.into();
                self.end_link(index, end, LinkPhase::Read, LinkErrorKind::Io(reset));
            }
        }
        self.links
            .retain(|link| !link.ends.iter().all(|end| end.is_ended));
    }

    /// Sends the queue of one end. Frames stay queued while the network is partitioned or the
    /// receiver has no space. Returns whether a packet was sent.
    fn send(&mut self, index: usize, from: usize) -> bool {
        let direction = (
            self.links[index].ends[from].address,
            self.links[index].ends[1 - from].address,
        );
        if self.partitions.contains_key(&direction) || !self.has_space(direction.1) {
            return false;
        }
        let due = self.now + self.delays.get(&direction).copied().unwrap_or_default();
        let end = &mut self.links[index].ends[from];
        let mut has_changed = false;
        while let Some(frame) = end.queue.pop() {
            end.send(due, Packet::Frame(frame));
            has_changed = true;
        }
        if std::mem::take(&mut end.closing) {
            end.send(due, Packet::Close);
            has_changed = true;
        }
        has_changed
    }

    /// Whether a process has space for events. Links to a process without space are not read.
    fn has_space(&self, address: SocketAddr) -> bool {
        self.nodes
            .get(&address)
            .is_some_and(|node| node.events.len() < node.options.max_queued_events)
    }

    /// Delivers the packets from one end that have arrived at the other. Returns whether there were
    /// any.
    fn deliver(&mut self, index: usize, from: usize) -> bool {
        let mut has_changed = false;
        let direction = (
            self.links[index].ends[from].address,
            self.links[index].ends[1 - from].address,
        );
        loop {
            let link = &mut self.links[index];
            let arrived = link.ends[from]
                .in_flight
                .front()
                .is_some_and(|(due, _)| *due <= self.now);
            if !arrived || self.partitions.contains_key(&direction) || !self.has_space(direction.1)
            {
                return has_changed;
            }
            let Some((_, packet)) = self.links[index].ends[from].in_flight.pop_front() else {
                return has_changed;
            };
            self.receive(index, from, packet);
            has_changed = true;
        }
    }

    /// Handles a packet from one end that has arrived at the other.
    fn receive(&mut self, index: usize, from: usize, packet: Packet) {
        let (to, link) = (1 - from, &self.links[index]);
        let (id, peer, address) = (link.id, link.ends[from].address, link.ends[to].address);
        if link.ends[to].is_ended {
            return;
        }
        match packet {
            Packet::Hello(frame) => {
                let Some(ours) = self.node(address).map(|node| node.hello.clone()) else {
                    return;
                };
                if !std::mem::replace(&mut self.links[index].ends[to].is_aware, true) {
                    self.send_hello(index, to, &ours);
                }
                match ours.check_peer(&frame) {
                    Ok(hello) => {
                        self.links[index].ends[from].handshake_done = true;
                        self.queue_event(
                            address,
                            QueuedEvent::Up {
                                link: id,
                                peer,
                                hello,
                                dialed: to == 0,
                            },
                        );
                    }
                    Err(error) => {
                        self.end_link(index, to, LinkPhase::Handshake, error.into());
                        self.close(index, to);
                    }
                }
            }
            Packet::Frame(frame) => {
                let max_bytes = self
                    .node(address)
                    .map_or(0, |node| node.options.max_frame_bytes);
                if frame.len() > max_bytes {
                    self.end_link(
                        index,
                        to,
                        LinkPhase::Read,
                        FrameError::TooLong { max_bytes }.into(),
                    );
                    return self.close(index, to);
                }
                self.queue_event(
                    address,
                    QueuedEvent::Frame {
                        link: id,
                        peer,
                        frame,
                    },
                );
            }
            Packet::Close => {
                let handshake_done = self.links[index].ends[from].handshake_done;
                let phase = if handshake_done {
                    LinkPhase::Read
                } else {
                    LinkPhase::Handshake
                };
                self.end_link(index, to, phase, LinkErrorKind::Closed);
                self.close(index, to);
            }
        }
    }

    /// Sends a handshake.
    pub(super) fn send_hello(&mut self, index: usize, from: usize, hello: &Hello) {
        let direction = (
            self.links[index].ends[from].address,
            self.links[index].ends[1 - from].address,
        );
        let due = self.now + self.delays.get(&direction).copied().unwrap_or_default();
        // A handshake that is too long is replaced by an empty frame, which the peer rejects.
        let frame = hello.encode_frame().unwrap_or_default();
        self.links[index].ends[from].send(due, Packet::Hello(frame));
    }

    /// Closes a link from one end once that end's queue has been sent.
    pub(super) fn close(&mut self, index: usize, end: usize) {
        let end = &mut self.links[index].ends[end];
        (end.is_ended, end.closing) = (true, true);
    }

    /// The index of a link, and of its end at an address, unless the link has ended there.
    pub(super) fn find(&self, address: SocketAddr, id: LinkId) -> Option<(usize, usize)> {
        let index = self.links.iter().position(|link| link.id == id)?;
        let end = self.links[index]
            .ends
            .iter()
            .position(|end| end.address == address && !end.is_ended)?;
        Some((index, end))
    }

    /// Closes a link at an address and discards the queued events of the link there.
    pub(super) fn close_link(&mut self, address: SocketAddr, id: LinkId) {
        if let Some(node) = self.node(address) {
            node.events.retain(|event| event.link() != id);
        }
        if let Some((index, end)) = self.find(address, id) {
            self.close(index, end);
        }
    }
}

impl LinkEnd {
    pub(super) fn new(address: SocketAddr, is_aware: bool, limits: QueueLimits) -> Self {
        let queue = OutgoingQueue::new(limits);
        let in_flight = VecDeque::new();
        LinkEnd {
            address,
            is_aware,
            handshake_done: false,
            is_ended: false,
            in_flight,
            queue,
            closing: false,
        }
    }

    fn send(&mut self, due: Duration, packet: Packet) {
        // Packets of one direction do not overtake each other.
        let last = self.in_flight.back().map_or(due, |(due, _)| *due);
        self.in_flight.push_back((due.max(last), packet));
    }
}
