//! Errors reported for operations that complete while the coordinator is out of contact.

use super::*;

#[test]
fn a_change_that_completes_out_of_contact_is_neither_acknowledged_nor_rejected() {
    let rejected = |rejection| Err(ChangeError::Rejected(rejection));
    let table: [(ChangeOutcome, ChangeError); 5] = [
        (Ok(()), ChangeError::ContactLostAfterApply),
        (
            rejected(Rejection::VersionMismatch),
            ChangeError::ContactLost,
        ),
        (
            rejected(Rejection::StaleGeneration),
            ChangeError::ContactLost,
        ),
        (Err(ChangeError::NoQuorum), ChangeError::NoQuorum),
        (Err(ChangeError::Unknown), ChangeError::Unknown),
    ];
    for (outcome, expected) in table {
        assert_eq!(
            change_error_out_of_contact(outcome),
            expected,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_read_that_completes_out_of_contact_returns_no_state() {
    let table: [(ReadOutcome, ReadError); 3] = [
        (Ok(b"{}".to_vec()), ReadError::ContactLost),
        (Err(ReadError::NoConfiguration), ReadError::ContactLost),
        (Err(ReadError::NoQuorum), ReadError::NoQuorum),
    ];
    for (outcome, expected) in table {
        assert_eq!(read_error_out_of_contact(&outcome), expected, "{outcome:?}");
    }
}
