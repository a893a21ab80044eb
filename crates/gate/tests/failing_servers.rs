//! Servers that fail at each step of an exchange, for each class of request, method and body: how
//! often the request is executed, what its client receives, and whether the connection to the server
//! is reused.

mod support;

use std::net::SocketAddr;

use ironmast_fault_injection::failing_server::{
    ClientRequest, ClientResponse, Connection, Ending, FailingServer, Failure, GATE, Observations,
    RequestBody, events, exchange,
};
use support::{LOCAL_ZONE, REMOTE_ZONE, TestGate, run_test};

use Connection::{Closed, Kept, Reset};

/// More bytes than a server that rejects a request is assumed to have read.
const LONG_BODY: usize = 300_000;

/// A class of requests, which is determined by their route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Safe,
    Unsafe,
    /// Event streams that are not resumable.
    Once,
    /// Event streams that are resumable.
    Resumable,
}

const CLASSES: [Class; 4] = [Class::Safe, Class::Unsafe, Class::Once, Class::Resumable];

impl Class {
    fn target(self) -> &'static str {
        match self {
            Class::Safe => "/safe/a?q=1",
            Class::Unsafe => "/unsafe/a?q=1",
            Class::Once => "/once/a?q=1",
            Class::Resumable => "/stream/a?q=1",
        }
    }

    fn is_idempotent(self) -> bool {
        matches!(self, Class::Safe | Class::Resumable)
    }

    /// The body of the response to a request of this class.
    fn response_body(self, id: &str) -> String {
        match self {
            Class::Safe | Class::Unsafe => format!("answer to {id}"),
            Class::Once | Class::Resumable => events(id, 1),
        }
    }
}

/// The method of a request, and the length and framing of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Form {
    method: &'static str,
    body: RequestBody,
}

impl Form {
    const fn new(method: &'static str, body: RequestBody) -> Self {
        Form { method, body }
    }
}

/// A `POST` with a short body.
const SHORT_POST: Form = Form::new("POST", RequestBody::Sized(8));

const FORMS: [Form; 5] = [
    Form::new("GET", RequestBody::None),
    SHORT_POST,
    Form::new("PUT", RequestBody::Chunked(3_000)),
    Form::new("PATCH", RequestBody::Sized(LONG_BODY)),
    Form::new("DELETE", RequestBody::None),
];

/// The forms with which a failure is tested: only two if each exchange lasts until the client's
/// deadline.
fn forms_for(effect: Effect) -> &'static [Form] {
    if effect == Effect::TimedOut {
        &FORMS[1..3]
    } else {
        &FORMS
    }
}

/// The effect of a failure of the server that receives the first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// The response is complete.
    Served,
    /// The request has not been executed.
    NotExecuted,
    /// The request may have been executed, and there is no valid response.
    MaybeExecuted,
    /// The request may have been executed, and part of its stream has been relayed to the client.
    Truncated,
    /// The server's error response is relayed to the client.
    ServerError,
    /// The server's response is a client error whose status would imply, without saying so, that
    /// the request has not been executed.
    MisleadingStatus,
    /// No response arrives before the client's deadline.
    TimedOut,
}

/// A failure and its expected consequences.
#[derive(Clone, Copy, Debug)]
struct Case {
    failure: Failure,
    effect: Effect,
    /// `Kept` if the gate may send the next request on the connection.
    connection: Connection,
}

impl Case {
    const fn new(failure: Failure, effect: Effect, connection: Connection) -> Self {
        Case {
            failure,
            effect,
            connection,
        }
    }

    /// True if the next request is expected on the connection of the first, which had this form. The
    /// gate does not reuse a connection whose server rejected a long body, as the server may not have
    /// read that body.
    fn is_connection_reused(self, form: Form) -> bool {
        let is_long = form.body == RequestBody::Sized(LONG_BODY);
        let is_rejection = matches!(
            self.failure,
            Failure::Status(_) | Failure::NotExecutedStatus(_)
        );
        self.connection == Kept && !(is_long && is_rejection)
    }
}

