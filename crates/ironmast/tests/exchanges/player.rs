//! Plays a scripted exchange against the program and records what the program sends.
//!
//! A line of a script is `PARTY VERB TEXT`; parties are `clientN`, `serverN`, `discovery` and
//! `proxy`. `>` sends the text (`\r`, `\n` escaped), `<` reads one message, `close` closes, `eof`
//! waits until the program closes the connection or resets it, `fin` waits for an orderly end only,
//! `refuse` stops listening. `fill N` sends N bytes that are not HTTP, `times N TEXT` sends the text N
//! times. `hold` lets no further connection to a server be established, `dialled` waits until the
//! program attempts one and `undialled` until no attempt is pending. `discovery list true|false
//! UID.ZONE.STATE ...` sends a line of the watch; a letter behind a UID names another process at the
//! same address.
//!
//! `proxy log TEXT` waits for a line of the log, `proxy tells TEXT` also records it. `proxy term` sends
//! SIGTERM, `proxy exit` waits for the end of the process. `proxy reload TEXT` replaces the
//! configuration (by one that names that party as discovery, or by the text itself) and sends SIGHUP.
//! `proxy sockets N` starts the program with a limit of N descriptors, `proxy with A B` with B in place
//! of A in its configuration, `proxy debug` with a log of each request. `proxy rested` asserts that the
//! program has used less than 1 s of processor time since its start. `proxy pause` stops the program,
//! so that everything that other parties do until `proxy resume` is there at once when it continues.
//!
//! No step sleeps: all wait for bytes or for a state in the kernel's tables.

use std::collections::BTreeMap;
use std::fs::DirEntry;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;

use ironmast_fault_injection::full_backlog::FullBacklog;
use rustix::process::Signal;
use tempfile::NamedTempFile;

use crate::common::{Running, TIMEOUT, uninterrupted, wait_log, wait_until};

/// Limit for the program's processor time, in nanoseconds, in the step `proxy rested`.
const MAX_BUSY_NANOS: u64 = 1_000_000_000;

/// The program, the parties of its script and the record of the exchange.
pub(crate) struct Proxy {
    child: Running,
    config: NamedTempFile,
    log: BufReader<ChildStderr>,
    listen: String,
    listeners: BTreeMap<String, TcpListener>,
    backlogs: BTreeMap<String, FullBacklog>,
    streams: BTreeMap<String, BufReader<TcpStream>>,
    record: String,
    rev: u64,
}

/// Starts the program with this configuration. The returned file has to live as long as the program
/// may read it.
pub(crate) fn start(config: &str) -> (Child, NamedTempFile) {
    start_logging(config, "info")
}

/// Like [`start`], with this log level.
fn start_logging(config: &str, level: &str) -> (Child, NamedTempFile) {
    let file = NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast"));
    command
        .args(["run", "--log-level", level])
        .env("GW_CONFIG", file.path())
        .stderr(Stdio::piped());
    for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
        command.env_remove(name);
    }
    let mut child = command.spawn().expect("the program starts");
    // The program has read its configuration once it logs its first line, or has ended.
    let fd = child.stderr.as_mut().expect("piped");
    let mut first = [0];
    fd.read_exact(&mut first).expect("a first line");
    (child, file)
}

/// Reads the program's log up to the line with the listening address, and returns the address.
pub(crate) fn listens_at(log: &mut BufReader<ChildStderr>) -> String {
    let serving = wait_log(log, "listen: ");
    let address = |text: &str| {
        text.split(|c: char| !"0123456789.:".contains(c))
            .next()
            .map(str::to_string)
    };
    serving
        .split_once("listen: ")
        .and_then(|(_, rest)| address(rest))
        .expect("an address")
}

fn config(discovery: &str) -> String {
    ironmast_fault_injection::CONFIG.replace("{discovery}", discovery)
}

