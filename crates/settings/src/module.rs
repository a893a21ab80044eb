//! The settings of the decision module.

use ironmast_balancer::{
    ClassSettings, Discovery, Effect, Group, Settings, SizeMeaning, TenantSettings,
};

use crate::error::FieldError;
use crate::pairs::Pairs;

/// Reads the settings of the decision module, with its defaults for those that are absent.
///
/// The paths are read in a fixed order: the first wrong one is the one reported.
pub(crate) fn settings(pairs: &Pairs) -> Result<Settings, FieldError> {
    let mut settings = Settings::default();
    settings.balancers = pairs.u32_or("balancers", settings.balancers)?;
    settings.balancer_index = pairs.u32_or("me", settings.balancer_index)?;
    settings.classes = classes(pairs)?;
    settings.tenants.extend(tenants(pairs)?);
    settings.over_share_value = pairs.f64_or("over_share_worth", settings.over_share_value)?;
    read_zones(pairs, &mut settings)?;
    settings.discovery = discovery(pairs)?;
    settings.sizes = size_meaning(pairs);
    settings.key_affinity = pairs.bool_or("specifics.warm_keys", false)?;
    settings.tick = pairs.u64_or("tick", settings.tick)?;
    read_limits(pairs, &mut settings)?;
    read_safety(pairs, &mut settings)?;
    read_penalties(pairs, &mut settings)?;
    Ok(settings)
}

fn classes(pairs: &Pairs) -> Result<Vec<ClassSettings>, FieldError> {
    let count = pairs.names("classes")?.len();
    (0..count).map(|index| class(pairs, index)).collect()
}

fn class(pairs: &Pairs, index: usize) -> Result<ClassSettings, FieldError> {
    let path = |key: &str| format!("classes.{index}.{key}");
    let effect = effect(pairs, path)?;
    Ok(ClassSettings {
        latency_target: pairs.required_u64(&path("objective"))?,
        deadline: pairs.required_u64(&path("hard_limit"))?,
        effect,
        value: pairs.f64_or(&path("worth"), 1.0)?,
        late_value_share: pairs.f64_or(&path("late_share"), 0.0)?,
        streaming: pairs.bool_or(&path("streaming"), false)?,
    })
}

/// What a request of a class changes at the server, which decides whether it may be retried.
fn effect(pairs: &Pairs, path: impl Fn(&str) -> String) -> Result<Effect, FieldError> {
    match pairs.get(&path("effect")).unwrap_or("free") {
        "free" => Ok(Effect::Idempotent),
        "single_shot" => Ok(Effect::NonIdempotent),
        "guarded" => Ok(Effect::Deduplicated {
            group: deduplication_group(pairs, &path("dedup_scope"))?,
            window: pairs.u64_or(&path("dedup_window"), 0)?,
        }),
        other => Err(FieldError::new(
            path("effect"),
            format!("`{other}` is not a known effect"),
        )),
    }
}

/// The servers that recognize a duplicate of a request that one of them received.
fn deduplication_group(pairs: &Pairs, path: &str) -> Result<Group, FieldError> {
    match pairs.get(path).unwrap_or("all") {
        "all" => Ok(Group::All),
        "zone" => Ok(Group::Zone),
        "cell" => Ok(Group::Cell),
        other => Err(FieldError::new(
            path,
            format!("`{other}` is not a known scope"),
        )),
    }
}

fn tenants(pairs: &Pairs) -> Result<Vec<TenantSettings>, FieldError> {
    let count = pairs.names("tenants")?.len();
    (0..count)
        .map(|index| {
            Ok(TenantSettings {
                allowance_per_s: pairs.f64_or(&format!("tenants.{index}.allowance_per_s"), 0.0)?,
                share: pairs.f64_or(&format!("tenants.{index}.share"), 0.0)?,
            })
        })
        .collect()
}

fn read_zones(pairs: &Pairs, settings: &mut Settings) -> Result<(), FieldError> {
    let zones = pairs.list("zones");
    let own_zone = pairs.required("zone")?;
    settings.zones = zones.len();
    settings.zone = zones
        .iter()
        .position(|zone| zone == own_zone)
        .ok_or_else(|| FieldError::new("zone", format!("`{own_zone}` is not among the zones")))?;
    Ok(())
}

fn discovery(pairs: &Pairs) -> Result<Discovery, FieldError> {
    match pairs.get("discovery").unwrap_or("automatic") {
        "automatic" => Ok(Discovery::Pushed),
        "subscribe" => Ok(Discovery::Subscribed),
        other => Err(FieldError::new(
            "discovery",
            format!("`{other}` is not a known way"),
        )),
    }
}

/// What the sizes of servers mean. Unknown values are accepted: they promise nothing.
fn size_meaning(pairs: &Pairs) -> SizeMeaning {
    match pairs.get("weight_source") {
        Some("nominal" | "rough") => SizeMeaning::Capacity,
        Some("live") => SizeMeaning::Live,
        _ => SizeMeaning::Unknown,
    }
}

fn read_limits(pairs: &Pairs, settings: &mut Settings) -> Result<(), FieldError> {
    let limits = &mut settings.limits;
    limits.max_attempts = pairs.u32_or("limits.most_tries", limits.max_attempts)?;
    limits.allow_hedging = pairs.bool_or("limits.may_duplicate", limits.allow_hedging)?;
    limits.cancel = pairs.bool_or("limits.cancelling", limits.cancel)?;
    limits.probes = pairs.bool_or("limits.probes", limits.probes)?;
    limits.peers = pairs.bool_or("limits.peers", limits.peers)?;
    limits.retry_after = pairs.bool_or("limits.retry_after", limits.retry_after)?;
    limits.max_retry_after = pairs.u64_or("limits.max_retry_after", limits.max_retry_after)?;
    Ok(())
}

fn read_safety(pairs: &Pairs, settings: &mut Settings) -> Result<(), FieldError> {
    let safety = &mut settings.safety;
    safety.answer_slack = pairs.u64_or("safety.answer_slack", safety.answer_slack)?;
    safety.discovery_interval = pairs.u64_or("safety.ask_within", safety.discovery_interval)?;
    safety.initial_capacity = pairs.f64_or("safety.cold_share", safety.initial_capacity)?;
    safety.warm_up = pairs.u64_or("safety.cold", safety.warm_up)?;
    safety.drain_grace = pairs.u64_or("safety.drain_grace", safety.drain_grace)?;
    safety.overload_window = pairs.u64_or("safety.fall", safety.overload_window)?;
    safety.overload_multiple = pairs.f64_or("safety.fall_multiple", safety.overload_multiple)?;
    Ok(())
}

fn read_penalties(pairs: &Pairs, settings: &mut Settings) -> Result<(), FieldError> {
    let penalties = &mut settings.penalties;
    penalties.cross_zone = pairs.f64_or("penalties.cross_zone", penalties.cross_zone)?;
    penalties.waste = pairs.f64_or("penalties.waste", penalties.waste)?;
    penalties.late_fail = pairs.f64_or("penalties.late_fail", penalties.late_fail)?;
    Ok(())
}
