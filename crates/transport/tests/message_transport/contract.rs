//! The contract of every transport. Each function checks one clause and describes a violation.

use std::future::Future;

use futures_util::FutureExt as _;
use ironmast_transport::frames::{
    FrameError, Hello, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MessageTransport,
    OverflowPolicy, QueueLimits, SendError,
};

use crate::factories::TransportFactory;

/// Success, or a description of the violation.
pub(crate) type ContractResult = Result<(), String>;

/// The handshake of a process with that name.
pub(crate) fn hello(node: &str) -> Hello {
    Hello {
        protocol: "contract".into(),
        version: 1,
        node: node.into(),
        incarnation: 5,
    }
}

fn options() -> LinkOptions {
    LinkOptions {
        max_frame_bytes: 100_000,
        ..LinkOptions::default()
    }
}

fn check(holds: bool, failure: impl FnOnce() -> String) -> ContractResult {
    if holds { Ok(()) } else { Err(failure()) }
}

/// Opens a link and waits until both ends are up. Returns the link's identifier at each end.
async fn linked<T: MessageTransport, U: MessageTransport>(
    one: &mut T,
    other: &mut U,
) -> Result<(LinkId, LinkId), String> {
    let here = one.connect(other.local_address());
    let (first, second) = futures_util::future::join(one.next(), other.next()).await;
    let (LinkEvent::Up { link, .. }, LinkEvent::Up { link: there, .. }) = (first, second) else {
        return Err("the link is not up".into());
    };
    check(link == here, || "another link is up".into())?;
    Ok((here, there))
}

/// Yields to the other tasks several times, so that they make progress.
async fn yield_to_other_tasks() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

/// The next event, which has to be a message.
async fn message<T: MessageTransport>(from: &mut T) -> Result<T::Message, String> {
    match from.next().await {
        LinkEvent::Message { message, .. } => Ok(message),
        LinkEvent::Up { .. } => Err("an up event in place of a message".into()),
        LinkEvent::Down { error, .. } => {
            Err(format!("the link ended in place of a message: {error}"))
        }
    }
}

/// The next event, which has to be the end of that link. Returns the phase and the cause.
async fn down<T: MessageTransport>(
    of: &mut T,
    which: LinkId,
) -> Result<(LinkPhase, LinkErrorKind), String> {
    match of.next().await {
        LinkEvent::Down { link, error } if link == which => Ok((error.phase, error.kind)),
        LinkEvent::Down { .. } => Err("another link is down".into()),
        LinkEvent::Up { .. } => Err("an up event in place of the link's end".into()),
        LinkEvent::Message { .. } => Err("a message in place of the link's end".into()),
    }
}

pub(crate) async fn both_sides_receive_the_handshake_of_the_other<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<u64>(hello("one"), options());
    let mut other = factory.listen::<u64>(hello("other"), options());
    one.connect(other.local_address());
    let (
        LinkEvent::Up {
            peer,
            hello: theirs,
            dialed,
            ..
        },
        LinkEvent::Up {
            hello: ours,
            dialed: there,
            ..
        },
    ) = futures_util::future::join(one.next(), other.next()).await
    else {
        return Err("the link is not up".into());
    };
    check(peer == other.local_address(), || format!("{peer}"))?;
    check(theirs == hello("other") && ours == hello("one"), || {
        "the wrong handshake".into()
    })?;
    check(dialed && !there, || {
        "the wrong side is reported as the one that opened the link".into()
    })
}

/// Both sides send before they receive: neither may block on the other's buffers.
pub(crate) async fn messages_arrive_complete_and_in_order_in_both_directions<
    F: TransportFactory,
