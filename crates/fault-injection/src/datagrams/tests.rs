//! Tests of `datagrams.rs`.

use super::*;
use crate::fault::{Fault, FaultKind, Schedule};

fn fault(link: &str, kind: FaultKind, share: f64) -> Fault {
    Fault {
        at_s: 0.0,
        link: link.into(),
        kind,
        for_s: None,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
        share,
    }
}

/// Sends 200 numbered datagrams from a to b through the relay; what b got, in order.
fn play(faults: Vec<Fault>) -> (Vec<u32>, Arc<DatagramCounts>) {
    let (a, b) = (
        UdpSocket::bind("127.0.0.1:0").expect("a"),
        UdpSocket::bind("127.0.0.1:0").expect("b"),
    );
    let faults = Faults::new(Schedule::new(faults).expect("valid"));
    let relay = DatagramRelay::start(
        ("proxy0", a.local_addr().expect("a")),
        ("proxy1", b.local_addr().expect("b")),
        faults,
        7,
    )
    .expect("up");
    b.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("set");
    for n in 0u32..200 {
        a.send_to(&n.to_le_bytes(), relay.address).expect("sent");
        // One in flight at a time, so that only the relay reorders.
        std::thread::sleep(Duration::from_micros(200));
    }
    let mut got = Vec::new();
    let mut piece = [0u8; 4];
    while let Ok((4, from)) = b.recv_from(&mut piece) {
        assert_eq!(from, relay.address, "b hears a from the relay");
        got.push(u32::from_le_bytes(piece));
    }
    (got, Arc::clone(&relay.counts))
}

#[test]
fn a_share_of_datagrams_is_lost_and_a_one_way_cut_loses_only_its_way() {
    let (got, counts) = play(vec![fault("proxy0->proxy1", FaultKind::Drop, 0.3)]);
    let lost = counts.lost.load(Ordering::Relaxed) as usize;
    assert_eq!(got.len() + lost, 200);
    assert!((30..=90).contains(&lost), "{lost} of 200 lost at 0.3");
    let (got, _) = play(vec![fault("proxy1->proxy0", FaultKind::CutOneWay, 0.0)]);
    assert_eq!(got.len(), 200, "the other way is cut, not this one");
    let (got, _) = play(vec![fault("proxy0->proxy1", FaultKind::CutOneWay, 0.0)]);
    assert!(got.is_empty());
}

#[test]
fn datagrams_are_doubled_and_reordered_by_their_share() {
    let (got, counts) = play(vec![fault("proxy0->*", FaultKind::Duplicate, 0.2)]);
    assert_eq!(
        got.len(),
        200 + counts.doubled.load(Ordering::Relaxed) as usize
    );
    assert!(counts.doubled.load(Ordering::Relaxed) > 10);
    let (got, counts) = play(vec![fault("proxy0->*", FaultKind::Reorder, 0.2)]);
    let out_of_order = got.windows(2).filter(|w| w[0] > w[1]).count();
    assert_eq!(got.len(), 200);
    assert!(out_of_order > 10 && out_of_order as u64 <= counts.reordered.load(Ordering::Relaxed));
}
