//! Stand-ins written from the protocol page: pay servers with an execution record, and discovery.
//!
//! A pay server starts on a request once its last byte has arrived, runs it for `work` and answers
//! 200 with a body that names the request's `X-Txn`. Every run is written to the
//! [`ExecutionRecord`], the ground truth for "nothing runs twice": it is kept by the stand-in, not
//! told by the proxy.

use std::collections::HashMap;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// For how long after its run a repeat under the same `Idempotency-Key` is dropped: answered, and
/// not run.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(4);

/// One request that ran on a pay server.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// Its `X-Txn`.
    pub txn: String,
    /// Its class: the first part of its path.
    pub class: String,
    /// The pay server's uid.
    pub server: String,
    /// When it began, from the record's start.
    pub at: Duration,
}

/// Every run on every pay server of a stage, in the order they began.
#[derive(Debug)]
pub struct ExecutionRecord {
    start: Mutex<Instant>,
    /// When each `Idempotency-Key` last ran.
    keys: Mutex<HashMap<String, Instant>>,
    runs: Mutex<Vec<Execution>>,
}

impl Default for ExecutionRecord {
    fn default() -> ExecutionRecord {
        ExecutionRecord {
            start: Mutex::new(Instant::now()),
            keys: Mutex::default(),
            runs: Mutex::new(Vec::new()),
        }
    }
}

impl ExecutionRecord {
    /// Times count from `start` on, where the load begins.
    pub fn begin(&self, start: Instant) {
        *self.start.lock().expect("not poisoned") = start;
    }

    /// A copy of all runs so far.
    pub fn runs(&self) -> Vec<Execution> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Runs of each `X-Txn`.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs.lock().expect("not poisoned").iter() {
            *counts.entry(run.txn.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Whether a request under this key is to run: all pay servers drop repeats for
    /// [`DEDUPLICATION_WINDOW`].
    fn runs_now(&self, key: Option<&str>) -> bool {
        let Some(key) = key else { return true };
        let mut keys = self.keys.lock().expect("not poisoned");
        if keys
            .get(key)
            .is_some_and(|at| at.elapsed() < DEDUPLICATION_WINDOW)
        {
            return false;
        }
        keys.insert(key.to_string(), Instant::now());
        true
    }

    fn push(&self, txn: &str, class: String, server: &str) {
        let run = Execution {
            txn: txn.into(),
            class,
            server: server.into(),
            at: self.start.lock().expect("not poisoned").elapsed(),
        };
        self.runs.lock().expect("not poisoned").push(run);
    }
}

/// How a pay server answers, set during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ResponseMode {
    /// Runs each request and answers 200.
    Serve = 0,
    /// Turns each request away with 503 and `X-Turned-Away: 1`; nothing runs.
    TurnAway = 1,
    /// Runs each request and answers 500.
    Fail = 2,
}

/// A stand-in pay server. Dropping it stops taking connections; those open end with their requests.
pub struct PayServer {
    /// Its uid in discovery.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    mood: Arc<AtomicU8>,
    work: Duration,
    works: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

/// The head of the next message and its body, or none at the connection's end.
fn message(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header(&head, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0usize);
    let mut body = vec![0; length.min(1 << 20)];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The value of a header in a head, by its name in lower case.
#[must_use]
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (n, v) = line.split_once(':')?;
        n.eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

impl PayServer {
    /// Starts one that runs each request for `work`.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub fn start(
        uid: &str,
        work: Duration,
        record: Arc<ExecutionRecord>,
    ) -> std::io::Result<PayServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (mood, stop) = (
            Arc::new(AtomicU8::new(ResponseMode::Serve as u8)),
            Arc::new(AtomicBool::new(false)),
        );
        let works = Arc::new(AtomicU64::new(work.as_micros() as u64));
        let (m, s, w, name) = (
            Arc::clone(&mood),
            Arc::clone(&stop),
            Arc::clone(&works),
            uid.to_string(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if s.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (m, w, record, name) = (
                    Arc::clone(&m),
                    Arc::clone(&w),
                    Arc::clone(&record),
                    name.clone(),
                );
                std::thread::spawn(move || serve(stream, &name, &w, &m, &record));
            }
        });
        Ok(PayServer {
            uid: uid.into(),
            address,
            mood,
            work,
            works,
            stop,
        })
    }

    /// From the next request on each takes so many times its work.
    pub fn set_slowdown(&self, factor: f64) {
        self.works.store(
            self.work.mul_f64(factor).as_micros() as u64,
            Ordering::Relaxed,
        );
    }

    /// Changes how it answers from the next request on.
    pub fn set_response_mode(&self, mood: ResponseMode) {
        self.mood.store(mood as u8, Ordering::Relaxed);
    }
}

