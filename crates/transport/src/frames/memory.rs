//! Links in memory under a simulated clock, with injected faults: delays, partitions, resets and
//! crashes. They serve tests of code that uses a [`MessageTransport`]. The network is
//! deterministic: the same calls produce the same events.

mod state;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use self::state::{Link, LinkEnd, Node, QueuedEvent, State};
use super::{
    Hello, LinkError, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MessageTransport,
    SendError, Sent, decode, encode,
};

/// An in-memory network of processes. Clones refer to the same network.
#[derive(Clone, Default)]
pub struct MemoryNetwork(Rc<RefCell<State>>);

impl MemoryNetwork {
    /// Starts a process that listens at an address. A process that listened there before is
    /// crashed.
    #[must_use]
    pub fn listen<M>(
        &self,
        address: SocketAddr,
        hello: Hello,
        options: LinkOptions,
    ) -> MemoryTransport<M> {
        self.crash(address);
        let changed = Rc::new(Notify::new());
        let node = Node {
            hello,
            options,
            events: VecDeque::new(),
            changed: Rc::clone(&changed),
        };
        self.0.borrow_mut().nodes.insert(address, node);
        MemoryTransport {
            network: self.clone(),
            address,
            changed,
            message: PhantomData,
        }
    }

    /// Time of the simulated clock, from 0 at the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.0.borrow().now
    }

    /// Advances the clock, delivering the messages and timeouts that are due in the meantime.
    pub fn advance(&self, by: Duration) {
        let mut state = self.0.borrow_mut();
        let until = state.now + by;
        while let Some(next) = state.next_due().filter(|&next| next <= until) {
            state.now = next.max(state.now);
            state.run_due();
        }
        state.now = until;
        state.run_due();
    }

    /// Time at which the next message arrives or the next timeout passes; `None` if nothing is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.0.borrow().next_due()
    }

    /// Sets the latency of messages sent from one process to another from now on.
    pub fn delay(&self, from: SocketAddr, to: SocketAddr, latency: Duration) {
        self.0.borrow_mut().delays.insert((from, to), latency);
    }

    /// Partitions the network in one direction: no packet from `from` arrives at `to`. Neither side
    /// gets an event until their links time out.
    pub fn partition(&self, from: SocketAddr, to: SocketAddr) {
        let mut state = self.0.borrow_mut();
        let now = state.now;
        state.partitions.entry((from, to)).or_insert(now);
    }

    /// Ends a partition. Messages that were sent during the partition arrive now, as TCP
    /// retransmits them.
    pub fn heal(&self, from: SocketAddr, to: SocketAddr) {
        let mut state = self.0.borrow_mut();
        state.partitions.remove(&(from, to));
        state.run_due();
    }

    /// Resets all links between two processes: messages in flight are lost, and both sides get an
    /// event.
    pub fn reset(&self, first: SocketAddr, second: SocketAddr) {
        let between = |link: &Link| {
            let ends = [link.ends[0].address, link.ends[1].address];
            ends == [first, second] || ends == [second, first]
        };
        self.0.borrow_mut().reset(between);
    }

    /// Crashes a process: its links are reset, and nothing listens at its address.
    pub fn crash(&self, address: SocketAddr) {
        let mut state = self.0.borrow_mut();
        state.nodes.remove(&address);
        state.reset(|link| link.ends.iter().any(|end| end.address == address));
    }
}

/// The links of one process. Dropping the transport crashes the process.
pub struct MemoryTransport<M> {
    network: MemoryNetwork,
    address: SocketAddr,
    changed: Rc<Notify>,
    message: PhantomData<M>,
}

impl<M: Serialize + DeserializeOwned> MemoryTransport<M> {
    /// Removes the next event from the queue, if there is one. A frame that does not decode ends
    /// its link.
    pub fn try_next(&mut self) -> Option<LinkEvent<M>> {
        let mut state = self.network.0.borrow_mut();
        let queued = state.node(self.address)?.events.pop_front()?;
        let event = match queued {
            QueuedEvent::Up {
                link,
                peer,
                hello,
                dialed,
            } => LinkEvent::Up {
                link,
                peer,
                hello,
                dialed,
            },
            QueuedEvent::Down { link, error } => LinkEvent::Down { link, error },
            QueuedEvent::Frame { link, peer, frame } => match decode(&frame) {
                Ok(message) => LinkEvent::Message { link, message },
                Err(error) => {
                    state.close_link(self.address, link);
                    let error = LinkError {
                        phase: LinkPhase::Read,
                        peer,
                        kind: error.into(),
                    };
                    LinkEvent::Down { link, error }
                }
            },
        };
        // The removed event made space, so links to this process may be read again.
        state.run_due();
        Some(event)
    }
}

impl<M: Serialize + DeserializeOwned> MessageTransport for MemoryTransport<M> {
    type Message = M;

    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn connect(&mut self, peer: SocketAddr) -> LinkId {
        let mut state = self.network.0.borrow_mut();
        state.links_opened += 1;
        let (id, opened_at) = (LinkId(state.links_opened), state.now);
        let Some((hello, limits)) = state
            .node(self.address)
            .map(|node| (node.hello.clone(), node.options.queue))
        else {
            return id;
        };
        let reachable = state.nodes.contains_key(&peer);
        let ends = [self.address, peer]
            .map(|address| LinkEnd::new(address, address == self.address, limits));
        state.links.push(Link {
            id,
            ends,
            opened_at,
        });
        let index = state.links.len() - 1;
        state.send_hello(index, 0, &hello);
        if !reachable && !state.partitions.contains_key(&(self.address, peer)) {
            let refused = std::io::ErrorKind::ConnectionRefused.into();
            state.end_link(index, 0, LinkPhase::Connect, LinkErrorKind::Io(refused));
            state.links.remove(index);
        }
        state.run_due();
        id
    }

    fn send(&mut self, link: LinkId, message: &M) -> Result<Sent, SendError> {
        let mut state = self.network.0.borrow_mut();
        let (index, end) = state.find(self.address, link).ok_or(SendError::NoLink)?;
        let max_bytes = state
            .node(self.address)
            .ok_or(SendError::NoLink)?
            .options
            .max_frame_bytes;
        let frame = encode(message, max_bytes)?;
        let dropped = state.links[index].ends[end]
            .queue
            .push(frame)
            .map_err(|_| SendError::Full)?;
        state.run_due();
        Ok(Sent { dropped })
    }

    fn close(&mut self, link: LinkId) {
        let mut state = self.network.0.borrow_mut();
        state.close_link(self.address, link);
        state.run_due();
    }

    async fn next(&mut self) -> LinkEvent<M> {
        loop {
            if let Some(event) = self.try_next() {
                return event;
            }
            let changed = Rc::clone(&self.changed);
            changed.notified().await;
        }
    }
}

impl<M> Drop for MemoryTransport<M> {
    fn drop(&mut self) {
        let is_own = |node: &Node| Rc::ptr_eq(&node.changed, &self.changed);
        // Another process may have started at the address in the meantime; it must not be crashed.
        let is_running = self
            .network
            .0
            .borrow()
            .nodes
            .get(&self.address)
            .is_some_and(is_own);
        if is_running {
            self.network.crash(self.address);
        }
    }
}
