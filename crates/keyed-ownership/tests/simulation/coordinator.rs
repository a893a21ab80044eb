//! The coordinators, each of which has an acceptor; some also propose views.

use std::sync::Arc;

use ironmast_keyed_ownership::{Proposer, View};

use super::{MS, Micros};

/// The number of acceptors.
pub(crate) const ACCEPTORS: usize = 3;

/// The number of coordinators that propose views. The second one has the last acceptor; it
/// proposes while that acceptor is partitioned, and at random otherwise.
pub(crate) const PROPOSERS: usize = 2;

/// The interval at which a proposer determines the members of the next view.
pub(crate) const RECONFIGURE_INTERVAL: Micros = 400 * MS;

/// The epoch of the view that all gates know at the start.
pub(crate) const FIRST_EPOCH: u64 = 1 << 8;

/// A coordinator that proposes views.
#[derive(Clone, Debug)]
pub(crate) struct Coordinator {
    pub proposer: Proposer,
    /// Until when the proposer waits for answers to its last proposal.
    pub busy_until: Micros,
}

impl Coordinator {
    pub(crate) fn new(number: usize, installed: Arc<View>) -> Self {
        let mut proposer = Proposer::new(number as u8, ACCEPTORS, installed.epoch);
        proposer.learn(installed);
        Self {
            proposer,
            busy_until: 0,
        }
    }
}

/// The index of the proposer's own acceptor.
pub(crate) fn colocated_acceptor(proposer: usize) -> usize {
    proposer * (ACCEPTORS - 1)
}
