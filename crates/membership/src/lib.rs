//! Membership among client proxies: who of the tier is alive, as events in and actions out, no I/O.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", 2002) as the `foca` library implements it: a probe a period
//! to one member drawn at random, indirect probes through `k` others when it does not answer,
//! suspicion before a member is declared down, refutation by a higher incarnation, and news
//! piggybacked on every message. Datagrams hold at most [`DATAGRAM`] bytes, the platform's bound
//! between proxies, encoded with postcard.
//!
//! The driver owns the socket and the clock: it hands in datagrams ([`Membership::on_datagram`])
//! and the time ([`Membership::tick`]), and carries out the [`Action`]s it gets back. Times are
//! [`Duration`]s since any fixed start.

#![forbid(unsafe_code)]

pub mod tier;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// The largest datagram between proxies, in bytes (protocol page, "Between client proxies").
pub const DATAGRAM: usize = 256;

/// The first bytes of each membership datagram: a kind and a version. Others on the same socket
/// (the proxies' rates) and other versions are told apart by them and refused before any decoding.
pub const TAG: [u8; 2] = *b"M1";

/// Peers a member announces itself to when it joins.
pub const JOIN_FANOUT: usize = 3;

/// A member: its peer address and its incarnation, which a restart must never reuse.
///
/// `incarnation` is drawn at start from the clock (seconds since the Unix epoch) so that a proxy
/// restarted from nothing comes back above every value the tier has seen of it; a refutation renews
/// it by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Where its datagrams come from and go to.
    pub address: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: u32,
}

impl foca::Identity for Member {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            address: self.address,
            incarnation: self.incarnation.wrapping_add(1),
        })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send these bytes (at most [`DATAGRAM`]) to that address.
    Send(SocketAddrV4, Vec<u8>),
    /// This member is now taken for alive.
    Up(Member),
    /// This member is now taken for down.
    Down(Member),
}

/// An error of the protocol, for the log; nothing is lost by it.
#[derive(Debug)]
pub struct Refused(pub String);

/// One proxy's view of the tier.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, Xoshiro256PlusPlus, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BinaryHeap<Reverse<(Duration, u64, TimerSlot)>>,
    slots: Vec<Option<Timer<Member>>>,
    sequence: u64,
    now: Duration,
    actions: Vec<Action>,
    draws: Xoshiro256PlusPlus,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerSlot(usize);

/// The protocol's figures for a tier of `size` proxies on one site: foca's LAN figures (a probe a
/// second, 500 ms for its answer, 3 indirect probes, suspicion for 4 periods scaled by the log of
/// the size), datagrams of 256 bytes with the [`TAG`], and two members taken for down asked every 2
/// s whether they are back (LAN: every 65 s). Without that, a member cut off one way and declared
/// down never learns it and never rejoins once the cut heals (test `a_one_sided_cut_heals...`).
#[must_use]
pub fn config(size: u32) -> Config {
    let mut config = Config::new_lan(NonZeroU32::new(size.max(1)).expect("at least one"));
    config.max_packet_size = NonZeroUsize::new(DATAGRAM - TAG.len()).expect("not zero");
    config.periodic_announce_to_down_members = Some(PeriodicParams {
        frequency: Duration::from_secs(2),
        num_members: NonZeroUsize::new(2).expect("two"),
    });
    config
}

impl Membership {
    /// `me` with these figures; `seed` draws whom to probe. Nobody is known until
    /// [`Membership::join`].
    #[must_use]
    pub fn new(me: Member, config: Config, seed: u64) -> Membership {
        let foca = Foca::new(
            me,
            config,
            Xoshiro256PlusPlus::seed_from_u64(seed),
            PostcardCodec,
        );
        Membership {
            foca,
            runtime: AccumulatingRuntime::default(),
            timers: BinaryHeap::new(),
            slots: Vec::new(),
            sequence: 0,
            now: Duration::ZERO,
            actions: Vec::new(),
            draws: Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x6a09_e667_f3bc_c908),
        }
    }

    /// Announces itself to [`JOIN_FANOUT`] peers drawn from those of the configuration (`peers`);
    /// they answer with what they know; its own address is skipped. Drawn, not the first ones, so
    /// that a tier that restarts at once spreads its joins.
    pub fn join(&mut self, peers: &[SocketAddrV4], now: Duration) -> Vec<Action> {
        self.now = now;
        let me = self.me().address;
        let mut peers: Vec<SocketAddrV4> = peers.iter().copied().filter(|&a| a != me).collect();
        peers.shuffle(&mut self.draws);
        for &address in peers.iter().take(JOIN_FANOUT) {
            // The incarnation is not known yet; a join to a member is by address alone.
            let _ = self.foca.announce(
                Member {
                    address,
                    incarnation: 0,
                },
                &mut self.runtime,
            );
        }
        self.drain()
    }

    /// A datagram from a peer. Garbage and foreign versions are refused without harm.
    pub fn on_datagram(&mut self, bytes: &[u8], now: Duration) -> Result<Vec<Action>, Refused> {
        self.now = now;
        let Some(bytes) = bytes.strip_prefix(&TAG) else {
            return Err(Refused("not a membership datagram of version 1".into()));
        };
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        let actions = self.drain();
        result.map(|()| actions).map_err(|e| Refused(e.to_string()))
    }

    /// The time has come to `now`: timers that are due fire.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.now = now;
        while let Some(Reverse((due, _, slot))) = self.timers.peek().copied() {
            if due > now {
                break;
            }
            self.timers.pop();
            if let Some(timer) = self.slots[slot.0].take() {
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
        }
        self.drain()
    }

    /// When the next timer is due, if any: the driver need not call [`Membership::tick`] before.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((due, _, _))| *due)
    }

    /// Members taken for alive, not counting itself.
    #[must_use]
    pub fn alive(&self) -> usize {
        self.foca.num_members()
    }

    /// The size of the tier as this proxy sees it: the members alive and itself.
    #[must_use]
    pub fn tier(&self) -> usize {
        self.alive() + 1
    }

    /// Its own identity, with the incarnation it has now.
    #[must_use]
    pub fn me(&self) -> Member {
        *self.foca.identity()
    }

    fn drain(&mut self) -> Vec<Action> {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let slot = self
                .slots
                .iter()
                .position(Option::is_none)
                .unwrap_or_else(|| {
                    self.slots.push(None);
                    self.slots.len() - 1
                });
            self.slots[slot] = Some(timer);
            self.sequence += 1;
            self.timers
                .push(Reverse((self.now + after, self.sequence, TimerSlot(slot))));
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            let datagram: Vec<u8> = TAG.iter().chain(bytes.iter()).copied().collect();
            debug_assert!(datagram.len() <= DATAGRAM, "foca keeps to max_packet_size");
            self.actions.push(Action::Send(to.address, datagram));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(m) => self.actions.push(Action::Up(m)),
                OwnedNotification::MemberDown(m) => self.actions.push(Action::Down(m)),
                _ => {}
            }
        }
        std::mem::take(&mut self.actions)
    }
}

/// An incarnation for a proxy that starts now: seconds since the Unix epoch, so never one the tier
/// saw of it before.
#[must_use]
pub fn incarnation_now() -> u32 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs() as u32
}
