use super::*;

fn error(change: impl Fn(&mut Settings)) -> Option<&'static str> {
    let mut settings = Settings::new("r", "z");
    change(&mut settings);
    settings
        .validate()
        .err()
        .map(|SettingsError::OutOfRange { name }| name)
}

#[test]
fn the_default_settings_are_valid() {
    assert_eq!(error(|_| {}), None);
}

#[test]
fn each_setting_out_of_range_is_named() {
    assert_eq!(
        error(|s| s.affinity_load_excess = 0.0),
        Some("affinity_load_excess")
    );
    assert_eq!(
        error(|s| s.affinity_load_floor = f64::NAN),
        Some("affinity_load_floor")
    );
    assert_eq!(error(|s| s.max_load = 0.4), Some("max_load"));
    assert_eq!(
        error(|s| s.max_queue_time_share = 1.5),
        Some("max_queue_time_share")
    );
    assert_eq!(error(|s| s.max_queue_share = -1.0), Some("max_queue_share"));
    assert_eq!(error(|s| s.rejection_ramp = 2.0), Some("rejection_ramp"));
    assert_eq!(error(|s| s.priority_step = -0.1), Some("priority_step"));
    assert_eq!(
        error(|s| s.spillover_max_load = 1.1),
        Some("spillover_max_load")
    );
    assert_eq!(error(|s| s.max_delay_share = 0.3), Some("max_delay_share"));
    assert_eq!(
        error(|s| s.retry_after = DurationBounds { min: 0, max: 1 }),
        Some("retry_after")
    );
    assert_eq!(
        error(|s| s.ejection = DurationBounds { min: 2, max: 1 }),
        Some("ejection")
    );
    assert_eq!(
        error(|s| s.unresponsive_after = 0),
        Some("unresponsive_after")
    );
    assert_eq!(
        error(|s| s.load_report_max_age = 0),
        Some("load_report_max_age")
    );
}
