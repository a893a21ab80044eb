//! Property tests that each response reaches the request for which it was made. Clients with
//! persistent connections send requests one after another or pipelined; the gate forwards them over
//! a few connections to servers that delay responses, break connections and send unsolicited
//! responses, in random interleavings. Bodies are derived from the request's id, so that a response
//! that reaches another request is detected.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;

use ironmast_fault_injection::failing_server::{
    Connection, Failure, GATE, RequestHead, Step, body_of, events, steps,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{LOCAL_ZONE, REMOTE_ZONE, TestGate, run_test};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// The number of plans that are run with one seed.
const PLANS: u32 = 400;
/// The seed unless [`SEED_VARIABLE`] sets another one; CI uses it.
const DEFAULT_SEED: u8 = 47;
/// The number of seeds in the long run of 10,000 plans.
const LONG_RUN_SEEDS: u8 = 25;
/// The environment variable that sets another seed.
const SEED_VARIABLE: &str = "ANSWERS_SEED";

/// How servers handle a request.
#[derive(Clone, Debug)]
struct ServerBehavior {
    /// The failure at each arrival of the request; later arrivals are served.
    failures: Vec<Failure>,
    /// How often other tasks run before each chunk of the response.
    yields: usize,
    /// The number of chunks in which the response is written.
    chunks: usize,
}

/// A request of a client, and how servers handle it.
#[derive(Clone, Debug)]
struct RequestPlan {
    route: &'static str,
    /// The length of the body in bytes.
    body: usize,
    behavior: ServerBehavior,
}

/// The requests of a client.
#[derive(Clone, Debug)]
struct ClientPlan {
    /// Whether all requests are sent before the first response is read.
    pipelined: bool,
    requests: Vec<RequestPlan>,
}

fn failure() -> impl Strategy<Value = Failure> {
    use Connection::{Closed, Reset};
    prop_oneof![
        6 => Just(Failure::None),
        1 => prop::sample::select(vec![
            Failure::Interim(103),
            Failure::NoHead(Closed),
            Failure::NoHead(Reset),
            Failure::InHead(Closed),
            Failure::InBody(Reset),
            Failure::InChunks(Closed),
            Failure::TrailingBytes,
            Failure::DuplicateResponse,
            Failure::Foreign,
            Failure::ForeignFirst,
            Failure::ForeignInstead,
            Failure::DuplicateId,
            Failure::TwoLengths,
            Failure::EarlyNotExecuted(503, Connection::Kept),
            Failure::Unframed { announced: false, end: Closed },
            Failure::Unframed { announced: true, end: Reset },
            Failure::NotExecutedStatus(429),
            Failure::Status(500),
        ]),
    ]
}

fn request_plan() -> impl Strategy<Value = RequestPlan> {
    let route = prop::sample::select(vec!["safe", "unsafe", "stream", "once"]);
    let body = prop_oneof![Just(0_usize), 1_usize..64, 20_000_usize..60_000];
    let behavior = (
        prop::collection::vec(failure(), 0..3),
        0_usize..12,
        1_usize..4,
    );
    (route, body, behavior).prop_map(|(route, body, (failures, yields, chunks))| {
        let behavior = ServerBehavior {
            failures,
            yields,
            chunks,
        };
        RequestPlan {
            route,
            body,
            behavior,
        }
    })
}

fn plan() -> impl Strategy<Value = Vec<ClientPlan>> {
    let client = (any::<bool>(), prop::collection::vec(request_plan(), 1..5)).prop_map(
        |(pipelined, requests)| ClientPlan {
            pipelined,
            requests,
        },
    );
    prop::collection::vec(client, 1..5)
}

/// The id of a request.
fn id_of(client: usize, request: usize) -> String {
    format!("c{client}-r{request}")
}

/// A violation of the properties under test, with the id of the request.
#[derive(Clone, Debug)]
enum Violation {
    /// A server received a request that no client sent.
    UnknownRequest(String),
    /// A server received a body that was not made for the request.
    ForeignBody(String),
    /// A request that is not idempotent was executed more than once.
    ExecutedTwice(String),
    /// A client received a response that was not made for its request, or that the gate must not send.
    ForeignResponse(String, Response),
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::UnknownRequest(id) => write!(formatter, "no client sent {id}"),
            Violation::ForeignBody(id) => write!(formatter, "{id} has the body of another request"),
            Violation::ExecutedTwice(id) => write!(formatter, "{id} was executed twice"),
            Violation::ForeignResponse(id, response) => {
                write!(formatter, "{id} received the response {response:?}")
            }
        }
    }
}

