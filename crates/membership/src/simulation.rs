//! A cluster of members on a network in simulated time, with datagram loss, pauses and crashes, for
//! tests and experiments.
//!
//! Every [`STEP`], the datagrams that are due are delivered ([`NETWORK_DELAY`] after they were
//! sent), then every running member is ticked. A paused member neither runs nor reads; datagrams to
//! it wait as in a socket's buffer. Datagrams to a crashed member are lost.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::{Action, MAX_DATAGRAM_BYTES, Member, Membership, config};

/// The step of the simulated clock.
pub const STEP: Duration = Duration::from_millis(5);

/// The time from the sending of a datagram to its delivery.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// The incarnation of all members at the start.
pub const FIRST_INCARNATION: u32 = 100;

/// The port of the first member; the others have the following ports.
const FIRST_PORT: u16 = 7000;

/// Decides whether a datagram is lost, from the index of its sender, the index of its receiver, the
/// simulated time and the number of datagrams sent so far, which differs for every datagram.
pub type LossRule = dyn Fn(usize, usize, Duration, u64) -> bool;

/// The [`LossRule`] of a network that loses no datagrams.
#[must_use]
pub fn lossless(_: usize, _: usize, _: Duration, _: u64) -> bool {
    false
}

/// The event that a member declared another down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownEvent {
    /// The simulated time of the event.
    pub at: Duration,
    /// The index of the member that declared the other down.
    pub observer: usize,
    /// The member that was declared down.
    pub member: Member,
}

#[derive(Debug)]
struct Datagram {
    due: Duration,
    to: usize,
    bytes: Vec<u8>,
}

/// The members, their network and the recorded events and counts.
pub struct SimulatedCluster {
    /// The members, by index.
    pub members: Vec<Membership>,
    /// The simulated time until which each member is paused, by index.
    pub paused_until: Vec<Duration>,
    /// Whether each member has crashed, by index.
    pub crashed: Vec<bool>,
    in_flight: VecDeque<Datagram>,
    /// The current simulated time.
    pub now: Duration,
    /// The declarations of members as down so far, in their order.
    pub down_events: Vec<DownEvent>,
    datagrams_sent: u64,
    /// The bytes that each member has sent, by index.
    pub sent_bytes: Vec<usize>,
    /// The number of datagrams that members have rejected with an error of foca, such as an update
    /// about the receiver under an old identity.
    pub rejected: usize,
}

/// The address of the member at `index`.
#[must_use]
pub fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, FIRST_PORT + index as u16)
}

/// The index of the member at `address`.
#[must_use]
pub fn index(address: SocketAddrV4) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

impl SimulatedCluster {
    /// Creates a cluster of `size` members (1 to 20,000) with [`FIRST_INCARNATION`]. Each of them
    /// joins with the addresses of all.
    #[must_use]
    pub fn new(size: usize) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            members: (0..size)
                .map(|index| new_member(index, FIRST_INCARNATION, size, index as u64))
                .collect(),
            paused_until: vec![Duration::ZERO; size],
            crashed: vec![false; size],
            in_flight: VecDeque::new(),
            now: Duration::ZERO,
            down_events: Vec::new(),
            datagrams_sent: 0,
            sent_bytes: vec![0; size],
            rejected: 0,
        };
        for index in 0..size {
            cluster.join(index);
        }
        cluster
    }

    /// Restarts a member without any state, with another incarnation, and lets it join again.
    pub fn restart(&mut self, index: usize, incarnation: u32, seed: u64) {
        self.members[index] = new_member(index, incarnation, self.members.len(), seed);
        self.join(index);
    }

    /// Advances the simulated time by `length`; `loss` decides which datagrams are lost.
    ///
    /// # Panics
    /// If a member sends a datagram of more than [`MAX_DATAGRAM_BYTES`] bytes.
    pub fn run(&mut self, length: Duration, loss: &LossRule) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.deliver(loss);
            self.tick(loss);
        }
    }

    /// The size of the cluster in the view of each member that has not crashed.
    #[must_use]
    pub fn cluster_sizes(&self) -> Vec<usize> {
        self.members
            .iter()
            .zip(&self.crashed)
            .filter(|(_, crashed)| !**crashed)
            .map(|(member, _)| member.cluster_size())
            .collect()
    }

    /// Whether `member` is the current incarnation of a member that has not crashed.
    #[must_use]
    pub fn is_alive(&self, member: &Member) -> bool {
        let index = index(member.address);
        !self.crashed[index] && self.members[index].identity().incarnation == member.incarnation
    }

    fn join(&mut self, index: usize) {
        let peers: Vec<SocketAddrV4> = (0..self.members.len()).map(address).collect();
        let actions = self.members[index].join(&peers, self.now);
        self.apply(index, actions, &lossless);
    }

    fn deliver(&mut self, loss: &LossRule) {
        let mut waiting = VecDeque::new();
        while let Some(datagram) = self.in_flight.pop_front() {
            let to = datagram.to;
            if datagram.due > self.now || self.paused_until[to] > self.now {
                waiting.push_back(datagram);
            } else if !self.crashed[to] {
                match self.members[to].handle_datagram(&datagram.bytes, self.now) {
                    Ok(actions) => self.apply(to, actions, loss),
                    Err(_) => self.rejected += 1,
                }
            }
        }
        self.in_flight = waiting;
    }

    fn tick(&mut self, loss: &LossRule) {
        for index in 0..self.members.len() {
            if !self.crashed[index] && self.paused_until[index] <= self.now {
                let actions = self.members[index].tick(self.now);
                self.apply(index, actions, loss);
            }
        }
    }

    fn apply(&mut self, member: usize, actions: Vec<Action>, loss: &LossRule) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(member, index(to), datagram, loss),
                Action::MemberDown(down) => self.down_events.push(DownEvent {
                    at: self.now,
                    observer: member,
                    member: down,
                }),
                Action::MemberUp(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>, loss: &LossRule) {
        let length = bytes.len();
        assert!(
            length <= MAX_DATAGRAM_BYTES,
            "datagram of {length} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}"
        );
        self.datagrams_sent += 1;
        self.sent_bytes[from] += length;
        if !loss(from, to, self.now, self.datagrams_sent) {
            self.in_flight.push_back(Datagram {
                due: self.now + NETWORK_DELAY,
                to,
                bytes,
            });
        }
    }
}

fn new_member(index: usize, incarnation: u32, size: usize, seed: u64) -> Membership {
    let identity = Member {
        address: address(index),
        incarnation,
    };
    Membership::new(identity, config(size as u32), seed)
}