/// Plays a script and returns the record of what the program sent, for comparison with a snapshot.
pub(crate) fn play(script: &str) -> String {
    let names = ["discovery", "discovery2", "server1", "server2"];
    let bind = |name: &str| {
        (
            name.to_string(),
            TcpListener::bind("127.0.0.1:0").expect("a port"),
        )
    };
    let listeners: BTreeMap<String, TcpListener> = names.map(bind).into();
    let discovery = listeners["discovery"]
        .local_addr()
        .expect("bound")
        .to_string();
    let sockets = script
        .lines()
        .find_map(|line| line.strip_prefix("proxy sockets "))
        .unwrap_or("1024");
    let mut config =
        config(&discovery).replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"));
    for change in script
        .lines()
        .filter_map(|line| line.strip_prefix("proxy with "))
    {
        let (from, to) = change.split_once(' ').expect("A B");
        assert!(config.contains(from), "{from} is not in the configuration");
        config = config.replace(from, to);
    }
    let level = if script.lines().any(|line| line == "proxy debug") {
        "debug"
    } else {
        "info"
    };
    let (child, config) = start_logging(&config, level);
    let mut child = Running(child);
    let log = BufReader::new(child.0.stderr.take().expect("piped"));
    let (listen, backlogs, streams, record) = Default::default();
    let mut proxy = Proxy {
        child,
        config,
        log,
        listen,
        listeners,
        backlogs,
        streams,
        record,
        rev: 0,
    };
    proxy.listen = listens_at(&mut proxy.log);
    for line in script
        .lines()
        .filter(|l| !l.trim().is_empty() && !l.starts_with('#'))
    {
        proxy.step(line);
    }
    std::mem::take(&mut proxy.record)
}

impl Drop for Proxy {
    /// Prints the record so far and the rest of the program's log if the test fails.
    fn drop(&mut self) {
        if std::thread::panicking() {
            let _ = self.child.0.kill();
            let mut log = Vec::new();
            let _ = self.log.read_to_end(&mut log);
            println!("recorded before the failure:\n{}", self.record);
            println!("logged after the last line that was waited for:");
            println!("{}", String::from_utf8_lossy(&log));
        }
    }
}

impl Proxy {
    /// Performs one line of a script.
    fn step(&mut self, line: &str) {
        let mut words = line.splitn(3, ' ');
        let party = words.next().expect("a party");
        let verb = words.next().expect("a verb");
        let text = words.next().unwrap_or("");
        let is_known = match party {
            "proxy" => self.program_step(verb, text),
            _ => self.party_step(party, verb, text),
        };
        assert!(is_known, "unknown step in the script: {line}");
    }

    /// Performs a step of the program; returns whether there is such a step.
    fn program_step(&mut self, verb: &str, text: &str) -> bool {
        match verb {
            // These are applied before the program starts.
            "sockets" | "with" | "debug" => {}
            "log" => drop(wait_log(&mut self.log, text)),
            "tells" => self.record_log_line(text),
            "term" => self.child.signal(Signal::TERM),
            "reload" => self.reload(text),
            "exit" => self.record_exit(),
            "pause" => self.pause(),
            "resume" => self.child.signal(Signal::CONT),
            "rested" => self.assert_rested(),
            _ => return false,
        }
        true
    }

    /// Performs a step of a client, a server or discovery; returns whether there is such a step.
    fn party_step(&mut self, party: &str, verb: &str, text: &str) -> bool {
        match verb {
            ">" => self.send(party, unescape(text).as_bytes()),
            "times" => self.send_repeatedly(party, text),
            "fill" => self.send(party, &vec![b'#'; text.parse().expect("N is a number")]),
            "list" => self.send_list(party, text),
            "<" => self.record_message(party),
            "close" => self.close(party),
            "fin" => self.record_orderly_end(party),
            "eof" => self.record_end(party),
            "refuse" => self.refuse(party),
            "hold" => self.fill_backlog(party),
            "dialled" => self.wait_for_pending_connection(party, true),
            "undialled" => self.wait_for_pending_connection(party, false),
            _ => return false,
        }
        true
    }

