//! Converts a scenario into the settings of a proxy's balancer.

use ironmast_balancer::{
    ClassSettings, Discovery, Effect, Group, Limits, Micros, Penalties, Safety, Settings,
    SizeMeaning,
};

use crate::scenario::{Class, DeduplicationGroup, EffectSpec, Scenario, millis, seconds};

/// The tick interval of the balancer, in microseconds.
const TICK: Micros = 5_000;

fn effect(class: &Class) -> Effect {
    match class.effect {
        EffectSpec::Idempotent => Effect::Idempotent,
        EffectSpec::NonIdempotent => Effect::NonIdempotent,
        EffectSpec::Deduplicated => Effect::Deduplicated {
            group: match class.group {
                DeduplicationGroup::All => Group::All,
                DeduplicationGroup::Zone => Group::Zone,
            },
            window: seconds(class.deduplication_window_s),
        },
    }
}

fn class_settings(class: &Class) -> ClassSettings {
    ClassSettings {
        latency_target: millis(class.latency_target_ms),
        deadline: millis(class.deadline_ms),
        effect: effect(class),
        value: class.value,
        late_value_share: 0.0,
        streaming: false,
    }
}

fn limits(scenario: &Scenario) -> Limits {
    let proxies = &scenario.proxies;
    Limits {
        max_attempts: proxies.max_attempts,
        allow_hedging: proxies.allow_hedging,
        cancel: proxies.cancel,
        probes: proxies.probes,
        peers: proxies.peers,
        retry_after: true,
        max_retry_after: seconds(proxies.max_retry_after_s),
    }
}

/// The safety settings, from the parameters of the rules. All servers are treated as having the
/// slowest warm-up of any pool: the lowest initial speed and the longest duration.
fn safety(scenario: &Scenario) -> Safety {
    let (rules, pools) = (&scenario.rules, &scenario.pools);
    let initial_shares = pools.iter().map(|pool| pool.initial_speed_share);
    let warm_ups_s = pools.iter().map(|pool| pool.warm_up_s);
    Safety {
        answer_slack: millis(rules.answer_slack_ms),
        discovery_interval: seconds(rules.max_query_interval_s),
        initial_capacity: initial_shares.fold(1.0, f64::min),
        warm_up: seconds(warm_ups_s.fold(0.0, f64::max)),
        drain_grace: millis(rules.drain_grace_ms),
        overload_window: seconds(rules.overload_window_s),
        overload_multiple: rules.overload_multiple,
    }
}

/// The balancer settings of the proxy with this index in the zone with this index.
#[must_use]
pub fn proxy_settings(scenario: &Scenario, number: u32, zone: usize) -> Settings {
    let proxies = &scenario.proxies;
    Settings {
        balancers: proxies.count,
        balancer_index: number,
        classes: scenario.classes.iter().map(class_settings).collect(),
        tenants: Vec::new(),
        over_share_value: 1.0,
        zones: scenario.zones.len(),
        zone,
        discovery: if scenario.discovery.watch {
            Discovery::Subscribed
        } else {
            Discovery::Pushed
        },
        sizes: if proxies.list_shows_capacity {
            SizeMeaning::Capacity
        } else {
            SizeMeaning::Unknown
        },
        key_affinity: false,
        tick: TICK,
        limits: limits(scenario),
        safety: safety(scenario),
        penalties: Penalties {
            cross_zone: proxies.cross_zone_penalty,
            waste: 0.0,
            late_fail: 0.0,
        },
    }
}