/// Every failure, its effect, and whether the connection may be reused.
fn cases() -> Vec<Case> {
    use Effect::*;
    use Failure::*;
    let mut cases = vec![
        Case::new(None, Served, Kept),
        Case::new(Silence, TimedOut, Closed),
        Case::new(Interim(100), Served, Kept),
        Case::new(Interim(102), Served, Kept),
        Case::new(Interim(103), Served, Kept),
        Case::new(AfterInterim(101, Kept), MaybeExecuted, Closed),
        Case::new(TrailingBytes, Served, Closed),
        Case::new(DuplicateResponse, Served, Closed),
        Case::new(Foreign, Served, Closed),
        Case::new(ForeignFirst, Served, Closed),
        Case::new(ForeignInstead, MaybeExecuted, Closed),
        Case::new(ForeignAndSilence, TimedOut, Closed),
        Case::new(MissingId, MaybeExecuted, Closed),
        Case::new(DuplicateId, MaybeExecuted, Closed),
        Case::new(BothFramings, MaybeExecuted, Closed),
        Case::new(TwoLengths, MaybeExecuted, Closed),
        Case::new(BadChunk, MaybeExecuted, Closed),
        Case::new(ChunksInHttp10, MaybeExecuted, Closed),
        Case::new(BodyWith204, MaybeExecuted, Closed),
        Case::new(Unsigned, MaybeExecuted, Closed),
        Case::new(NotExecutedStatus(503), NotExecuted, Kept),
        Case::new(NotExecutedStatus(429), NotExecuted, Kept),
        Case::new(NotExecutedStatus(421), NotExecuted, Kept),
        Case::new(Failure::Status(421), NotExecuted, Kept),
        Case::new(Failure::Status(500), ServerError, Kept),
        Case::new(Failure::Status(504), ServerError, Kept),
        Case::new(Failure::Status(503), MaybeExecuted, Kept),
        Case::new(Failure::Status(429), MisleadingStatus, Kept),
        Case::new(Failure::Status(408), MisleadingStatus, Kept),
    ];
    for end in [Closed, Reset] {
        cases.extend([
            Case::new(NoHead(end), MaybeExecuted, Closed),
            Case::new(InHead(end), MaybeExecuted, Closed),
            Case::new(InInterim(end), MaybeExecuted, Closed),
            Case::new(AfterInterim(103, end), MaybeExecuted, Closed),
            Case::new(InBody(end), Truncated, Closed),
            Case::new(InChunks(end), Truncated, Closed),
            Case::new(EarlyNotExecuted(503, end), NotExecuted, Closed),
        ]);
    }
    for announced in [false, true] {
        cases.push(Case::new(
            Unframed {
                announced,
                end: Closed,
            },
            Served,
            Closed,
        ));
        cases.push(Case::new(
            Unframed {
                announced,
                end: Reset,
            },
            Truncated,
            Closed,
        ));
    }
    cases
}

/// What the client receives and how often the request is executed, if a second server serves.
#[derive(Debug, PartialEq, Eq)]
struct ExchangeResult {
    status: u16,
    ending: Ending,
    body: String,
    /// Executions at the first and at the second server.
    runs: (usize, usize),
}

/// The part of a truncated stream that is relayed to the client: its complete events.
fn relayed_part(failure: Failure, id: &str) -> String {
    let last_event = match failure {
        Failure::InBody(_) => "id: 1\n",
        _ => "id: 2\n",
    };
    let stream = Class::Once.response_body(id);
    let (before, _) = stream.split_once(last_event).expect("the event is there");
    format!("{before}{last_event}data: {id}\n\n")
}

