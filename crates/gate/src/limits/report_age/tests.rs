use super::*;

const SECOND: Micros = 1_000_000;
const HEARTBEAT: Micros = 1_200_000;
const START: Micros = 50 * SECOND;

fn instance() -> Arc<str> {
    "i".into()
}

/// A feed without a gap until `until`.
fn confirmed_until(until: Micros) -> ReportAge {
    let mut age = ReportAge::default();
    let mut now = START;
    while now <= until {
        age.confirm(now, HEARTBEAT);
        now += SECOND / 2;
    }
    age
}

#[test]
fn after_a_start_reports_are_dated_by_a_heartbeat_interval_without_a_gap() {
    let dated_at = START + HEARTBEAT + SECOND;
    assert!(!ReportAge::default().is_dated(START, "i"));
    let age = confirmed_until(dated_at);
    assert!(!age.is_dated(dated_at - 1, "i"));
    assert!(age.is_dated(dated_at, "i"));
}

#[test]
fn a_health_check_sent_after_a_gap_dates_the_report_of_its_server_alone() {
    let mut age = confirmed_until(START);
    age.record_check(&instance(), START - 1);
    assert!(!age.is_dated(START + 10, "i"), "sent before the gap ended");
    age.record_check(&instance(), START + 10);
    assert!(age.is_dated(START + 20, "i"));
    assert!(!age.is_dated(START + 20, "other"));
}

/// Guards against a suspended gate that sends its whole share to a server that has turned cold.
#[test]
fn reports_are_undated_at_once_after_a_pause_and_until_heartbeats_have_arrived() {
    let last = START + 10 * SECOND;
    let mut age = confirmed_until(last);
    assert!(age.is_dated(last + FEED_TIMEOUT, "i"));
    let resumed = last + 3 * SECOND;
    assert!(!age.is_dated(resumed, "i"), "before the feed is read");
    age.confirm(resumed, HEARTBEAT);
    assert!(!age.is_dated(resumed, "i"));
    age.confirm(resumed + SECOND, HEARTBEAT);
    age.confirm(resumed + 2 * SECOND, HEARTBEAT);
    assert!(!age.is_dated(resumed + 2 * SECOND, "i"));
    assert!(age.is_dated(resumed + HEARTBEAT + SECOND, "i"));
}

#[test]
fn while_the_feed_is_interrupted_a_health_check_dates_nothing() {
    let last = START + 10 * SECOND;
    let mut age = confirmed_until(last);
    let now = last + 5 * SECOND;
    age.record_check(&instance(), now);
    assert!(!age.is_dated(now, "i"));
}

#[test]
fn a_new_connection_to_the_agent_is_a_gap() {
    let last = START + 10 * SECOND;
    let mut age = confirmed_until(last);
    age.begin_gap();
    assert!(!age.is_dated(last, "i"));
    age.confirm(last, HEARTBEAT);
    assert!(!age.is_dated(last, "i"));
}

#[test]
fn a_check_is_requested_again_only_after_an_interval_or_another_gap() {
    let mut age = confirmed_until(START);
    assert!(age.request_check(START, &instance()));
    assert!(!age.request_check(START + CHECK_RETRY_INTERVAL - 1, &instance()));
    assert!(age.request_check(START + CHECK_RETRY_INTERVAL, &instance()));
    let later = START + CHECK_RETRY_INTERVAL + 1;
    age.begin_gap();
    age.confirm(later, HEARTBEAT);
    assert!(age.request_check(later, &instance()));
    age.record_check(&instance(), later);
    assert!(!age.request_check(later + SECOND, &instance()), "dated");
}
