use std::sync::Arc;

use super::*;

fn entries(bytes: usize) -> Message {
    let payload = Some(Arc::from(vec![0; bytes]));
    let entry = Entry {
        key: 1,
        version: 1,
        removed_s: 0,
        payload,
    };
    Message::Entries {
        entries: vec![entry],
        pushed: true,
        more: false,
    }
}

#[test]
fn what_waits_is_bounded_and_room_returns_as_it_leaves() {
    let (queue, mut waiting, _closed) = queue();
    let many = (0..1_000)
        .take_while(|_| queue.push(entries(32 * 1024)))
        .count();
    assert_eq!(many, 63);
    assert!(
        futures_util::FutureExt::now_or_never(waiting.next())
            .flatten()
            .is_some()
    );
    assert!(queue.push(entries(32 * 1024)));
    assert!(!queue.push(entries(32 * 1024)));
}

#[test]
fn a_message_alone_may_be_longer() {
    let (queue, _waiting, _closed) = queue();
    assert!(queue.push(entries(2 * MAX_QUEUED_BYTES)));
    assert!(!queue.push(Message::Leave));
}

#[test]
fn what_waits_still_leaves_once_the_queue_is_dropped() {
    let (queue, mut waiting, closed) = queue();
    assert!(queue.push(Message::Leave));
    drop(queue);
    assert!(futures_util::FutureExt::now_or_never(closed).is_some());
    assert_eq!(
        futures_util::FutureExt::now_or_never(waiting.next()),
        Some(Some(Message::Leave))
    );
    assert_eq!(
        futures_util::FutureExt::now_or_never(waiting.next()),
        Some(None)
    );
}
