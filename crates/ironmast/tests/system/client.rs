//! An HTTP client that acts for operators, servers and clients.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;

/// The time within which a complete response must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A coordinator responds with 503 or 504 if the replicas' disks did not decide a change within 0.9 s,
/// and the change may then be repeated. Such a response that arrives sooner than this has another
/// cause.
const UNDECIDED_AFTER: Duration = Duration::from_millis(800);

/// How long a call is repeated while its change is not decided in time. While compilers wrote to the
/// same disk, syncs were seen to stall for several seconds.
const DECISION_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
pub(crate) struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends one request on a connection of its own; `None` if no complete response arrives in time.
pub(crate) fn call(
    method: Method,
    at: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
        let mut request = client.request(method, format!("http://{at}{path}"));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(body.to_string()).await.ok()?;
        let body = response.body().await.ok()?.to_vec();
        let status = response.status().as_u16();
        Some(Response { status, body })
    })
}

/// Sends a request without extra headers; returns the status of the response.
pub(crate) fn status(method: Method, at: SocketAddr, path: &str, body: &str) -> Option<u16> {
    Some(call(method, at, path, &[], body)?.status)
}

/// Sends a configuration that replaces version `base`; returns the status.
pub(crate) fn put(at: SocketAddr, base: &str, body: &str) -> Option<u16> {
    let headers = [("If-Match", base)];
    Some(call(Method::PUT, at, "/api/config", &headers, body)?.status)
}

/// Reads the configuration from a coordinator; `None` unless the status is 200.
pub(crate) fn get(at: SocketAddr) -> Option<String> {
    let response = call(Method::GET, at, "/api/config", &[], "")?;
    (response.status == 200).then(|| String::from_utf8(response.body).ok())?
}

/// Builds a configuration of this generation with one route.
pub(crate) fn configuration(generation: u64) -> String {
    format!(
        "{{\"generation\": {generation}, \"routes\":[{{\"name\":\"r\",\"hostname\":\"a.example\",\
         \"path_prefix\":\"/x/\",\"type\":\"safe\",\"timeout_ms\":5000,\"target_latency_ms\":400,\
         \"backend\":\"app\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"app\",\
         \"health_check\":\"/healthz\",\"max_connections\":100}}]}}"
    )
}

/// Makes a call and repeats it while its change is not decided in time, as happens on a busy machine;
/// returns the status of the last call. Only for calls that may be repeated.
pub(crate) fn decided(call: impl Fn() -> Option<u16>) -> Option<u16> {
    let first = Instant::now();
    loop {
        let start = Instant::now();
        let status = call();
        let is_transient = matches!(status, None | Some(503 | 504));
        if !is_transient || start.elapsed() < UNDECIDED_AFTER || first.elapsed() > DECISION_TIMEOUT
        {
            return status;
        }
    }
}
