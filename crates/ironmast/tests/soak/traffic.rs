//! Clients that keep using their open connections until the gate closes them, and servers that record
//! what they run.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::record::{Ending, Record, Sent};

/// How long a client waits for an answer, and for a connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
pub(crate) const DEADLINE: Duration = Duration::from_secs(4);
/// The pause of a client whose connection was refused or closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The service times of a server's requests, in turn.
const SERVICE_TIMES_MS: [u64; 6] = [0, 2, 5, 20, 80, 300];
/// The lengths of requests' bodies, in turn; the route's limit is 4 MiB.
const BODY_BYTES: [usize; 4] = [4, 600, 12_000, 200_000];
/// One request in so many is sent with a pause in the middle of it.
const SLOW_REQUEST_INTERVAL: usize = 5;
const UPLOAD_PAUSE: Duration = Duration::from_millis(150);
/// The numbers of events of a server's streams, in turn.
const STREAM_EVENTS: [u64; 5] = [1, 4, 8, 16, 32];
/// The pause before each event of a stream.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// All servers fall silent at the same time, once in this interval.
const SILENCE_INTERVAL: Duration = Duration::from_secs(4);
/// How long they are silent: longer than a gate waits before it looks for another server.
const SILENCE: Duration = Duration::from_millis(1_400);

/// What a request asks for, by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A response with a length; the request may run once.
    Single,
    /// A stream that may be resumed at another server.
    ResumableStream,
    /// A stream that may run once.
    Stream,
}

impl Kind {
    const ALL: [Kind; 3] = [Kind::Single, Kind::ResumableStream, Kind::Stream];

    fn path(self) -> &'static str {
        match self {
            Kind::Single => "/x/1",
            Kind::ResumableStream => "/resumable/1",
            Kind::Stream => "/stream/1",
        }
    }

    fn of(head: &str) -> Self {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let found = Kind::ALL.into_iter().find(|kind| kind.path() == path);
        found.unwrap_or(Kind::Single)
    }
}

/// A message of HTTP/1.1, with a length or in chunks.
struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the connection ends or times out before it is complete.
    fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
        let end = read_until(stream, buffer, b"\r\n\r\n")?;
        let head: Vec<u8> = buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let body = if header(&head, "transfer-encoding").is_some() {
            read_chunks(stream, buffer)?
        } else {
            let length = header(&head, "content-length");
            read_bytes(
                stream,
                buffer,
                length.map_or(0, |value| value.parse().unwrap_or(0)),
            )?
        };
        Some(Message { head, body })
    }

    fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads up to and including `end`; returns the position after it.
fn read_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: &[u8]) -> Option<usize> {
    loop {
        if let Some(at) = buffer.windows(end.len()).position(|bytes| bytes == end) {
            return Some(at + end.len());
        }
        read_more(stream, buffer)?;
    }
}

fn read_bytes(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while buffer.len() < length {
        read_more(stream, buffer)?;
    }
    Some(buffer.drain(..length).collect())
}

/// Reads a body in chunks to its end.
fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = read_until(stream, buffer, b"\r\n")?;
        let line: Vec<u8> = buffer.drain(..end).collect();
        let length = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()?;
        let chunk = read_bytes(stream, buffer, length + b"\r\n".len())?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4_096];
    let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
    buffer.extend_from_slice(&chunk[..length]);
    Some(())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Starts a server that runs until the test process exits. Its answers hold the id of their request.
pub(crate) fn start_server(instance: String, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let at = listener.local_addr().expect("an address");
    let instance = Arc::new(instance);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (instance, record) = (Arc::clone(&instance), record.clone());
            thread::spawn(move || serve(stream, &instance, &record));
        }
    });
    at
}

