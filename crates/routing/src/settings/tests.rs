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
fn the_usual_settings_are_sound() {
    assert_eq!(error(|_| {}), None);
}

#[test]
fn each_figure_out_of_range_is_named() {
    assert_eq!(error(|s| s.affinity_excess = 0.0), Some("affinity_excess"));
    assert_eq!(
        error(|s| s.affinity_floor = f64::NAN),
        Some("affinity_floor")
    );
    assert_eq!(error(|s| s.fill_most = 0.4), Some("fill_most"));
    assert_eq!(error(|s| s.queue_wait = 1.5), Some("queue_wait"));
    assert_eq!(error(|s| s.queue_most = -1.0), Some("queue_most"));
    assert_eq!(error(|s| s.fill_ramp = 2.0), Some("fill_ramp"));
    assert_eq!(error(|s| s.fill_step = -0.1), Some("fill_step"));
    assert_eq!(error(|s| s.spill_fill = 1.1), Some("spill_fill"));
    assert_eq!(error(|s| s.hold_share = 0.3), Some("hold_share"));
    assert_eq!(error(|s| s.retry_after = (0, 1)), Some("retry_after"));
    assert_eq!(error(|s| s.ejection = (2, 1)), Some("ejection"));
    assert_eq!(error(|s| s.quiet_after = 0), Some("quiet_after"));
    assert_eq!(error(|s| s.report_memory = 0), Some("report_memory"));
}
