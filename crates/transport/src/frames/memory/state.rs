//! The state of a network in memory: what is on its way, and what happens as the clock moves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::frames::queue::{OutgoingQueue, QueueLimits};
use crate::frames::{FrameError, Hello, LinkError, LinkErrorKind, LinkId, LinkOptions, LinkPhase};

/// What travels on a link, from one end to the other.
#[derive(Debug)]
enum Packet {
    Hello(Vec<u8>),
    Frame(Vec<u8>),
    Close,
}

/// What waits to be taken from a transport, before its bytes are read.
pub(super) enum Waiting {
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

impl Waiting {
    fn link(&self) -> LinkId {
        match self {
            Waiting::Up { link, .. } | Waiting::Frame { link, .. } | Waiting::Down { link, .. } => {
                *link
            }
        }
    }
}

/// One end of a link.
pub(super) struct End {
    pub(super) address: SocketAddr,
    /// It has heard of the link.
    knows: bool,
    /// Its greeting has come and fits.
    greeted: bool,
    /// This end does not hear of the link any more.
    deaf: bool,
    /// Sent and on its way, each with the moment at which it arrives.
    on_the_way: VecDeque<(Duration, Packet)>,
    /// Taken and not sent.
    pub(super) queue: OutgoingQueue,
    /// To be closed once all that was taken has been sent.
    closing: bool,
}

pub(super) struct Link {
    pub(super) id: LinkId,
    pub(super) ends: [End; 2],
    pub(super) began: Duration,
}

/// One process.
pub(super) struct Node {
    pub(super) hello: Hello,
    pub(super) options: LinkOptions,
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) wake: Rc<Notify>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) now: Duration,
    pub(super) links_begun: u64,
    pub(super) nodes: BTreeMap<SocketAddr, Node>,
    pub(super) links: Vec<Link>,
    /// Directions on which nothing arrives, and since when.
    pub(super) cut: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    pub(super) delays: BTreeMap<(SocketAddr, SocketAddr), Duration>,
}

impl State {
    pub(super) fn node(&mut self, at: SocketAddr) -> Option<&mut Node> {
        self.nodes.get_mut(&at)
    }

    fn tell(&mut self, at: SocketAddr, waiting: Waiting) {
        if let Some(node) = self.node(at) {
            node.waiting.push_back(waiting);
            node.wake.notify_one();
        }
    }

