//! Simplifications of a scenario: `hunt` keeps the first that still shows a finding of the same
//! kind.

use ironmast_emulator::{Arrivals, Clients, DiscoverySpec, Fault, Network, RetryWait, Scenario};

/// The time that remains after the end of the last fault, in seconds.
const TIME_AFTER_FAULTS_S: f64 = 3.0;

/// The shortest scenario, in seconds.
const MIN_LENGTH_S: f64 = 1.0;

/// The smallest share of servers or proxies that a fault concerns.
const MIN_FAULT_SHARE: f64 = 0.01;

/// Scenarios that are a little simpler than the original, the largest simplifications first. Some
/// may be invalid or equal to the original.
pub(super) fn simpler_scenarios(original: &Scenario) -> Vec<Scenario> {
    let mut scenarios = without_one(original, original.faults.len(), |scenario, index| {
        scenario.faults.remove(index);
    });
    scenarios.extend(shorter(original));
    if original.classes.len() > 1 {
        scenarios.extend(without_one(
            original,
            original.classes.len(),
            |scenario, index| drop(scenario.classes.remove(index)),
        ));
    }
    if original.pools.len() > 1 {
        scenarios.extend(without_one(
            original,
            original.pools.len(),
            |scenario, index| drop(scenario.pools.remove(index)),
        ));
    }
    scenarios.extend(smaller(original));
    scenarios.extend(plainer(original));
    for index in 0..original.faults.len() {
        scenarios.extend(with_weaker_fault(original, index));
    }
    scenarios
}

/// A copy of a scenario with a change.
fn changed(original: &Scenario, change: impl FnOnce(&mut Scenario)) -> Scenario {
    let mut scenario = original.clone();
    change(&mut scenario);
    scenario
}

/// For each of `count` items, the scenario without it.
fn without_one(
    original: &Scenario,
    count: usize,
    remove: impl Fn(&mut Scenario, usize),
) -> Vec<Scenario> {
    let without = |index| changed(original, |scenario| remove(scenario, index));
    (0..count).map(without).collect()
}

/// The scenario at half its length, and ended soon after the last fault.
fn shorter(original: &Scenario) -> [Scenario; 2] {
    let fault_ends = original.faults.iter().map(|fault| fault.at_s + fault.for_s);
    let last_end_s = fault_ends.fold(MIN_LENGTH_S, f64::max);
    [
        changed(original, |scenario| {
            scenario.length_s = (scenario.length_s / 2.0).max(MIN_LENGTH_S);
            scenario.warmup_s = scenario.warmup_s.min(scenario.length_s / 2.0);
        }),
        changed(original, |scenario| {
            scenario.length_s = scenario.length_s.min(last_end_s + TIME_AFTER_FAULTS_S);
        }),
    ]
}

/// The scenario with half of the servers, requests or proxies, or with one zone less.
fn smaller(original: &Scenario) -> Vec<Scenario> {
    let mut scenarios = vec![
        changed(original, |scenario| {
            for pool in &mut scenario.pools {
                pool.servers = pool.servers.div_ceil(2);
            }
        }),
        changed(original, |scenario| scenario.clients.rate /= 2.0),
        changed(original, |scenario| {
            scenario.proxies.count = scenario.proxies.count.div_ceil(2);
        }),
    ];
    if original.zones.len() > 1 {
        scenarios.push(changed(original, |scenario| {
            scenario.zones.pop();
            scenario.proxies.zone_weights.truncate(scenario.zones.len());
        }));
    }
    scenarios
}

/// The scenario with plain clients, a default network or default discovery, or with proxies
/// distributed evenly over the zones.
fn plainer(original: &Scenario) -> [Scenario; 4] {
    [
        changed(original, |scenario| {
            scenario.clients = plain_clients(scenario.clients.rate);
        }),
        changed(original, |scenario| {
            scenario.network = Network {
                between_zones_ms: scenario.network.between_zones_ms,
                ..Network::default()
            };
        }),
        changed(original, |scenario| {
            scenario.discovery = DiscoverySpec::default();
        }),
        changed(original, |scenario| scenario.proxies.zone_weights.clear()),
    ]
}

/// The scenario with one fault of half the duration, of half the share, or at half the time.
fn with_weaker_fault(original: &Scenario, index: usize) -> [Scenario; 3] {
    let with =
        |change: fn(&mut Fault)| changed(original, |scenario| change(&mut scenario.faults[index]));
    [
        with(|fault| fault.for_s /= 2.0),
        with(|fault| fault.share = (fault.share / 2.0).max(MIN_FAULT_SHARE)),
        with(|fault| fault.at_s = (fault.at_s / 2.0).floor()),
    ]
}

/// Clients that arrive at random at a constant rate, do not retry and wait until the deadline.
fn plain_clients(rate: f64) -> Clients {
    Clients {
        rate,
        arrivals: Arrivals::Poisson,
        burst_s: 1.0,
        rest_s: 1.0,
        burst_factor: 2.0,
        rate_curve: Vec::new(),
        first_proxy_weight: 1.0,
        retries: 0,
        retry_wait: RetryWait::Fixed,
        retry_ms: 100.0,
        timeout_share: (1.0, 1.0),
        disconnect_share: 0.0,
    }
}
