//! Translation of the register's outcomes to those of the operators' API.

use std::sync::Arc;

use assert_matches::assert_matches;
use ironmast_register::{Membership, ReplicaSet, State};

use super::*;

#[test]
fn a_rejected_change_completes_with_the_reason_that_the_value_gave() {
    for rejection in [
        Rejection::VersionMismatch,
        Rejection::StaleGeneration,
        Rejection::CallerGone,
    ] {
        let mut pending = PendingOperations::default();
        let (reply, _outcome) = oneshot::channel();
        let id = pending.add_change(reply);
        let members = Membership::single(ReplicaSet::new([]));
        let state = Arc::new(State::initial(members, ControlValue::default()));
        let reason = RejectionReason::Change(rejection);
        assert_matches!(
            pending.complete(id, Outcome::Rejected { reason, state }),
            Some(CompletedOperation::Change { outcome: Err(ChangeError::Rejected(found)), .. })
                if found == rejection
        );
    }
}
