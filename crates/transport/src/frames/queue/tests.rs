//! Tests of `queue.rs`.

use super::*;

fn queue(overflow: OverflowPolicy) -> OutgoingQueue {
    OutgoingQueue::new(QueueLimits {
        max_frames: 3,
        max_bytes: 10,
        overflow,
    })
}

fn drain(queue: &mut OutgoingQueue) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn a_full_queue_rejects_the_newest_frame_and_keeps_the_order_of_the_others() {
    let mut queue = queue(OverflowPolicy::RejectNewest);
    for n in 0..3 {
        assert_eq!(queue.push(vec![n]), Ok(0));
    }
    assert_eq!(queue.push(vec![3]), Err(QueueFull), "by count");
    assert_eq!(queue.pop(), Some(vec![0]));
    assert_eq!(queue.push(vec![4; 9]), Err(QueueFull), "by bytes");
    assert_eq!(queue.push(vec![5; 8]), Ok(0));
    assert_eq!(drain(&mut queue), [vec![1], vec![2], vec![5; 8]]);
}

#[test]
fn a_full_queue_drops_the_oldest_frames_under_drop_oldest() {
    let mut queue = queue(OverflowPolicy::DropOldest);
    for n in 0..5 {
        assert_eq!(queue.push(vec![n]), Ok(usize::from(n >= 3)));
    }
    assert_eq!(
        queue.push(vec![9; 9]),
        Ok(2),
        "as many as the new frame's length requires"
    );
    assert_eq!(drain(&mut queue), [vec![4], vec![9; 9]]);
}

#[test]
fn a_single_frame_is_queued_whatever_its_length() {
    for overflow in [OverflowPolicy::RejectNewest, OverflowPolicy::DropOldest] {
        let mut queue = queue(overflow);
        assert_eq!(queue.push(vec![0; 50]), Ok(0));
        assert_eq!(
            queue.push(vec![1]).is_ok(),
            overflow == OverflowPolicy::DropOldest
        );
        assert!(queue.pop().is_some());
        assert_eq!((queue.pop(), queue.bytes), (None, 0));
    }
}
