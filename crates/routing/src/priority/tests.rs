use super::*;

#[test]
fn a_longer_objective_lowers_the_priority() {
    assert_eq!(queue_priority(0, 600.0, 600.0), 0);
    assert_eq!(queue_priority(2, 800.0, 600.0), 3);
    assert_eq!(queue_priority(1, 1_200.0, 600.0), 4);
    assert_eq!(queue_priority(2, 0.0, 0.0), 2);
}
