//! Membership among client proxies: each proxy learns which of the others are alive. The crate
//! performs no I/O and reads no clock: it takes events and returns actions.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", 2002) as the `foca` library implements it: one probe per
//! period to a member chosen at random, indirect probes through `k` others when it does not answer,
//! suspicion before a member is declared down, refutation by a higher incarnation, and updates
//! piggybacked on every message. Datagrams are encoded with postcard and are at most
//! [`MAX_DATAGRAM_BYTES`] long, the platform's limit between proxies.
//!
//! The driver owns the socket and the clock: it passes in datagrams
//! ([`Membership::handle_datagram`]) and the time ([`Membership::tick`]), and performs the returned
//! [`Action`]s. Times are [`Duration`]s since any fixed moment.
//!
//! - `member` defines a member's identity: its address and incarnation.
//! - `timers` queues the timers that foca schedules.
//! - [`simulation`] runs a cluster in simulated time for tests.

#![forbid(unsafe_code)]

mod member;
pub mod simulation;
mod timers;

use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec};
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_xoshiro::Xoshiro256PlusPlus;
use thiserror::Error;

pub use member::{Member, new_incarnation};

use crate::timers::TimerQueue;

/// The largest datagram between proxies, in bytes (protocol specification, "Between client
/// proxies").
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// The first bytes of each membership datagram: the protocol and its version. Before anything is
/// decoded, they distinguish membership datagrams from others on the same socket (the proxies'
/// rates) and from other versions.
pub const PROTOCOL_TAG: [u8; 2] = *b"M1";

/// The number of peers to which a member announces itself when it joins.
pub const JOIN_FANOUT: usize = 3;

/// An operation that the driver must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a member.
    Send {
        /// The address of the member that receives it.
        to: SocketAddrV4,
        /// The datagram with [`PROTOCOL_TAG`]; at most [`MAX_DATAGRAM_BYTES`] bytes.
        datagram: Vec<u8>,
    },
    /// Record that a member is now considered alive.
    MemberUp(Member),
    /// Record that a member is now considered down.
    MemberDown(Member),
}

/// Why a datagram was rejected. The membership remains consistent, so the error is only for the
/// log.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// The datagram does not begin with [`PROTOCOL_TAG`].
    #[error("not a membership datagram of version 1")]
    UnknownProtocol,
    /// The datagram cannot be decoded, or it violates the protocol.
    #[error(transparent)]
    Protocol(#[from] foca::Error),
}

/// One proxy's view of the cluster.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, Xoshiro256PlusPlus, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: TimerQueue,
    now: Duration,
    random: Xoshiro256PlusPlus,
}

/// The protocol's parameters for a cluster of `size` proxies at one site.
///
/// The parameters are foca's for a LAN (a probe every second, 500 ms for its answer, 3 indirect
/// probes, suspicion for 4 periods scaled by the logarithm of the size) with two changes: datagrams
/// of [`MAX_DATAGRAM_BYTES`], and an announcement every 2 s to two members that are considered down
/// (LAN: every 65 s). Without the frequent announcement, a member that is partitioned in one
/// direction and declared down never learns of it and never rejoins after the partition heals (test
/// `one_way_partition_heals_into_a_complete_cluster`).
///
/// # Panics
/// Never: the values that must not be 0 are constants or at least 1.
#[must_use]
pub fn config(size: u32) -> Config {
    let mut config = Config::new_lan(NonZeroU32::new(size.max(1)).expect("at least one"));
    config.max_packet_size =
        NonZeroUsize::new(MAX_DATAGRAM_BYTES - PROTOCOL_TAG.len()).expect("not zero");
    config.periodic_announce_to_down_members = Some(PeriodicParams {
        frequency: Duration::from_secs(2),
        num_members: NonZeroUsize::new(2).expect("two"),
    });
    config
}

impl Membership {
    /// Creates the membership of `identity`; `seed` determines which members are probed. No other
    /// member is known until [`Membership::join`].
    #[must_use]
    pub fn new(identity: Member, config: Config, seed: u64) -> Membership {
        let probe_random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Membership {
            foca: Foca::new(identity, config, probe_random, PostcardCodec),
            runtime: AccumulatingRuntime::default(),
            timers: TimerQueue::default(),
            now: Duration::ZERO,
            random: Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x6a09_e667_f3bc_c908),
        }
    }

    /// Announces this member to [`JOIN_FANOUT`] of the configured `peers`, which answer with the
    /// members that they know. The member's own address is skipped. The peers are chosen at random
    /// rather than from the start of the list, so that the load of the joins is spread when the
    /// entire cluster restarts at once.
    pub fn join(&mut self, peers: &[SocketAddrV4], now: Duration) -> Vec<Action> {
        self.now = now;
        let own_address = self.identity().address;
        let mut peers: Vec<SocketAddrV4> = peers
            .iter()
            .copied()
            .filter(|&address| address != own_address)
            .collect();
        peers.shuffle(&mut self.random);
        for &address in peers.iter().take(JOIN_FANOUT) {
            // The peer's incarnation is not known yet; an announcement needs only the address.
            let peer = Member {
                address,
                incarnation: 0,
            };
            let _ = self.foca.announce(peer, &mut self.runtime);
        }
        self.take_actions()
    }

    /// Processes a datagram from a peer.
    ///
    /// # Errors
    /// [`DatagramError`] if the datagram is malformed or of another version; it then changes
    /// nothing.
    pub fn handle_datagram(
        &mut self,
        datagram: &[u8],
        now: Duration,
    ) -> Result<Vec<Action>, DatagramError> {
        self.now = now;
        let Some(message) = datagram.strip_prefix(&PROTOCOL_TAG) else {
            return Err(DatagramError::UnknownProtocol);
        };
        let result = self.foca.handle_data(message, &mut self.runtime);
        let actions = self.take_actions();
        result?;
        Ok(actions)
    }

    /// Fires the timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.now = now;
        while let Some(timer) = self.timers.pop_due(now) {
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        self.take_actions()
    }

    /// The time at which the next timer is due, if there is one; the driver need not call
    /// [`Membership::tick`] earlier.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.next_deadline()
    }

    /// The number of members considered alive, without this one.
    #[must_use]
    pub fn alive_peers(&self) -> usize {
        self.foca.num_members()
    }

    /// The number of members considered alive, with this one.
    #[must_use]
    pub fn cluster_size(&self) -> usize {
        self.alive_peers() + 1
    }

    /// This member, with its current incarnation (see [`Member`]).
    #[must_use]
    pub fn identity(&self) -> Member {
        *self.foca.identity()
    }

    /// Schedules the timers that foca requested and returns the actions for the driver.
    fn take_actions(&mut self) -> Vec<Action> {
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            self.timers.push(self.now + delay, timer);
        }
        let mut actions = Vec::new();
        while let Some((to, message)) = self.runtime.to_send() {
            let datagram: Vec<u8> = PROTOCOL_TAG.iter().chain(message.iter()).copied().collect();
            debug_assert!(
                datagram.len() <= MAX_DATAGRAM_BYTES,
                "foca keeps to max_packet_size"
            );
            actions.push(Action::Send {
                to: to.address,
                datagram,
            });
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => actions.push(Action::MemberUp(member)),
                OwnedNotification::MemberDown(member) => actions.push(Action::MemberDown(member)),
                _ => {}
            }
        }
        actions
    }
}
