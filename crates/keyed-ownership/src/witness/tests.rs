use std::sync::Arc;

use assert_matches::assert_matches;

use super::{Installed, Outcome, Proposer, Witness};
use crate::view::View;

fn view(epoch: u64, follows: Option<u64>) -> Arc<View> {
    Arc::new(View {
        epoch,
        follows,
        gates: Vec::new(),
    })
}

#[test]
fn witness_takes_what_follows_its_newest() {
    let mut witness = Witness::default();
    assert_eq!(witness.propose(view(5, None)), Installed::Taken);
    assert_eq!(witness.propose(view(7, Some(5))), Installed::Taken);
    assert_eq!(
        witness.propose(view(8, Some(5))),
        Installed::Refused { newest: 7 }
    );
    assert_eq!(witness.propose(view(9, None)), Installed::Taken);
    assert_eq!(witness.epoch(), 9);
}

#[test]
fn witness_never_goes_back() {
    let mut witness = Witness::restore(Some(view(9, None)));
    assert_eq!(
        witness.propose(view(8, None)),
        Installed::Refused { newest: 9 }
    );
    witness.catch_up(view(8, None));
    assert_eq!(witness.epoch(), 9);
    witness.catch_up(view(12, Some(10)));
    assert_eq!(witness.epoch(), 12);
}

#[test]
fn proposal_sent_again_is_taken_again() {
    let mut witness = Witness::default();
    assert_eq!(witness.propose(view(5, Some(0))), Installed::Taken);
    assert_eq!(witness.propose(view(5, Some(0))), Installed::Taken);
}

#[test]
fn epochs_of_two_proposers_differ_and_rise() {
    let (mut mine, mut other) = (Proposer::new(1, 3, 0), Proposer::new(2, 3, 0));
    let (first, second) = (mine.propose(Vec::new()), other.propose(Vec::new()));
    assert_ne!(first.epoch, second.epoch);
    mine.learn(second.clone());
    assert!(mine.propose(Vec::new()).epoch > second.epoch.max(first.epoch));
}

#[test]
fn proposer_never_uses_an_epoch_twice() {
    let mut witness = Witness::default();
    let mut proposer = Proposer::new(1, 3, witness.epoch());
    let first = proposer.propose(Vec::new());
    assert_eq!(witness.propose(first.clone()), Installed::Taken);
    assert!(
        proposer.propose(Vec::new()).epoch > first.epoch,
        "a proposal that was given up"
    );
    let mut restarted = Proposer::new(1, 3, witness.epoch());
    assert!(
        restarted.propose(Vec::new()).epoch > first.epoch,
        "a life before"
    );
}

#[test]
fn proposal_names_the_view_it_follows_while_that_is_the_newest() {
    let mut proposer = Proposer::new(1, 3, 0);
    let first = proposer.propose(Vec::new());
    proposer.learn(first.clone());
    let second = proposer.propose(Vec::new());
    assert_eq!(second.follows, Some(first.epoch));
    assert_eq!(
        proposer.propose(Vec::new()).follows,
        None,
        "the one before may be in force"
    );
    proposer.learn(first);
    assert_eq!(proposer.propose(Vec::new()).follows, None);
}

#[test]
fn majority_installs_once() {
    let mut proposer = Proposer::new(0, 3, 0);
    let view = proposer.propose(Vec::new());
    assert_eq!(proposer.answer(view.epoch, 0, Installed::Taken), None);
    assert_eq!(proposer.answer(view.epoch, 0, Installed::Taken), None);
    assert_eq!(
        proposer.answer(view.epoch, 1, Installed::Refused { newest: 7 }),
        None
    );
    assert_matches!(
        proposer.answer(view.epoch, 2, Installed::Taken),
        Some(Outcome::Installed(_))
    );
    assert_eq!(proposer.answer(view.epoch, 1, Installed::Taken), None);
    assert_eq!(proposer.installed(), Some(&view));
}

#[test]
fn proposal_fails_when_no_majority_is_left() {
    let mut proposer = Proposer::new(0, 3, 0);
    let view = proposer.propose(Vec::new());
    let later = 9 << 8;
    assert_eq!(
        proposer.answer(view.epoch, 0, Installed::Refused { newest: 256 }),
        None
    );
    assert_eq!(
        proposer.answer(view.epoch, 2, Installed::Refused { newest: later }),
        Some(Outcome::Refused)
    );
    let next = proposer.propose(Vec::new());
    assert!(next.epoch > later);
    assert_eq!(next.follows, None);
}

#[test]
fn answers_to_an_earlier_proposal_do_not_count() {
    let mut proposer = Proposer::new(0, 3, 0);
    let first = proposer.propose(Vec::new());
    assert_eq!(proposer.answer(first.epoch, 0, Installed::Taken), None);
    let second = proposer.propose(Vec::new());
    assert_eq!(proposer.answer(first.epoch, 1, Installed::Taken), None);
    assert_eq!(proposer.answer(second.epoch, 1, Installed::Taken), None);
    assert_eq!(proposer.installed(), None);
}
