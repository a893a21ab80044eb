//! What every transport keeps. Each function plays one part of it and says what was broken.

use std::future::Future;

use futures_util::FutureExt as _;
use ironmast_transport::frames::{
    FrameError, Hello, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MessageTransport,
    OverflowPolicy, QueueLimits, SendError,
};

use crate::worlds::World;

/// Kept, or what was broken.
pub(crate) type Contract = Result<(), String>;

/// The greeting of a process of that name.
pub(crate) fn hello(node: &str) -> Hello {
    Hello {
        protocol: "contract".into(),
        version: 1,
        node: node.into(),
        incarnation: 5,
    }
}

fn small() -> LinkOptions {
    LinkOptions {
        max_frame_bytes: 100_000,
        ..LinkOptions::default()
    }
}

fn check(kept: bool, broken: impl FnOnce() -> String) -> Contract {
    if kept { Ok(()) } else { Err(broken()) }
}

/// A link that is up, at both ends.
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

/// Lets all other tasks go on.
async fn breathe() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

/// The next event, which has to be a message.
async fn message<T: MessageTransport>(from: &mut T) -> Result<T::Message, String> {
    match from.next().await {
        LinkEvent::Message { message, .. } => Ok(message),
        LinkEvent::Up { .. } => Err("up in place of a message".into()),
        LinkEvent::Down { error, .. } => Err(format!("down in place of a message: {error}")),
    }
}

/// The next event, which has to be the end of that link; why.
async fn down<T: MessageTransport>(
    of: &mut T,
    which: LinkId,
) -> Result<(LinkPhase, LinkErrorKind), String> {
    match of.next().await {
        LinkEvent::Down { link, error } if link == which => Ok((error.phase, error.kind)),
        LinkEvent::Down { .. } => Err("another link is down".into()),
        LinkEvent::Up { .. } => Err("up in place of down".into()),
        LinkEvent::Message { .. } => Err("a message in place of down".into()),
    }
}

pub(crate) async fn both_sides_receive_the_handshake_of_the_other<W: World>(
    world: &mut W,
) -> Contract {
    let mut one = world.listen::<u64>(hello("one"), small());
    let mut other = world.listen::<u64>(hello("other"), small());
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
        "who the other is".into()
    })?;
    check(dialed && !there, || "who began".into())
}

/// Sends while it receives: no side waits for the other's buffers.
pub(crate) async fn messages_arrive_complete_and_in_order_in_both_directions<W: World>(
    world: &mut W,
) -> Contract {
    const COUNT: u64 = 500;
    let mut one = world.listen::<(u64, Vec<u8>)>(hello("one"), small());
    let mut other = world.listen::<(u64, Vec<u8>)>(hello("other"), small());
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
    breathe().await;
    let rest = one.next().now_or_never().is_some() || other.next().now_or_never().is_some();
    check(!rest, || "more than was sent".into())
}

pub(crate) async fn messages_sent_before_the_link_is_up_arrive<W: World>(
    world: &mut W,
) -> Contract {
    let mut one = world.listen::<u64>(hello("one"), small());
    let mut other = world.listen::<u64>(hello("other"), small());
    let link = one.connect(other.local_address());
    for n in 0..10 {
        one.send(link, &n).map_err(|e| e.to_string())?;
    }
    let up = other.next().await;
    check(matches!(up, LinkEvent::Up { .. }), || {
        "a message before the link is up".into()
    })?;
    for n in 0..10 {
        check(message(&mut other).await? == n, || format!("message {n}"))?;
    }
    Ok(())
}

pub(crate) async fn a_message_longer_than_the_limit_is_rejected_and_the_link_stays_open<
    W: World,
>(
    world: &mut W,
) -> Contract {
    let mut one = world.listen::<Vec<u8>>(hello("one"), small());
    let mut other = world.listen::<Vec<u8>>(hello("other"), small());
    let (link, _) = linked(&mut one, &mut other).await?;
    // Three bytes tell the length of the vector.
    let longest = vec![7; small().max_frame_bytes - 3];
    let longer = vec![7; small().max_frame_bytes - 2];
    let refused = one.send(link, &longer);
    let expected = Err(SendError::Frame(FrameError::TooLong {
        max_bytes: small().max_frame_bytes,
    }));
    check(refused == expected, || format!("{refused:?}"))?;
    one.send(link, &longest).map_err(|e| e.to_string())?;
    check(message(&mut other).await? == longest, || {
        "the longest".into()
    })
}

