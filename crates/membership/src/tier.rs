//! A tier of members over a network in simulated time: loss by a rule, pauses, deaths. For tests
//! and the lab.
//!
//! Each step of 5 ms delivers what is due (1 ms on the way), then ticks every member that runs. A
//! paused member neither runs nor reads; what comes meanwhile waits, as in its socket's buffer. A
//! dead one loses what comes.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::{Action, DATAGRAM, Member, Membership, config};

/// The step of the simulated clock.
pub const STEP: Duration = Duration::from_millis(5);

/// Whether a datagram from one member to another at a moment is lost; the last figure is a draw
/// that differs for every datagram.
pub type Loss = dyn Fn(usize, usize, Duration, u64) -> bool;

/// No loss.
#[must_use]
pub fn none(_: usize, _: usize, _: Duration, _: u64) -> bool {
    false
}

/// The members, their network and what was seen.
pub struct Tier {
    /// The members, by number.
    pub members: Vec<Membership>,
    /// Until when each member is paused.
    pub paused: Vec<Duration>,
    /// Which members are dead.
    pub dead: Vec<bool>,
    queue: VecDeque<(Duration, usize, Vec<u8>)>,
    /// The simulated time.
    pub now: Duration,
    /// Each member declared down: when, by whom, which.
    pub downs: Vec<(Duration, usize, Member)>,
    draws: u64,
    /// Bytes each member sent.
    pub sent: Vec<usize>,
    /// Datagrams of members that a member refused (foca's errors, such as news of itself under an
    /// old identity).
    pub refused: usize,
}

/// The address of member `n` (127.0.0.1, port 7000 + n).
#[must_use]
pub fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000 + n as u16)
}

/// The number of the member at `a`.
#[must_use]
pub fn index(a: SocketAddrV4) -> usize {
    usize::from(a.port() - 7000)
}

impl Tier {
    /// `size` members (1 to 20,000) of incarnation 100 that join through their lists.
    pub fn new(size: usize) -> Tier {
        let members = (0..size)
            .map(|n| {
                Membership::new(
                    Member {
                        address: address(n),
                        incarnation: 100,
                    },
                    config(size as u32),
                    n as u64,
                )
            })
            .collect();
        let mut tier = Tier {
            members,
            paused: vec![Duration::ZERO; size],
            dead: vec![false; size],
            queue: VecDeque::new(),
            now: Duration::ZERO,
            downs: Vec::new(),
            draws: 0,
            sent: vec![0; size],
            refused: 0,
        };
        let peers: Vec<SocketAddrV4> = (0..size).map(address).collect();
        for n in 0..size {
            let actions = tier.members[n].join(&peers, Duration::ZERO);
            tier.carry(n, actions, &none);
        }
        tier
    }

    /// Carries out what member `from` asked for; panics on a datagram over [`DATAGRAM`] bytes.
    pub fn carry(&mut self, from: usize, actions: Vec<Action>, loss: &Loss) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    assert!(
                        bytes.len() <= DATAGRAM,
                        "a datagram of {} bytes",
                        bytes.len()
                    );
                    self.draws += 1;
                    self.sent[from] += bytes.len();
                    if !loss(from, index(to), self.now, self.draws) {
                        self.queue.push_back((
                            self.now + Duration::from_millis(1),
                            index(to),
                            bytes,
                        ));
                    }
                }
                Action::Down(m) => self.downs.push((self.now, from, m)),
                Action::Up(_) => {}
            }
        }
    }

    /// Plays `length` of simulated time under `loss`.
    pub fn run(&mut self, length: Duration, loss: &Loss) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            let mut waiting = VecDeque::new();
            while let Some((at, to, bytes)) = self.queue.pop_front() {
                if at > self.now || self.paused[to] > self.now {
                    waiting.push_back((at, to, bytes));
                } else if !self.dead[to] {
                    match self.members[to].on_datagram(&bytes, self.now) {
                        Ok(actions) => self.carry(to, actions, loss),
                        Err(_) => self.refused += 1,
                    }
                }
            }
            self.queue = waiting;
            for n in 0..self.members.len() {
                if !self.dead[n] && self.paused[n] <= self.now {
                    let actions = self.members[n].tick(self.now);
                    self.carry(n, actions, loss);
                }
            }
        }
    }

    /// The tier's size as each living member sees it.
    #[must_use]
    pub fn tiers(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|&n| !self.dead[n])
            .map(|n| self.members[n].tier())
            .collect()
    }
}
