//! Limit of a send queue, and delivery of the queued messages after it is dropped.

use std::sync::Arc;

use super::*;

fn entries(bytes: usize) -> Message {
    let payload = Some(Arc::from(vec![0; bytes]));
    let entry = Entry {
        key: 1,
        version: ironmast_overlay::Version(1),
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
fn full_queue_rejects_messages_until_one_is_received() {
    let (queue, mut receiver, _dropped) = send_queue();
    let accepted = (0..1_000)
        .take_while(|_| queue.push(entries(32 * 1024)).is_ok())
        .count();
    assert_eq!(accepted, 63);
    assert!(
        futures_util::FutureExt::now_or_never(receiver.next())
            .flatten()
            .is_some()
    );
    assert_eq!(queue.push(entries(32 * 1024)), Ok(()));
    assert_eq!(queue.push(entries(32 * 1024)), Err(QueueFull));
}

#[test]
fn empty_queue_accepts_a_message_above_the_limit() {
    let (queue, _receiver, _dropped) = send_queue();
    assert_eq!(queue.push(entries(2 * MAX_QUEUED_BYTES)), Ok(()));
    assert_eq!(queue.push(Message::Leave), Err(QueueFull));
}

#[test]
fn queued_messages_are_received_after_the_queue_is_dropped() {
    let (queue, mut receiver, dropped) = send_queue();
    assert_eq!(queue.push(Message::Leave), Ok(()));
    drop(queue);
    assert!(futures_util::FutureExt::now_or_never(dropped).is_some());
    assert_eq!(
        futures_util::FutureExt::now_or_never(receiver.next()),
        Some(Some(Message::Leave))
    );
    assert_eq!(
        futures_util::FutureExt::now_or_never(receiver.next()),
        Some(None)
    );
}