/// A complete response, as its client received it.
#[derive(Clone, Debug)]
struct Response {
    status: u16,
    /// In lower case.
    head: String,
    body: String,
}

/// How the servers of a plan handle each request, by id, and what they have observed.
#[derive(Default)]
struct ServerState {
    behaviors: BTreeMap<String, ServerBehavior>,
    /// How often each request has arrived.
    arrivals: BTreeMap<String, usize>,
    /// How often each request was executed.
    executions: BTreeMap<String, usize>,
    violations: Vec<Violation>,
}

type SharedState = Rc<RefCell<ServerState>>;

async fn serve(listener: TcpListener, state: SharedState) {
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(serve_connection(stream, Rc::clone(&state)));
    }
}

/// Serves the requests of a connection, each with its planned failure; requests without an id are
/// health checks.
async fn serve_connection(mut stream: TcpStream, state: SharedState) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(head) = read_until(&mut stream, &mut buffer, b"\r\n\r\n").await {
        let request = RequestHead::parse(&head, GATE.id_header);
        let Some(id) = request.id.clone() else {
            let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(healthy).await.is_err() {
                return;
            }
            continue;
        };
        let (failure, behavior) = {
            let mut state = state.borrow_mut();
            let arrival = state.arrivals.entry(id.clone()).or_default();
            *arrival += 1;
            let arrival = *arrival;
            let Some(behavior) = state.behaviors.get(&id).cloned() else {
                state.violations.push(Violation::UnknownRequest(id));
                return;
            };
            (behavior.failures.get(arrival - 1).copied(), behavior)
        };
        for step in steps(failure, &request, &GATE) {
            if !perform(step, &mut stream, &mut buffer, &request, &behavior, &state).await {
                return;
            }
        }
    }
}

/// Performs one step of a response; returns false if the connection has ended.
async fn perform(
    step: Step,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    request: &RequestHead,
    behavior: &ServerBehavior,
    state: &SharedState,
) -> bool {
    let id = request.id.clone().unwrap_or_default();
    match step {
        Step::ReadBody { runs } => {
            let length = request.length.unwrap_or(0);
            while buffer.len() < length {
                if !read_more(stream, buffer).await {
                    return false;
                }
            }
            let body: Vec<u8> = buffer.drain(..length).collect();
            let mut state = state.borrow_mut();
            if body != body_of(&id, length) {
                state.violations.push(Violation::ForeignBody(id.clone()));
            }
            if runs {
                *state.executions.entry(id).or_default() += 1;
            }
            true
        }
        Step::Write(bytes) => {
            let piece = bytes.len().div_ceil(behavior.chunks).max(1);
            for part in bytes.chunks(piece) {
                for _ in 0..behavior.yields {
                    tokio::task::yield_now().await;
                }
                if stream.write_all(part).await.is_err() {
                    return false;
                }
            }
            true
        }
        Step::Close => {
            let _ = stream.shutdown().await;
            while read_more(stream, &mut Vec::new()).await {}
            false
        }
        Step::Reset => {
            let _ = stream.set_zero_linger();
            false
        }
        Step::Stall | Step::Drop | Step::AwaitRelease | Step::ConfirmRelease => false,
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    stream.read_buf(buffer).await.is_ok_and(|bytes| bytes > 0)
}

async fn read_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: &[u8]) -> Option<String> {
    loop {
        if let Some(at) = buffer.windows(end.len()).position(|part| part == end) {
            let head: Vec<u8> = buffer.drain(..at + end.len()).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        if !read_more(stream, buffer).await {
            return None;
        }
    }
}

fn request_bytes(planned: &RequestPlan, id: &str) -> Vec<u8> {
    let head = format!(
        "POST /{}/a HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\nX-Ironmast-Deadline-Ms: 20000\r\nContent-Length: {}\r\n\r\n",
        planned.route, GATE.id_header, planned.body
    );
    [head.into_bytes(), body_of(id, planned.body)].concat()
}

/// Reads a complete response; `None` if it is truncated, malformed or never begins.
async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Response> {
    let head = read_until(stream, buffer, b"\r\n\r\n")
        .await?
        .to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let body = if let Some(length) = length {
        read_exactly(stream, buffer, length.parse().ok()?).await?
    } else if head.contains("transfer-encoding: chunked") {
        read_chunks(stream, buffer).await?
    } else {
        Vec::new()
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Response { status, head, body })
}

async fn read_exactly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> Option<Vec<u8>> {
    while buffer.len() < length {
        if !read_more(stream, buffer).await {
            return None;
        }
    }
    Some(buffer.drain(..length).collect())
}

/// Reads a chunked body, and returns it without its framing.
async fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_until(stream, buffer, b"\r\n").await?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = read_exactly(stream, buffer, size + 2).await?;
        chunk.truncate(size);
        body.extend(chunk);
        if size == 0 {
            return Some(body);
        }
    }
}

