use std::time::Duration;

use super::{ConfirmedEpoch, EpochConfirmation};

const REQUESTED_AT: Duration = Duration::from_millis(70);

#[test]
fn majority_confirms_once() {
    let mut confirmation = EpochConfirmation::new(4, REQUESTED_AT, 3);
    assert_eq!(confirmation.answer(0, 4), None);
    assert_eq!(
        confirmation.answer(2, 4),
        Some(ConfirmedEpoch {
            epoch: 4,
            requested_at: REQUESTED_AT
        })
    );
    assert_eq!(confirmation.answer(1, 4), None);
}

#[test]
fn each_acceptor_counts_once() {
    let mut confirmation = EpochConfirmation::new(4, REQUESTED_AT, 3);
    assert_eq!(confirmation.answer(0, 4), None);
    assert_eq!(confirmation.answer(0, 4), None);
}

#[test]
fn answers_with_other_epochs_do_not_confirm() {
    let mut confirmation = EpochConfirmation::new(4, REQUESTED_AT, 3);
    assert_eq!(confirmation.answer(0, 5), None);
    assert_eq!(confirmation.answer(1, 3), None);
    assert_eq!(confirmation.answer(2, 4), None);
}

#[test]
fn half_of_the_acceptors_is_no_majority() {
    let mut confirmation = EpochConfirmation::new(4, REQUESTED_AT, 4);
    assert_eq!(confirmation.answer(0, 4), None);
    assert_eq!(confirmation.answer(1, 4), None);
    assert!(confirmation.answer(2, 4).is_some());
}
