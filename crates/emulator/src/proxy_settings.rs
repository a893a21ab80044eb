//! The settings of a proxy, made from a scenario.

use ironmast_balancer::{
    ClassSettings, Discovery as Watching, Effect, Group, Limits, Penalties, Safety, Settings,
    SizeMeaning,
};

use crate::scenario::{Class, EffectSpec, GroupSpec, Scenario, millis, seconds};

fn effect(class: &Class) -> Effect {
    match class.effect {
        EffectSpec::Free => Effect::Idempotent,
        EffectSpec::Once => Effect::NonIdempotent,
        EffectSpec::Keyed => Effect::Deduplicated {
            group: match class.group {
                GroupSpec::All => Group::All,
                GroupSpec::Zone => Group::Zone,
            },
            window: seconds(class.dedup_s),
        },
    }
}

/// What a proxy of a scenario is told at its start.
pub fn settings(scenario: &Scenario, me: u32, zone: usize) -> Settings {
    let p = &scenario.proxies;
    let cold = |f: fn(f64, f64) -> f64, start: f64, value: fn(&crate::scenario::Pool) -> f64| {
        scenario.pool.iter().map(value).fold(start, f)
    };
    let classes = scenario.class.iter().map(|c| ClassSettings {
        latency_target: millis(c.aim_ms),
        deadline: millis(c.deadline_ms),
        effect: effect(c),
        value: c.worth,
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
        sizes: if p.sizes {
            SizeMeaning::Capacity
        } else {
            SizeMeaning::Unknown
        },
        key_affinity: false,
        tick: 5_000,
        limits: Limits {
            max_attempts: p.most_tries,
            allow_hedging: p.may_duplicate,
            cancel: p.cancel,
            probes: p.probes,
            peers: p.peers,
            retry_after: true,
            max_retry_after: seconds(p.max_retry_after_s),
        },
        safety: Safety {
            answer_slack: millis(scenario.rules.answer_slack_ms),
            discovery_interval: seconds(scenario.rules.ask_within_s),
            initial_capacity: cold(f64::min, 1.0, |p| p.cold_share),
            warm_up: seconds(cold(f64::max, 0.0, |p| p.cold_s)),
            drain_grace: millis(scenario.rules.drain_grace_ms),
            overload_window: seconds(scenario.rules.cold_window_s),
            overload_multiple: scenario.rules.cold_multiple,
        },
        penalties: Penalties {
            cross_zone: p.cross_zone,
            waste: 0.0,
            late_fail: 0.0,
        },
    }
}
