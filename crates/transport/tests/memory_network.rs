//! Injected faults of the in-memory network, under its simulated clock.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_transport::frames::{
    Hello, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MemoryNetwork,
    MemoryTransport, MessageTransport as _, OverflowPolicy, QueueLimits, SendError,
};

const ONE: ([u8; 4], u16) = ([10, 0, 0, 1], 1);
const OTHER: ([u8; 4], u16) = ([10, 0, 0, 2], 1);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

struct Pair {
    network: MemoryNetwork,
    one: MemoryTransport<u64>,
    other: MemoryTransport<u64>,
    link: LinkId,
}

fn listen(
    network: &MemoryNetwork,
    at: ([u8; 4], u16),
    options: LinkOptions,
) -> MemoryTransport<u64> {
    let hello = Hello {
        protocol: "memory".into(),
        version: 1,
        node: format!("{at:?}"),
        incarnation: 1,
    };
    network.listen(SocketAddr::from(at), hello, options)
}

fn linked(options: LinkOptions) -> Pair {
    let network = MemoryNetwork::default();
    let (mut one, mut other) = (
        listen(&network, ONE, options),
        listen(&network, OTHER, options),
    );
    let link = one.connect(other.local_address());
    assert_matches!(one.try_next(), Some(LinkEvent::Up { .. }));
    assert_matches!(other.try_next(), Some(LinkEvent::Up { .. }));
    Pair {
        network,
        one,
        other,
        link,
    }
}

fn numbers(at: &mut MemoryTransport<u64>) -> Vec<u64> {
    let mut numbers = Vec::new();
    while let Some(event) = at.try_next() {
        match event {
            LinkEvent::Message { message, .. } => numbers.push(message),
            other => panic!("{other:?}"),
        }
    }
    numbers
}

#[test]
fn delayed_messages_arrive_on_time_and_in_order() {
    let Pair {
        network,
        mut one,
        mut other,
        link,
    } = linked(LinkOptions::default());
    let (here, there) = (one.local_address(), other.local_address());
    network.delay(here, there, ms(30));
    one.send(link, &1).expect("queued");
    network.delay(here, there, ms(10));
    one.send(link, &2).expect("queued");
    other.send(link, &3).expect("queued");
    assert_eq!(numbers(&mut one), [3], "the other direction is not delayed");
    assert_eq!(network.next_due(), Some(ms(30)));
    network.advance(ms(29));
    assert!(numbers(&mut other).is_empty());
    network.advance(ms(1));
    assert_eq!(numbers(&mut other), [1, 2]);
}

#[test]
fn a_one_way_partition_stops_one_direction_and_the_link_times_out_on_both_sides() {
    let options = LinkOptions {
        peer_timeout: ms(100),
        ..LinkOptions::default()
    };
    let Pair {
        network,
        mut one,
        mut other,
        link,
    } = linked(options);
    network.partition(one.local_address(), other.local_address());
    one.send(link, &1).expect("queued");
    other.send(link, &2).expect("queued");
    network.advance(ms(99));
    assert_eq!((numbers(&mut one), numbers(&mut other)), (vec![2], vec![]));
    network.advance(ms(1));
    for end in [&mut one, &mut other] {
        let Some(LinkEvent::Down { error, .. }) = end.try_next() else {
            panic!("expected the end of the link")
        };
        assert_matches!(error.kind, LinkErrorKind::TimedOut);
        assert!(end.try_next().is_none());
    }
    network.heal(one.local_address(), other.local_address());
    assert!(
        other.try_next().is_none(),
        "the delayed message is lost with its link"
    );
}

#[test]
fn a_short_partition_loses_no_message() {
    let Pair {
        network,
        mut one,
        mut other,
        link,
    } = linked(LinkOptions::default());
    let (here, there) = (one.local_address(), other.local_address());
    network.partition(here, there);
    for n in 0..5 {
        one.send(link, &n).expect("queued");
    }
    network.advance(ms(500));
    assert!(numbers(&mut other).is_empty());
    network.heal(here, there);
    assert_eq!(numbers(&mut other), [0, 1, 2, 3, 4]);
}