fn expected_result(failure: Failure, effect: Effect, class: Class, id: &str) -> ExchangeResult {
    let complete = |runs| ExchangeResult {
        status: 200,
        ending: Ending::Complete,
        body: class.response_body(id),
        runs,
    };
    let failed = |status| ExchangeResult {
        status,
        ending: Ending::Complete,
        body: String::new(),
        runs: (1, 0),
    };
    let is_stream = matches!(class, Class::Once | Class::Resumable);
    match effect {
        Effect::Served => complete((1, 0)),
        Effect::NotExecuted => complete((0, 1)),
        Effect::TimedOut => failed(504),
        Effect::Truncated if class == Class::Once => ExchangeResult {
            ending: Ending::Truncated,
            body: relayed_part(failure, id),
            ..complete((1, 0))
        },
        Effect::MaybeExecuted | Effect::Truncated | Effect::ServerError
            if class.is_idempotent() =>
        {
            complete((1, 1))
        }
        Effect::MaybeExecuted | Effect::Truncated | Effect::MisleadingStatus => failed(502),
        Effect::ServerError => {
            let Failure::Status(status) = failure else {
                panic!("{failure:?} is not an error response of the server")
            };
            let body = if is_stream {
                events(id, 1)
            } else {
                class.response_body(id)
            };
            ExchangeResult {
                status,
                ending: Ending::Complete,
                body,
                runs: (1, 0),
            }
        }
    }
}

fn request(class: Class, form: Form, id: &str, effect: Effect) -> ClientRequest<'_> {
    let headers = match effect {
        Effect::TimedOut => "X-Ironmast-Deadline-Ms: 400\r\n",
        _ => "X-Ironmast-Deadline-Ms: 20000\r\n",
    };
    ClientRequest {
        method: form.method,
        target: class.target(),
        id_header: GATE.id_header,
        id,
        headers,
        body: form.body,
    }
}

/// Starts a gate with one server, whose first requests fail in these ways.
async fn start_one_server(failures: &[Failure]) -> (FailingServer, TestGate) {
    let server = FailingServer::start(GATE, failures).expect("a port");
    let gate = TestGate::start_with(&[("i-1", server.address, LOCAL_ZONE)]).await;
    (server, gate)
}

/// Starts a gate with a server whose first requests fail in these ways, and one in another region
/// that serves.
async fn start_two_servers(failures: &[Failure]) -> (FailingServer, FailingServer, TestGate) {
    let first = FailingServer::start(GATE, failures).expect("a port");
    let second = FailingServer::start(GATE, &[]).expect("a port");
    let servers = [
        ("i-1", first.address, LOCAL_ZONE),
        ("i-2", second.address, REMOTE_ZONE),
    ];
    let gate = TestGate::start_with(&servers).await;
    (first, second, gate)
}

/// Runs blocking work of a client on another thread, because the gate runs on this one.
async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    actix_rt::task::spawn_blocking(work)
        .await
        .expect("the client's thread does not panic")
}

async fn first_exchange(
    to: SocketAddr,
    class: Class,
    form: Form,
    effect: Effect,
) -> ClientResponse {
    run_blocking(move || exchange(to, &request(class, form, "r1", effect)).expect("a connection"))
        .await
}

/// Sends one request to a gate whose first server fails, and compares what the client and the
/// servers have observed with what is expected.
async fn assert_expected_result(case: Case, class: Class, form: Form) {
    let Case {
        failure, effect, ..
    } = case;
    let (first, second, gate) = start_two_servers(&[failure]).await;
    let got = first_exchange(gate.frontend, class, form, effect).await;
    let (first, second) = (first.observations(), second.observations());
    let observed = ExchangeResult {
        status: got.status,
        ending: got.ending,
        body: got.body.clone(),
        runs: (first.runs.len(), second.runs.len()),
    };
    let expected = expected_result(failure, effect, class, "r1");
    assert_eq!(observed, expected, "{failure:?}, {class:?}, {form:?}");
    assert!(
        first.invalid.is_empty() && second.invalid.is_empty(),
        "{failure:?}: {first:?} {second:?}"
    );
    let is_signed = got.header("x-ironmast-server-signature").is_some();
    let is_servers_response = got.status == 200 || effect == Effect::ServerError;
    assert_eq!(
        is_signed, is_servers_response,
        "{failure:?}, {class:?}: {}",
        got.head
    );
}

/// Guards against a second execution of a request that is not idempotent, and against a misleading
/// response. After any failure the client receives one complete response, a visibly truncated one, or
/// an error that implies nothing about whether the request was executed.
#[test]
fn each_failure_of_a_server_has_its_expected_result_for_each_class_and_form() {
    for case in cases() {
        run_test(async move {
            for class in CLASSES {
                for &form in forms_for(case.effect) {
                    assert_expected_result(case, class, form).await;
                }
            }
        });
    }
}

