//! Tests of `datagrams.rs`.

use super::*;
use crate::fault::{Fault, FaultKind, Schedule};

fn end(name: &str, socket: &UdpSocket) -> DatagramEndpoint {
    DatagramEndpoint {
        name: name.into(),
        address: socket.local_addr().expect("bound"),
    }
}

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

/// Sends 200 numbered datagrams from a to b through the relay; returns what b received, in order.
fn relay_datagrams(faults: Vec<Fault>) -> (Vec<u32>, Arc<DatagramCounts>) {
    let (a, b) = (
        UdpSocket::bind("127.0.0.1:0").expect("a"),
        UdpSocket::bind("127.0.0.1:0").expect("b"),
    );
    let faults = Faults::new(Schedule::new(faults).expect("valid"));
    let relay =
        DatagramRelay::start([end("proxy0", &a), end("proxy1", &b)], faults, 7).expect("up");
    b.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("set");
    for n in 0u32..200 {
        a.send_to(&n.to_le_bytes(), relay.address).expect("sent");
        // One in flight at a time, so that only the relay reorders.
        std::thread::sleep(Duration::from_micros(200));
    }
    let mut received = Vec::new();
    let mut buffer = [0u8; 4];
    while let Ok((4, from)) = b.recv_from(&mut buffer) {
        assert_eq!(
            from, relay.address,
            "b receives a's datagrams from the relay"
        );
        received.push(u32::from_le_bytes(buffer));
    }
    (received, Arc::clone(&relay.counts))
}

#[test]
fn a_share_of_datagrams_is_dropped_and_a_one_way_cut_drops_only_its_direction() {
    let (received, counts) = relay_datagrams(vec![fault("proxy0->proxy1", FaultKind::Drop, 0.3)]);
    let lost = counts.dropped.load(Ordering::Relaxed) as usize;
    assert_eq!(received.len() + lost, 200);
    assert!((30..=90).contains(&lost), "{lost} of 200 lost at 0.3");
    let (received, _) = relay_datagrams(vec![fault("proxy1->proxy0", FaultKind::CutOneWay, 0.0)]);
    assert_eq!(received.len(), 200, "the other way is cut, not this one");
    let (received, _) = relay_datagrams(vec![fault("proxy0->proxy1", FaultKind::CutOneWay, 0.0)]);
    assert!(received.is_empty());
}

#[test]
fn a_share_of_datagrams_is_duplicated_or_reordered() {
    let (received, counts) = relay_datagrams(vec![fault("proxy0->*", FaultKind::Duplicate, 0.2)]);
    assert_eq!(
        received.len(),
        200 + counts.duplicated.load(Ordering::Relaxed) as usize
    );
    assert!(counts.duplicated.load(Ordering::Relaxed) > 10);
    let (received, counts) = relay_datagrams(vec![fault("proxy0->*", FaultKind::Reorder, 0.2)]);
    let out_of_order = received.windows(2).filter(|w| w[0] > w[1]).count();
    assert_eq!(received.len(), 200);
    assert!(out_of_order > 10 && out_of_order as u64 <= counts.reordered.load(Ordering::Relaxed));
}