#[test]
fn a_partition_fills_the_send_queue_up_to_its_limit() {
    for overflow in [OverflowPolicy::RejectNewest, OverflowPolicy::DropOldest] {
        let queue = QueueLimits {
            max_frames: 3,
            max_bytes: 1_000,
            overflow,
        };
        let Pair {
            network,
            mut one,
            mut other,
            link,
        } = linked(LinkOptions {
            queue,
            ..LinkOptions::default()
        });
        let (here, there) = (one.local_address(), other.local_address());
        network.partition(here, there);
        let sent: Vec<_> = (0..5)
            .map(|n| one.send(link, &n).map(|sent| sent.dropped))
            .collect();
        network.heal(here, there);
        let received = numbers(&mut other);
        match overflow {
            OverflowPolicy::RejectNewest => {
                assert_eq!(
                    sent,
                    [
                        Ok(0),
                        Ok(0),
                        Ok(0),
                        Err(SendError::Full),
                        Err(SendError::Full)
                    ]
                );
                assert_eq!(received, [0, 1, 2]);
            }
            OverflowPolicy::DropOldest => {
                assert_eq!(sent, [Ok(0), Ok(0), Ok(0), Ok(1), Ok(1)]);
                assert_eq!(received, [2, 3, 4]);
            }
        }
    }
}

#[test]
fn a_reset_is_reported_to_both_sides_and_loses_messages_in_flight() {
    let Pair {
        network,
        mut one,
        mut other,
        link,
    } = linked(LinkOptions::default());
    network.delay(one.local_address(), other.local_address(), ms(10));
    one.send(link, &1).expect("queued");
    network.reset(other.local_address(), one.local_address());
    network.advance(ms(20));
    for end in [&mut one, &mut other] {
        assert_matches!(end.try_next(), Some(LinkEvent::Down { .. }));
        assert!(end.try_next().is_none());
        assert_matches!(end.send(link, &2), Err(SendError::NoLink));
    }
}

#[test]
fn connecting_to_a_partitioned_process_times_out_and_it_gets_no_event() {
    let options = LinkOptions {
        connect_timeout: ms(50),
        peer_timeout: ms(500),
        ..LinkOptions::default()
    };
    let network = MemoryNetwork::default();
    let (mut one, mut other) = (
        listen(&network, ONE, options),
        listen(&network, OTHER, options),
    );
    network.partition(one.local_address(), other.local_address());
    let link = one.connect(other.local_address());
    network.advance(ms(49));
    assert!(one.try_next().is_none());
    network.advance(ms(1));
    let Some(LinkEvent::Down { link: which, error }) = one.try_next() else {
        panic!("expected the end of the link")
    };
    assert_eq!((which, error.phase), (link, LinkPhase::Connect));
    assert_matches!(error.kind, LinkErrorKind::TimedOut);
    assert!(other.try_next().is_none());
}

/// The network is deterministic, so that a failed simulation can be repeated.
#[test]
fn the_same_steps_give_the_same_events() {
    let run = || {
        let Pair {
            network,
            mut one,
            mut other,
            link,
        } = linked(LinkOptions::default());
        let (here, there) = (one.local_address(), other.local_address());
        let mut events = Vec::new();
        for step in 0..200u64 {
            match step % 7 {
                0 => network.delay(here, there, ms(step % 13)),
                3 => network.partition(there, here),
                5 => network.heal(there, here),
                _ => {}
            }
            let _ = one.send(link, &step);
            let _ = other.send(link, &(step + 1_000));
            network.advance(ms(3));
            while let Some(event) = one.try_next().or_else(|| other.try_next()) {
                events.push(format!("{:?} {event:?}", network.now()));
            }
        }
        events
    };
    let events = run();
    assert!(events.len() > 300, "{}", events.len());
    assert_eq!(events, run());
}
