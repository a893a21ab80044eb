//! Tests of the acceptor: no reply is sent before the state that it reports is durable, and no
//! promise is revoked.

use std::net::SocketAddr;

use assert_matches::assert_matches;

use super::*;
use crate::message::RoundId;
use crate::replicas::Membership;

const PROPOSER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9_000);

fn seeds() -> Vec<SocketAddr> {
    (7_000..7_003)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

fn member() -> Acceptor<u8> {
    Acceptor::recovered(
        Record::bootstrap(seeds()[0], &seeds(), 0),
        Guards::default(),
    )
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        identity: Identity(5),
    }
}

fn prepare(acceptor: &Acceptor<u8>, counter: u64) -> Request<u8> {
    let body = RequestBody::Prepare {
        ballot: ballot(counter),
        view: Ballot::ZERO,
        known: Ballot::ZERO,
    };
    Request {
        round: RoundId(counter),
        to: acceptor.identity(),
        body,
    }
}

fn accept(acceptor: &Acceptor<u8>, counter: u64, value: u8) -> Request<u8> {
    let initial = acceptor.accepted().expect("initial").state.clone();
    let state = initial
        .successor(ballot(counter), initial.members.clone(), value.into())
        .into();
    let proposal = Proposal {
        ballot: ballot(counter),
        state,
    };
    Request {
        round: RoundId(counter),
        to: acceptor.identity(),
        body: RequestBody::Accept { proposal },
    }
}

fn reply_after_write(acceptor: &mut Acceptor<u8>, request: Request<u8>) -> ReplyBody<u8> {
    if let Some(addressed) = acceptor.request(PROPOSER, request, None) {
        return addressed.reply.body;
    }
    let write = acceptor.next_write().expect("a write");
    acceptor
        .persisted(write.token)
        .pop()
        .expect("a reply")
        .reply
        .body
}

#[test]
fn a_promise_is_sent_only_once_it_is_durable() {
    let mut acceptor = member();
    assert_eq!(
        acceptor.request(PROPOSER, prepare(&acceptor, 3), None),
        None
    );
    let write = acceptor.next_write().expect("a write");
    assert_eq!(write.record.promised, ballot(3));
    assert!(!write.accepted_changed);
    assert_eq!(acceptor.next_write(), None);
    let replies = acceptor.persisted(write.token);
    assert_matches!(
        &replies[..],
        [AddressedReply {
            reply: Reply {
                body: ReplyBody::Promise { .. },
                ..
            },
            ..
        }]
    );
}

#[test]
fn requests_during_a_write_share_the_next_write() {
    let mut acceptor = member();
    acceptor.request(PROPOSER, prepare(&acceptor, 3), None);
    let first = acceptor.next_write().expect("a write");
    acceptor.request(PROPOSER, prepare(&acceptor, 4), None);
    let other = SocketAddr::from(([127, 0, 0, 1], 9_001));
    acceptor.request(other, prepare(&acceptor, 5), None);
    assert_eq!(acceptor.persisted(first.token).len(), 1);
    let second = acceptor.next_write().expect("a write");
    assert_eq!(second.record.promised, ballot(5));
    assert_eq!(acceptor.persisted(second.token).len(), 2);
    assert_eq!(acceptor.persisted(second.token), []);
}

#[test]
fn a_lower_ballot_is_rejected_after_a_promise() {
    let mut acceptor = member();
    assert_matches!(
        reply_after_write(&mut acceptor, prepare(&member(), 7)),
        ReplyBody::Promise { .. }
    );
    assert_matches!(
        reply_after_write(&mut acceptor, prepare(&member(), 6)),
        ReplyBody::Conflict { promised } if promised == ballot(7)
    );
    assert_matches!(
        reply_after_write(&mut acceptor, accept(&member(), 6, 1)),
        ReplyBody::Conflict { .. }
    );
    assert_matches!(
        reply_after_write(&mut acceptor, accept(&member(), 7, 1)),
        ReplyBody::Accepted { .. }
    );
}

#[test]
fn a_query_result_contains_only_what_is_durable() {
    let mut acceptor = member();
    acceptor.request(PROPOSER, accept(&member(), 4, 1), None);
    let query = Request {
        round: RoundId(1),
        to: acceptor.identity(),
        body: RequestBody::Query {
            known: Ballot::ZERO,
        },
    };
    let result = reply_after_write(&mut acceptor, query);
    assert_matches!(result, ReplyBody::QueryResult(state) if state.accepted == Some(Ballot::ZERO));
}