/// The numbers of the connections on which a request arrived.
fn connections_of(id: &str, seen: &Observations) -> Vec<usize> {
    let arrivals = seen.arrivals.iter().filter(|(of, _)| of == id);
    arrivals.map(|(_, number)| *number).collect()
}

/// Sends a request whose server fails and then another one, and compares their connections.
async fn assert_expected_reuse(case: Case, class: Class, form: Form) {
    let failure = case.failure;
    let (server, gate) = start_one_server(&[failure]).await;
    first_exchange(gate.frontend, class, form, case.effect).await;
    if failure.ends_connection_after_response() {
        // A request that is written before the server ends the connection may have been executed, and
        // no proxy can foresee that end.
        server.await_end(0);
    }
    let to = gate.frontend;
    let next = request(Class::Unsafe, SHORT_POST, "r2", Effect::Served);
    let got = run_blocking(move || exchange(to, &next).expect("a connection")).await;
    let seen = server.observations();
    let next_connections = connections_of("r2", &seen);
    if got.status == 503 && next_connections.is_empty() {
        // The gate does not use a server for a while after a rejection. Another test covers the
        // connections of rejected requests.
        assert!(
            case.effect == Effect::NotExecuted,
            "{failure:?}, {class:?}, {form:?}: {got:?}"
        );
        return;
    }
    assert_eq!(
        (got.status, got.body.as_str()),
        (200, "answer to r2"),
        "{failure:?}, {class:?}, {form:?}: {seen:?}"
    );
    let is_reused = connections_of("r1", &seen).last() == next_connections.last();
    assert_eq!(
        is_reused,
        case.is_connection_reused(form),
        "{failure:?}, {class:?}, {form:?}"
    );
}

/// Guards against reuse of a connection that may still carry bytes of an earlier exchange. Any other
/// connection must be reused.
#[test]
fn connection_is_reused_only_after_a_valid_response() {
    for case in cases() {
        run_test(async move {
            for class in [Class::Unsafe, Class::Resumable] {
                for &form in forms_for(case.effect) {
                    assert_expected_reuse(case, class, form).await;
                }
            }
        });
    }
}

/// The server closes an idle connection, or sends an unsolicited response on it, before the next
/// request. That request must be served once, on a new connection.
#[test]
fn idle_connection_that_its_server_closed_costs_no_request() {
    for failure in [
        Failure::AfterResponse(Closed),
        Failure::AfterResponse(Reset),
        Failure::ForeignLater,
    ] {
        run_test(async move {
            for class in CLASSES {
                for form in FORMS {
                    let (server, gate) = start_one_server(&[failure]).await;
                    let to = gate.frontend;
                    let (first, next, seen) = run_blocking(move || {
                        let first = exchange(
                            to,
                            &request(Class::Unsafe, SHORT_POST, "r1", Effect::Served),
                        );
                        server.release();
                        let next = exchange(to, &request(class, form, "r2", Effect::Served));
                        (
                            first.expect("a connection"),
                            next.expect("a connection"),
                            server.observations(),
                        )
                    })
                    .await;
                    assert_eq!((first.status, first.body.as_str()), (200, "answer to r1"));
                    let expected = (200, class.response_body("r2"), Ending::Complete);
                    assert_eq!(
                        (next.status, next.body, next.ending),
                        expected,
                        "{failure:?}, {class:?}, {form:?}"
                    );
                    assert_eq!(seen.runs, ["r1", "r2"], "{failure:?}, {class:?}, {form:?}");
                    assert_eq!(
                        seen.arrivals.last().map(|(_, number)| *number),
                        Some(1),
                        "{failure:?}, {class:?}, {form:?}: the second request must arrive on a new connection"
                    );
                }
            }
        });
    }
}

