//! Invalid and extreme settings and inputs, and determinism.

use ironmast_balancer::*;

use crate::support::*;

/// The error of settings that are valid except for one change.
fn error_after(change: impl FnOnce(&mut Settings)) -> Option<SettingsError> {
    let mut settings = settings(idempotent());
    change(&mut settings);
    Balancer::new(settings, 1).err()
}

fn out_of_range(path: &str) -> SettingsError {
    let path = path.to_string();
    SettingsError::OutOfRange { path }
}

#[test]
fn invalid_settings_are_an_error_and_requests_of_unknown_classes_are_rejected() {
    let no_classes = error_after(|settings| settings.classes.clear());
    assert_eq!(no_classes, Some(SettingsError::NoClasses));
    let unknown_zone = error_after(|settings| settings.zone = 2);
    assert_eq!(unknown_zone, Some(SettingsError::UnknownZone));
    let no_target = error_after(|settings| settings.classes[0].latency_target = 0);
    assert_eq!(no_target, Some(out_of_range("classes.0.objective")));
    let no_capacity = error_after(|settings| settings.safety.initial_capacity = 0.0);
    assert_eq!(no_capacity, Some(out_of_range("safety.cold_share")));
    assert_eq!(error_after(|_| ()), None);
    let mut driver = Driver::ready(idempotent());
    driver.request(1, 7);
    assert!(
        driver.rejected.contains_key(&1),
        "a request of an unknown class is rejected"
    );
}

#[test]
fn extreme_clocks_and_deadlines_cause_no_panic() {
    let mut driver = Driver::ready(idempotent());
    driver.now = Micros::MAX;
    driver.request_until(1, 0, Micros::MAX);
    assert!(driver.attempts(1) == 1 || driver.rejected.contains_key(&1));
    let extreme = error_after(|settings| settings.classes[0].latency_target = u64::MAX);
    assert_eq!(extreme, Some(out_of_range("classes.0.objective")));
}

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut driver = Driver::ready(idempotent());
        driver.serve_many();
        driver.actions
    };
    assert_eq!(run(), run());
}
