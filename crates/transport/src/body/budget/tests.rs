//! Bodies within and beyond the limit.

use super::{BodyBudget, SHORT_BODY_BYTES};

const MEMORY_MB: usize = 24;
/// A third of the memory.
const LONG_BYTES: usize = 8 << 20;
/// An eighth of the memory.
const SHORT_BYTES: usize = 3 << 20;

#[test]
fn long_bodies_together_are_limited_and_short_ones_still_fit() {
    let budget = BodyBudget::new(MEMORY_MB);
    let mut long = budget.reservation();
    assert!(long.grow_to(SHORT_BODY_BYTES + LONG_BYTES));
    let mut other = budget.reservation();
    assert!(other.grow_to(SHORT_BODY_BYTES));
    assert!(
        !other.grow_to(SHORT_BODY_BYTES + 1),
        "the limit of long bodies is reached"
    );
    assert_eq!(budget.used_bytes(), 2 * SHORT_BODY_BYTES + LONG_BYTES);
    drop(long);
    assert!(other.grow_to(SHORT_BODY_BYTES + 1));
    drop(other);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn short_bodies_together_are_limited() {
    let budget = BodyBudget::new(MEMORY_MB);
    let bodies: Vec<_> = (0..SHORT_BYTES / SHORT_BODY_BYTES)
        .map(|_| {
            let mut body = budget.reservation();
            assert!(body.grow_to(SHORT_BODY_BYTES));
            body
        })
        .collect();
    let mut other = budget.reservation();
    assert!(!other.grow_to(1));
    drop(bodies);
    assert!(other.grow_to(1));
}
