//! Operator commands and hot restart, tested with real sockets and processes.

mod common;
mod stage;

use std::io::{BufRead as _, BufReader, ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{uninterrupted, wait_log};
use ironmast_fault_injection::deployment::reserve_port;
use rustix::process::Signal;
use stage::{Stage, listen, read_head, with_read_timeout};

/// A stage that counts the requests to each of its pay servers.
struct CountingStage {
    stage: Stage,
    request_counts: [Arc<AtomicUsize>; 2],
}

fn pay_server(request_count: Arc<AtomicUsize>) -> SocketAddr {
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some(head) = read_head(&mut reader) {
            if !head.contains("/stats") {
                request_count.fetch_add(1, Ordering::SeqCst);
                // The service time of a request.
                std::thread::sleep(Duration::from_millis(5));
            }
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            if (&stream).write_all(answer).is_err() {
                return;
            }
        }
    })
}

impl CountingStage {
    fn new() -> CountingStage {
        let request_counts: [Arc<AtomicUsize>; 2] = Default::default();
        let servers = [0, 1].map(|n| pay_server(Arc::clone(&request_counts[n])));
        CountingStage {
            stage: Stage::new(&servers),
            request_counts,
        }
    }

    fn request_count(&self, server: usize) -> usize {
        self.request_counts[server].load(Ordering::SeqCst)
    }
}

impl std::ops::Deref for CountingStage {
    type Target = Stage;

    fn deref(&self) -> &Stage {
        &self.stage
    }
}

