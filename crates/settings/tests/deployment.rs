//! Parsing a deployment's settings: every path is read into its field, absent ones keep their
//! defaults, and errors name the path.

use ironmast_balancer::{Discovery, Effect, Group, Settings, SizeMeaning};
use ironmast_settings::{DeploymentSettings, FieldError};

/// The pairs of all required settings.
const REQUIRED: [(&str, &str); 6] = [
    ("classes.count", "1"),
    ("classes.0.name", "pay"),
    ("classes.0.objective", "200000"),
    ("classes.0.hard_limit", "1000000"),
    ("zone", "north"),
    ("zones", "north,south"),
];

fn read(pairs: &[(&'static str, &'static str)]) -> Result<DeploymentSettings, FieldError> {
    let all = REQUIRED.iter().chain(pairs).copied();
    DeploymentSettings::from_pairs(all)
}

/// The decision module's settings, parsed from the required pairs and one more.
fn settings_with(path: &'static str, value: &'static str) -> Settings {
    read(&[(path, value)]).expect("valid settings").settings
}

fn effect_with(pairs: &[(&'static str, &'static str)]) -> Effect {
    let deployment = read(pairs).expect("valid settings");
    deployment.settings.classes[0].effect
}

#[test]
fn absent_settings_keep_their_defaults() {
    let deployment = read(&[]).expect("valid settings");
    let defaults = Settings::default();
    let settings = &deployment.settings;
    assert_eq!(settings.balancers, defaults.balancers);
    assert_eq!(settings.tick, defaults.tick);
    assert_eq!(settings.discovery, Discovery::Pushed);
    assert_eq!(settings.sizes, SizeMeaning::Unknown);
    assert_eq!(settings.limits.max_attempts, defaults.limits.max_attempts);
    assert_eq!(settings.safety.warm_up, defaults.safety.warm_up);
    assert_eq!(settings.classes[0].effect, Effect::Idempotent);
    assert_eq!(deployment.connect_timeout, 200_000);
    assert_eq!(deployment.keepalive, 60_000_000);
}

#[test]
fn empty_values_and_dashes_are_absent() {
    let default = Settings::default().tick;
    assert_eq!(settings_with("tick", "").tick, default);
    assert_eq!(settings_with("tick", "-").tick, default);
}

#[test]
fn names_of_classes_tenants_and_zones_are_kept_in_order() {
    let tenants = [
        ("tenants.count", "2"),
        ("tenants.0.name", "a"),
        ("tenants.0.share", "0.25"),
        ("tenants.1.name", "b"),
        ("tenants.1.allowance_per_s", "7.5"),
    ];
    let deployment = read(&tenants).expect("valid settings");
    assert_eq!(deployment.classes, ["pay"]);
    assert_eq!(deployment.tenants, ["a", "b"]);
    assert_eq!(deployment.zones, ["north", "south"]);
    let [first, second] = &deployment.settings.tenants[..] else {
        panic!("two tenants: {:?}", deployment.settings.tenants);
    };
    assert_eq!((first.share, first.allowance_per_s), (0.25, 0.0));
    assert_eq!((second.share, second.allowance_per_s), (0.0, 7.5));
    assert_eq!(settings_with("zone", "south").zone, 1);
}

#[test]
fn every_path_is_read_into_its_field() {
    let read = settings_with;
    assert_eq!(read("balancers", "7").balancers, 7);
    assert_eq!(read("me", "3").balancer_index, 3);
    assert_eq!(read("over_share_worth", "0.5").over_share_value, 0.5);
    assert_eq!(read("tick", "9").tick, 9);
    assert!(read("specifics.warm_keys", "true").key_affinity);
    assert_eq!(
        read("discovery", "subscribe").discovery,
        Discovery::Subscribed
    );
    assert_eq!(read("weight_source", "rough").sizes, SizeMeaning::Capacity);
    assert_eq!(
        read("weight_source", "nominal").sizes,
        SizeMeaning::Capacity
    );
    assert_eq!(read("weight_source", "live").sizes, SizeMeaning::Live);
    assert_eq!(read("weight_source", "new").sizes, SizeMeaning::Unknown);
}