    /// Waits for a line of the log and records it from this text on.
    fn record_log_line(&mut self, text: &str) {
        let line = wait_log(&mut self.log, text);
        let start = line.find(text).expect("it is there");
        self.record += &format!("proxy: {}", &line[start..]);
    }

    /// Replaces the configuration and sends SIGHUP.
    fn reload(&mut self, text: &str) {
        let text = match self.listeners.get(text) {
            Some(listener) => config(&listener.local_addr().expect("bound").to_string()),
            None => text.to_string(),
        };
        std::fs::write(self.config.path(), text).expect("written");
        self.child.signal(Signal::HUP);
    }

    /// Waits until the program ends and records its exit code.
    fn record_exit(&mut self) {
        let status = self.child.0.wait().expect("it ends");
        self.record += &format!("proxy exit {}\n", status.code().unwrap_or(-1));
    }

    /// Asserts that the main thread, which does all the work, has used less than [`MAX_BUSY_NANOS`] of
    /// processor time.
    fn assert_rested(&self) {
        let path = format!("/proc/{}/schedstat", self.child.0.id());
        let text = std::fs::read_to_string(path).expect("it runs");
        let busy = text.split(' ').next().expect("a column");
        let busy: u64 = busy.parse().expect("a number");
        assert!(
            busy < MAX_BUSY_NANOS,
            "the program used {busy} ns of processor time"
        );
    }

    fn send(&mut self, party: &str, bytes: &[u8]) {
        let stream = self.stream(party).get_mut();
        stream.write_all(bytes).expect("written");
    }

    /// Sends a text N times; `text` is `N TEXT`.
    fn send_repeatedly(&mut self, party: &str, text: &str) {
        let (count, text) = text.split_once(' ').expect("N TEXT");
        let count = count.parse().expect("a number");
        self.send(party, unescape(text).repeat(count).as_bytes());
    }

    /// Sends a list of servers as a chunk of the watch.
    fn send_list(&mut self, party: &str, text: &str) {
        let list = self.list(text);
        let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
        self.send(party, chunk.as_bytes());
    }

    fn record_message(&mut self, party: &str) {
        let message = read_message(self.stream(party));
        self.record += &format!("{party}: {message}\n");
    }

    /// Waits for the orderly end of a connection; a reset fails the test.
    fn record_orderly_end(&mut self, party: &str) {
        let stream = self.stream(party);
        let bytes = uninterrupted(|| stream.read(&mut [0])).expect("an orderly end");
        assert_eq!(
            bytes, 0,
            "{party}: data arrived instead of the end of the connection"
        );
        self.streams.remove(party);
        self.record += &format!("{party}: ended\n");
    }

    /// Waits for the end of a connection or its reset.
    fn record_end(&mut self, party: &str) {
        let stream = self.stream(party);
        match uninterrupted(|| stream.read(&mut [0])) {
            Ok(bytes) => assert_eq!(
                bytes, 0,
                "{party}: data arrived instead of the end of the connection"
            ),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{party}"),
        }
        self.streams.remove(party);
        self.record += &format!("{party}: closed\n");
    }

    /// Fills the server's accept backlog, so that no further connection to it is established.
    fn fill_backlog(&mut self, party: &str) {
        let backlog = FullBacklog::new(&self.listeners[party]).expect("filled");
        self.backlogs.insert(party.to_string(), backlog);
    }

    /// Waits until a connection to a server whose backlog is full is pending, or until none is.
    fn wait_for_pending_connection(&self, party: &str, is_wanted: bool) {
        let backlog = &self.backlogs[party];
        wait_until(
            &format!("a connection to {party} is pending: {is_wanted}"),
            || {
                backlog
                    .has_pending_connection()
                    .expect("the system's table")
                    == is_wanted
            },
        );
    }