/// Starts clients that send requests until `stop` is set, every second one on a new connection for each
/// request. Each returns the number of its successful responses and a list of its failures.
fn clients(stage: &Stage, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<(usize, Vec<String>)>> {
    let one = |n: usize| {
        let (listen, stop) = (stage.listen, Arc::clone(stop));
        std::thread::spawn(move || {
            let (mut served, mut bad, mut kept) = (0, Vec::new(), None::<BufReader<TcpStream>>);
            while !stop.load(Ordering::SeqCst) {
                let mut stream = match kept.take() {
                    Some(stream) => stream,
                    None => match TcpStream::connect(listen) {
                        Ok(stream) => BufReader::new(with_read_timeout(stream)),
                        Err(error) => {
                            bad.push(format!("connect: {error}"));
                            continue;
                        }
                    },
                };
                let ask =
                    format!("GET /balance HTTP/1.1\r\nHost: a\r\nX-Txn: c{n}-{served}\r\n\r\n");
                let _ = stream.get_mut().write_all(ask.as_bytes());
                let Some(head) = read_head(&mut stream) else {
                    bad.push("the connection was closed without a response".to_string());
                    continue;
                };
                let mut body = [0; 2];
                if !head.starts_with("HTTP/1.1 200") || stream.read_exact(&mut body).is_err() {
                    bad.push(head);
                    continue;
                }
                served += 1;
                if n.is_multiple_of(2) && !head.to_ascii_lowercase().contains("connection: close") {
                    kept = Some(stream);
                }
            }
            (served, bad)
        })
    };
    (0..6).map(one).collect()
}

#[test]
fn operator_commands_are_answered_while_other_callers_stay_silent() {
    let stage = CountingStage::new();
    let process = stage.start(stage.runtime_folder());
    process.ready();
    let silent: Vec<_> = (0..40)
        .map(|n| {
            let mut stream = with_read_timeout(
                TcpStream::connect(process.ops).expect("the operator port accepts connections"),
            );
            if n % 2 == 0 {
                stream.write_all(b"disable-ser").expect("written");
            }
            stream
        })
        .collect();
    let stop = Arc::default();
    let load = clients(&stage, &stop);
    let mut took = Vec::new();
    for (line, expected) in [
        ("ready\n", "+OK ready\n"),
        (
            "disable-server nobody\n",
            "-ERR no server has the ID `nobody`\n",
        ),
        (
            "enable-server nobody\n",
            "-ERR no server has the ID `nobody`\n",
        ),
        ("disable-server s-0\r\n", "+OK s-0 is out of use\n"),
        ("disable-server s-0\n", "+OK s-0 is out of use already\n"),
        ("enable-server s-0\n", "+OK s-0 is in use again\n"),
        ("enable-server s-0\n", "+OK s-0 is in use\n"),
        ("shutdown\n", "-ERR `shutdown` is not a call: expected"),
        ("ready ready\n", "-ERR `ready` takes no further word"),
    ] {
        for _ in 0..if line.starts_with("ready\n") { 100 } else { 1 } {
            let start = Instant::now();
            let answer = process.send_command(line);
            took.push(start.elapsed());
            assert!(answer.starts_with(expected), "{line}: {answer}");
        }
    }
    took.sort();
    println!(
        "{} calls: median {:?}, worst {:?}",
        took.len(),
        took[took.len() / 2],
        took[took.len() - 1]
    );
    assert!(
        took[took.len() - 1] < Duration::from_secs(1),
        "a command took a second or longer"
    );
    let long = process.send_command(&"x".repeat(2_000));
    assert!(long.starts_with("-ERR the line is over"), "{long}");
    stop.store(true, Ordering::SeqCst);
    let bad: Vec<_> = load
        .into_iter()
        .flat_map(|c| c.join().expect("it ends").1)
        .collect();
    assert!(bad.is_empty(), "{bad:?}");
    drop(silent);
}

#[test]
fn a_command_line_without_an_end_times_out_and_its_connection_is_closed() {
    let stage = CountingStage::new();
    let process = stage.start(None);
    let mut stream = with_read_timeout(
        TcpStream::connect(process.ops).expect("the operator port accepts connections"),
    );
    stream.write_all(b"read").expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("closed");
    assert!(answer.starts_with("-ERR no whole line came"), "{answer}");
}

#[test]
fn a_disabled_server_gets_no_request_through_a_hot_restart_until_it_is_enabled() {
    let stage = CountingStage::new();
    let mut old = stage.start(stage.runtime_folder());
    old.ready();
    assert!(old.send_command("disable-server s-0\n").starts_with("+OK"));
    let before = stage.request_count(0);
    (0..10).for_each(|n| assert!(stage.request(&format!("a{n}")).starts_with("HTTP/1.1 200")));
    let mut new = stage.start(stage.runtime_folder());
    new.ready();
    wait_log(&mut old.log, "the successor is serving");
    (0..10).for_each(|n| assert!(stage.request(&format!("b{n}")).starts_with("HTTP/1.1 200")));
    assert_eq!(
        stage.request_count(0),
        before,
        "the server is disabled in both processes"
    );
    // A command to either process takes effect in the other one.
    assert!(old.send_command("disable-server s-1\n").starts_with("+OK"));
    wait_log(&mut new.log, "override received from the other process");
    assert!(new.send_command("disable-server s-1\n").contains("already"));
    assert!(
        new.send_command("enable-server s-0\n")
            .contains("in use again")
    );
    wait_log(&mut old.log, "override received from the other process");
    assert_eq!(
        old.send_command("enable-server s-0\n"),
        "+OK s-0 is in use\n"
    );
    old.child.signal(Signal::TERM);
    assert!(old.child.0.wait().expect("it ends").success());
    wait_log(&mut new.log, "hot restart partner disconnected");
    let one = stage.request_count(1);
    (0..10).for_each(|n| assert!(stage.request(&format!("c{n}")).starts_with("HTTP/1.1 200")));
    assert_eq!(stage.request_count(1), one, "s-1 is still disabled");
    assert!(stage.request_count(0) > before, "s-0 is enabled again");
    // The override is on disk, so a process that starts after a crash finds it.
    new.child.signal(Signal::KILL);
    new.child.0.wait().expect("it ends");
    let third = stage.start(stage.runtime_folder());
    third.ready();
    assert!(
        third
            .send_command("disable-server s-1\n")
            .contains("already")
    );
}

#[test]
fn a_hot_restart_under_load_fails_no_request() {
    let stage = CountingStage::new();
    let mut old = stage.start(stage.runtime_folder());
    old.ready();
    let stop = Arc::default();
    let load = clients(&stage, &stop);
    // Two hot restarts in a row.
    for _ in 0..2 {
        let mut new = stage.start(stage.runtime_folder());
        new.ready();
        wait_log(&mut old.log, "the successor is serving");
        old.child.signal(Signal::TERM);
        assert!(old.child.0.wait().expect("it ends").success());
        wait_log(&mut new.log, "hot restart partner disconnected");
        old = new;
    }
    stop.store(true, Ordering::SeqCst);
    let (served, bad): (Vec<_>, Vec<_>) =
        load.into_iter().map(|c| c.join().expect("it ends")).unzip();
    assert!(served.iter().all(|&n| n > 0), "{served:?}");
    assert!(bad.concat().is_empty(), "{bad:?}");
}

#[test]
fn when_one_process_of_a_hot_restart_dies_the_other_serves() {
    let stage = CountingStage::new();
    let mut old = stage.start(stage.runtime_folder());
    old.ready();
    let mut new = stage.start(stage.runtime_folder());
    wait_log(&mut old.log, "the successor is serving");
    new.child.signal(Signal::KILL);
    new.child.0.wait().expect("it ends");
    wait_log(&mut old.log, "hot restart partner disconnected");
    assert!(
        stage.request("a").starts_with("HTTP/1.1 200"),
        "the old process does not serve again"
    );
    let mut next = stage.start(stage.runtime_folder());
    wait_log(&mut old.log, "the successor is serving");
    old.child.signal(Signal::KILL);
    old.child.0.wait().expect("it ends");
    wait_log(&mut next.log, "hot restart partner disconnected");
    assert!(
        stage.request("b").starts_with("HTTP/1.1 200"),
        "the new process does not serve"
    );
    next.ready();
}

#[test]
fn a_process_starts_despite_stale_and_malformed_runtime_files() {
    let stage = CountingStage::new();
    let name = format!("ironmast-{}-{}", stage.listen.ip(), stage.listen.port());
    let file = |what: &str| stage.folder.path().join(format!("{name}.{what}"));
    std::fs::write(file("bans"), "{\"out\":7}").expect("written");
    std::fs::write(file("sock"), "no socket").expect("written");
    let mut process = stage.start(stage.runtime_folder());
    process.ready();
    assert!(stage.request("a").starts_with("HTTP/1.1 200"));
    // A peer with another protocol version or an invalid greeting does not affect the process.
    for (line, expected) in [
        ("{\"hello\":{\"version\":9}}\n", "another protocol version"),
        ("nonsense\n", "no valid greeting"),
    ] {
        let mut stream = std::os::unix::net::UnixStream::connect(file("sock"))
            .expect("the process accepts a connection");
        stream.write_all(line.as_bytes()).expect("written");
        wait_log(&mut process.log, expected);
    }
    assert!(stage.request("b").starts_with("HTTP/1.1 200"));
    // If the process that owns the socket does not answer, the new one starts on its own.
    drop(process);
    std::fs::remove_file(file("sock")).expect("removed");
    let unresponsive = std::os::unix::net::UnixListener::bind(file("sock")).expect("bound");
    let alone = stage.start(stage.runtime_folder());
    alone.ready();
    assert!(stage.request("c").starts_with("HTTP/1.1 200"));
    drop(unresponsive);
}

/// SIGHUP may have changed the discovery address since the first start, while a new process is still
/// started with the old environment.
#[test]
fn a_successor_uses_the_discovery_address_of_the_file_not_of_its_environment() {
    let stage = CountingStage::new();
    let old = stage.start(stage.runtime_folder());
    old.ready();
    let unused = reserve_port().expect("a port");
    let variables = [("GW_DISCOVERY", &*unused.address.to_string())];
    let mut new = stage.start_with(stage.runtime_folder(), &variables);
    new.ready();
    let mut lines = (&mut new.log).lines().map(|line| line.expect("a log"));
    let outcome = lines.find(|line| line.contains("Complete") || line.contains("discovery failed"));
    assert!(
        outcome
            .as_ref()
            .is_some_and(|line| line.contains("Complete")),
        "{outcome:?}"
    );
}

/// Without a runtime folder there is no hot restart: both processes listen, and the second keeps
/// serving when the first one ends.
#[test]
fn without_a_runtime_folder_both_processes_listen() {
    let stage = CountingStage::new();
    let mut old = stage.start(None);
    old.ready();
    assert!(
        old.send_command("disable-server s-0\n")
            .contains("until this process ends")
    );
    let new = stage.start(None);
    new.ready();
    old.child.signal(Signal::TERM);
    assert!(old.child.0.wait().expect("it ends").success());
    assert!(stage.request("a").starts_with("HTTP/1.1 200"));
}

#[test]
fn an_invalid_operations_address_is_reported_in_one_line() {
    let text = ironmast_fault_injection::CONFIG.replace("{discovery}", "127.0.0.1:9");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = taken.local_addr().expect("bound").to_string();
    for (ops, expected) in [
        ("here", "GW_OPS: `here` is not"),
        ("127.0.0.1", "GW_OPS"),
        (&taken, &taken),
    ] {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), &text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast"));
        let command = command
            .arg("run")
            .env("GW_CONFIG", file.path())
            .env("GW_OPS", ops);
        let out = command.output().expect("it runs");
        let lines = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{lines}");
        assert!(
            lines.lines().count() == 1 && lines.contains(expected),
            "{lines}"
        );
    }
}

