//! One gate with its agent: the owner, the client, and the requests that wait for a permit.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ironmast_keyed_ownership::client::{Action as ClientAction, Event};
use ironmast_keyed_ownership::{
    BoundSplit, EpochConfirmation, GateId, Instance, PermitOwner, RetryPermits, SlowStartPermits,
};
use ironmast_limits::LimitExceeded;

use super::network::region;
use super::play::{Play, Subject};
use super::{Micros, at};

/// The address of a gate.
pub(crate) fn address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

/// The number of the gate at an address.
pub(crate) fn number(id: &GateId) -> usize {
    let SocketAddr::V4(address) = id.address else {
        return 0;
    };
    let [.., high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// One life of a gate.
#[derive(Debug)]
pub(crate) struct Life {
    pub id: GateId,
    pub owner: PermitOwner<Instance>,
    pub permits: Either,
    /// Questions to the witnesses by their number.
    pub questions: VecDeque<(u64, EpochConfirmation)>,
    pub next_question: u64,
    /// Moments at which the requests that wait came, by key.
    pub waiting: Vec<VecDeque<Micros>>,
    /// When the timer is set to.
    pub wakes: Option<Micros>,
    /// When the requests that wait are tried again, by key.
    pub agains: Vec<Micros>,
}

impl Life {
    pub(crate) fn new(play: &Play, gate: usize, incarnation: u64, now: Micros) -> Self {
        let id = GateId {
            address: address(gate),
            incarnation,
            region: region(gate),
        };
        let span = play.client.charge_after_use();
        let started = if play.quiet_share {
            at(now)
        } else {
            at(now).saturating_sub(span)
        };
        let split = BoundSplit::new(play.bound, play.gates as u32, play.reserved_percent);
        let permits = match play.subject {
            Subject::Cold => Either::Cold(SlowStartPermits::new(id, play.client, started)),
            Subject::Retry(terms) => {
                Either::Retry(RetryPermits::new(id, terms, split, play.client, started))
            }
        };
        Self {
            id,
            owner: PermitOwner::new(id, play.owner),
            permits,
            questions: VecDeque::new(),
            next_question: 0,
            waiting: vec![VecDeque::new(); play.keys],
            wakes: None,
            agains: vec![0; play.keys],
        }
    }

    /// Takes the permission for the first request that waits for `key`.
    pub(crate) fn try_acquire(
        &mut self,
        play: &Play,
        now: Micros,
        key: usize,
        actions: &mut Vec<ClientAction<Instance>>,
    ) -> Result<(), LimitExceeded> {
        let name = name(key);
        let split = split(play, self.id.region, key);
        let waiting = self.waiting[key].len() as u32;
        match &mut self.permits {
            Either::Cold(permits) => permits.try_acquire(at(now), &name, split, waiting, actions),
            Either::Retry(permits) => permits.try_acquire(at(now), &name, waiting, actions),
        }
    }
}

/// What a gate in `region` has of the bound of a cold server.
fn split(play: &Play, mine: u32, key: usize) -> BoundSplit {
    if !play.shares_near {
        return BoundSplit::new(play.bound, play.gates as u32, play.reserved_percent);
    }
    let near = (0..play.gates)
        .filter(|gate| region(*gate) == region(key))
        .count();
    let split = BoundSplit::new(play.bound, near as u32, play.reserved_percent);
    if mine == region(key) {
        split
    } else {
        split.without_gate_quota()
    }
}

/// The permissions of a gate, by what it is limited in.
#[derive(Debug)]
pub(crate) enum Either {
    Cold(SlowStartPermits<Instance>),
    Retry(RetryPermits<Instance>),
}

impl Either {
    pub(crate) fn on_request(&mut self, now: Duration, key: &Instance) {
        if let Self::Retry(permits) = self {
            permits.deposit(now, key);
        }
    }

    pub(crate) fn handle(
        &mut self,
        now: Duration,
        event: Event<Instance>,
        actions: &mut Vec<ClientAction<Instance>>,
    ) {
        match self {
            Self::Cold(permits) => permits.handle(now, event, actions),
            Self::Retry(permits) => permits.handle(now, event, actions),
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        match self {
            Self::Cold(permits) => permits.next_deadline(),
            Self::Retry(permits) => permits.next_deadline(),
        }
    }
}

/// A key as the crate knows it: a server in a region, whether an instance or all of a service.
pub(crate) fn name(key: usize) -> Instance {
    Instance {
        id: format!("i-{key}"),
        region: region(key),
    }
}

/// A gate over its lives.
#[derive(Debug)]
pub(crate) struct Node {
    /// `None` while it is down.
    pub life: Option<Life>,
    pub incarnation: u64,
    pub frozen_until: Micros,
    pub out_cut_until: Micros,
    pub in_cut_until: Micros,
    /// Until when it reaches only the others that are apart.
    pub apart_until: Micros,
    /// When it went down or came up, for those who count the members.
    pub changed: Micros,
}
