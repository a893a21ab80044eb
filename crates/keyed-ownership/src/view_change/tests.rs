use std::sync::Arc;

use assert_matches::assert_matches;

use super::{Acceptor, ProposalOutcome, ProposalReply, Proposer};
use crate::view::View;

fn view(epoch: u64, follows: Option<u64>) -> Arc<View> {
    Arc::new(View {
        epoch,
        follows,
        gates: Vec::new(),
    })
}

/// Records that an acceptor accepted the proposed view.
fn accept(proposer: &mut Proposer, view: &View, acceptor: u32) -> Option<ProposalOutcome> {
    proposer.answer(view.epoch, acceptor, ProposalReply::Accepted)
}

/// Records that an acceptor whose newest epoch is `newest` rejected the proposed view.
fn reject(
    proposer: &mut Proposer,
    view: &View,
    acceptor: u32,
    newest: u64,
) -> Option<ProposalOutcome> {
    proposer.answer(view.epoch, acceptor, ProposalReply::Rejected { newest })
}

#[test]
fn acceptor_accepts_a_view_that_follows_its_newest() {
    let mut acceptor = Acceptor::default();
    assert_eq!(
        acceptor.handle_proposal(view(5, None)),
        ProposalReply::Accepted
    );
    assert_eq!(
        acceptor.handle_proposal(view(7, Some(5))),
        ProposalReply::Accepted
    );
    assert_eq!(
        acceptor.handle_proposal(view(8, Some(5))),
        ProposalReply::Rejected { newest: 7 }
    );
    assert_eq!(
        acceptor.handle_proposal(view(9, None)),
        ProposalReply::Accepted
    );
    assert_eq!(acceptor.epoch(), 9);
}

#[test]
fn acceptor_never_accepts_an_older_view() {
    let mut acceptor = Acceptor::restore(Some(view(9, None)));
    assert_eq!(
        acceptor.handle_proposal(view(8, None)),
        ProposalReply::Rejected { newest: 9 }
    );
    acceptor.catch_up(view(8, None));
    assert_eq!(acceptor.epoch(), 9);
    acceptor.catch_up(view(12, Some(10)));
    assert_eq!(acceptor.epoch(), 12);
}

#[test]
fn proposal_sent_again_is_accepted_again() {
    let mut acceptor = Acceptor::default();
    assert_eq!(
        acceptor.handle_proposal(view(5, Some(0))),
        ProposalReply::Accepted
    );
    assert_eq!(
        acceptor.handle_proposal(view(5, Some(0))),
        ProposalReply::Accepted
    );
}

#[test]
fn epochs_of_two_proposers_differ_and_rise() {
    let (mut proposer, mut other) = (Proposer::new(1, 3, 0), Proposer::new(2, 3, 0));
    let (first, second) = (proposer.propose(Vec::new()), other.propose(Vec::new()));
    assert_ne!(first.epoch, second.epoch);
    proposer.learn(second.clone());
    assert!(proposer.propose(Vec::new()).epoch > second.epoch.max(first.epoch));
}

#[test]
fn proposer_never_uses_an_epoch_twice() {
    let mut acceptor = Acceptor::default();
    let mut proposer = Proposer::new(1, 3, acceptor.epoch());
    let first = proposer.propose(Vec::new());
    assert_eq!(
        acceptor.handle_proposal(first.clone()),
        ProposalReply::Accepted
    );
    assert!(
        proposer.propose(Vec::new()).epoch > first.epoch,
        "the epoch of an abandoned proposal is not used again"
    );
    let mut restarted = Proposer::new(1, 3, acceptor.epoch());
    assert!(
        restarted.propose(Vec::new()).epoch > first.epoch,
        "an epoch used before the restart is not used again"
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
        "the previous proposal may have been installed"
    );
    proposer.learn(first);
    assert_eq!(proposer.propose(Vec::new()).follows, None);
}

#[test]
fn proposal_is_installed_once_by_a_majority() {
    let mut proposer = Proposer::new(0, 3, 0);
    let view = proposer.propose(Vec::new());
    assert_eq!(accept(&mut proposer, &view, 0), None);
    assert_eq!(accept(&mut proposer, &view, 0), None);
    assert_eq!(reject(&mut proposer, &view, 1, 7), None);
    assert_matches!(
        accept(&mut proposer, &view, 2),
        Some(ProposalOutcome::Installed(_))
    );
    assert_eq!(accept(&mut proposer, &view, 1), None);
    assert_eq!(proposer.installed(), Some(&view));
}

#[test]
fn proposal_is_rejected_when_no_majority_is_left() {
    let mut proposer = Proposer::new(0, 3, 0);
    let view = proposer.propose(Vec::new());
    let later = 9 << 8;
    assert_eq!(reject(&mut proposer, &view, 0, 256), None);
    assert_eq!(
        reject(&mut proposer, &view, 2, later),
        Some(ProposalOutcome::Rejected)
    );
    let next = proposer.propose(Vec::new());
    assert!(next.epoch > later);
    assert_eq!(next.follows, None);
}

#[test]
fn answers_to_an_earlier_proposal_are_ignored() {
    let mut proposer = Proposer::new(0, 3, 0);
    let first = proposer.propose(Vec::new());
    assert_eq!(accept(&mut proposer, &first, 0), None);
    let second = proposer.propose(Vec::new());
    assert_eq!(accept(&mut proposer, &first, 1), None);
    assert_eq!(accept(&mut proposer, &second, 1), None);
    assert_eq!(proposer.installed(), None);
}
