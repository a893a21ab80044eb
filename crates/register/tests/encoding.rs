//! Encoding of messages and records: the content survives a round trip, and truncated bytes are
//! rejected.

use std::net::SocketAddr;

use ironmast_register::message::{
    AcceptorState, ChosenVersion, HeartbeatResponse, MessageBody, NodeStatus, Participation, Reply,
    ReplyBody, Request, RequestBody, RoundId,
};
use ironmast_register::quorum_lease::HeartbeatId;
use ironmast_register::state::Proposal;
use ironmast_register::{Ballot, Identity, Message, Record};

const BALLOT: Ballot = Ballot {
    counter: 300,
    identity: Identity(7),
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record() -> Record<String> {
    let members = [address(7_000), address(7_001), address(7_002)];
    Record::bootstrap(address(7_001), &members, "a value".to_owned())
}

fn bodies() -> Vec<MessageBody<String>> {
    let proposal: Proposal<String> = record()
        .accepted
        .expect("the record has an accepted proposal");
    let state = AcceptorState {
        accepted: Some(BALLOT),
        proposal: Some(proposal.clone()),
        chosen: Ballot::ZERO,
    };
    let request = |body| {
        MessageBody::Request(Request {
            round: RoundId(9),
            to: Identity(1),
            body,
        })
    };
    let reply = |body| {
        MessageBody::Reply(Reply {
            round: RoundId(9),
            body,
        })
    };
    let chosen = Some(ChosenVersion {
        ballot: BALLOT,
        sequence: 4,
    });
    vec![
        request(RequestBody::Query { known: BALLOT }),
        request(RequestBody::Prepare {
            ballot: BALLOT,
            view: Ballot::ZERO,
            known: BALLOT,
        }),
        request(RequestBody::Accept {
            proposal: proposal.clone(),
        }),
        reply(ReplyBody::QueryResult(state.clone())),
        reply(ReplyBody::Promise {
            ballot: BALLOT,
            state,
        }),
        reply(ReplyBody::Accepted { ballot: BALLOT }),
        reply(ReplyBody::Conflict { promised: BALLOT }),
        reply(ReplyBody::NotMember { chosen: BALLOT }),
        MessageBody::Status(NodeStatus {
            chosen,
            zone: "a".to_owned(),
            leaving: true,
            unreachable: vec![Identity(5)],
            participation: Participation::Initial,
        }),
        MessageBody::FetchState { known: BALLOT },
        MessageBody::ChosenState(proposal),
        MessageBody::Heartbeat {
            id: HeartbeatId(70_000),
        },
        MessageBody::HeartbeatResponse(HeartbeatResponse {
            id: HeartbeatId(70_000),
            newest: BALLOT,
            membership_fingerprint: u64::MAX,
        }),
    ]
}

#[test]
fn every_message_decodes_as_it_was_encoded() {
    for body in bodies() {
        let message = Message {
            sender: Identity(u64::MAX),
            address: address(7_000),
            body,
        };
        let bytes = postcard::to_stdvec(&message).expect("the value is encoded");
        assert_eq!(
            postcard::from_bytes::<Message<String>>(&bytes).expect("the bytes are decoded"),
            message
        );
    }
}

#[test]
fn a_truncated_message_is_rejected() {
    for body in bodies() {
        let message = Message {
            sender: Identity(3),
            address: address(7_000),
            body,
        };
        let bytes = postcard::to_stdvec(&message).expect("the value is encoded");
        for length in 0..bytes.len() {
            assert!(postcard::from_bytes::<Message<String>>(&bytes[..length]).is_err());
        }
    }
}

#[test]
fn a_record_decodes_as_it_was_encoded() {
    let bytes = postcard::to_stdvec(&record()).expect("the value is encoded");
    assert_eq!(
        postcard::from_bytes::<Record<String>>(&bytes).expect("the bytes are decoded"),
        record()
    );
}

#[test]
fn a_status_message_is_small() {
    let body = bodies().swap_remove(8);
    let message: Message<String> = Message {
        sender: Identity(u64::MAX),
        address: address(7_000),
        body,
    };
    let bytes = postcard::to_stdvec(&message).expect("the value is encoded");
    assert!(bytes.len() < 64, "{} bytes", bytes.len());
}
