//! Parses the settings of the decision module.

use ironmast_balancer::{
    ClassSettings, Discovery, Effect, Group, Limits, Penalties, Safety, Settings, SizeMeaning,
    TenantSettings,
};

use crate::error::FieldError;
use crate::pairs::Pairs;

/// Parses the settings of the decision module; absent ones keep its defaults.
///
/// The paths are read in a fixed order, and the first invalid one is reported.
pub(crate) fn settings(pairs: &Pairs) -> Result<Settings, FieldError> {
    let mut settings = Settings::default();
    pairs.update("balancers", &mut settings.balancers)?;
    pairs.update("me", &mut settings.balancer_index)?;
    settings.classes = classes(pairs)?;
    settings.tenants = tenants(pairs)?;
    pairs.update("over_share_worth", &mut settings.over_share_value)?;
    read_zones(pairs, &mut settings)?;
    settings.discovery = discovery(pairs)?;
    settings.sizes = size_meaning(pairs);
    pairs.update("specifics.warm_keys", &mut settings.key_affinity)?;
    pairs.update("tick", &mut settings.tick)?;
    read_limits(pairs, &mut settings.limits)?;
    read_safety(pairs, &mut settings.safety)?;
    read_penalties(pairs, &mut settings.penalties)?;
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
        latency_target: pairs.required_value(&path("objective"))?,
        deadline: pairs.required_value(&path("hard_limit"))?,
        effect,
        value: pairs.value_or(&path("worth"), 1.0)?,
        late_value_share: pairs.value_or(&path("late_share"), 0.0)?,
        streaming: pairs.value_or(&path("streaming"), false)?,
    })
}

/// Parses the effect of a class's requests at the server, which decides whether they may be
/// retried.
fn effect(pairs: &Pairs, path: impl Fn(&str) -> String) -> Result<Effect, FieldError> {
    match pairs.get(&path("effect")).unwrap_or("free") {
        "free" => Ok(Effect::Idempotent),
        "single_shot" => Ok(Effect::NonIdempotent),
        "guarded" => Ok(Effect::Deduplicated {
            group: deduplication_group(pairs, &path("dedup_scope"))?,
            window: pairs.value_or(&path("dedup_window"), 0)?,
        }),
        other => Err(FieldError::new(
            path("effect"),
            format!("`{other}` is not a known effect (free, single_shot, guarded)"),
        )),
    }
}

/// Parses the group of servers that share the detection of duplicate requests.
fn deduplication_group(pairs: &Pairs, path: &str) -> Result<Group, FieldError> {
    match pairs.get(path).unwrap_or("all") {
        "all" => Ok(Group::All),
        "zone" => Ok(Group::Zone),
        "cell" => Ok(Group::Cell),
        other => Err(FieldError::new(
            path,
            format!("`{other}` is not a known deduplication scope (all, zone, cell)"),
        )),
    }
}

fn tenants(pairs: &Pairs) -> Result<Vec<TenantSettings>, FieldError> {
    let count = pairs.names("tenants")?.len();
    (0..count)
        .map(|index| {
            Ok(TenantSettings {
                allowance_per_s: pairs
                    .value_or(&format!("tenants.{index}.allowance_per_s"), 0.0)?,
                share: pairs.value_or(&format!("tenants.{index}.share"), 0.0)?,
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
        .ok_or_else(|| {
            FieldError::new("zone", format!("`{own_zone}` is not in the list of zones"))
        })?;
    Ok(())
}

fn discovery(pairs: &Pairs) -> Result<Discovery, FieldError> {
    match pairs.get("discovery").unwrap_or("automatic") {
        "automatic" => Ok(Discovery::Pushed),
        "subscribe" => Ok(Discovery::Subscribed),
        other => Err(FieldError::new(
            "discovery",
            format!("`{other}` is not a known mode of discovery (automatic, subscribe)"),
        )),
    }
}

/// Parses the meaning of the servers' sizes. Unknown values are accepted as
/// [`SizeMeaning::Unknown`], with which the sizes are not relied on.
fn size_meaning(pairs: &Pairs) -> SizeMeaning {
    match pairs.get("weight_source") {
        Some("nominal" | "rough") => SizeMeaning::Capacity,
        Some("live") => SizeMeaning::Live,
        _ => SizeMeaning::Unknown,
    }
}

fn read_limits(pairs: &Pairs, limits: &mut Limits) -> Result<(), FieldError> {
    pairs.update("limits.most_tries", &mut limits.max_attempts)?;
    pairs.update("limits.may_duplicate", &mut limits.allow_hedging)?;
    pairs.update("limits.cancelling", &mut limits.cancel)?;
    pairs.update("limits.probes", &mut limits.probes)?;
    pairs.update("limits.peers", &mut limits.peers)?;
    pairs.update("limits.retry_after", &mut limits.retry_after)?;
    pairs.update("limits.max_retry_after", &mut limits.max_retry_after)?;
    Ok(())
}

fn read_safety(pairs: &Pairs, safety: &mut Safety) -> Result<(), FieldError> {
    pairs.update("safety.answer_slack", &mut safety.answer_slack)?;
    pairs.update("safety.ask_within", &mut safety.discovery_interval)?;
    pairs.update("safety.cold_share", &mut safety.initial_capacity)?;
    pairs.update("safety.cold", &mut safety.warm_up)?;
    pairs.update("safety.drain_grace", &mut safety.drain_grace)?;
    pairs.update("safety.fall", &mut safety.overload_window)?;
    pairs.update("safety.fall_multiple", &mut safety.overload_multiple)?;
    Ok(())
}

fn read_penalties(pairs: &Pairs, penalties: &mut Penalties) -> Result<(), FieldError> {
    pairs.update("penalties.cross_zone", &mut penalties.cross_zone)?;
    pairs.update("penalties.waste", &mut penalties.waste)?;
    pairs.update("penalties.late_fail", &mut penalties.late_fail)?;
    Ok(())
}
