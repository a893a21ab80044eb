use super::*;

#[test]
fn a_persisting_cause_is_logged_at_once_and_then_once_an_interval() {
    let start = Instant::now();
    let mut limit = LogLimit::default();
    assert_eq!(limit.admit(start), Some(0));
    for second in 1..10 {
        assert_eq!(limit.admit(start + Duration::from_secs(second)), None);
    }
    assert_eq!(limit.admit(start + MIN_INTERVAL), Some(9));
    assert_eq!(limit.admit(start + 2 * MIN_INTERVAL), Some(0));
}
