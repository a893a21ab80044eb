//! Generates random scenarios and faults (swarm testing, Groce et al. 2012: each scenario has some
//! kinds of faults and not others).

use ironmast_emulator::{
    Arrivals, Class, Clients, DeduplicationGroup, DiscoverySpec, Distribution, EffectSpec, Fault,
    FaultKind, Network, Pool, Proxies, Purpose, RetryWait, Rules, Scenario, Stream,
};

/// All kinds of faults. Their order must not change: the faults of a seed depend on it.
const FAULT_KINDS: [FaultKind; 12] = [
    FaultKind::Slow,
    FaultKind::SlowDependency,
    FaultKind::GreyFailure,
    FaultKind::Pause,
    FaultKind::Crash,
    FaultKind::ZoneLoss,
    FaultKind::ZonePartition,
    FaultKind::Deploy,
    FaultKind::ProxyRestart,
    FaultKind::Surge,
    FaultKind::RetryStorm,
    FaultKind::DiscoveryOutage,
];

/// The probability that a kind of fault is present in a scenario.
const FAULT_PROBABILITY: f64 = 0.3;

/// The latest start of a fault, as a share of the scenario's length, so that its effects show
/// before the end.
const MAX_FAULT_START_SHARE: f64 = 0.7;

/// The range of the load, as a share of what warm servers can do: from mostly idle to overloaded.
const LOAD_RANGE: (f64, f64) = (0.15, 1.3);

/// The range of the request rate, in requests a second. More would make the hunt slow.
const RATE_RANGE: (f64, f64) = (1.0, 3_000.0);

/// Generates a scenario without faults.
pub(super) fn generate_scenario(seed: u64) -> Scenario {
    let random = &mut Stream::new(seed, Purpose::GeneratedScenarios, 0);
    let zones: Vec<String> = (0..=random.below(4)).map(|z| format!("z{z}")).collect();
    let length_s = random.uniform((10.0, 30.0)).round();
    let class_count = 1 + random.below(3);
    let classes = (0..class_count)
        .map(|i| generate_class(random, i))
        .collect();
    let pool_count = 1 + random.below(3);
    let pools = (0..pool_count)
        .map(|i| generate_pool(random, i, &zones))
        .collect();
    let mut scenario = Scenario {
        name: format!("hunt-{seed}"),
        about: String::new(),
        length_s,
        warmup_s: 0.0,
        window_s: 5.0,
        zones,
        clients: generate_clients(random),
        proxies: generate_proxies(random),
        network: Network {
            within_zone_ms: random.uniform((0.0, 2.0)),
            between_zones_ms: random.uniform((1.0, 40.0)),
            jitter: random.unit(),
            datagram_loss: random.unit() * 0.2,
            connect_timeout_ms: random.uniform((50.0, 400.0)),
            idle_timeout_s: random.uniform((1.0, 60.0)),
        },
        discovery: DiscoverySpec {
            watch: random.unit() < 0.8,
            start_delay_s: random.uniform((0.0, 3.0)),
            drain_delay_s: random.uniform((0.0, 1.5)),
            removal_delay_s: random.uniform((0.0, 4.0)),
            spread_s: random.uniform((0.0, 0.5)),
            queries_per_s: random.uniform((2.0, 500.0)),
            max_wait_s: random.uniform((0.2, 3.0)),
        },
        rules: Rules::default(),
        classes,
        pools,
        faults: Vec::new(),
    };
    if scenario.zones.len() > 1 && random.unit() < 0.4 {
        scenario.proxies.zone_weights = scenario
            .zones
            .iter()
            .map(|_| random.unit() + 0.01)
            .collect();
    }
    let rate = scenario.capacity() * random.uniform(LOAD_RANGE);
    scenario.clients.rate = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
    scenario
}

fn generate_class(random: &mut Stream, number: usize) -> Class {
    let work_ms = random.uniform((2.0, 120.0));
    let latency_target_ms = work_ms * random.uniform((3.0, 12.0));
    Class {
        name: format!("c{number}"),
        share: random.unit() + 0.05,
        effect: [
            EffectSpec::Idempotent,
            EffectSpec::Deduplicated,
            EffectSpec::NonIdempotent,
        ][random.below(3)],
        group: [DeduplicationGroup::All, DeduplicationGroup::Zone][random.below(2)],
        deduplication_window_s: random.uniform((0.05, 8.0)),
        distribution: [
            Distribution::Fixed,
            Distribution::Exponential,
            Distribution::Lognormal,
        ][random.below(3)],
        work_ms,
        cv: random.uniform((0.1, 2.0)),
        latency_target_ms,
        deadline_ms: latency_target_ms * random.uniform((1.0, 5.0)),
        value: random.uniform((0.5, 10.0)),
    }
}

