//! The settings of a proxy, made from a scenario.

use ironmast_balancer::{
    ClassSettings, Discovery as Watching, Effect, Group, Limits, Penalties, Safety, Settings,
    SizeMeaning,
};

use crate::scenario::{Class, DeduplicationGroup, EffectSpec, Scenario, millis, seconds};

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

/// What a proxy of a scenario is told at its start.
pub fn settings(scenario: &Scenario, me: u32, zone: usize) -> Settings {
    let p = &scenario.proxies;
    let cold = |f: fn(f64, f64) -> f64, start: f64, value: fn(&crate::scenario::Pool) -> f64| {
        scenario.pools.iter().map(value).fold(start, f)
    };
    let classes = scenario.classes.iter().map(|c| ClassSettings {
        latency_target: millis(c.latency_target_ms),
        deadline: millis(c.deadline_ms),
        effect: effect(c),
        value: c.value,
        late_value_share: 0.0,
        streaming: false,
    });
    Settings {
        balancers: p.count,
        balancer_index: me,
        classes: classes.collect(),
        tenants: Vec::new(),
        over_share_value: 1.0,
        zones: scenario.zones.len(),
        zone,
        discovery: if scenario.discovery.watch {
            Watching::Subscribed
        } else {
            Watching::Pushed
        },
        sizes: if p.list_shows_capacity {
            SizeMeaning::Capacity
        } else {
            SizeMeaning::Unknown
        },
        key_affinity: false,
        tick: 5_000,
        limits: Limits {
            max_attempts: p.max_attempts,
            allow_hedging: p.allow_hedging,
            cancel: p.cancel,
            probes: p.probes,
            peers: p.peers,
            retry_after: true,
            max_retry_after: seconds(p.max_retry_after_s),
        },
        safety: Safety {
            answer_slack: millis(scenario.rules.answer_slack_ms),
            discovery_interval: seconds(scenario.rules.max_query_interval_s),
            initial_capacity: cold(f64::min, 1.0, |p| p.initial_speed_share),
            warm_up: seconds(cold(f64::max, 0.0, |p| p.warm_up_s)),
            drain_grace: millis(scenario.rules.drain_grace_ms),
            overload_window: seconds(scenario.rules.overload_window_s),
            overload_multiple: scenario.rules.overload_multiple,
        },
        penalties: Penalties {
            cross_zone: p.cross_zone_penalty,
            waste: 0.0,
            late_fail: 0.0,
        },
    }
}
