//! Long request and response bodies, slow peers and all HTTP/1.1 message framings, tested against the
//! running program over sockets.

mod common;
mod stage;

use std::io::{BufRead as _, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use common::{TIMEOUT, uninterrupted, wait_log};
use ironmast_fault_injection::deployment::reserve_port;
use rustix::process::Signal;
use stage::{Process, Stage, listen, read_head, with_read_timeout};

/// The longest body that a deployment's agreement allows, in bytes.
const LONGEST_BODY: usize = 32 << 20;
/// The program buffers request bodies up to this many bytes completely.
const BUFFERED_BODY_LIMIT: usize = 64 * 1024;
/// Limit for the program's peak memory, in kB, while eight bodies of the longest size pass in each
/// direction. Buffered completely, they would take 512 MB.
const PEAK_MEMORY_LIMIT_KB: u64 = 32 * 1024;

/// The byte at an offset of a generated body. It depends on the seed and the offset, so that mixed-up
/// or misplaced data is detected.
fn pattern_byte(seed: usize, at: usize) -> u8 {
    ((at / 4096 + at) as u8)
        .wrapping_mul(31)
        .wrapping_add(seed as u8)
}

fn bytes(seed: usize, from: usize, count: usize) -> Vec<u8> {
    (from..from + count)
        .map(|at| pattern_byte(seed, at))
        .collect()
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        line.split_once(": ")
            .filter(|l| l.0.eq_ignore_ascii_case(name))
            .map(|l| l.1.trim())
    })
}

/// Reads a message's body in either framing; `None` if the connection ends within it.
fn body(from: &mut BufReader<TcpStream>, head: &str) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = header(head, "content-length") {
        body.resize(length.parse().expect("content-length is a number"), 0);
        from.read_exact(&mut body).ok()?;
    } else if header(head, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|&n| n > 0)?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            from.read_exact(&mut chunk).ok()?;
            body.extend(chunk);
            let mut end = String::new();
            while from.read_line(&mut end).ok().filter(|&n| n > 0)? > 2 {}
            if size == 0 {
                return Some(body);
            }
        }
    }
    Some(body)
}

/// Starts a pay server whose responses `answer` writes, given the head and the body of each request
/// (`None` for a truncated body); the connection is closed if it returns false. Load probes are
/// answered here and do not reach `answer`.
fn server(
    answer: impl Fn(&TcpStream, &str, Option<Vec<u8>>) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some(head) = read_head(&mut reader) {
            let body = body(&mut reader, &head);
            if head.starts_with("GET /stats") {
                let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
                continue;
            }
            if !answer(&stream, &head, body) {
                return;
            }
        }
    })
}

/// Starts a pay server that never answers, and reports for each body whether it arrived completely.
fn server_reporting_body_ends() -> (SocketAddr, Receiver<bool>) {
    let (told, ended) = channel();
    let told = std::sync::Mutex::new(told);
    let waits = server(move |_, _, body| {
        told.lock()
            .expect("free")
            .send(body.is_some())
            .expect("heard");
        false
    });
    (waits, ended)
}

fn connect(stage: &Stage) -> BufReader<TcpStream> {
    BufReader::new(with_read_timeout(
        TcpStream::connect(stage.listen).expect("it listens"),
    ))
}

fn started(servers: &[SocketAddr]) -> (Stage, Process) {
    let stage = Stage::new(servers);
    let process = stage.start(stage.runtime_folder());
    process.ready();
    (stage, process)
}

/// A memory figure of the program from `/proc/PID/status`, in kB.
fn memory_kb(process: &Process, which: &str) -> u64 {
    let path = format!("/proc/{}/status", process.child.0.id());
    let text = std::fs::read_to_string(path).expect("the program runs");
    let line = text
        .lines()
        .find(|l| l.starts_with(which))
        .expect("the status file has this line");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("a number")
}

