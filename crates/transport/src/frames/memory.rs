//! Links without sockets, under a clock that moves when it is told to, with faults of the caller's
//! choice. For tests of whatever speaks over a [`MessageTransport`].

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

use self::state::{End, Link, Node, State, Waiting};
use super::{
    Hello, LinkError, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MessageTransport,
    SendError, Sent, decode, encode,
};

/// Processes and what is between them. Copies are the same network.
#[derive(Clone, Default)]
pub struct MemoryNetwork(Rc<RefCell<State>>);

impl MemoryNetwork {
    /// A process that listens at an address, in place of any that did before.
    #[must_use]
    pub fn listen<M>(
        &self,
        at: SocketAddr,
        hello: Hello,
        options: LinkOptions,
    ) -> MemoryTransport<M> {
        self.crash(at);
        let wake = Rc::new(Notify::new());
        let node = Node {
            hello,
            options,
            waiting: VecDeque::new(),
            wake: Rc::clone(&wake),
        };
        self.0.borrow_mut().nodes.insert(at, node);
        MemoryTransport {
            network: self.clone(),
            at,
            wake,
            message: PhantomData,
        }
    }

    /// The clock's reading.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.0.borrow().now
    }

    /// Moves the clock on, and delivers what arrives by then.
    pub fn advance(&self, by: Duration) {
        let mut state = self.0.borrow_mut();
        let until = state.now + by;
        while let Some(next) = state.next_due().filter(|&next| next <= until) {
            state.now = next.max(state.now);
            state.settle();
        }
        state.now = until;
        state.settle();
    }

    /// The clock's reading at which something may next arrive or end by itself.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.0.borrow().next_due()
    }

    /// From now on what goes from one process to the other takes so long.
    pub fn delay(&self, from: SocketAddr, to: SocketAddr, by: Duration) {
        self.0.borrow_mut().delays.insert((from, to), by);
    }

    /// Nothing arrives from the one process at the other any more. Neither is told; links end by
    /// silence.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        let mut state = self.0.borrow_mut();
        let now = state.now;
        state.cut.entry((from, to)).or_insert(now);
    }

    /// What is sent again and again meanwhile arrives now.
    pub fn restore(&self, from: SocketAddr, to: SocketAddr) {
        let mut state = self.0.borrow_mut();
        state.cut.remove(&(from, to));
        state.settle();
    }

    /// Resets all links between two processes: what is on its way is lost, both are told.
    pub fn reset(&self, one: SocketAddr, other: SocketAddr) {
        let between = |link: &Link| {
            let ends = [link.ends[0].address, link.ends[1].address];
            ends == [one, other] || ends == [other, one]
        };
        self.0.borrow_mut().reset(between);
    }

    /// Ends a process: its links are reset, and nobody listens there.
    pub fn crash(&self, at: SocketAddr) {
        let mut state = self.0.borrow_mut();
        state.nodes.remove(&at);
        state.reset(|link| link.ends.iter().any(|end| end.address == at));
    }
}

/// One process's links.
pub struct MemoryTransport<M> {
    network: MemoryNetwork,
    at: SocketAddr,
    wake: Rc<Notify>,
    message: PhantomData<M>,
}

impl<M: Serialize + DeserializeOwned> MemoryTransport<M> {
    /// The next event, if there is one now.
    pub fn try_next(&mut self) -> Option<LinkEvent<M>> {
        let mut state = self.network.0.borrow_mut();
        let waiting = state.node(self.at)?.waiting.pop_front()?;
        let event = match waiting {
            Waiting::Up {
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
            Waiting::Down { link, error } => LinkEvent::Down { link, error },
            Waiting::Frame { link, peer, frame } => match decode(&frame) {
                Ok(message) => LinkEvent::Message { link, message },
                Err(error) => {
                    state.forget(self.at, link);
                    let error = LinkError {
                        step: LinkPhase::Read,
                        peer,
                        cause: error.into(),
                    };
                    LinkEvent::Down { link, error }
                }
            },
        };
        // There is room again.
        state.settle();
        Some(event)
    }
}

impl<M: Serialize + DeserializeOwned> MessageTransport for MemoryTransport<M> {
    type Message = M;

    fn local_address(&self) -> SocketAddr {
        self.at
    }

    fn connect(&mut self, peer: SocketAddr) -> LinkId {
        let mut state = self.network.0.borrow_mut();
        state.links_begun += 1;
        let (id, began) = (LinkId(state.links_begun), state.now);
        let Some((hello, limits)) = state
            .node(self.at)
            .map(|node| (node.hello.clone(), node.options.queue))
        else {
            return id;
        };
        let reachable = state.nodes.contains_key(&peer);
        let ends = [self.at, peer].map(|address| End::new(address, address == self.at, limits));
        state.links.push(Link { id, ends, began });
        let at = state.links.len() - 1;
        state.greet(at, 0, &hello);
        if !reachable && !state.cut.contains_key(&(self.at, peer)) {
            let refused = std::io::ErrorKind::ConnectionRefused.into();
            state.down(at, 0, LinkPhase::Connect, LinkErrorKind::Io(refused));
            state.links.remove(at);
        }
        state.settle();
        id
    }

    fn send(&mut self, link: LinkId, message: &M) -> Result<Sent, SendError> {
        let mut state = self.network.0.borrow_mut();
        let (at, end) = state.find(self.at, link).ok_or(SendError::NoLink)?;
        let most = state
            .node(self.at)
            .ok_or(SendError::NoLink)?
            .options
            .max_frame_bytes;
        let frame = encode(message, most)?;
        let dropped = state.links[at].ends[end]
            .queue
            .push(frame)
            .map_err(|_| SendError::Full)?;
        state.settle();
        Ok(Sent { dropped })
    }

    fn close(&mut self, link: LinkId) {
        let mut state = self.network.0.borrow_mut();
        state.forget(self.at, link);
        state.settle();
    }

    async fn next(&mut self) -> LinkEvent<M> {
        loop {
            if let Some(event) = self.try_next() {
                return event;
            }
            let wake = Rc::clone(&self.wake);
            wake.notified().await;
        }
    }
}

impl<M> Drop for MemoryTransport<M> {
    fn drop(&mut self) {
        let mine = |node: &Node| Rc::ptr_eq(&node.wake, &self.wake);
        // Another process may listen there by now.
        let there = self
            .network
            .0
            .borrow()
            .nodes
            .get(&self.at)
            .is_some_and(mine);
        if there {
            self.network.crash(self.at);
        }
    }
}