#[test]
fn a_state_that_the_proposer_knows_is_reported_by_ballot_alone() {
    let mut acceptor = member();
    reply_after_write(&mut acceptor, accept(&member(), 4, 1));
    let query = Request {
        round: RoundId(1),
        to: acceptor.identity(),
        body: RequestBody::Query { known: ballot(4) },
    };
    let result = reply_after_write(&mut acceptor, query);
    assert_matches!(
        result,
        ReplyBody::QueryResult(AcceptorState {
            accepted: Some(accepted),
            proposal: None,
            ..
        }) if accepted == ballot(4)
    );
}

#[test]
fn a_request_to_another_identity_is_rejected() {
    let mut emptied = Acceptor::recovered(Record::empty(Identity(1)), Guards::default());
    let rejected = emptied
        .request(PROPOSER, prepare(&member(), 3), None)
        .expect("an immediate reply");
    assert_matches!(rejected.reply.body, ReplyBody::NotMember { .. });
    assert_eq!(rejected.sender, Identity(1));
}

#[test]
fn a_proposal_without_the_replica_as_member_is_rejected() {
    let mut standby = Acceptor::recovered(Record::empty(Identity(1)), Guards::default());
    let request = Request {
        to: Identity(1),
        ..accept(&member(), 3, 1)
    };
    assert_matches!(
        standby.request(PROPOSER, request, None),
        Some(AddressedReply {
            reply: Reply {
                body: ReplyBody::NotMember { .. },
                ..
            },
            ..
        })
    );
}

#[test]
fn a_removed_replica_rejects_a_prepare_with_an_older_view() {
    let mut acceptor = member();
    let initial = acceptor.accepted().expect("initial").state.clone();
    let smaller = Membership::single(initial.members.current.without(acceptor.identity()));
    let state = initial
        .successor(ballot(9), smaller, initial.value.clone())
        .into();
    let chosen = Proposal {
        ballot: ballot(9),
        state,
    };
    let rejected = acceptor
        .request(PROPOSER, prepare(&member(), 12), Some(&chosen))
        .expect("an immediate reply");
    assert_matches!(rejected.reply.body, ReplyBody::NotMember { chosen } if chosen == ballot(9));
}

#[test]
fn no_reply_and_no_other_write_while_a_write_is_in_flight() {
    let mut acceptor = member();
    acceptor.request(PROPOSER, prepare(&acceptor, 3), None);
    let write = acceptor.next_write().expect("a write");
    assert_eq!(
        acceptor.request(PROPOSER, prepare(&acceptor, 4), None),
        None
    );
    assert_eq!(acceptor.next_write(), None);
    assert_eq!(acceptor.persisted(write.token + 1), []);
    assert_matches!(
        &acceptor.persisted(write.token)[..],
        [AddressedReply {
            reply: Reply {
                round: RoundId(3),
                ..
            },
            ..
        }]
    );
}

#[test]
fn an_unsynced_record_answers_no_request_until_durable() {
    let promised = Record {
        promised: ballot(7),
        reserved: 9,
        ..member().record
    };
    let mut acceptor = Acceptor::unsynced(promised, Guards::default());
    let query = Request {
        round: RoundId(1),
        to: acceptor.identity(),
        body: RequestBody::Query {
            known: Ballot::ZERO,
        },
    };
    assert_eq!(acceptor.request(PROPOSER, query.clone(), None), None);
    assert_eq!(
        (acceptor.reserved_counter(), acceptor.used_counter()),
        (0, 9)
    );
    let write = acceptor.next_write().expect("a write");
    assert_eq!(acceptor.persisted(write.token), []);
    assert_matches!(
        reply_after_write(&mut acceptor, query),
        ReplyBody::QueryResult(state) if state.accepted.is_some()
    );
    assert_matches!(
        reply_after_write(&mut acceptor, prepare(&member(), 6)),
        ReplyBody::Conflict { .. }
    );
}

#[test]
fn reserved_counters_are_usable_once_durable() {
    let mut acceptor = member();
    acceptor.reserve(1_000);
    assert_eq!(acceptor.reserved_counter(), 0);
    let write = acceptor.next_write().expect("a write");
    acceptor.persisted(write.token);
    assert_eq!(acceptor.reserved_counter(), 1_000);
    assert_eq!(
        Acceptor::recovered(write.record, Guards::default()).used_counter(),
        1_000
    );
}
