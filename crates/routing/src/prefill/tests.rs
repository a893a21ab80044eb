use super::*;

#[test]
fn peer_tokens_count_while_their_report_is_fresh() {
    let mut backlog = PrefillBacklog::default();
    backlog.add(100);
    backlog.record_peer(0, 1, 50);
    backlog.record_peer(10, 2, 7);
    assert_eq!((backlog.own(), backlog.total(10)), (100, 157));
    backlog.record_peer(20, 1, 5);
    assert_eq!(backlog.total(20), 112);
    backlog.remove(100);
    assert_eq!(backlog.total(PEER_REPORT_TTL + 15), 5);
    assert_eq!(backlog.total(PEER_REPORT_TTL + 20), 0);
}

#[test]
fn a_peer_without_pending_tokens_is_dropped() {
    let mut backlog = PrefillBacklog::default();
    backlog.record_peer(0, 1, 50);
    backlog.record_peer(1, 1, 0);
    assert!(backlog.peers.is_empty());
}

#[test]
fn the_number_of_remembered_peers_is_bounded() {
    let mut backlog = PrefillBacklog::default();
    (0..1_000).for_each(|peer| backlog.record_peer(0, peer, 1));
    assert_eq!(backlog.total(0), MAX_PEERS as u64);
}

#[test]
fn excessive_prompt_lengths_are_bounded() {
    assert_eq!(pending_tokens(u64::MAX, 0), MAX_PROMPT_TOKENS);
    assert_eq!(pending_tokens(10, 20), 0);
}