fn serve(mut stream: TcpStream, instance: &str, record: &Record) {
    let mut buffer = Vec::new();
    let mut service_times = SERVICE_TIMES_MS.iter().cycle();
    while let Some(request) = Message::read(&mut stream, &mut buffer) {
        let id = header(&request.head, "x-ironmast-request-id").unwrap_or_default();
        if !request.head.contains(" /healthz") {
            let kind = Kind::of(&request.head);
            record.request_run(id, kind);
            if request.body != request_body(id) {
                let bytes = request.body.len();
                record.violation(format!(
                    "request {id} has reached a server with {bytes} other bytes"
                ));
            }
            if kind != Kind::Single {
                let last = header(&request.head, "last-event-id");
                let last = last.map_or(0, |last| last.parse().expect("a number"));
                if send_events(&mut stream, id, last).is_err() {
                    return;
                }
                continue;
            }
            let time = service_times.next().copied().unwrap_or_default();
            thread::sleep(Duration::from_millis(time));
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: {id}\r\nX-Ironmast-Server-Signature: s.1\r\n\
             X-Ironmast-Instance-Id: {instance}\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends the events of a stream that follow the event `last`. Their number follows from the request's
/// id, so that each server has the same stream.
fn send_events(stream: &mut TcpStream, id: &str, last: u64) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: {id}\r\nX-Ironmast-Server-Signature: s.1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in last + 1..=stream_events(id) {
        thread::sleep(EVENT_GAP);
        wait_while_silent();
        let event = format!("id: {number}\ndata: {id}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Waits until the servers are no longer silent.
fn wait_while_silent() {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    let phase = START.elapsed().as_millis() % SILENCE_INTERVAL.as_millis();
    let left = SILENCE.as_millis().saturating_sub(phase);
    thread::sleep(Duration::from_millis(left as u64));
}

/// The number of events of the stream that the request with this id asks for.
fn stream_events(id: &str) -> u64 {
    let number = u64::from_str_radix(id, 16).unwrap_or(0) as usize;
    STREAM_EVENTS[number % STREAM_EVENTS.len()]
}

/// Whether a body is the one that the servers send for this request.
fn is_complete(kind: Kind, id: &str, body: &[u8]) -> bool {
    if kind == Kind::Single {
        return body == id.as_bytes();
    }
    let events = (1..=stream_events(id)).map(|event| format!("id: {event}\ndata: {id}\n\n"));
    body == events.collect::<String>().as_bytes()
}

/// Clients that send requests until the value is dropped.
pub(crate) struct Clients {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients of the gate at `frontend`. No request of theirs may run twice.
    pub(crate) fn start(count: u64, frontend: SocketAddr, record: &Record) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let (ended, record) = (Arc::clone(&ended), record.clone());
            thread::spawn(move || {
                let mut sequence = number << 32;
                while !ended.load(Ordering::Relaxed) {
                    use_connection(frontend, &mut sequence, &ended, &record);
                    thread::sleep(RECONNECT_DELAY);
                }
            })
        });
        let threads = threads.collect();
        Clients { ended, threads }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("no client panics");
        }
    }
}

/// Opens a connection and sends requests until it ends or the gate announces its end.
fn use_connection(at: SocketAddr, sequence: &mut u64, ended: &AtomicBool, record: &Record) {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, CLIENT_TIMEOUT) else {
        return;
    };
    stream.set_nodelay(true).expect("set");
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).expect("set");
    let mut buffer = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        *sequence += 1;
        let id = format!("{sequence:016x}");
        let kind = Kind::ALL[*sequence as usize % Kind::ALL.len()];
        let began_at = Instant::now();
        let response = exchange(&mut stream, &mut buffer, &id, kind);
        let ending = response.as_ref().map_or(Ending::NoResponse, |response| {
            let status = response.status();
            // The gate's own answers hold no id.
            let echoes_id = status != 200 || is_complete(kind, &id, &response.body);
            Ending::Response { status, echoes_id }
        });
        record.request_ended(Sent {
            id,
            kind,
            began_at,
            ended_at: Instant::now(),
            ending,
        });
        let Some(response) = response else { return };
        let connection = header(&response.head, "connection").unwrap_or_default();
        if connection.eq_ignore_ascii_case("close") {
            return;
        }
    }
}

fn exchange(stream: &mut TcpStream, buffer: &mut Vec<u8>, id: &str, kind: Kind) -> Option<Message> {
    // The gate may answer before it has read the request, so a failure to write is no end.
    let _ = send_request(stream, id, kind);
    Message::read(stream, buffer)
}

/// The body of the request with this id.
fn request_body(id: &str) -> Vec<u8> {
    let number = u64::from_str_radix(id, 16).unwrap_or(0) as usize;
    vec![b'x'; BODY_BYTES[number % BODY_BYTES.len()]]
}

/// Sends a request in two parts, with a body in chunks or with a length, by its id.
fn send_request(stream: &mut TcpStream, id: &str, kind: Kind) -> io::Result<()> {
    let (path, deadline_ms) = (kind.path(), DEADLINE.as_millis());
    let number = u64::from_str_radix(id, 16).unwrap_or(0) as usize;
    let body = request_body(id);
    let is_chunked = number.is_multiple_of(2);
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_string()
    } else {
        format!("Content-Length: {}", body.len())
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: {id}\r\n\
         X-Ironmast-Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    let middle = request.len() + body.len() / 2;
    if is_chunked {
        request.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
        request.extend_from_slice(&body);
        request.extend_from_slice(b"\r\n0\r\n\r\n");
    } else {
        request.extend_from_slice(&body);
    }
    let (first, second) = request.split_at(middle);
    stream.write_all(first)?;
    if number.is_multiple_of(SLOW_REQUEST_INTERVAL) {
        thread::sleep(UPLOAD_PAUSE);
    }
    stream.write_all(second)
}