/// A keep-alive connection that is idle during the hot restart still gets its next response.
#[test]
fn an_idle_connection_is_served_by_the_predecessor_and_closed_with_its_next_response() {
    let stage = CountingStage::new();
    let mut old = stage.start(stage.runtime_folder());
    old.ready();
    let mut kept = BufReader::new(with_read_timeout(
        TcpStream::connect(stage.listen).expect("it listens"),
    ));
    let mut ask = |txn: &str| {
        let head = request_on(&mut kept, txn);
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        head.to_ascii_lowercase()
    };
    assert!(!ask("a").contains("connection: close"));
    let new = stage.start(stage.runtime_folder());
    new.ready();
    wait_log(&mut old.log, "the successor is serving");
    assert!(ask("b").contains("connection: close"));
    let end = uninterrupted(|| kept.read(&mut [0]));
    assert!(matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
}

/// While the successor has a request of some name in progress, the predecessor rejects another one of
/// that name on a connection it kept, because the successor decides on names.
#[test]
fn a_request_name_open_in_the_successor_is_rejected_by_the_predecessor() {
    let runs = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&runs);
    let server = listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some(head) = read_head(&mut reader) {
            if head.to_ascii_lowercase().contains("x-txn: held") {
                seen.fetch_add(1, Ordering::SeqCst);
                // The service time, long enough for the second request to be answered meanwhile.
                std::thread::sleep(Duration::from_millis(800));
            }
            if (&stream)
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                .is_err()
            {
                return;
            }
        }
    });
    let stage = Stage::new(&[server]);
    let mut old = stage.start(stage.runtime_folder());
    old.ready();
    let mut kept = BufReader::new(with_read_timeout(
        TcpStream::connect(stage.listen).expect("it listens"),
    ));
    let mut ask = |txn: &str| request_on(&mut kept, txn);
    assert!(ask("first").starts_with("HTTP/1.1 200"));
    let new = stage.start(stage.runtime_folder());
    new.ready();
    wait_log(&mut old.log, "the successor is serving");
    std::thread::scope(|scope| {
        let held = scope.spawn(|| stage.request("held"));
        let start = Instant::now();
        while runs.load(Ordering::SeqCst) == 0 {
            assert!(
                start.elapsed() < Duration::from_secs(5),
                "the held request did not reach the pay server"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        let second = ask("held");
        assert!(second.starts_with("HTTP/1.1 409"), "{second}");
        assert!(held.join().expect("it ends").starts_with("HTTP/1.1 200"));
    });
    assert_eq!(runs.load(Ordering::SeqCst), 1, "executed once");
}

/// Sends one request on a keep-alive connection and returns the head of its response; the body of a 200
/// is read and dropped.
fn request_on(kept: &mut BufReader<TcpStream>, txn: &str) -> String {
    let text = format!("GET /balance HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\n\r\n");
    kept.get_mut().write_all(text.as_bytes()).expect("written");
    let head = read_head(kept).expect("an answer");
    if head.starts_with("HTTP/1.1 200") {
        kept.read_exact(&mut [0; 2]).expect("a body");
    }
    head
}
