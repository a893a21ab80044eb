use std::time::Duration;

use super::{Confirmation, Confirmed};

const ASKED: Duration = Duration::from_millis(70);

#[test]
fn majority_confirms_once() {
    let mut question = Confirmation::new(4, ASKED, 3);
    assert_eq!(question.answer(0, 4), None);
    assert_eq!(
        question.answer(2, 4),
        Some(Confirmed {
            epoch: 4,
            asked: ASKED
        })
    );
    assert_eq!(question.answer(1, 4), None);
}

#[test]
fn one_witness_counts_once() {
    let mut question = Confirmation::new(4, ASKED, 3);
    assert_eq!(question.answer(0, 4), None);
    assert_eq!(question.answer(0, 4), None);
}

#[test]
fn other_epochs_do_not_confirm() {
    let mut question = Confirmation::new(4, ASKED, 3);
    assert_eq!(question.answer(0, 5), None);
    assert_eq!(question.answer(1, 3), None);
    assert_eq!(question.answer(2, 4), None);
}

#[test]
fn half_is_no_majority() {
    let mut question = Confirmation::new(4, ASKED, 4);
    assert_eq!(question.answer(0, 4), None);
    assert_eq!(question.answer(1, 4), None);
    assert!(question.answer(2, 4).is_some());
}
