//! Membership among client proxies: which of them are alive, as events in and actions out, without
//! I/O.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", 2002) as the `foca` library implements it: one probe per
//! period to a member chosen at random, indirect probes through `k` others when it does not answer,
//! suspicion before a member is declared down, refutation by a higher incarnation, and updates
//! piggybacked on every message. Datagrams hold at most [`MAX_DATAGRAM_BYTES`], the platform's
//! limit between proxies, and are encoded with postcard.
//!
//! The driver owns the socket and the clock: it passes in datagrams
//! ([`Membership::handle_datagram`]) and the time ([`Membership::tick`]), and carries out the
//! [`Action`]s that it gets back. Times are [`Duration`]s since any fixed start.

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

/// The largest datagram between proxies, in bytes (protocol page, "Between client proxies").
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// The first bytes of each membership datagram: the protocol and its version. They distinguish it
/// from the other datagrams on the same socket (the proxies' rates) and from other versions before
/// anything is decoded.
pub const PROTOCOL_TAG: [u8; 2] = *b"M1";

/// The number of peers to which a member announces itself when it joins.
pub const JOIN_FANOUT: usize = 3;

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The address of the member that receives it.
        to: SocketAddrV4,
        /// At most [`MAX_DATAGRAM_BYTES`] bytes.
        datagram: Vec<u8>,
    },
    /// This member is now considered alive.
    MemberUp(Member),
    /// This member is now considered down.
    MemberDown(Member),
}

/// A datagram was rejected. The membership is unharmed, so the error is only for the log.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// It does not begin with [`PROTOCOL_TAG`].
    #[error("not a membership datagram of version 1")]
    UnknownProtocol,
    /// It cannot be decoded, or it contradicts the protocol.
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
/// They are foca's LAN parameters (a probe every second, 500 ms for its answer, 3 indirect probes,
/// suspicion for 4 periods scaled by the logarithm of the size) with datagrams of
/// [`MAX_DATAGRAM_BYTES`], and with an announcement every 2 s to two members that are considered
/// down (LAN: every 65 s). Without the latter, a member that is partitioned in one direction and
/// declared down never learns of it and never rejoins after the partition heals (test
/// `one_way_partition_heals_into_a_complete_cluster`).
///
/// # Panics
/// Never: the constants are not zero.
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
    /// The membership of `identity`; `seed` determines which members are probed. No other member is
    /// known until [`Membership::join`].
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

    /// Announces this member to [`JOIN_FANOUT`] of the configured `peers`, which answer with what
    /// they know. Its own address is skipped. The peers are chosen at random rather than from the
    /// head of the list, so that the joins are spread when the entire cluster restarts at once.
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
            // A join goes to the address alone: the peer's incarnation is not known yet.
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
    /// [`DatagramError`] if it is malformed or of another version. It then changes nothing.
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

    /// When the next timer is due, if there is one: the driver need not call [`Membership::tick`]
    /// before.
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

    /// This member, with its present incarnation.
    #[must_use]
    pub fn identity(&self) -> Member {
        *self.foca.identity()
    }

    /// Schedules the timers that foca asked for and takes what the driver must do.
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