/// True if the gate may answer this request with this response: the server's response to it, or an
/// empty one of the gate's own.
fn is_permitted(planned: &RequestPlan, id: &str, response: &Response) -> bool {
    let own_body = match planned.route {
        "stream" | "once" => events(id, 1),
        _ => format!("answer to {id}"),
    };
    let named_id = response
        .head
        .lines()
        .find_map(|line| line.strip_prefix("x-ironmast-request-id: "));
    match response.status {
        200 | 500 => response.body == own_body && named_id == Some(id),
        502..=504 | 429 => response.body.is_empty() && named_id.is_none(),
        _ => false,
    }
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the gate accepts")
}

/// Sends the requests of one client over one connection, and reconnects if that ends. Returns the
/// number of requests that were served.
///
/// # Errors
/// A response that the client must not receive.
async fn run_client(
    address: SocketAddr,
    client: usize,
    planned: ClientPlan,
) -> Result<usize, Violation> {
    let mut served = 0;
    let (mut stream, mut buffer) = (connect(address).await, Vec::new());
    if planned.pipelined {
        let requests = planned.requests.iter().enumerate();
        let bytes: Vec<u8> = requests
            .flat_map(|(number, request)| request_bytes(request, &id_of(client, number)))
            .collect();
        // The gate may close the connection before it has read all of the requests.
        let _ = stream.write_all(&bytes).await;
    }
    for (number, request) in planned.requests.iter().enumerate() {
        let id = id_of(client, number);
        if !planned.pipelined {
            let written = stream.write_all(&request_bytes(request, &id)).await;
            if written.is_err() {
                return Ok(served);
            }
        }
        match read_response(&mut stream, &mut buffer).await {
            Some(response) if is_permitted(request, &id, &response) => {
                served += usize::from(response.status == 200);
            }
            Some(response) => return Err(Violation::ForeignResponse(id, response)),
            None if planned.pipelined => return Ok(served),
            None => (stream, buffer) = (connect(address).await, Vec::new()),
        }
    }
    Ok(served)
}

/// Starts the servers of a plan: two in the gate's region and one in another.
async fn start_servers(state: &SharedState) -> Vec<(&'static str, SocketAddr, &'static str)> {
    let mut servers = Vec::new();
    for (id, zone) in [
        ("i-1", LOCAL_ZONE),
        ("i-2", LOCAL_ZONE),
        ("i-3", REMOTE_ZONE),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        servers.push((id, listener.local_addr().expect("bound"), zone));
        actix_rt::spawn(serve(listener, Rc::clone(state)));
    }
    servers
}

/// All requests of a plan, with their ids.
fn requests_of(clients: &[ClientPlan]) -> impl Iterator<Item = (String, &RequestPlan)> {
    clients.iter().enumerate().flat_map(|(client, planned)| {
        let requests = planned.requests.iter().enumerate();
        requests.map(move |(number, request)| (id_of(client, number), request))
    })
}