fn generate_pool(random: &mut Stream, number: usize, zones: &[String]) -> Pool {
    let cores = 1 + random.below(6) as u32;
    let min_speed = random.uniform((0.4, 1.0));
    Pool {
        kind: format!("p{number}"),
        zone: if random.unit() < 0.7 {
            "*".into()
        } else {
            zones[random.below(zones.len())].clone()
        },
        servers: 1 + random.below(8) as u32,
        cores,
        slots: if random.unit() < 0.7 {
            0
        } else {
            cores * (1 + random.below(4) as u32)
        },
        queue: random.below(80) as u32,
        speed: (min_speed, min_speed * random.uniform((1.0, 2.0))),
        connections: if random.unit() < 0.6 {
            0
        } else {
            20 + random.below(200) as u32
        },
        handshake_work_ms: random.unit() * 2.0,
        probe_work_ms: random.unit() * 0.5,
        initial_speed_share: random.uniform((0.2, 1.0)),
        warm_up_s: random.uniform((1.0, 12.0)),
        warm_up_work_s: if random.unit() < 0.7 {
            0.0
        } else {
            random.uniform((1.0, 20.0))
        },
        overdrive_ratio: if random.unit() < 0.5 {
            0.0
        } else {
            random.uniform((2.0, 10.0))
        },
        overdrive_s: random.uniform((0.5, 3.0)),
        overdrive_factor: random.uniform((1.2, 4.0)),
        recover_s: random.uniform((1.0, 20.0)),
        drops_cancelled: random.unit() < 0.7,
        drops_overdue: random.unit() < 0.7,
    }
}

fn generate_clients(random: &mut Stream) -> Clients {
    Clients {
        rate: 1.0,
        arrivals: [Arrivals::Poisson, Arrivals::Even, Arrivals::Bursty][random.below(3)],
        burst_s: random.uniform((0.1, 3.0)),
        rest_s: random.uniform((0.1, 6.0)),
        burst_factor: random.uniform((1.5, 8.0)),
        rate_curve: if random.unit() < 0.7 {
            Vec::new()
        } else {
            vec![(2.0, random.unit()), (8.0, 1.0 + random.unit())]
        },
        first_proxy_weight: if random.unit() < 0.6 {
            1.0
        } else {
            random.uniform((1.0, 30.0))
        },
        retries: random.below(5) as u32,
        retry_wait: [
            RetryWait::AtOnce,
            RetryWait::Fixed,
            RetryWait::Exponential,
            RetryWait::RetryAfter,
        ][random.below(4)],
        retry_ms: random.uniform((0.0, 400.0)),
        timeout_share: (random.uniform((0.3, 0.9)), 1.0),
        disconnect_share: if random.unit() < 0.5 {
            0.0
        } else {
            random.unit() * 0.2
        },
    }
}

fn generate_proxies(random: &mut Stream) -> Proxies {
    Proxies {
        count: 1 + if random.unit() < 0.7 {
            random.below(8)
        } else {
            random.below(120)
        } as u32,
        zone_weights: Vec::new(),
        max_attempts: 1 + random.below(3) as u32,
        allow_hedging: random.unit() < 0.2,
        cancel: random.unit() < 0.9,
        probes: random.unit() < 0.7,
        peers: false,
        load_reports: random.unit() < 0.7,
        max_retry_after_s: random.uniform((0.1, 3.0)),
        cross_zone_penalty: random.unit() * 0.3,
        list_shows_capacity: random.unit() < 0.5,
    }
}

/// Adds random faults to a scenario: each kind is either present or not.
pub(super) fn add_faults(scenario: &mut Scenario, seed: u64) {
    let random = &mut Stream::new(seed, Purpose::GeneratedScenarios, 1);
    for kind in FAULT_KINDS {
        if random.unit() >= FAULT_PROBABILITY {
            continue;
        }
        let fault = generate_fault(random, kind, scenario);
        scenario.faults.push(fault);
        // A fault that concerns a zone without servers is invalid and left out.
        if scenario.validate().is_err() {
            scenario.faults.pop();
        }
    }
}

/// Generates a fault of a kind. Settings that the kind does not use are drawn too, so that the
/// settings drawn after them do not depend on the kind.
fn generate_fault(random: &mut Stream, kind: FaultKind, scenario: &Scenario) -> Fault {
    let zone = &scenario.zones[random.below(scenario.zones.len())];
    let is_zone_fault = matches!(kind, FaultKind::ZoneLoss | FaultKind::ZonePartition);
    let has_zone = is_zone_fault || random.unit() < 0.2;
    let class = &scenario.classes[random.below(scenario.classes.len())].name;
    let has_class = kind == FaultKind::GreyFailure;
    let at_s = rounded_to_tenths(random.unit() * scenario.length_s * MAX_FAULT_START_SHARE);
    let max_for_s = (scenario.length_s - at_s).max(0.4);
    Fault {
        kind,
        at_s,
        for_s: rounded_to_tenths(random.uniform((0.2, max_for_s))),
        share: random.uniform((0.05, 1.0)),
        zone: if has_zone {
            zone.clone()
        } else {
            String::new()
        },
        class: if has_class {
            class.clone()
        } else {
            String::new()
        },
        factor: random.uniform((1.2, 8.0)),
        silent: random.unit() < 0.5,
        include_proxies: random.unit() < 0.5,
        batch: random.uniform((0.05, 0.6)),
        drain_s: random.uniform((0.2, 5.0)),
        pause_s: random.uniform((0.02, 1.0)),
        retries: 1 + random.below(5) as u32,
    }
}

/// The value rounded to one decimal place, so that a scenario's file is readable.
fn rounded_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