>(
    factory: &mut F,
) -> ContractResult {
    const COUNT: u64 = 500;
    let mut one = factory.listen::<(u64, Vec<u8>)>(hello("one"), options());
    let mut other = factory.listen::<(u64, Vec<u8>)>(hello("other"), options());
    let (here, there) = linked(&mut one, &mut other).await?;
    let value = |n: u64| (n, vec![n as u8; (n * 97 % 5_000) as usize]);
    for n in 0..COUNT {
        one.send(here, &value(n)).map_err(|e| e.to_string())?;
        other
            .send(there, &value(n + 1))
            .map_err(|e| e.to_string())?;
    }
    for n in 0..COUNT {
        let (at_other, at_one) =
            futures_util::future::join(message(&mut other), message(&mut one)).await;
        check(at_other? == value(n), || {
            format!("message {n} at the other side")
        })?;
        check(at_one? == value(n + 1), || {
            format!("message {n} at the one side")
        })?;
    }
    yield_to_other_tasks().await;
    let rest = one.next().now_or_never().is_some() || other.next().now_or_never().is_some();
    check(!rest, || "more than was sent".into())
}

pub(crate) async fn messages_sent_before_the_link_is_up_arrive<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<u64>(hello("one"), options());
    let mut other = factory.listen::<u64>(hello("other"), options());
    let link = one.connect(other.local_address());
    for n in 0..10 {
        one.send(link, &n).map_err(|e| e.to_string())?;
    }
    let up = other.next().await;
    check(matches!(up, LinkEvent::Up { .. }), || {
        "a message before the link is up".into()
    })?;
    for n in 0..10 {
        check(message(&mut other).await? == n, || {
            format!("message {n} is missing or out of order")
        })?;
    }
    Ok(())
}

pub(crate) async fn a_message_longer_than_the_limit_is_rejected_and_the_link_stays_open<
    F: TransportFactory,
>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<Vec<u8>>(hello("one"), options());
    let mut other = factory.listen::<Vec<u8>>(hello("other"), options());
    let (link, _) = linked(&mut one, &mut other).await?;
    // The encoded length of the vector takes three bytes.
    let longest = vec![7; options().max_frame_bytes - 3];
    let longer = vec![7; options().max_frame_bytes - 2];
    let rejected = one.send(link, &longer);
    let expected = Err(SendError::Frame(FrameError::TooLong {
        max_bytes: options().max_frame_bytes,
    }));
    check(rejected == expected, || format!("{rejected:?}"))?;
    one.send(link, &longest).map_err(|e| e.to_string())?;
    check(message(&mut other).await? == longest, || {
        "the message of maximum length".into()
    })
}

pub(crate) async fn a_frame_longer_than_the_receivers_limit_ends_the_link<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<Vec<u8>>(hello("one"), options());
    let smaller = LinkOptions {
        max_frame_bytes: 1_000,
        ..options()
    };
    let mut other = factory.listen::<Vec<u8>>(hello("other"), smaller);
    let (here, there) = linked(&mut one, &mut other).await?;
    one.send(here, &vec![1; 500]).map_err(|e| e.to_string())?;
    one.send(here, &vec![2; 2_000]).map_err(|e| e.to_string())?;
    // The sender may have noticed the end of the link already.
    let _ = one.send(here, &vec![3; 500]);
    check(message(&mut other).await? == vec![1; 500], || {
        "the message before the long one".into()
    })?;
    let (phase, kind) = down(&mut other, there).await?;
    let is_expected = matches!(
        kind,
        LinkErrorKind::Frame(FrameError::TooLong { max_bytes: 1_000 })
    );
    check(is_expected && phase == LinkPhase::Read, || {
        format!("{phase} {kind}")
    })?;
    down(&mut one, here).await.map(drop)
}

pub(crate) async fn a_frame_that_holds_no_message_ends_the_link<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<String>(hello("one"), options());
    let mut other = factory.listen::<bool>(hello("other"), options());
    let (here, there) = linked(&mut one, &mut other).await?;
    one.send(here, &"neither true nor false".to_string())
        .map_err(|e| e.to_string())?;
    let (phase, kind) = down(&mut other, there).await?;
    let is_expected = matches!(kind, LinkErrorKind::Frame(FrameError::Malformed(_)));
    check(is_expected && phase == LinkPhase::Read, || {
        format!("{phase} {kind}")
    })?;
    down(&mut one, here).await.map(drop)
}

