use super::*;

#[test]
fn what_is_told_is_heard() {
    let unread = vec![
        PendingPrefill {
            server: u64::MAX,
            tokens: 12_000,
        },
        PendingPrefill {
            server: 1,
            tokens: 3,
        },
    ];
    let news = PeerReport {
        pending_prefill: unread,
        suspect: vec![2, u64::MAX],
    };
    assert_eq!(parse(&encode(&news)), Some(news));
}

#[test]
fn a_datagram_stays_short() {
    let unread = vec![
        PendingPrefill {
            server: u64::MAX,
            tokens: u64::MAX
        };
        1_000
    ];
    let datagram = encode(&PeerReport {
        pending_prefill: unread,
        suspect: vec![u64::MAX; 1_000],
    });
    assert!(datagram.len() <= DATAGRAM_MOST, "{}", datagram.len());
    let told = parse(&datagram).expect("a datagram");
    assert_eq!(
        (told.pending_prefill.len(), told.suspect.len()),
        (SERVERS_MOST, SERVERS_MOST)
    );
}

#[test]
fn what_is_no_datagram_is_passed_over() {
    assert_eq!(parse(&[]), None);
    assert_eq!(parse(&[9, 0, 0]), None);
    assert_eq!(parse(&[VERSION, 200, 1]), None);
}

#[test]
fn what_a_gate_hears_in_a_second_does_not_grow_with_its_region() {
    let heard = |peers: usize| peers as f64 / pause(peers).as_secs_f64();
    assert_eq!(pause(0), EVERY);
    assert_eq!(pause(PEERS_FEW), EVERY);
    for peers in [17, 25, 36, 80] {
        assert!((heard(peers) - heard(PEERS_FEW)).abs() < 1.0, "{peers}");
    }
    assert_eq!(pause(1_000), AGAIN);
}