    /// Stops the program and waits until none of its threads runs any more.
    fn pause(&self) {
        self.child.signal(Signal::STOP);
        let threads = format!("/proc/{}/task", self.child.0.id());
        let is_stopped = |thread: DirEntry| {
            let stat =
                std::fs::read_to_string(thread.path().join("stat")).expect("the program runs");
            // The state follows the thread name, which is in parentheses.
            stat.rsplit(") ").next().expect("a state").starts_with('T')
        };
        wait_until("the program is stopped", || {
            let mut threads = std::fs::read_dir(&threads).expect("the program runs");
            threads.all(|thread| is_stopped(thread.expect("a thread")))
        });
    }

    /// Makes the party refuse connections from now on. As in [`Self::close`], dropping the listener
    /// alone would not close it while another test starts a process.
    fn refuse(&mut self, party: &str) {
        let listener = self.listeners.remove(party).expect("it listens");
        rustix::net::shutdown(&listener, rustix::net::Shutdown::Both).expect("shut down");
    }

    /// Closes the party's connection. A process that another test is starting holds a copy of the socket
    /// until it calls `exec`, so dropping the socket alone would not end the connection before that.
    fn close(&mut self, party: &str) {
        if let Some(stream) = self.streams.remove(party) {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// The party's connection: a client connects, the other parties accept one from the program.
    fn stream(&mut self, party: &str) -> &mut BufReader<TcpStream> {
        self.streams.entry(party.to_string()).or_insert_with(|| {
            let stream = match self.listeners.get(party) {
                Some(listener) => {
                    // `accept` has no timeout of its own, so a thread keeps the test from waiting forever.
                    let (listener, (done, accepted)) =
                        (listener.try_clone().expect("a handle"), channel());
                    std::thread::spawn(move || done.send(listener.accept()));
                    accepted
                        .recv_timeout(TIMEOUT)
                        .expect("in time")
                        .expect("a connection")
                        .0
                }
                None => TcpStream::connect(&self.listen).expect("it listens"),
            };
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
            stream.set_write_timeout(Some(TIMEOUT)).expect("set");
            BufReader::new(stream)
        })
    }

    fn list(&mut self, text: &str) -> String {
        let mut words = text.split(' ');
        let all = words.next().expect("true or false");
        let entry = |word: &str| {
            let [uid, az, state] = word.split('.').collect::<Vec<_>>()[..] else {
                return word.to_string();
            };
            // `server1b` is another process at the address of `server1`.
            let endpoint = self.listeners[uid.trim_end_matches(char::is_alphabetic)]
                .local_addr()
                .expect("bound");
            format!(
                r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"{az}","model":"m","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        };
        let entries: Vec<String> = words.map(entry).collect();
        self.rev += 1;
        format!(
            r#"{{"rev":{},"all":{all},"targets":[{}]}}"#,
            self.rev,
            entries.join(",")
        )
    }
}

/// Replaces the escapes `\r` and `\n` of a script by the characters.
fn unescape(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}

/// Reads one message: its first line and headers, and its body. `None` if the connection ends or the
/// read times out before.
pub(crate) fn message(from: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let (mut head, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        match line.split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().expect("a length");
            }
            _ if line.is_empty() => break,
            _ => head.push(line),
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Reads one message and leaves out what differs between runs: dates, addresses and times.
fn read_message(from: &mut BufReader<TcpStream>) -> String {
    let (head, body) = message(from).expect("a whole message");
    let mut lines = Vec::new();
    for line in head {
        let (name, value) = line.split_once(": ").unwrap_or((&line, ""));
        match name.to_ascii_lowercase().as_str() {
            "date" | "host" => {}
            "x-remaining" | "retry-after" => lines.push(format!("{name}: {}", shape(value))),
            _ => lines.push(line),
        }
    }
    lines[1..].sort();
    lines.push(body.escape_ascii().to_string());
    lines.join(" | ")
}

/// The shape of a number: each run of digits becomes a single 9.
fn shape(value: &str) -> String {
    let digits = value.replace(|c: char| c.is_ascii_digit(), "9");
    let mut shape: Vec<char> = digits.chars().collect();
    shape.dedup();
    shape.into_iter().collect()
}