pub(crate) async fn a_frame_longer_than_the_receivers_limit_ends_the_link<W: World>(
    world: &mut W,
) -> Contract {
    let mut one = world.listen::<Vec<u8>>(hello("one"), small());
    let tight = LinkOptions {
        max_frame_bytes: 1_000,
        ..small()
    };
    let mut other = world.listen::<Vec<u8>>(hello("other"), tight);
    let (here, there) = linked(&mut one, &mut other).await?;
    one.send(here, &vec![1; 500]).map_err(|e| e.to_string())?;
    one.send(here, &vec![2; 2_000]).map_err(|e| e.to_string())?;
    // Its end may be known here by now.
    let _ = one.send(here, &vec![3; 500]);
    check(message(&mut other).await? == vec![1; 500], || {
        "the first".into()
    })?;
    let (phase, kind) = down(&mut other, there).await?;
    let told = matches!(
        kind,
        LinkErrorKind::Frame(FrameError::TooLong { max_bytes: 1_000 })
    );
    check(told && phase == LinkPhase::Read, || {
        format!("{phase} {kind}")
    })?;
    down(&mut one, here).await.map(drop)
}

pub(crate) async fn a_frame_that_holds_no_message_ends_the_link<W: World>(
    world: &mut W,
) -> Contract {
    let mut one = world.listen::<String>(hello("one"), small());
    let mut other = world.listen::<bool>(hello("other"), small());
    let (here, there) = linked(&mut one, &mut other).await?;
    one.send(here, &"neither true nor false".to_string())
        .map_err(|e| e.to_string())?;
    let (phase, kind) = down(&mut other, there).await?;
    let told = matches!(kind, LinkErrorKind::Frame(FrameError::Malformed(_)));
    check(told && phase == LinkPhase::Read, || {
        format!("{phase} {kind}")
    })?;
    down(&mut one, here).await.map(drop)
}

pub(crate) async fn a_connection_to_nobody_is_reported<W: World>(world: &mut W) -> Contract {
    let mut one = world.listen::<u64>(hello("one"), small());
    let nobody = world.nobody();
    let link = one.connect(nobody);
    let LinkEvent::Down { link: which, error } = one.next().await else {
        return Err("up with nobody".into());
    };
    check(which == link && error.peer == nobody, || format!("{error}"))?;
    check(error.phase == LinkPhase::Connect, || format!("{error}"))?;
    check(one.send(link, &1) == Err(SendError::NoLink), || {
        "the link still takes messages".into()
    })
}

pub(crate) async fn the_end_of_a_peer_is_reported_once<W: World>(world: &mut W) -> Contract {
    let mut one = world.listen::<u64>(hello("one"), small());
    let mut other = world.listen::<u64>(hello("other"), small());
    let (here, there) = linked(&mut one, &mut other).await?;
    other.send(there, &1).map_err(|e| e.to_string())?;
    check(message(&mut one).await? == 1, || "its message".into())?;
    drop(other);
    down(&mut one, here).await?;
    check(one.send(here, &1) == Err(SendError::NoLink), || {
        "the link still takes messages".into()
    })?;
    breathe().await;
    check(one.next().now_or_never().is_none(), || "told twice".into())
}

pub(crate) async fn what_was_sent_before_a_close_arrives<W: World>(world: &mut W) -> Contract {
    let few = LinkOptions {
        max_queued_events: 5,
        ..small()
    };
    let mut one = world.listen::<(u64, Vec<u8>)>(hello("one"), few);
    let mut other = world.listen::<(u64, Vec<u8>)>(hello("other"), small());
    let (here, there) = linked(&mut one, &mut other).await?;
    // More than the one side takes, and on its way when that closes the link: nobody wants it.
    for n in 0..500 {
        other
            .send(there, &(n, vec![0; 20_000]))
            .map_err(|e| e.to_string())?;
    }
    breathe().await;
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
        check(message(&mut other).await?.0 == n, || format!("message {n}"))?;
    }
    let (_, kind) = down(&mut other, there).await?;
    check(matches!(kind, LinkErrorKind::Closed), || format!("{kind}"))?;
    breathe().await;
    check(one.next().now_or_never().is_none(), || {
        "an event of a closed link".into()
    })
}

