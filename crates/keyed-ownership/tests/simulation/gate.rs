//! One gate: its permit owner and client, and the requests that wait for a permit.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ironmast_keyed_ownership::client::{Action as ClientAction, Event};
use ironmast_keyed_ownership::{
    BoundSplit, GateId, Instance, PermitOwner, RetryPermits, SlowStartPermits,
};
use ironmast_limits::LimitExceeded;

use super::confirmations::PendingConfirmations;
use super::network::region;
use super::scenario::{Limit, Scenario};
use super::{Micros, at};

/// The address of the gate at an index.
pub(crate) fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

/// The index of the gate at an address.
pub(crate) fn gate_index(id: &GateId) -> usize {
    let SocketAddr::V4(address) = id.address else {
        return 0;
    };
    let [.., high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// One incarnation of a gate's process.
#[derive(Debug)]
pub(crate) struct GateProcess {
    pub id: GateId,
    pub owner: PermitOwner<Instance>,
    pub permits: GatePermits,
    pub confirmations: PendingConfirmations,
    /// The arrival times of the waiting requests, by key.
    pub waiting: Vec<VecDeque<Micros>>,
    /// When the timer fires, if it is set.
    pub timer_at: Option<Micros>,
    /// When the waiting requests are retried, by key.
    pub retry_at: Vec<Micros>,
}

impl GateProcess {
    pub(crate) fn new(scenario: &Scenario, gate: usize, incarnation: u64, now: Micros) -> Self {
        let id = GateId {
            address: address(gate),
            incarnation,
            region: region(gate),
        };
        Self {
            id,
            owner: PermitOwner::new(id, scenario.owner_timing),
            permits: GatePermits::new(scenario, id, now),
            confirmations: PendingConfirmations::default(),
            waiting: vec![VecDeque::new(); scenario.keys],
            timer_at: None,
            retry_at: vec![0; scenario.keys],
        }
    }

    /// Tries to acquire a permit for the first request that waits for `key`.
    pub(crate) fn try_acquire(
        &mut self,
        scenario: &Scenario,
        now: Micros,
        key: usize,
        actions: &mut Vec<ClientAction<Instance>>,
    ) -> Result<(), LimitExceeded> {
        let instance = instance(key);
        let split = split(scenario, self.id.region, key);
        let waiting = self.waiting[key].len() as u32;
        match &mut self.permits {
            GatePermits::SlowStart(permits) => {
                permits.try_acquire(at(now), &instance, split, waiting, actions)
            }
            GatePermits::Retry(permits) => {
                permits.try_acquire(at(now), &instance, waiting, actions)
            }
        }
    }
}

/// The split of the bound of server `key` for a gate in `own_region`.
fn split(scenario: &Scenario, own_region: u32, key: usize) -> BoundSplit {
    if !scenario.regional_quotas {
        return split_among(scenario, scenario.gates);
    }
    let gates_in_region = (0..scenario.gates)
        .filter(|gate| region(*gate) == region(key))
        .count();
    let split = split_among(scenario, gates_in_region);
    if own_region == region(key) {
        split
    } else {
        split.without_gate_quota()
    }
}

/// The split of the scenario's bound between the quotas of `gates` gates and the owner's pool.
fn split_among(scenario: &Scenario, gates: usize) -> BoundSplit {
    BoundSplit::new(scenario.bound, gates as u32, scenario.reserved_percent)
}

/// The permits of a gate, by the limit that it enforces.
#[derive(Debug)]
pub(crate) enum GatePermits {
    SlowStart(SlowStartPermits<Instance>),
    Retry(RetryPermits<Instance>),
}

impl GatePermits {
    /// The permits of the gate `id`, whose process starts at `now`.
    fn new(scenario: &Scenario, id: GateId, now: Micros) -> Self {
        let start_delay = scenario.client_timing.charge_after_use();
        let started = if scenario.start_delay {
            at(now)
        } else {
            at(now).saturating_sub(start_delay)
        };
        let split = split_among(scenario, scenario.gates);
        match scenario.limit {
            Limit::SlowStart => {
                GatePermits::SlowStart(SlowStartPermits::new(id, scenario.client_timing, started))
            }
            Limit::RetryBudget(settings) => GatePermits::Retry(RetryPermits::new(
                id,
                settings,
                split,
                scenario.client_timing,
                started,
            )),
        }
    }

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
            Self::SlowStart(permits) => permits.handle(now, event, actions),
            Self::Retry(permits) => permits.handle(now, event, actions),
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        match self {
            Self::SlowStart(permits) => permits.next_deadline(),
            Self::Retry(permits) => permits.next_deadline(),
        }
    }
}

/// The crate's key for a key of the simulation. It also stands for a service, which then belongs to
/// a region as a server instance does.
pub(crate) fn instance(key: usize) -> Instance {
    Instance {
        id: format!("i-{key}"),
        region: region(key),
    }
}

/// The index of the key that [`instance`] created.
pub(crate) fn key_index(instance: &Instance) -> usize {
    let number = instance.id.trim_start_matches("i-");
    number
        .parse()
        .expect("the id of an instance ends in its key index")
}

/// A gate across restarts, with its current faults.
#[derive(Debug)]
pub(crate) struct SimulatedGate {
    /// The running incarnation; `None` while the gate is down.
    pub process: Option<GateProcess>,
    pub incarnation: u64,
    pub paused_until: Micros,
    pub outbound_partition_until: Micros,
    pub inbound_partition_until: Micros,
    /// Until when the gate reaches only other partitioned gates.
    pub partitioned_until: Micros,
    /// When a fault last changed the state of the gate, for failure detection.
    pub changed_at: Micros,
}