#[test]
fn eight_bodies_and_answers_of_32_mb_pass_within_a_bound_of_memory() {
    let echo = server(|mut stream, head, body| {
        let Some(body) = body else { return false };
        let chunked = header(head, "x-txn").is_some_and(|txn| txn.ends_with('1'));
        let framing = if chunked {
            "transfer-encoding: chunked".into()
        } else {
            format!("content-length: {}", body.len())
        };
        write!(stream, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").expect("written");
        for part in body.chunks(50_000) {
            if chunked {
                write!(stream, "{:x}\r\n", part.len()).expect("written");
            }
            stream.write_all(part).expect("written");
            if chunked {
                stream.write_all(b"\r\n").expect("written");
            }
        }
        if chunked {
            stream.write_all(b"0\r\n\r\n").expect("written");
        }
        true
    });
    let (stage, mut process) = started(&[echo]);
    std::thread::scope(|scope| {
        for client in 0..8 {
            let stage = &stage;
            scope.spawn(move || {
                let mut stream = connect(stage);
                let head = format!(
                    "POST /deposit-order HTTP/1.1\r\nHost: a\r\nX-Txn: t{client}\r\nContent-Length: {LONGEST_BODY}\r\n\r\n"
                );
                stream.get_mut().write_all(head.as_bytes()).expect("written");
                let part = 1 << 18;
                for at in (0..LONGEST_BODY).step_by(part) {
                    stream.get_mut().write_all(&bytes(client, at, part)).expect("written");
                }
                let head = stage::read_head(&mut stream).expect("an answer");
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                let body = body(&mut stream, &head).expect("whole");
                assert!(body == bytes(client, 0, LONGEST_BODY), "client {client}: the body was changed, {} bytes", body.len());
            });
        }
    });
    let peak = memory_kb(&process, "VmHWM");
    println!("peak {peak} kB");
    assert!(peak < PEAK_MEMORY_LIMIT_KB, "{peak} kB");
    process.child.signal(Signal::TERM);
    wait_log(&mut process.log, "shutting down");
    assert!(process.child.0.wait().expect("it ends").success());
}

/// A client that stops reading applies back pressure to its pay server instead of filling the
/// program's memory. Other requests are served meanwhile.
#[test]
fn a_client_that_stops_reading_blocks_its_pay_server() {
    let sent = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&sent);
    let long = server(move |mut stream, head, _| {
        if head.starts_with("GET /balance") && header(head, "x-txn") != Some("long") {
            return stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                .is_ok();
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {LONGEST_BODY}\r\n\r\n"
        )
        .expect("written");
        for at in (0..LONGEST_BODY).step_by(16 * 1024) {
            if stream.write_all(&bytes(7, at, 16 * 1024)).is_err() {
                return false;
            }
            count.fetch_add(16 * 1024, Ordering::SeqCst);
        }
        true
    });
    let (stage, process) = started(&[long]);
    let mut stopped = connect(&stage);
    stopped
        .get_mut()
        .write_all(b"GET /balance HTTP/1.1\r\nHost: a\r\nX-Txn: long\r\n\r\n")
        .expect("written");
    let head = read_head(&mut stopped).expect("a head at once");
    // The pay server stops sending once the kernel's socket buffers are full.
    let mut before = u64::MAX;
    while sent.load(Ordering::SeqCst) != before {
        before = sent.load(Ordering::SeqCst);
        (0..200).for_each(|n| {
            assert!(
                stage
                    .request(&format!("{before}-{n}"))
                    .starts_with("HTTP/1.1 200")
            );
        });
    }
    assert!(
        before < LONGEST_BODY as u64,
        "the pay server was not blocked: it sent {before} bytes"
    );
    assert!(memory_kb(&process, "VmHWM") < PEAK_MEMORY_LIMIT_KB);
    let body =
        body(&mut stopped, &head).expect("the rest of the body arrives once the client reads");
    assert!(body == bytes(7, 0, LONGEST_BODY));
}

