use super::Caller;

#[test]
fn a_caller_waits_until_its_guard_is_dropped() {
    let (guard, caller) = Caller::waiting();
    let copy = caller.clone();
    assert!(caller.is_waiting() && copy.is_waiting());
    drop(guard);
    assert!(!caller.is_waiting() && !copy.is_waiting());
}