/// Finds a request of a plan that was executed more than once although it is not idempotent.
fn find_executed_twice(clients: &[ClientPlan], state: &ServerState) -> Option<Violation> {
    let is_once = |request: &RequestPlan| matches!(request.route, "unsafe" | "once");
    let is_repeated = |id: &String| state.executions.get(id).is_some_and(|&runs| runs > 1);
    requests_of(clients)
        .find(|(id, request)| is_once(request) && is_repeated(id))
        .map(|(id, _)| Violation::ExecutedTwice(id))
}

/// Runs the servers, the gate and the clients of a plan; returns the number of requests that were
/// served.
async fn run_plan_on_runtime(clients: Vec<ClientPlan>) -> Result<usize, Violation> {
    let state = SharedState::default();
    let behaviors = requests_of(&clients).map(|(id, request)| (id, request.behavior.clone()));
    state.borrow_mut().behaviors.extend(behaviors);
    let servers = start_servers(&state).await;
    let gate = TestGate::start_with(&servers).await;
    let client_runs = clients.iter().cloned().enumerate();
    let client_runs =
        client_runs.map(|(client, planned)| run_client(gate.frontend, client, planned));
    let served: Result<Vec<usize>, Violation> = futures_util::future::join_all(client_runs)
        .await
        .into_iter()
        .collect();
    let state = state.borrow();
    if let Some(violation) = find_executed_twice(&clients, &state) {
        return Err(violation);
    }
    if let Some(violation) = state.violations.first() {
        return Err(violation.clone());
    }
    served.map(|served| served.iter().sum())
}

/// Runs a plan on a runtime of its own; returns the number of requests that were served.
///
/// # Errors
/// The first violation that was found.
fn run_plan(clients: Vec<ClientPlan>) -> Result<usize, Violation> {
    let result = Rc::new(RefCell::new(Ok(0)));
    let written_result = Rc::clone(&result);
    run_test(async move {
        let plan_result = run_plan_on_runtime(clients).await;
        *written_result.borrow_mut() = plan_result;
    });
    result.borrow().clone()
}

/// Runs [`PLANS`] random plans; a failing plan is shrunk and printed.
fn run_plans(seed: u8) {
    let config = Config {
        cases: PLANS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let (plans, served_requests) = (Cell::new(0), Cell::new(0));
    TestRunner::new_with_rng(config, rng)
        .run(&plan(), |clients| {
            let fail = |violation: Violation| TestCaseError::fail(violation.to_string());
            let served = run_plan(clients).map_err(fail)?;
            plans.set(plans.get() + 1);
            served_requests.set(served_requests.get() + served);
            Ok(())
        })
        .unwrap_or_else(|failed| panic!("seed {seed}: {failed}"));
    let (plans, served) = (plans.get(), served_requests.get());
    println!("seed {seed}: {plans} plans, {served} requests served, each with its own response");
    assert!(
        plans >= PLANS && served > PLANS as usize,
        "seed {seed}: only {served} requests were served in {plans} plans, too few to test anything"
    );
}

#[test]
fn each_answer_reaches_the_request_that_it_was_made_for() {
    let seed = std::env::var(SEED_VARIABLE)
        .ok()
        .and_then(|seed| seed.parse().ok());
    run_plans(seed.unwrap_or(DEFAULT_SEED));
}

/// Runs 10,000 plans with 25 seeds, each seed in a process of its own, because gates that were
/// dropped leave open file descriptors behind.
#[test]
#[ignore = "takes minutes"]
fn each_answer_reaches_the_request_that_it_was_made_for_in_ten_thousand_plans() {
    let name = "each_answer_reaches_the_request_that_it_was_made_for";
    for seed in 1..=LONG_RUN_SEEDS {
        let mut command =
            Command::new(std::env::current_exe().expect("the path of this test binary"));
        let ended = command
            .args(["--exact", name, "--nocapture"])
            .env(SEED_VARIABLE, seed.to_string())
            .status();
        assert!(
            ended.expect("the test binary starts").success(),
            "seed {seed}"
        );
    }
}
