//! Clients that keep using their open connections until the gate closes them, and servers that record
//! what they run.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::record::{Ending, Record, Sent};

/// How long a client waits for an answer, and for a connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
const DEADLINE_MS: u32 = 4_000;
/// The pause of a client whose connection was refused or closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The service times of a server's requests, in turn.
const SERVICE_TIMES_MS: [u64; 6] = [0, 2, 5, 20, 80, 300];

/// A message of HTTP/1.1 with a length.
struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the connection ends or times out before it is complete.
    fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            read_more(stream, buffer)?;
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let length = header(&head, "content-length").map_or(0, |value| value.parse().unwrap_or(0));
        while buffer.len() < end + 4 + length {
            read_more(stream, buffer)?;
        }
        let mut body: Vec<u8> = buffer.drain(..end + 4 + length).collect();
        body.drain(..end + 4);
        Some(Message { head, body })
    }

    fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
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
            record.request_run(id);
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
        let began_at = Instant::now();
        let response = exchange(&mut stream, &mut buffer, &id);
        let ending = response.as_ref().map_or(Ending::NoResponse, |response| {
            let status = response.status();
            // The gate's own answers hold no id.
            let echoes_id = status != 200 || response.body == id.as_bytes();
            Ending::Response { status, echoes_id }
        });
        record.request_ended(Sent {
            id,
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

fn exchange(stream: &mut TcpStream, buffer: &mut Vec<u8>, id: &str) -> Option<Message> {
    let request = format!(
        "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: {id}\r\n\
         X-Ironmast-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody"
    );
    // The gate may answer before it has read the request, so a failure to write is no end.
    let _ = stream.write_all(request.as_bytes());
    Message::read(stream, buffer)
}