impl Drop for PayServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the connection ends with this function"
)]
fn serve(
    stream: TcpStream,
    uid: &str,
    work: &AtomicU64,
    mood: &AtomicU8,
    record: &ExecutionRecord,
) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some((head, _body)) = message(&mut reader) {
        let path = head.split(' ').nth(1).unwrap_or("/");
        let class = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or("")
            .to_string();
        let (status, extra, body) = if class == "health" || class == "stats" {
            ("200 OK", "", String::from("inflight=0"))
        } else if let Some(txn) = header(&head, "x-txn") {
            match mood.load(Ordering::Relaxed) {
                1 => (
                    "503 Service Unavailable",
                    "X-Turned-Away: 1\r\n",
                    String::new(),
                ),
                m => {
                    if record.runs_now(header(&head, "idempotency-key")) {
                        record.push(txn, class, uid);
                    }
                    std::thread::sleep(Duration::from_micros(work.load(Ordering::Relaxed)));
                    (
                        if m == 2 {
                            "500 Internal Server Error"
                        } else {
                            "200 OK"
                        },
                        "",
                        format!("ran {txn} on {uid}"),
                    )
                }
            }
        } else {
            ("404 Not Found", "", String::new())
        };
        let text = format!(
            "HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if (&stream).write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// One pay server as discovery lists it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its uid, the same for every proxy.
    pub uid: String,
    /// Its zone.
    pub az: String,
    /// `up` or `draining`.
    pub state: String,
}

/// Stand-in discovery for one proxy: the list and its watch, with endpoints that this proxy is to
/// use (its relays).
///
/// The list is shared by all proxies' discoveries; a change bumps `rev` and every watch sends the
/// whole list anew.
pub struct Discovery {
    /// Where the proxy asks.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
}

/// The list shared by the discoveries of a stage.
#[derive(Debug, Default)]
pub struct Registry {
    state: Mutex<(u64, Vec<Target>)>,
}

impl Registry {
    /// A list at revision 1.
    #[must_use]
    pub fn new(targets: Vec<Target>) -> Arc<Registry> {
        Arc::new(Registry {
            state: Mutex::new((1, targets)),
        })
    }

    /// Sets the state of one pay server (`up`, `draining`); the revision moves on.
    pub fn set_state(&self, uid: &str, state: &str) {
        let mut guard = self.state.lock().expect("not poisoned");
        guard.0 += 1;
        guard
            .1
            .iter_mut()
            .filter(|t| t.uid == uid)
            .for_each(|t| t.state = state.into());
    }

    fn line(&self, endpoints: &HashMap<String, SocketAddr>) -> (u64, String) {
        let guard = self.state.lock().expect("not poisoned");
        let targets: Vec<String> = guard
            .1
            .iter()
            .filter_map(|t| {
                let at = endpoints.get(&t.uid)?;
                Some(format!(
                    r#"{{"uid":"{}","endpoint":"{at}","az":"{}","state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
                    t.uid, t.az, t.state
                ))
            })
            .collect();
        (
            guard.0,
            format!(
                "{{\"rev\":{},\"all\":true,\"targets\":[{}]}}\n",
                guard.0,
                targets.join(",")
            ),
        )
    }
}

impl Discovery {
    /// Serves `registry` with these endpoints for its pay servers.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub fn start(
        registry: Arc<Registry>,
        endpoints: HashMap<String, SocketAddr>,
    ) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let (s, endpoints) = (Arc::clone(&stop), Arc::new(endpoints));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if s.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (registry, endpoints, s) = (
                    Arc::clone(&registry),
                    Arc::clone(&endpoints),
                    Arc::clone(&s),
                );
                std::thread::spawn(move || answer(stream, &registry, &endpoints, &s));
            }
        });
        Ok(Discovery { address, stop })
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the connection ends with this function"
)]
fn answer(
    stream: TcpStream,
    registry: &Registry,
    endpoints: &HashMap<String, SocketAddr>,
    stop: &AtomicBool,
) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some((head, _)) = message(&mut reader) {
        let (mut rev, line) = registry.line(endpoints);
        if !head.contains("stream=1") {
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{line}",
                line.len()
            );
            if (&stream).write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let first = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunk(&line)
        );
        if (&stream).write_all(first.as_bytes()).is_err() {
            return;
        }
        // The watch: the whole list on each change, an empty line every 2 s while nothing changes.
        let mut quiet = std::time::Instant::now();
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(20));
            let (now, line) = registry.line(endpoints);
            let text = if now != rev {
                rev = now;
                chunk(&line)
            } else if quiet.elapsed() >= Duration::from_secs(2) {
                chunk("\n")
            } else {
                continue;
            };
            quiet = std::time::Instant::now();
            if (&stream).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
        return;
    }
}
