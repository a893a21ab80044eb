//! Tests of the client proxy with servers that fail at each step of an exchange, for each class of
//! request and framing of the body: how often the request runs, which response its client receives,
//! and that later requests receive their own responses.

mod common;
#[allow(dead_code)]
mod stage;

use ironmast_fault_injection::failing_server::{
    ClientRequest, ClientResponse, Connection, Ending, FailingServer, Failure, PROXY, RequestBody,
    exchange,
};
use stage::Stage;

use Connection::{Closed, Reset};

/// Larger than the bodies that the proxy buffers: a body of this size is streamed.
const STREAMED_BODY_BYTES: usize = 200_000;

/// A class of requests, with its method and the request bodies to test.
#[derive(Clone, Copy, Debug)]
struct Class {
    target: &'static str,
    method: &'static str,
    headers: &'static str,
    may_repeat: bool,
    bodies: &'static [RequestBody],
}

const BODIES: &[RequestBody] = &[
    RequestBody::Sized(8),
    RequestBody::Chunked(3_000),
    RequestBody::Sized(STREAMED_BODY_BYTES),
];

const CLASSES: [Class; 3] = [
    Class {
        target: "/balance/a?q=1",
        method: "GET",
        headers: "",
        may_repeat: true,
        bodies: &[RequestBody::None],
    },
    Class {
        target: "/timesheet-post/a",
        method: "POST",
        headers: "Idempotency-Key: k1\r\n",
        may_repeat: true,
        bodies: BODIES,
    },
    Class {
        target: "/deposit-order/a",
        method: "POST",
        headers: "",
        may_repeat: false,
        bodies: BODIES,
    },
];

/// What a failure implies for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The response is complete despite the failure.
    Served,
    /// The request has not been executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The server rejected the request itself, so it is not sent to another server.
    Rejected,
}

/// Every failure and what it implies. Responses carry no request id here: only their order on the
/// connection tells to which request they belong.
fn failures_and_outcomes() -> Vec<(Failure, Outcome)> {
    use Outcome::*;
    let mut rows = vec![
        (Failure::None, Served),
        (Failure::Interim(100), Served),
        (Failure::Interim(103), Served),
        (Failure::TrailingBytes, Served),
        (Failure::DuplicateResponse, Served),
        (Failure::Foreign, Served),
        (
            Failure::Unframed {
                announced: true,
                end: Closed,
            },
            Served,
        ),
        (
            Failure::Unframed {
                announced: false,
                end: Closed,
            },
            Unknown,
        ),
        (Failure::AfterInterim(101, Connection::Kept), Unknown),
        (Failure::BothFramings, Unknown),
        (Failure::TwoLengths, Unknown),
        (Failure::BadChunk, Unknown),
        (Failure::ChunksInHttp10, Unknown),
        (Failure::BodyWith204, Unknown),
        (Failure::Status(500), Unknown),
        (Failure::Status(503), Unknown),
        (Failure::Status(504), Unknown),
        (Failure::Status(429), Rejected),
        (Failure::NotExecutedStatus(503), NotRun),
        (Failure::NotExecutedStatus(504), NotRun),
    ];
    for end in [Closed, Reset] {
        rows.extend([
            (Failure::NoHead(end), Unknown),
            (Failure::InHead(end), Unknown),
            (Failure::InInterim(end), Unknown),
            (Failure::AfterInterim(103, end), Unknown),
            (Failure::InBody(end), Unknown),
            (Failure::InChunks(end), Unknown),
            (
                Failure::Unframed {
                    announced: false,
                    end,
                },
                Unknown,
            ),
        ]);
    }
    rows.push((
        Failure::Unframed {
            announced: true,
            end: Reset,
        },
        Unknown,
    ));
    rows
}

fn send_request(stage: &Stage, class: Class, id: &str, body: RequestBody) -> ClientResponse {
    let headers = format!("X-Remaining: 8000m\r\n{}", class.headers);
    let request = ClientRequest {
        method: class.method,
        target: class.target,
        id_header: "X-Txn",
        id,
        headers: &headers,
        body,
    };
    exchange(stage.listen, &request).expect("a connection")
}

#[test]
fn each_server_failure_has_its_expected_result_for_each_class_and_body() {
    for (failure, outcome) in failures_and_outcomes() {
        for class in CLASSES {
            for &body in class.bodies {
                let case = format!("{failure:?}, {}, {body:?}", class.target);
                let servers = FailingServer::start_two(PROXY, &[failure]).expect("two ports");
                let stage = Stage::new(&[servers[0].address, servers[1].address]);
                let process = stage.start(stage.runtime_folder());
                process.ready();
                let response = send_request(&stage, class, "r1", body);
                let seen = servers.each_ref().map(FailingServer::observations);
                let runs = seen.iter().flat_map(|seen| &seen.runs).count();
                let violations: Vec<_> = seen.iter().flat_map(|seen| &seen.invalid).collect();
                assert!(violations.is_empty(), "{case}: {violations:?}");
                let expected = match outcome {
                    Outcome::Served => (200, 1),
                    // Earlier requests earn the budget for retries, and there are none.
                    Outcome::NotRun => (503, 0),
                    Outcome::Unknown | Outcome::Rejected => (502, 1),
                };
                assert_eq!((response.status, runs), expected, "{case}: {response:?}");
                assert_eq!(response.ending, Ending::Complete, "{case}");
                if response.status == 200 {
                    assert_eq!(response.body, "answer to r1", "{case}");
                }
                // Remaining bytes of the failed response must not reach a later request.
                for id in ["r2", "r3", "r4"] {
                    let response = send_request(&stage, class, id, body);
                    assert_eq!(
                        (response.status, response.body),
                        (200, format!("answer to {id}")),
                        "{case}"
                    );
                }
            }
        }
    }
}