pub(crate) async fn a_mismatched_handshake_is_rejected_on_both_sides<W: World>(
    world: &mut W,
) -> Contract {
    let later = Hello {
        version: 2,
        ..hello("later")
    };
    let stranger = Hello {
        protocol: "another".into(),
        ..hello("stranger")
    };
    for theirs in [later, stranger] {
        let mut one = world.listen::<u64>(hello("one"), small());
        let mut other = world.listen::<u64>(theirs, small());
        one.connect(other.local_address());
        let (here, there) = futures_util::future::join(one.next(), other.next()).await;
        for event in [here, there] {
            let LinkEvent::Down { error, .. } = event else {
                return Err("it is up".into());
            };
            let told = matches!(error.kind, LinkErrorKind::Hello(_));
            check(told && error.phase == LinkPhase::Handshake, || {
                format!("{error}")
            })?;
        }
    }
    Ok(())
}

/// Sends numbers to a peer that takes nothing until `enough`; the numbers taken, in order, and how
/// many were dropped for others.
async fn pressed<T: MessageTransport<Message = (u64, Vec<u8>)>>(
    one: &mut T,
    link: LinkId,
    mut enough: impl FnMut(&Result<usize, SendError>) -> bool,
) -> (Vec<u64>, usize) {
    let (mut taken, mut dropped) = (Vec::new(), 0);
    for n in 0.. {
        let sent = one
            .send(link, &(n, vec![0; 20_000]))
            .map(|sent| sent.dropped);
        if let Ok(others) = sent {
            taken.push(n);
            dropped += others;
        }
        if enough(&sent) {
            break;
        }
        tokio::task::yield_now().await;
    }
    (taken, dropped)
}

fn pressing(overflow: OverflowPolicy) -> LinkOptions {
    let queue = QueueLimits {
        max_frames: 50,
        max_bytes: 1 << 20,
        overflow,
    };
    LinkOptions {
        queue,
        max_queued_events: 5,
        ..small()
    }
}

pub(crate) async fn a_full_queue_rejects_and_loses_no_queued_message<W: World>(
    world: &mut W,
) -> Contract {
    let options = pressing(OverflowPolicy::RejectNewest);
    let mut one = world.listen(hello("one"), options);
    let mut other = world.listen::<(u64, Vec<u8>)>(hello("other"), options);
    let (link, _) = linked(&mut one, &mut other).await?;
    let (taken, _) = pressed(&mut one, link, |sent| *sent == Err(SendError::Full)).await;
    for n in taken {
        let come = message(&mut other).await?.0;
        check(come == n, || format!("{come} in place of {n}"))?;
    }
    one.send(link, &(0, Vec::new()))
        .map(drop)
        .map_err(|e| format!("there is room again: {e}"))
}

pub(crate) async fn a_full_queue_drops_the_oldest_under_drop_oldest<W: World>(
    world: &mut W,
) -> Contract {
    let options = pressing(OverflowPolicy::DropOldest);
    let mut one = world.listen(hello("one"), options);
    let mut other = world.listen::<(u64, Vec<u8>)>(hello("other"), options);
    let (link, _) = linked(&mut one, &mut other).await?;
    let mut overflown = 0;
    let enough = |sent: &Result<usize, SendError>| {
        overflown += sent.clone().unwrap_or_default();
        overflown > 20
    };
    let (taken, dropped) = pressed(&mut one, link, enough).await;
    let mut come: Vec<u64> = Vec::new();
    while come.len() < taken.len() - dropped {
        come.push(message(&mut other).await?.0);
    }
    check(come.is_sorted_by(|a, b| a < b), || {
        format!("out of order: {come:?}")
    })?;
    check(come.last() == taken.last(), || {
        "the newest is missing".into()
    })
}

pub(crate) async fn a_dropped_next_future_loses_no_event<W: World>(world: &mut W) -> Contract {
    let mut one = world.listen::<u64>(hello("one"), small());
    let mut other = world.listen::<u64>(hello("other"), small());
    let (link, _) = linked(&mut one, &mut other).await?;
    for n in 0..100 {
        one.send(link, &n).map_err(|e| e.to_string())?;
        let mut waits = 0;
        // Polled once and dropped, again and again.
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
            || format!("message {n}"),
        )?;
    }
    Ok(())
}

fn poll_once<F: Future>(future: F) -> Option<F::Output> {
    future.now_or_never()
}