    /// The earliest moment after now at which something may happen by itself.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let arrivals = self
            .links
            .iter()
            .flat_map(|link| &link.ends)
            .filter_map(|end| end.on_the_way.front());
        let arrivals = arrivals.map(|(due, _)| *due);
        let ends = self.links.iter().filter_map(|link| self.gives_up_at(link));
        arrivals.chain(ends).filter(|&due| due > self.now).min()
    }

    /// When a link ends by silence, if it goes on as it is.
    fn gives_up_at(&self, link: &Link) -> Option<Duration> {
        let [one, other] = [link.ends[0].address, link.ends[1].address];
        let options = link
            .ends
            .iter()
            .find_map(|end| self.nodes.get(&end.address))?
            .options;
        let since = [(one, other), (other, one)]
            .iter()
            .filter_map(|way| self.cut.get(way))
            .min();
        let silent = since.map(|&since| since.max(link.began) + options.silence_timeout);
        let up = link.ends.iter().all(|end| end.greeted);
        let connect = (!up).then_some(link.began + options.connect_timeout);
        [silent, connect].into_iter().flatten().min()
    }

    /// Carries out all that happens by now.
    pub(super) fn settle(&mut self) {
        self.give_up();
        loop {
            let mut moved = false;
            for at in 0..self.links.len() {
                for from in 0..2 {
                    moved |= self.send(at, from);
                    moved |= self.deliver(at, from);
                }
            }
            self.links
                .retain(|link| !link.ends.iter().all(|end| end.deaf));
            if !moved {
                return;
            }
        }
    }

    fn give_up(&mut self) {
        let late: BTreeSet<_> = self
            .links
            .iter()
            .filter(|link| self.gives_up_at(link).is_some_and(|at| at <= self.now))
            .map(|link| link.id)
            .collect();
        for at in 0..self.links.len() {
            if !late.contains(&self.links[at].id) {
                continue;
            }
            for end in 0..2 {
                let step = if self.links[at].ends.iter().all(|end| end.greeted) {
                    LinkPhase::Read
                } else {
                    LinkPhase::Connect
                };
                self.down(at, end, step, LinkErrorKind::TimedOut);
            }
        }
    }

    /// Ends a link for one of its ends.
    pub(super) fn down(&mut self, at: usize, end: usize, step: LinkPhase, cause: LinkErrorKind) {
        let link = &mut self.links[at];
        if std::mem::replace(&mut link.ends[end].deaf, true) || !link.ends[end].knows {
            return;
        }
        let (id, address, peer) = (link.id, link.ends[end].address, link.ends[1 - end].address);
        self.tell(
            address,
            Waiting::Down {
                link: id,
                error: LinkError { step, peer, cause },
            },
        );
    }

    pub(super) fn reset(&mut self, which: impl Fn(&Link) -> bool) {
        for at in 0..self.links.len() {
            if !which(&self.links[at]) {
                continue;
            }
            for end in 0..2 {
                self.links[at].ends[end].on_the_way.clear();
                let reset = std::io::ErrorKind::ConnectionReset.into();
                self.down(at, end, LinkPhase::Read, LinkErrorKind::Io(reset));
            }
        }
        self.links
            .retain(|link| !link.ends.iter().all(|end| end.deaf));
    }

    /// Sends what one end has taken, unless its way is cut: then it waits, within its bounds.
    fn send(&mut self, at: usize, from: usize) -> bool {
        let way = (
            self.links[at].ends[from].address,
            self.links[at].ends[1 - from].address,
        );
        if self.cut.contains_key(&way) || !self.has_room(way.1) {
            return false;
        }
        let arrives = self.now + self.delays.get(&way).copied().unwrap_or_default();
        let end = &mut self.links[at].ends[from];
        let mut moved = false;
        while let Some(frame) = end.queue.pop() {
            end.put(arrives, Packet::Frame(frame));
            moved = true;
        }
        if std::mem::take(&mut end.closing) {
            end.put(arrives, Packet::Close);
            moved = true;
        }
        moved
    }

    /// Whether a process takes what comes: links to one that does not are not read.
    fn has_room(&self, at: SocketAddr) -> bool {
        self.nodes
            .get(&at)
            .is_some_and(|node| node.waiting.len() < node.options.max_waiting_events)
    }

    /// Delivers what has arrived from one end at the other.
    fn deliver(&mut self, at: usize, from: usize) -> bool {
        let mut moved = false;
        let way = (
            self.links[at].ends[from].address,
            self.links[at].ends[1 - from].address,
        );
        loop {
            let link = &mut self.links[at];
            let arrived = link.ends[from]
                .on_the_way
                .front()
                .is_some_and(|(due, _)| *due <= self.now);
            if !arrived || self.cut.contains_key(&way) || !self.has_room(way.1) {
                return moved;
            }
            let Some((_, packet)) = self.links[at].ends[from].on_the_way.pop_front() else {
                return moved;
            };
            self.arrive(at, from, packet);
            moved = true;
        }
    }

    fn arrive(&mut self, at: usize, from: usize, packet: Packet) {
        let (to, link) = (1 - from, &self.links[at]);
        let (id, peer, address) = (link.id, link.ends[from].address, link.ends[to].address);
        if link.ends[to].deaf {
            return;
        }
        match packet {
            Packet::Hello(frame) => {
                let Some(ours) = self.node(address).map(|node| node.hello.clone()) else {
                    return;
                };
                if !std::mem::replace(&mut self.links[at].ends[to].knows, true) {
                    self.greet(at, to, &ours);
                }
                match ours.check(&frame) {
                    Ok(hello) => {
                        self.links[at].ends[from].greeted = true;
                        self.tell(
                            address,
                            Waiting::Up {
                                link: id,
                                peer,
                                hello,
                                dialed: to == 0,
                            },
                        );
                    }
                    Err(error) => {
                        self.down(at, to, LinkPhase::Greet, error.into());
                        self.close(at, to);
                    }
                }
            }
            Packet::Frame(frame) => {
                let most = self
                    .node(address)
                    .map_or(0, |node| node.options.max_frame_bytes);
                if frame.len() > most {
                    self.down(at, to, LinkPhase::Read, FrameError::TooLong { most }.into());
                    return self.close(at, to);
                }
                self.tell(
                    address,
                    Waiting::Frame {
                        link: id,
                        peer,
                        frame,
                    },
                );
            }
            Packet::Close => {
                let greeted = self.links[at].ends[from].greeted;
                let step = if greeted {
                    LinkPhase::Read
                } else {
                    LinkPhase::Greet
                };
                self.down(at, to, step, LinkErrorKind::Closed);
                self.close(at, to);
            }
        }
    }

    /// Sends a greeting.
    pub(super) fn greet(&mut self, at: usize, from: usize, hello: &Hello) {
        let way = (
            self.links[at].ends[from].address,
            self.links[at].ends[1 - from].address,
        );
        let arrives = self.now + self.delays.get(&way).copied().unwrap_or_default();
        // One that is too long is no greeting.
        let frame = hello.frame().unwrap_or_default();
        self.links[at].ends[from].put(arrives, Packet::Hello(frame));
    }

    /// Closes a link from one end, once what that has taken is sent.
    pub(super) fn close(&mut self, at: usize, end: usize) {
        let end = &mut self.links[at].ends[end];
        (end.deaf, end.closing) = (true, true);
    }

    /// Where among the links one is, and which of its ends is at an address, while that hears of
    /// it.
    pub(super) fn find(&self, address: SocketAddr, id: LinkId) -> Option<(usize, usize)> {
        let at = self.links.iter().position(|link| link.id == id)?;
        let end = self.links[at]
            .ends
            .iter()
            .position(|end| end.address == address && !end.deaf)?;
        Some((at, end))
    }

    /// Closes a link from an address, where nothing more of it is to be heard.
    pub(super) fn forget(&mut self, address: SocketAddr, id: LinkId) {
        if let Some(node) = self.node(address) {
            node.waiting.retain(|waiting| waiting.link() != id);
        }
        if let Some((at, end)) = self.find(address, id) {
            self.close(at, end);
        }
    }
}

impl End {
    pub(super) fn new(address: SocketAddr, knows: bool, limits: QueueLimits) -> Self {
        let queue = OutgoingQueue::new(limits);
        let on_the_way = VecDeque::new();
        End {
            address,
            knows,
            greeted: false,
            deaf: false,
            on_the_way,
            queue,
            closing: false,
        }
    }

    fn put(&mut self, arrives: Duration, packet: Packet) {
        // Nothing overtakes.
        let last = self.on_the_way.back().map_or(arrives, |(due, _)| *due);
        self.on_the_way.push_back((arrives.max(last), packet));
    }
}
