//! The confirmations that one owner has requested and that are not complete yet.

use std::collections::VecDeque;

use ironmast_keyed_ownership::{ConfirmedEpoch, EpochConfirmation};

/// The maximum number of confirmations that wait for answers; further ones are dropped.
const MAX_PENDING: usize = 64;

/// A confirmation that waits for answers.
#[derive(Debug)]
struct PendingConfirmation {
    id: u64,
    confirmation: EpochConfirmation,
}

/// The confirmations of one incarnation of a gate, by ascending id.
#[derive(Debug, Default)]
pub(crate) struct PendingConfirmations {
    next_id: u64,
    pending: VecDeque<PendingConfirmation>,
}

impl PendingConfirmations {
    /// Adds a confirmation and returns its id.
    pub(crate) fn add(&mut self, confirmation: EpochConfirmation) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.pending
            .push_back(PendingConfirmation { id, confirmation });
        self.pending.truncate(MAX_PENDING);
        id
    }

    /// Counts an acceptor's answer. A completed confirmation is removed with all earlier ones.
    pub(crate) fn answer(
        &mut self,
        id: u64,
        acceptor: usize,
        newest: u64,
    ) -> Option<ConfirmedEpoch> {
        let answered = self.pending.iter_mut().find(|pending| pending.id == id)?;
        let confirmed = answered.confirmation.answer(acceptor as u32, newest)?;
        self.pending.retain(|pending| pending.id > id);
        Some(confirmed)
    }
}