pub(crate) async fn a_refused_connection_is_reported<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<u64>(hello("one"), options());
    let unused = factory.unused_address();
    let link = one.connect(unused);
    let LinkEvent::Down { link: which, error } = one.next().await else {
        return Err("a link is up with an address where nothing listens".into());
    };
    check(which == link && error.peer == unused, || format!("{error}"))?;
    check(error.phase == LinkPhase::Connect, || format!("{error}"))?;
    check(one.send(link, &1) == Err(SendError::NoLink), || {
        "the link still takes messages".into()
    })
}

pub(crate) async fn the_end_of_a_peer_is_reported_once<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<u64>(hello("one"), options());
    let mut other = factory.listen::<u64>(hello("other"), options());
    let (here, there) = linked(&mut one, &mut other).await?;
    other.send(there, &1).map_err(|e| e.to_string())?;
    check(message(&mut one).await? == 1, || {
        "the message before the end".into()
    })?;
    drop(other);
    down(&mut one, here).await?;
    check(one.send(here, &1) == Err(SendError::NoLink), || {
        "the link still takes messages".into()
    })?;
    yield_to_other_tasks().await;
    check(one.next().now_or_never().is_none(), || {
        "an event after the link's end".into()
    })
}

pub(crate) async fn what_was_sent_before_a_close_arrives<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let few_events = LinkOptions {
        max_queued_events: 5,
        ..options()
    };
    let mut one = factory.listen::<(u64, Vec<u8>)>(hello("one"), few_events);
    let mut other = factory.listen::<(u64, Vec<u8>)>(hello("other"), options());
    let (here, there) = linked(&mut one, &mut other).await?;
    // More messages than `one` has space for; they are still in flight when `one` closes the link,
    // and are discarded.
    for n in 0..500 {
        other
            .send(there, &(n, vec![0; 20_000]))
            .map_err(|e| e.to_string())?;
    }
    yield_to_other_tasks().await;
    for n in 0..1_000 {
        one.send(here, &(n, vec![1; 500]))
            .map_err(|e| e.to_string())?;
    }
    one.close(here);
    check(
        one.send(here, &(1, Vec::new())) == Err(SendError::NoLink),
        || "a closed link takes messages".into(),
    )?;
    for n in 0..1_000 {
        check(message(&mut other).await?.0 == n, || {
            format!("message {n} is missing or out of order")
        })?;
    }
    let (_, kind) = down(&mut other, there).await?;
    check(matches!(kind, LinkErrorKind::Closed), || format!("{kind}"))?;
    yield_to_other_tasks().await;
    check(one.next().now_or_never().is_none(), || {
        "an event of a closed link".into()
    })
}

pub(crate) async fn a_mismatched_handshake_is_rejected_on_both_sides<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let other_version = Hello {
        version: 2,
        ..hello("later")
    };
    let other_protocol = Hello {
        protocol: "another".into(),
        ..hello("stranger")
    };
    for theirs in [other_version, other_protocol] {
        let mut one = factory.listen::<u64>(hello("one"), options());
        let mut other = factory.listen::<u64>(theirs, options());
        one.connect(other.local_address());
        let (here, there) = futures_util::future::join(one.next(), other.next()).await;
        for event in [here, there] {
            let LinkEvent::Down { error, .. } = event else {
                return Err("a link with a mismatched handshake is up".into());
            };
            let is_expected = matches!(error.kind, LinkErrorKind::Hello(_));
            check(is_expected && error.phase == LinkPhase::Handshake, || {
                format!("{error}")
            })?;
        }
    }
    Ok(())
}