#[test]
fn a_long_response_is_forwarded_from_its_first_bytes_and_its_truncation_is_visible() {
    let (go, wait): (Sender<()>, Receiver<()>) = channel();
    let wait = std::sync::Mutex::new(wait);
    let slow = server(move |mut stream, head, _| {
        let chunked = header(head, "x-txn") == Some("chunked");
        let framing = if chunked {
            "transfer-encoding: chunked"
        } else {
            "content-length: 200000"
        };
        write!(stream, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").expect("written");
        let first = if chunked {
            b"186a0\r\n".to_vec()
        } else {
            Vec::new()
        };
        stream
            .write_all(&[first, vec![b'x'; 1_000]].concat())
            .expect("written");
        wait.lock()
            .expect("free")
            .recv()
            .expect("the test lets the server continue");
        stream.write_all(&vec![b'x'; 50_000]).expect("written");
        false
    });
    let (stage, _process) = started(&[slow]);
    for txn in ["sized", "chunked"] {
        let mut stream = connect(&stage);
        write!(
            stream.get_mut(),
            "GET /balance HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\n\r\n"
        )
        .expect("written");
        let head = read_head(&mut stream).expect("a head at once");
        assert!(!stream.fill_buf().expect("first bytes").is_empty());
        go.send(()).expect("the server waits");
        assert!(
            body(&mut stream, &head).is_none(),
            "{txn}: the truncated response looks complete"
        );
    }
}

/// A request whose body has begun to stream to a pay server is not sent again. Only a request that is
/// still buffered completely may be retried.
#[test]
fn a_request_whose_body_is_no_longer_buffered_is_not_retried() {
    let tries = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&tries);
    let breaks = listen(move |mut stream| {
        let mut part = vec![0; 128 * 1024];
        let mut come = 0;
        while come < 300_000 {
            match uninterrupted(|| stream.read(&mut part)) {
                Ok(bytes) if bytes > 0 => come += bytes,
                _ => return,
            }
        }
        count.fetch_add(1, Ordering::SeqCst);
    });
    let (stage, _process) = started(&[breaks, breaks]);
    for (class, key) in [
        ("deposit-order", ""),
        ("timesheet-post", "Idempotency-Key: k\r\n"),
    ] {
        let before = tries.load(Ordering::SeqCst);
        let mut stream = connect(&stage);
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Txn: {class}\r\n{key}Content-Length: {LONGEST_BODY}\r\n\r\n"
        );
        stream
            .get_mut()
            .write_all(head.as_bytes())
            .expect("written");
        // The program rejects the request in the middle of its body.
        while stream.get_mut().write_all(&[b'x'; 16 * 1024]).is_ok() && stream.buffer().is_empty() {
            stream.get_mut().set_nonblocking(true).expect("set");
            let _ = stream.fill_buf();
            stream.get_mut().set_nonblocking(false).expect("set");
        }
        let answer = stage::read_head(&mut stream).unwrap_or_default();
        assert!(
            answer.starts_with("HTTP/1.1 503"),
            "{class}: the request cannot have been executed, but the response is `{answer}`"
        );
        assert_eq!(tries.load(Ordering::SeqCst), before + 1, "{class}");
    }
}

/// A body slightly over the buffer limit may have arrived completely by the time that the program sees
/// its length. The pay server then receives all of it and may have executed the request.
#[test]
fn a_request_whose_long_body_arrived_at_once_may_have_run_and_is_not_retried() {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let breaks = server(move |_, _, body| {
        count.fetch_add(usize::from(body.is_some()), Ordering::SeqCst);
        false
    });
    let (stage, _process) = started(&[breaks, breaks]);
    for n in 0..20 {
        let mut stream = connect(&stage);
        let length = BUFFERED_BODY_LIMIT + 1 + 100 * n;
        let head = format!(
            "POST /deposit-order HTTP/1.1\r\nHost: a\r\nX-Txn: {n}\r\nContent-Length: {length}\r\n\r\n"
        );
        stream
            .get_mut()
            .write_all(&[head.into_bytes(), vec![b'x'; length]].concat())
            .expect("written");
        let answer = stage::read_head(&mut stream).expect("an answer");
        assert!(
            answer.starts_with("HTTP/1.1 502"),
            "the request may have been executed, but the response is: {answer}"
        );
        assert_eq!(runs.load(Ordering::SeqCst), n + 1, "executed once");
    }
}