/// The number of requests that earn the budget for one retry.
const REQUESTS_PER_RETRY: usize = 40;

/// With the budget for one retry, requests that may repeat are sent again, requests that have not been
/// executed are sent to the other server, and no other request is sent again.
#[test]
fn only_requests_that_did_not_run_or_may_repeat_are_retried_on_another_server() {
    for (failure, outcome) in [
        (Failure::NoHead(Reset), Outcome::Unknown),
        (Failure::InBody(Closed), Outcome::Unknown),
        (Failure::BothFramings, Outcome::Unknown),
        (Failure::Status(500), Outcome::Unknown),
        (Failure::Status(503), Outcome::Unknown),
        (Failure::Status(429), Outcome::Rejected),
        (Failure::NotExecutedStatus(503), Outcome::NotRun),
    ] {
        for class in CLASSES {
            for &body in class.bodies {
                let case = format!("{failure:?}, {}, {body:?}", class.target);
                let failures = [vec![Failure::None; REQUESTS_PER_RETRY], vec![failure]].concat();
                let servers = FailingServer::start_two(PROXY, &failures).expect("two ports");
                let stage = Stage::new(&[servers[0].address, servers[1].address]);
                let process = stage.start(stage.runtime_folder());
                process.ready();
                for n in 0..REQUESTS_PER_RETRY {
                    assert_eq!(
                        send_request(&stage, CLASSES[0], &format!("w{n}"), RequestBody::None)
                            .status,
                        200
                    );
                }
                let response = send_request(&stage, class, "r1", body);
                let seen = servers.each_ref().map(FailingServer::observations);
                let runs = seen
                    .iter()
                    .flat_map(|seen| &seen.runs)
                    .filter(|id| *id == "r1")
                    .count();
                // A streamed body is not buffered, so it cannot be sent again.
                let is_held = body != RequestBody::Sized(STREAMED_BODY_BYTES);
                let expected = match outcome {
                    Outcome::NotRun if is_held => (200, 1),
                    Outcome::NotRun => (503, 0),
                    Outcome::Unknown if class.may_repeat && is_held => (200, 2),
                    _ => (502, 1),
                };
                assert_eq!((response.status, runs), expected, "{case}: {response:?}");
            }
        }
    }
}

/// The server closes an idle connection between two requests, or sends an unsolicited response on it.
#[test]
fn idle_connection_closed_by_its_server_fails_no_request() {
    for failure in [
        Failure::AfterResponse(Closed),
        Failure::AfterResponse(Reset),
        Failure::ForeignLater,
    ] {
        for class in CLASSES {
            for &body in class.bodies {
                let case = format!("{failure:?}, {}, {body:?}", class.target);
                let server = FailingServer::start(PROXY, &[failure]).expect("a port");
                let stage = Stage::new(&[server.address]);
                let process = stage.start(stage.runtime_folder());
                process.ready();
                assert_eq!(
                    send_request(&stage, class, "r1", body).body,
                    "answer to r1",
                    "{case}"
                );
                server.release();
                let response = send_request(&stage, class, "r2", body);
                assert_eq!(
                    (response.status, response.body.as_str()),
                    (200, "answer to r2"),
                    "{case}"
                );
                assert_eq!(server.observations().runs, ["r1", "r2"], "{case}");
            }
        }
    }
}

/// A reused connection breaks after a request was sent on it: the proxy cannot know whether the server
/// read the request.
#[test]
fn a_request_on_a_reused_connection_that_breaks_may_have_run() {
    for end in [Closed, Reset] {
        for class in CLASSES {
            let server = FailingServer::start(PROXY, &[Failure::None, Failure::NoHead(end)])
                .expect("a port");
            let stage = Stage::new(&[server.address]);
            let process = stage.start(stage.runtime_folder());
            process.ready();
            let body = class.bodies[0];
            assert_eq!(send_request(&stage, class, "r1", body).status, 200);
            let response = send_request(&stage, class, "r2", body);
            let arrivals = server.observations().arrivals;
            assert_eq!(arrivals[0], ("r1".to_string(), 0));
            assert_eq!(
                arrivals[1],
                ("r2".to_string(), 0),
                "r2 is sent on the reused connection"
            );
            if !class.may_repeat {
                assert_eq!((response.status, arrivals.len()), (502, 2), "{end:?}");
            }
        }
    }
}