/// Sends numbered messages to a peer that reads nothing, until `is_enough` holds for a result.
/// Returns the accepted numbers in order, and how many queued messages were dropped for later ones.
async fn send_until<T: MessageTransport<Message = (u64, Vec<u8>)>>(
    one: &mut T,
    link: LinkId,
    mut is_enough: impl FnMut(&Result<usize, SendError>) -> bool,
) -> (Vec<u64>, usize) {
    let (mut accepted, mut dropped) = (Vec::new(), 0);
    for n in 0.. {
        let sent = one
            .send(link, &(n, vec![0; 20_000]))
            .map(|sent| sent.dropped);
        if let Ok(others) = sent {
            accepted.push(n);
            dropped += others;
        }
        if is_enough(&sent) {
            break;
        }
        tokio::task::yield_now().await;
    }
    (accepted, dropped)
}

fn small_queue(overflow: OverflowPolicy) -> LinkOptions {
    let queue = QueueLimits {
        max_frames: 50,
        max_bytes: 1 << 20,
        overflow,
    };
    LinkOptions {
        queue,
        max_queued_events: 5,
        ..options()
    }
}

pub(crate) async fn a_full_queue_rejects_and_loses_no_queued_message<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let options = small_queue(OverflowPolicy::RejectNewest);
    let mut one = factory.listen(hello("one"), options);
    let mut other = factory.listen::<(u64, Vec<u8>)>(hello("other"), options);
    let (link, _) = linked(&mut one, &mut other).await?;
    let (accepted, _) = send_until(&mut one, link, |sent| *sent == Err(SendError::Full)).await;
    for n in accepted {
        let received = message(&mut other).await?.0;
        check(received == n, || format!("{received} in place of {n}"))?;
    }
    one.send(link, &(0, Vec::new()))
        .map(drop)
        .map_err(|e| format!("the queue is still full after it was drained: {e}"))
}

pub(crate) async fn a_full_queue_drops_the_oldest_under_drop_oldest<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let options = small_queue(OverflowPolicy::DropOldest);
    let mut one = factory.listen(hello("one"), options);
    let mut other = factory.listen::<(u64, Vec<u8>)>(hello("other"), options);
    let (link, _) = linked(&mut one, &mut other).await?;
    let mut dropped_so_far = 0;
    let is_enough = |sent: &Result<usize, SendError>| {
        dropped_so_far += sent.clone().unwrap_or_default();
        dropped_so_far > 20
    };
    let (accepted, dropped) = send_until(&mut one, link, is_enough).await;
    let mut received: Vec<u64> = Vec::new();
    while received.len() < accepted.len() - dropped {
        received.push(message(&mut other).await?.0);
    }
    check(received.is_sorted_by(|a, b| a < b), || {
        format!("out of order: {received:?}")
    })?;
    check(received.last() == accepted.last(), || {
        "the newest is missing".into()
    })
}

pub(crate) async fn a_dropped_next_future_loses_no_event<F: TransportFactory>(
    factory: &mut F,
) -> ContractResult {
    let mut one = factory.listen::<u64>(hello("one"), options());
    let mut other = factory.listen::<u64>(hello("other"), options());
    let (link, _) = linked(&mut one, &mut other).await?;
    for n in 0..100 {
        one.send(link, &n).map_err(|e| e.to_string())?;
        let mut waits = 0;
        // Each future is polled once and dropped.
        let event = loop {
            if let Some(event) = poll_once(other.next()) {
                break event;
            }
            waits += 1;
            check(waits < 1_000_000, || format!("message {n} is lost"))?;
            tokio::task::yield_now().await;
        };
        check(
            matches!(event, LinkEvent::Message { message, .. } if message == n),
            || format!("message {n} is missing or out of order"),
        )?;
    }
    Ok(())
}

fn poll_once<F: Future>(future: F) -> Option<F::Output> {
    future.now_or_never()
}
