use super::*;
use crate::endpoint::Target;
use ironmast_balancer::Server;

const DISABLED_AT: Micros = 5_000_000;
const ENABLED_AT: Micros = 9_000_000;

fn endpoint(uid: &str, state: &str, boot_ms: u64) -> Endpoint {
    let target = Target {
        uid: uid.to_string(),
        endpoint: "127.0.0.1:1".parse().expect("an address"),
        az: "a".to_string(),
        pod_group: 1,
        state: state.to_string(),
        capacity_hint: None,
        boot_ms,
    };
    target.into_endpoint(|_| 0).expect("a valid target")
}

fn update(scope: Scope, endpoints: &[(&str, &str, u64)]) -> EndpointUpdate {
    let endpoints = endpoints
        .iter()
        .map(|&(uid, state, boot)| endpoint(uid, state, boot))
        .collect();
    EndpointUpdate {
        scope,
        revision: Some(1),
        endpoints,
    }
}

/// The uid, phase and start of each endpoint in an update, sorted by uid.
fn shown(update: &EndpointUpdate) -> Vec<(String, Phase, Option<Micros>)> {
    let mut shown: Vec<_> = update
        .endpoints
        .iter()
        .map(|endpoint| {
            let Server { phase, started, .. } = endpoint.server;
            (endpoint.target.uid.clone(), phase, started)
        })
        .collect();
    shown.sort_by(|one, other| one.0.cmp(&other.0));
    shown
}

/// `s1` and `s2` are discovered, and `s1` is disabled.
fn with_s1_disabled() -> ServerOverrides {
    let mut overrides = ServerOverrides::default();
    overrides.apply_discovery(update(
        Scope::Complete,
        &[("s1", "up", 1_000), ("s2", "up", 0)],
    ));
    let Applied { remark, update } = overrides.disable("s1", DISABLED_AT).expect("known");
    assert_eq!(remark, "s1 is out of use");
    let update = update.expect("an update");
    assert_eq!(
        update.scope,
        Scope::Cached,
        "discovery has reported nothing"
    );
    assert_eq!(
        shown(&update),
        [
            ("s1".into(), Phase::Draining, Some(1_000_000)),
            ("s2".into(), Phase::Ready, None)
        ]
    );
    overrides
}

/// Tries every sequence of three reports from discovery.
#[test]
fn disabled_server_is_never_ready_whatever_discovery_reports() {
    type Reported = (&'static str, &'static str, u64);
    let reports: [(Scope, &[Reported]); 7] = [
        (Scope::Changes, &[("s1", "up", 6_000)]),
        (Scope::Changes, &[("s1", "removed", 0)]),
        (Scope::Changes, &[("s1", "draining", 1_000)]),
        (Scope::Complete, &[("s1", "up", 1_000), ("s2", "up", 0)]),
        (Scope::Complete, &[("s2", "up", 0)]),
        (Scope::Cached, &[("s1", "up", 0)]),
        (Scope::Failed, &[]),
    ];
    for first in 0..reports.len() {
        for second in 0..reports.len() {
            for third in 0..reports.len() {
                let mut overrides = with_s1_disabled();
                for (scope, endpoints) in [first, second, third].map(|i| reports[i]) {
                    let shown = overrides.apply_discovery(update(scope, endpoints));
                    let is_ready_s1 = |endpoint: &Endpoint| {
                        endpoint.target.uid == "s1" && endpoint.server.phase == Phase::Ready
                    };
                    assert!(
                        !shown.endpoints.iter().any(is_ready_s1),
                        "{first} {second} {third}"
                    );
                }
                assert!(
                    overrides.enable("s1", ENABLED_AT).is_ok(),
                    "a disabled server can be enabled, discovered or not"
                );
                let shown =
                    overrides.apply_discovery(update(Scope::Changes, &[("s1", "up", 1_000)]));
                assert_eq!(shown.endpoints[0].server.phase, Phase::Ready);
            }
        }
    }
}

#[test]
fn enabled_server_without_a_reported_start_is_shown_as_started_when_enabled() {
    let mut overrides = with_s1_disabled();
    let enabled = overrides
        .enable("s1", ENABLED_AT)
        .expect("known")
        .update
        .expect("an update");
    assert_eq!(
        shown(&enabled)[0],
        ("s1".into(), Phase::Ready, Some(ENABLED_AT))
    );
    // Discovery repeats the old start, which leaves the start uncertain. Then it reports the new one.
    let same = overrides.apply_discovery(update(Scope::Complete, &[("s1", "up", 1_000)]));
    assert_eq!(shown(&same)[0].2, Some(ENABLED_AT));
    let reported = overrides.apply_discovery(update(Scope::Changes, &[("s1", "up", 7_500)]));
    assert_eq!(shown(&reported)[0].2, Some(7_500_000));
    assert!(
        overrides.state().reenabled.is_empty(),
        "the entry is removed once the start is reported"
    );
}

