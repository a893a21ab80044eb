use super::*;

#[test]
fn tokens_of_peers_count_while_they_are_fresh() {
    let mut unread = PrefillBacklog::default();
    unread.take(100);
    unread.told(0, 1, 50);
    unread.told(10, 2, 7);
    assert_eq!((unread.own(), unread.all(10)), (100, 157));
    unread.told(20, 1, 5);
    assert_eq!(unread.all(20), 112);
    unread.release(100);
    assert_eq!(unread.all(PEER_REPORT_TTL + 15), 5);
    assert_eq!(unread.all(PEER_REPORT_TTL + 20), 0);
}

#[test]
fn a_peer_that_has_none_is_forgotten() {
    let mut unread = PrefillBacklog::default();
    unread.told(0, 1, 50);
    unread.told(1, 1, 0);
    assert!(unread.peers.is_empty());
}

#[test]
fn the_memory_of_peers_is_bounded() {
    let mut unread = PrefillBacklog::default();
    (0..1_000).for_each(|peer| unread.told(0, peer, 1));
    assert_eq!(unread.all(0), MAX_PEERS as u64);
}

#[test]
fn a_pace_is_known_after_enough_tokens() {
    let mut pace = PrefillRate::default();
    pace.measured(10_000, 200_000);
    assert_eq!(pace.over(1_000), 0.0);
    pace.measured(20_000, 400_000);
    assert!((pace.over(1_000) - 20_000.0).abs() < 1.0);
}

#[test]
fn a_longer_objective_comes_later() {
    assert_eq!(rank(0, 600.0, 600.0), 0);
    assert_eq!(rank(2, 800.0, 600.0), 3);
    assert_eq!(rank(1, 1_200.0, 600.0), 4);
    assert_eq!(rank(2, 0.0, 0.0), 2);
}

#[test]
fn absurd_lengths_are_bounded() {
    assert_eq!(waits(u64::MAX, 0), MAX_PROMPT_TOKENS);
    assert_eq!(waits(10, 20), 0);
}

#[test]
fn the_way_there_and_back_is_no_reading() {
    let mut pace = PrefillRate::default();
    for tokens in [500, 20_000, 1_000, 3_000, 12_000, 700] {
        pace.measured(tokens, 60_000 + 7 * tokens);
    }
    assert!(
        (pace.over(1_000) - 7_000.0).abs() < 1.0,
        "{}",
        pace.over(1_000)
    );
    assert!((pace.first() - 60_000.0).abs() < 10.0, "{}", pace.first());
}

#[test]
fn prompts_of_one_length_tell_a_pace_too() {
    let mut pace = PrefillRate::default();
    (0..10).for_each(|_| pace.measured(5_000, 50_000));
    assert!((pace.over(1_000) - 10_000.0).abs() < 1.0);
    assert_eq!(pace.first().round(), 0.0);
}

#[test]
fn one_answer_that_takes_for_ever_hardly_changes_the_pace() {
    let mut pace = PrefillRate::default();
    (0..50).for_each(|n| pace.measured(1_000 + 100 * n, 60_000 + 7 * (1_000 + 100 * n)));
    pace.measured(1_000, 10_000_000);
    assert!(pace.first() + pace.over(1_000) < 100_000.0);
}