/// The server ends a reused connection after a request was written to it. As the gate can't know
/// whether the server has executed the request, it may retry only an idempotent one.
#[test]
fn request_on_a_reused_connection_that_breaks_may_have_been_executed() {
    for end in [Closed, Reset] {
        run_test(async move {
            for class in CLASSES {
                for form in FORMS {
                    let (first, second, gate) =
                        start_two_servers(&[Failure::None, Failure::NoHead(end)]).await;
                    let to = gate.frontend;
                    let next = run_blocking(move || {
                        let warm = exchange(
                            to,
                            &request(Class::Unsafe, SHORT_POST, "r1", Effect::Served),
                        );
                        assert_eq!(warm.expect("a connection").body, "answer to r1");
                        exchange(to, &request(class, form, "r2", Effect::Served))
                            .expect("a connection")
                    })
                    .await;
                    let arrivals = first.observations().arrivals;
                    assert_eq!(
                        arrivals,
                        [("r1".to_string(), 0), ("r2".to_string(), 0)],
                        "{end:?}, {class:?}, {form:?}: both requests must arrive on the same connection"
                    );
                    let expected = if class.is_idempotent() {
                        (200, 1)
                    } else {
                        (502, 0)
                    };
                    assert_eq!(
                        (next.status, second.observations().runs.len()),
                        expected,
                        "{end:?}, {class:?}, {form:?}"
                    );
                }
            }
        });
    }
}

/// A server may respond before it has read a long body, and read the body later. If the gate reused
/// the connection without having sent all of the body, the server would take the next request for
/// the rest of it.
#[test]
fn request_after_an_early_response_is_not_read_as_the_rest_of_a_body() {
    for failure in [
        Failure::EarlyNotExecuted(503, Kept),
        Failure::EarlyNotExecuted(429, Kept),
        Failure::EarlyNotExecuted(421, Kept),
        Failure::EarlyError(Kept),
    ] {
        run_test(async move {
            for body in [
                RequestBody::Sized(8),
                RequestBody::Sized(LONG_BODY),
                RequestBody::Sized(4_000_000),
            ] {
                for class in CLASSES {
                    let (first, second, gate) = start_two_servers(&[failure]).await;
                    let to = gate.frontend;
                    for id in ["r1", "r2", "r3"] {
                        let got = run_blocking(move || {
                            exchange(
                                to,
                                &request(class, Form::new("POST", body), id, Effect::Served),
                            )
                            .expect("a connection")
                        })
                        .await;
                        let early = id == "r1" && matches!(failure, Failure::EarlyError(_));
                        let expected = if early && !class.is_idempotent() {
                            500
                        } else {
                            200
                        };
                        assert_eq!(
                            (got.status, got.ending),
                            (expected, Ending::Complete),
                            "{failure:?}, {class:?}, {id}"
                        );
                        assert_eq!(got.body, class.response_body(id));
                    }
                    let (first, second) = (first.observations(), second.observations());
                    assert!(
                        first.invalid.is_empty() && second.invalid.is_empty(),
                        "{failure:?}: {first:?} {second:?}"
                    );
                    for id in ["r1", "r2", "r3"] {
                        let runs = first
                            .runs
                            .iter()
                            .chain(&second.runs)
                            .filter(|of| *of == id)
                            .count();
                        let max_runs = if class.is_idempotent() { 2 } else { 1 };
                        assert!(
                            runs <= max_runs,
                            "{failure:?}, {class:?}: {first:?} {second:?}"
                        );
                    }
                }
            }
        });
    }
}

/// A response to `HEAD` has no body, whatever its head says of one.
#[test]
fn response_to_head_is_complete_with_its_head() {
    run_test(async {
        for failure in [
            Failure::None,
            Failure::InBody(Closed),
            Failure::InChunks(Closed),
            Failure::Unframed {
                announced: false,
                end: Closed,
            },
        ] {
            for class in [Class::Unsafe, Class::Once] {
                // Each request has a gate and a server of its own: the server may close the connection
                // of the previous request while the next one is written.
                let (_server, gate) = start_one_server(&[failure]).await;
                let got = first_exchange(
                    gate.frontend,
                    class,
                    Form::new("HEAD", RequestBody::None),
                    Effect::Served,
                )
                .await;
                assert_eq!(
                    (got.status, got.ending),
                    (200, Ending::Complete),
                    "{failure:?}: {got:?}"
                );
            }
        }
    });
}
