//! Simplifications of a scenario, from which the smallest one that still shows a finding is chosen.

use ironmast_emulator::{Arrivals, Clients, DiscoverySpec, Network, RetryWait, Scenario};

/// Scenarios that are a little simpler than the original, the largest simplifications first.
pub(super) fn simpler_scenarios(original: &Scenario) -> Vec<Scenario> {
    let with = |change: &dyn Fn(&mut Scenario)| {
        let mut copy = original.clone();
        change(&mut copy);
        copy
    };
    let mut candidates: Vec<Scenario> = (0..original.faults.len())
        .map(|i| with(&|s| drop(s.faults.remove(i))))
        .collect();
    candidates.push(with(&|s| {
        s.length_s = (s.length_s / 2.0).max(1.0);
        s.warmup_s = s.warmup_s.min(s.length_s / 2.0);
    }));
    // Ends after the last trouble.
    let last = original
        .faults
        .iter()
        .map(|t| t.at_s + t.for_s)
        .fold(1.0, f64::max);
    candidates.push(with(&|s| s.length_s = s.length_s.min(last + 3.0)));
    if original.classes.len() > 1 {
        candidates
            .extend((0..original.classes.len()).map(|i| with(&|s| drop(s.classes.remove(i)))));
    }
    if original.pools.len() > 1 {
        candidates.extend((0..original.pools.len()).map(|i| with(&|s| drop(s.pools.remove(i)))));
    }
    candidates.push(with(&|s| {
        s.pools
            .iter_mut()
            .for_each(|p| p.servers = p.servers.div_ceil(2));
    }));
    candidates.push(with(&|s| s.clients.rate /= 2.0));
    candidates.push(with(&|s| s.proxies.count = s.proxies.count.div_ceil(2)));
    if original.zones.len() > 1 {
        candidates.push(with(&|s| {
            s.zones.pop();
            s.proxies.zone_weights.truncate(s.zones.len());
        }));
    }
    candidates.push(with(&|s| {
        s.clients = Clients {
            rate: s.clients.rate,
            ..plain_clients()
        }
    }));
    candidates.push(with(&|s| {
        s.network = Network {
            between_zones_ms: s.network.between_zones_ms,
            ..Network::default()
        }
    }));
    candidates.push(with(&|s| s.discovery = DiscoverySpec::default()));
    candidates.push(with(&|s| s.proxies.zone_weights.clear()));
    for i in 0..original.faults.len() {
        candidates.push(with(&|s| s.faults[i].for_s /= 2.0));
        candidates.push(with(&|s| {
            s.faults[i].share = (s.faults[i].share / 2.0).max(0.01);
        }));
        candidates.push(with(&|s| {
            s.faults[i].at_s = (s.faults[i].at_s / 2.0).floor();
        }));
    }
    candidates
}

fn plain_clients() -> Clients {
    Clients {
        rate: 1.0,
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
