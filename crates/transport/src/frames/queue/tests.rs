//! Tests of `queue.rs`.

use super::*;

fn queue(overflow: OverflowPolicy) -> OutgoingQueue {
    OutgoingQueue::new(QueueLimits {
        frames: 3,
        bytes: 10,
        overflow,
    })
}

fn drain(queue: &mut OutgoingQueue) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn what_has_no_room_is_refused_and_the_rest_keeps_its_order() {
    let mut queue = queue(OverflowPolicy::RejectNewest);
    for n in 0..3 {
        assert_eq!(queue.push(vec![n]), Ok(0));
    }
    assert_eq!(queue.push(vec![3]), Err(Full), "by count");
    assert_eq!(queue.pop(), Some(vec![0]));
    assert_eq!(queue.push(vec![4; 9]), Err(Full), "by bytes");
    assert_eq!(queue.push(vec![5; 8]), Ok(0));
    assert_eq!(drain(&mut queue), [vec![1], vec![2], vec![5; 8]]);
}

#[test]
fn the_oldest_give_way_where_the_newest_counts_most() {
    let mut queue = queue(OverflowPolicy::DropOldest);
    for n in 0..5 {
        assert_eq!(queue.push(vec![n]), Ok(usize::from(n >= 3)));
    }
    assert_eq!(queue.push(vec![9; 9]), Ok(2), "as many as its bytes need");
    assert_eq!(drain(&mut queue), [vec![4], vec![9; 9]]);
}

#[test]
fn one_message_may_wait_whatever_its_length() {
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