#[test]
fn a_request_of_whose_body_nothing_was_sent_is_retried_at_another_server() {
    let unused = reserve_port().expect("a port");
    let lengths = Arc::new(std::sync::Mutex::new(Vec::new()));
    let noted = Arc::clone(&lengths);
    let good = server(move |mut stream, _, body| {
        noted.lock().expect("free").push(body.map(|b| b.len()));
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            .is_ok()
    });
    let (stage, _process) = started(&[unused.address, good]);
    for n in 0..4 {
        let mut stream = connect(&stage);
        write!(
            stream.get_mut(),
            "POST /deposit-order HTTP/1.1\r\nHost: a\r\nX-Txn: {n}\r\nContent-Length: 300000\r\n\r\n"
        )
        .expect("written");
        stream
            .get_mut()
            .write_all(&vec![b'x'; 300_000])
            .expect("written");
        assert!(
            read_head(&mut stream)
                .expect("an answer")
                .starts_with("HTTP/1.1 200")
        );
    }
    assert_eq!(*lengths.lock().expect("free"), [Some(300_000); 4]);
}

#[test]
fn a_client_that_stops_within_a_long_body_is_disconnected_and_its_pay_server_released() {
    let (waits, ended) = server_reporting_body_ends();
    let (stage, _process) = started(&[waits]);
    let start = Instant::now();
    let mut stream = connect(&stage);
    write!(
        stream.get_mut(),
        "POST /deposit-order HTTP/1.1\r\nHost: a\r\nX-Txn: a\r\nContent-Length: {LONGEST_BODY}\r\n\r\n"
    )
    .expect("written");
    stream
        .get_mut()
        .write_all(&vec![b'x'; 100_000])
        .expect("written");
    let _ = stream.read_to_end(&mut Vec::new());
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "the stalled connection was not closed in time"
    );
    assert_eq!(
        ended.recv_timeout(TIMEOUT),
        Ok(false),
        "the pay server did not see a truncated body"
    );
}

#[test]
fn a_body_without_an_end_is_an_error_and_never_a_request() {
    let (waits, ended) = server_reporting_body_ends();
    let (stage, _process) = started(&[waits]);
    let mut stream = connect(&stage);
    let head =
        "POST /deposit-order HTTP/1.1\r\nHost: a\r\nX-Txn: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream
        .get_mut()
        .write_all(head.as_bytes())
        .expect("written");
    let chunk = [b"40000\r\n".to_vec(), vec![b'x'; 0x40000], b"\r\n".to_vec()].concat();
    let start = Instant::now();
    while stream.get_mut().write_all(&chunk).is_ok() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the connection was not closed in time"
        );
    }
    assert_eq!(ended.recv_timeout(TIMEOUT), Ok(false));
}