#[test]
fn every_path_of_a_class_is_read_into_its_field() {
    let read = |path, value| settings_with(path, value).classes.remove(0);
    assert_eq!(read("classes.0.objective", "5").latency_target, 5);
    assert_eq!(read("classes.0.hard_limit", "6").deadline, 6);
    assert_eq!(read("classes.0.worth", "2.5").value, 2.5);
    assert_eq!(read("classes.0.late_share", "0.1").late_value_share, 0.1);
    assert!(read("classes.0.streaming", "1").streaming);
    let guarded = ("classes.0.effect", "guarded");
    let scope = ("classes.0.dedup_scope", "cell");
    let window = ("classes.0.dedup_window", "8");
    assert_eq!(
        effect_with(&[guarded, scope, window]),
        Effect::Deduplicated {
            group: Group::Cell,
            window: 8
        }
    );
    let single_shot = ("classes.0.effect", "single_shot");
    assert_eq!(effect_with(&[single_shot]), Effect::NonIdempotent);
}

#[test]
fn every_limit_is_read_into_its_field() {
    let read = |path, value| settings_with(path, value).limits;
    assert_eq!(read("limits.most_tries", "9").max_attempts, 9);
    assert!(read("limits.may_duplicate", "true").allow_hedging);
    assert!(!read("limits.cancelling", "false").cancel);
    assert!(read("limits.probes", "true").probes);
    assert!(read("limits.peers", "true").peers);
    assert!(read("limits.retry_after", "true").retry_after);
    assert_eq!(read("limits.max_retry_after", "4").max_retry_after, 4);
}

#[test]
fn every_safety_and_penalty_setting_is_read_into_its_field() {
    let safety = |path, value| settings_with(path, value).safety;
    assert_eq!(safety("safety.answer_slack", "1").answer_slack, 1);
    assert_eq!(safety("safety.ask_within", "2").discovery_interval, 2);
    assert_eq!(safety("safety.cold_share", "0.3").initial_capacity, 0.3);
    assert_eq!(safety("safety.cold", "4").warm_up, 4);
    assert_eq!(safety("safety.drain_grace", "5").drain_grace, 5);
    assert_eq!(safety("safety.fall", "6").overload_window, 6);
    assert_eq!(safety("safety.fall_multiple", "7").overload_multiple, 7.0);
    let penalties = |path, value| settings_with(path, value).penalties;
    assert_eq!(penalties("penalties.cross_zone", "0.1").cross_zone, 0.1);
    assert_eq!(penalties("penalties.waste", "0.2").waste, 0.2);
    assert_eq!(penalties("penalties.late_fail", "0.3").late_fail, 0.3);
}

#[test]
fn connection_times_are_read_beside_the_limits() {
    let times = [("limits.connect_timeout", "1"), ("limits.keepalive", "2")];
    let deployment = read(&times).expect("valid settings");
    assert_eq!(deployment.connect_timeout, 1);
    assert_eq!(deployment.keepalive, 2);
}

#[test]
fn the_error_of_an_invalid_value_names_its_path() {
    for (path, value) in [
        ("balancers", "-1"),
        ("tick", "soon"),
        ("over_share_worth", "inf"),
        ("limits.probes", "yes"),
        ("safety.cold_share", "NaN"),
        ("classes.0.effect", "maybe"),
        ("discovery", "never"),
        ("zone", "west"),
    ] {
        let error = read(&[(path, value)]).expect_err("an invalid value");
        assert_eq!(error.field, path);
    }
    let error = DeploymentSettings::from_pairs(REQUIRED[..3].iter().copied());
    assert_eq!(error.expect_err("missing").field, "classes.0.hard_limit");
}
