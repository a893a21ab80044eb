//! Tests of `memory.rs`.

use std::time::Duration;

use super::*;

#[tokio::test]
async fn a_reservation_waits_for_free_memory_and_is_released_on_drop() {
    let memory = BodyMemory::new(1);
    let first = memory.reserve().await;
    let second = tokio::time::timeout(Duration::from_millis(20), memory.reserve()).await;
    assert!(
        second.is_err(),
        "a third of 1 MiB fits only one streamed body"
    );
    drop(first);
    drop(memory.reserve().await);
    assert_eq!(memory.reserved_bytes.get(), 0);
}