/// Requests of every framing, sent one byte at a time, reach the pay server unchanged, and its
/// responses of every framing, sent likewise, reach the client.
#[test]
fn all_forms_of_requests_and_answers_pass_in_pieces_of_one_byte() {
    const ANSWERS: [&str; 6] = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-Trailer: t\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
    ];
    let next = AtomicUsize::new(0);
    let pieces = server(move |mut stream, head, body| {
        if !head.starts_with("POST /deposit-order?k=7 ") || body.as_deref() != Some(b"hi there") {
            return stream
                .write_all(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n")
                .is_ok();
        }
        let answer = ANSWERS[next.fetch_add(1, Ordering::SeqCst) % ANSWERS.len()];
        for byte in answer.as_bytes() {
            if stream.write_all(&[*byte]).is_err() {
                return false;
            }
        }
        !answer.contains("close")
    });
    let (stage, _process) = started(&[pieces]);
    let requests = [
        "POST /deposit-order?k=7 HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nContent-Length: 8\r\n\r\nhi there",
        "POST /deposit-order?k=7 HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nTransfer-Encoding: chunked\r\n\r\n3;a\r\nhi \r\n5\r\nthere\r\n0\r\nX-A: b\r\n\r\n",
        "POST /deposit-order?k=7 HTTP/1.1\r\nHost: a\r\nx-txn: {txn}\r\nConnection: close\r\nContent-Length: 8\r\n\r\nhi there",
        "POST http://a/deposit-order?k=7 HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nContent-Length: 8\r\n\r\nhi there",
        "POST /deposit-order?k=7 HTTP/1.0\r\nHost: a\r\nX-Txn: {txn}\r\nContent-Length: 8\r\n\r\nhi there",
    ];
    for (form, request) in requests.iter().enumerate() {
        for answer in 0..ANSWERS.len() {
            let mut stream = connect(&stage);
            let text = request.replace("{txn}", &format!("{form}-{answer}"));
            for byte in text.as_bytes() {
                stream.get_mut().write_all(&[*byte]).expect("written");
            }
            let head = read_head(&mut stream).expect("an answer");
            assert!(head.contains(" 200 "), "{text}: {head}");
            let came = match header(&head, "content-length") {
                Some(_) => body(&mut stream, &head).expect("whole"),
                None => panic!("a short response is buffered and gets a content-length: {head}"),
            };
            assert_eq!(came, b"hello", "{text}");
        }
    }
    // Two pipelined requests, and one that waits for `100 Continue`.
    let mut stream = connect(&stage);
    let two = [requests[0], requests[0]].concat();
    stream.get_mut().write_all(two.as_bytes()).expect("written");
    for _ in 0..2 {
        let head = read_head(&mut stream).expect("an answer");
        assert!(head.contains(" 200 "), "{head}");
        assert_eq!(body(&mut stream, &head).as_deref(), Some(&b"hello"[..]));
    }
    let (ask, rest) = requests[0].split_once("\r\n\r\n").expect("a body");
    write!(stream.get_mut(), "{ask}\r\nExpect: 100-continue\r\n\r\n").expect("written");
    assert!(
        read_head(&mut stream)
            .expect("an interim response")
            .starts_with("HTTP/1.1 100")
    );
    stream
        .get_mut()
        .write_all(rest.as_bytes())
        .expect("written");
    let head = read_head(&mut stream).expect("an answer");
    assert_eq!(body(&mut stream, &head).as_deref(), Some(&b"hello"[..]));
}

/// When file descriptors run out, the program closes idle connections, not one that is in the middle of
/// a request, even if that one is the oldest.
#[test]
fn a_slow_request_is_not_closed_as_an_idle_connection() {
    let good = server(|mut stream, _, _| {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            .is_ok()
    });
    let mut stage = Stage::new(&[good]);
    // This leaves twelve descriptors for clients.
    stage.sockets = 60;
    let process = stage.start(stage.runtime_folder());
    process.ready();
    let request = format!(
        "GET /balance HTTP/1.1\r\nHost: a\r\nX-Pad: {}\r\nX-Txn: slow\r\n\r\n",
        "x".repeat(10_000)
    );
    let mut slow = connect(&stage);
    let mut written = 0;
    let mut write = |bytes: usize| {
        slow.get_mut()
            .write_all(&request.as_bytes()[written..written + bytes])
            .expect("written");
        written += bytes;
    };
    write(1);
    let silent: Vec<_> = (0..10).map(|_| connect(&stage)).collect();
    // Waits until none of the idle connections counts as newly accepted.
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(100) {
        process.send_command("ready\n");
        write(1);
    }
    for n in 0..5 {
        write(1);
        assert!(
            stage
                .request(&format!("other-{n}"))
                .starts_with("HTTP/1.1 200")
        );
    }
    slow.get_mut()
        .write_all(&request.as_bytes()[written..])
        .expect("written");
    assert!(
        read_head(&mut slow).is_some_and(|head| head.starts_with("HTTP/1.1 200")),
        "the slow request was not served"
    );
    drop(silent);
}
