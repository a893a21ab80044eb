use super::*;

#[test]
fn load_report_needs_three_numbers() {
    let parsed = |value| parse_load(&HeaderValue::from_static(value));
    let slots = Some(8);
    assert_eq!(
        parsed("3,0,8"),
        Some(LoadReport {
            running: 3,
            waiting: 0,
            slots,
            kv_cache: None
        })
    );
    assert_eq!(parsed("3,0"), None);
    assert_eq!(parsed("a,b,c"), None);
}
