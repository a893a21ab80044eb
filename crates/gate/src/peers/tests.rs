use super::*;

#[test]
fn encoded_report_is_decoded_unchanged() {
    let pending_prefill = vec![
        PendingPrefill {
            server: u64::MAX,
            tokens: 12_000,
        },
        PendingPrefill {
            server: 1,
            tokens: 3,
        },
    ];
    let report = PeerReport {
        pending_prefill,
        suspect: vec![2, u64::MAX],
    };
    assert_eq!(decode(&encode(&report)), Some(report));
}

#[test]
fn datagram_of_many_servers_fits_the_maximum() {
    let pending_prefill = vec![
        PendingPrefill {
            server: u64::MAX,
            tokens: u64::MAX
        };
        1_000
    ];
    let datagram = encode(&PeerReport {
        pending_prefill,
        suspect: vec![u64::MAX; 1_000],
    });
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
    let decoded = decode(&datagram).expect("a datagram");
    assert_eq!(
        (decoded.pending_prefill.len(), decoded.suspect.len()),
        (MAX_SERVERS, MAX_SERVERS)
    );
}

#[test]
fn invalid_datagram_is_ignored() {
    assert_eq!(decode(&[]), None);
    assert_eq!(decode(&[9, 0, 0]), None);
    assert_eq!(decode(&[VERSION, 200, 1]), None);
}

#[test]
fn datagrams_received_in_a_second_do_not_grow_with_the_region() {
    let received_per_s = |peers: usize| peers as f64 / send_interval(peers).as_secs_f64();
    assert_eq!(send_interval(0), MIN_SEND_INTERVAL);
    assert_eq!(send_interval(PEERS_AT_FULL_RATE), MIN_SEND_INTERVAL);
    for peers in [17, 25, 36, 80] {
        assert!(
            (received_per_s(peers) - received_per_s(PEERS_AT_FULL_RATE)).abs() < 1.0,
            "{peers}"
        );
    }
    assert_eq!(send_interval(1_000), REFRESH_INTERVAL);
}