#[test]
fn start_reported_while_disabled_is_shown_unchanged() {
    let mut overrides = with_s1_disabled();
    overrides.apply_discovery(update(Scope::Changes, &[("s1", "up", 7_000)]));
    let enabled = overrides
        .enable("s1", ENABLED_AT)
        .expect("known")
        .update
        .expect("an update");
    assert_eq!(
        shown(&enabled)[0],
        ("s1".into(), Phase::Ready, Some(7_000_000))
    );
}

#[test]
fn enabling_does_not_undo_draining_or_removal() {
    let mut overrides = with_s1_disabled();
    overrides.apply_discovery(update(Scope::Changes, &[("s1", "draining", 1_000)]));
    assert_eq!(
        shown(
            &overrides
                .enable("s1", ENABLED_AT)
                .expect("known")
                .update
                .expect("an update")
        )[0]
        .1,
        Phase::Draining
    );
    let mut overrides = with_s1_disabled();
    overrides.apply_discovery(update(Scope::Changes, &[("s1", "removed", 1_000)]));
    assert!(
        overrides
            .enable("s1", ENABLED_AT)
            .expect("known")
            .update
            .is_none()
    );
}

#[test]
fn repeated_commands_change_nothing_and_unknown_ids_are_rejected() {
    let mut overrides = with_s1_disabled();
    let again = overrides.disable("s1", DISABLED_AT + 1).expect("known");
    assert!(again.update.is_none());
    assert_eq!(
        overrides.state().disabled["s1"],
        DISABLED_AT,
        "the first command counts"
    );
    assert!(
        overrides
            .enable("s1", ENABLED_AT)
            .expect("known")
            .update
            .is_some(),
        "one enable undoes two disables"
    );
    let again = overrides.enable("s1", ENABLED_AT + 1).expect("known");
    assert!(again.update.is_none());
    assert!(
        overrides.enable("s2", ENABLED_AT).is_ok(),
        "s2 was never disabled"
    );
    for unknown in ["s3", "S1", "s", ""] {
        assert!(overrides.disable(unknown, DISABLED_AT).is_err());
        assert!(overrides.enable(unknown, DISABLED_AT).is_err());
    }
    overrides.apply_discovery(update(Scope::Changes, &[("s2", "removed", 0)]));
    assert!(
        overrides.disable("s2", DISABLED_AT).is_err(),
        "s2 was removed"
    );
}

/// An override passed to the other process of a hot restart, or stored and read again, has the same
/// effect there.
#[test]
fn overrides_are_the_same_after_handover_and_serialization() {
    let (mut old, mut new) = (with_s1_disabled(), ServerOverrides::default());
    new.apply_discovery(update(
        Scope::Complete,
        &[("s1", "up", 1_000), ("s2", "up", 0)],
    ));
    assert_eq!(
        shown(
            &new.apply_override(old.override_of("s1"))
                .expect("an update")
        )[0]
        .1,
        Phase::Draining
    );
    let text = serde_json::to_string(old.state()).expect("text");
    assert_eq!(
        &serde_json::from_str::<OverrideState>(&text).expect("read"),
        new.state()
    );
    assert!(old.enable("s1", ENABLED_AT).is_ok());
    assert_eq!(
        shown(
            &new.apply_override(old.override_of("s1"))
                .expect("an update")
        )[0]
        .2,
        Some(ENABLED_AT)
    );
    assert_eq!(old.state(), new.state());
    assert!(
        new.apply_override(ServerOverride {
            uid: "s9".into(),
            disabled_at: Some(1),
            reenabled: None
        })
        .is_none()
    );
}

#[test]
fn recently_started_servers_are_delegated_and_taken_back() {
    let mut overrides = ServerOverrides::default();
    overrides.apply_discovery(update(
        Scope::Complete,
        &[("s1", "up", 9_000), ("s2", "up", 1_000), ("s3", "up", 0)],
    ));
    let phases =
        |update: &EndpointUpdate| -> Vec<Phase> { shown(update).iter().map(|one| one.1).collect() };
    let delegated = overrides
        .delegate_started_after(Some(8_000_000))
        .expect("an update");
    assert_eq!(
        phases(&delegated),
        [Phase::Draining, Phase::Ready, Phase::Ready]
    );
    let reported = overrides.apply_discovery(update(
        Scope::Changes,
        &[("s4", "up", 9_500), ("s5", "up", 0)],
    ));
    assert_eq!(phases(&reported), [Phase::Draining, Phase::Ready]);
    assert_eq!(
        phases(&overrides.delegate_started_after(None).expect("an update")),
        [Phase::Ready; 5]
    );
    assert!(
        overrides.delegate_started_after(None).is_none(),
        "nothing is delegated any more"
    );
}

#[test]
fn successor_receives_the_list_as_discovered() {
    let mut overrides = with_s1_disabled();
    let known = overrides.discovered().expect("a list");
    assert_eq!(
        (
            known["rev"].as_u64(),
            known["targets"].as_array().map(Vec::len)
        ),
        (Some(1), Some(2))
    );
    assert_eq!(
        known["targets"][0]["state"], "up",
        "the override is handed over separately"
    );
    overrides.apply_discovery(EndpointUpdate {
        scope: Scope::Failed,
        revision: None,
        endpoints: Vec::new(),
    });
    assert_eq!(overrides.discovered(), Some(known));
}
