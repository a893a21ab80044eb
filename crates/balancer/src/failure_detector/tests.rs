//! Tests of `silence.rs`.

use super::*;

const MS: Micros = 1_000;

fn id(n: u64) -> ServerId {
    ServerId(n)
}

#[test]
fn a_zone_with_pending_responses_and_no_sign_is_probed_until_a_sign_arrives() {
    let mut s = FailureDetector::default();
    s.sign(id(9), 0, 0);
    (1..=4).for_each(|n| s.sent(id(n), 0, 10 * MS * n));
    assert_eq!(s.suspects(109 * MS, 100 * MS, 0), []);
    assert_eq!(s.suspects(110 * MS, 100 * MS, 0), [id(1)]);
    assert_eq!(s.suspects(150 * MS, 100 * MS, 0), [], "one first");
    assert_eq!(
        s.suspects(170 * MS, 100 * MS, 0),
        [id(2), id(3)],
        "then the other witnesses"
    );
    assert_eq!(s.suspects(900 * MS, 100 * MS, 0), []);
    assert!(!s.sign(id(4), 0, 950 * MS), "the zone was not silent yet");
    assert_eq!(
        s.suspects(1_049 * MS, 100 * MS, 0),
        [],
        "its quiet counts from the sign"
    );
    assert_eq!(s.suspects(1_050 * MS, 100 * MS, 0), [id(1)]);
    (1..=3).for_each(|n| s.ended(id(n)));
    s.sign(id(5), 0, 2_000 * MS);
    assert_eq!(
        s.suspects(2_199 * MS, 100 * MS, 0),
        [],
        "one answer alone is waited for longer"
    );
    assert_eq!(s.suspects(2_200 * MS, 100 * MS, 0), [id(4)]);
    s.ended(id(4));
    assert_eq!(
        s.suspects(9_000 * MS, 100 * MS, 0),
        [],
        "who owes nothing is left alone"
    );
}

#[test]
fn three_unanswered_probes_in_a_row_make_a_zone_unreachable_and_a_sign_between_them_prevents_it() {
    let mut s = FailureDetector::default();
    assert_eq!(
        s.unanswered(id(1), (0, true), 50, 0, 0.0),
        Verdict::Server(2)
    );
    assert_eq!(
        s.unanswered(id(1), (0, true), 50, 1, 0.0),
        Verdict::Nothing,
        "the same one again"
    );
    assert_eq!(
        s.unanswered(id(2), (0, true), 50, 2, 0.0),
        Verdict::Server(0)
    );
    s.sign(id(9), 0, 3);
    assert_eq!(
        s.unanswered(id(3), (0, true), 50, 4, 0.0),
        Verdict::Server(2),
        "the zone spoke"
    );
    s.unanswered(id(4), (0, true), 50, 5, 0.0);
    assert_eq!(
        s.unanswered(id(7), (1, true), 50, 6, 0.0),
        Verdict::Server(2),
        "zones are apart"
    );
    assert_eq!(s.unanswered(id(5), (0, true), 50, 7, 0.0), Verdict::Zone);
    assert!(s.is_unreachable(0) && !s.is_unreachable(1));
    let mut few = FailureDetector::default();
    few.unanswered(id(1), (0, true), 2, 0, 0.0);
    assert_eq!(
        few.unanswered(id(2), (0, true), 2, 1, 0.0),
        Verdict::Zone,
        "a zone of two has two witnesses"
    );
}

#[test]
fn an_unreachable_zone_is_probed_once_at_a_time_and_found_unreachable_sooner_the_next_time() {
    let mut s = FailureDetector::default();
    (1..=3).for_each(|n| _ = s.unanswered(id(n), (0, true), 50, 0, 0.999));
    assert_eq!(s.trials(TRIAL_INTERVALS.0 / 2), []);
    assert_eq!(s.trials(TRIAL_INTERVALS.0), [0]);
    assert_eq!(s.trials(TRIAL_INTERVALS.0 + 1), []);
    assert_eq!(s.trials(TRIAL_INTERVALS.0 * 5 / 2), [0]);
    assert_eq!(
        s.unanswered(id(4), (0, true), 50, TRIAL_INTERVALS.0, 0.0),
        Verdict::Nothing,
        "it is silent already"
    );
    assert!(s.sign(id(2), 0, 2_000 * MS), "one sign ends it");
    assert!(!s.is_unreachable(0) && s.trials(9_000 * MS).is_empty());
    assert_eq!(
        s.unanswered(id(5), (0, true), 50, 3_000 * MS, 0.0),
        Verdict::Server(1)
    );
    assert_eq!(
        s.unanswered(id(6), (0, true), 50, 3_000 * MS, 0.0),
        Verdict::Zone,
        "two are enough of late"
    );
    s.sign(id(5), 0, 4_000 * MS);
    assert_eq!(
        s.unanswered(id(5), (0, true), 50, 4_000 * MS + RECENT_RECOVERY, 0.0),
        Verdict::Server(2),
        "later again not"
    );
}

#[test]
fn another_zone_is_probed_less_often_and_no_witness_twice() {
    let mut s = FailureDetector::default();
    (1..=3).for_each(|n| _ = s.unanswered(id(n), (0, false), 50, 0, 0.999));
    assert_eq!(s.trials(TRIAL_INTERVALS.0 * 4), []);
    assert_eq!(s.trials(TRIAL_INTERVALS.0 * REMOTE_TRIAL_FACTOR), [0]);
    s.sign(id(1), 0, 9_000 * MS);
    (1..=3).for_each(|n| s.sent(id(n), 1, 0));
    s.sent(id(4), 2, 0);
    assert_eq!(
        s.suspects(100 * MS, 50 * MS, 0),
        [id(1)],
        "zone 2 owes one answer alone"
    );
    s.suspects(200 * MS, 50 * MS, 0);
    assert_eq!(
        s.unanswered(id(1), (1, true), 50, 400 * MS, 0.0),
        Verdict::Server(0),
        "two are asked already"
    );
}

#[test]
fn a_refused_connection_is_a_sign_of_life_and_an_unanswered_one_is_not() {
    assert_eq!(sign_of(Outcome::ConnectFailed, 20 * MS), Some(true));
    assert_eq!(sign_of(Outcome::ConnectFailed, 200 * MS), Some(false));
    assert_eq!(
        sign_of(Outcome::ServerError, 5_000 * MS),
        Some(true),
        "however late"
    );
    assert_eq!(
        sign_of(Outcome::Cancelled, 5_000 * MS),
        None,
        "our own doing"
    );
}
