//! Plays a recorded exchange against the program and writes down what the program said.
//!
//! A line of a script is `PARTY VERB TEXT`; parties are `clientN`, `serverN`, `discovery` and
//! `proxy`. `>` sends the text (`\r`, `\n` escaped), `<` reads one message, `close` closes, `eof`
//! waits until the program closes, `refuse` stops listening. `discovery list true|false
//! UID.ZONE.STATE ...` is a line of the watch; a letter behind a UID names another process at the
//! same address. `proxy log TEXT` waits for a line of the log, `proxy tells TEXT` writes it down,
//! `proxy term` sends SIGTERM, `proxy exit` waits for the end; `proxy reload TEXT` replaces the
//! configuration (by one that names that party as discovery, or by the text itself) and sends
//! SIGHUP; `proxy sockets N` starts it with that many descriptors, `proxy with A B` with B for A in
//! its configuration, `proxy debug` with a log that follows each request. `fill N` sends so many
//! bytes that are no HTTP, `times N TEXT` the text so often, `proxy rested` holds where it has been
//! on a processor for less than 1 s since its start; `fin` waits for an orderly end where `eof`
//! takes a reset as well; `hold` lets no connection to a server come up any more, `dialled` waits
//! until one is asked for and `undialled` until none is. `proxy pause` stops the program, so that
//! what other parties do until `proxy resume` is there at once when it looks. Nothing sleeps: all
//! wait for bytes or the system's tables.

use std::collections::BTreeMap;
use std::fs::DirEntry;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;

use rustix::process::Signal;
use tempfile::NamedTempFile;

use crate::common::{PATIENCE, Running, uninterrupted, wait_log, wait_until};

pub(crate) struct Proxy {
    child: Running,
    config: NamedTempFile,
    log: BufReader<ChildStderr>,
    listen: String,
    listeners: BTreeMap<String, TcpListener>,
    held: BTreeMap<String, ironmast_fault_injection::full_backlog::FullBacklog>,
    open: BTreeMap<String, BufReader<TcpStream>>,
    said: String,
    rev: u64,
}

/// Runs the program with a configuration file of that text, for as long as it is needed.
pub(crate) fn start(config: &str) -> (Child, NamedTempFile) {
    start_logging(config, "info")
}

/// The same, with a log of that level.
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
    // It is read before the first line is written, or the program has ended.
    let fd = child.stderr.as_mut().expect("piped");
    let mut first = [0];
    fd.read_exact(&mut first).expect("a first line");
    (child, file)
}

/// Reads the program's log on to where it says at which address it listens.
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
    let (listen, held, open, said) = Default::default();
    let mut proxy = Proxy {
        child,
        config,
        log,
        listen,
        listeners,
        held,
        open,
        said,
        rev: 0,
    };
    proxy.listen = listens_at(&mut proxy.log);
    for line in script
        .lines()
        .filter(|l| !l.trim().is_empty() && !l.starts_with('#'))
    {
        proxy.step(line);
    }
    std::mem::take(&mut proxy.said)
}

impl Drop for Proxy {
    /// Where the test fails, says what had been said and what else the program logged.
    fn drop(&mut self) {
        if std::thread::panicking() {
            let _ = self.child.0.kill();
            let mut log = Vec::new();
            let _ = self.log.read_to_end(&mut log);
            println!("said before the failure:\n{}", self.said);
            println!("logged after the last line that was waited for:");
            println!("{}", String::from_utf8_lossy(&log));
        }
    }
}

impl Proxy {
    #[expect(
        clippy::too_many_lines,
        reason = "one arm for each step of an exchange"
    )]
    fn step(&mut self, line: &str) {
        let mut words = line.splitn(3, ' ');
        let (party, verb) = (
            words.next().expect("a party"),
            words.next().expect("a verb"),
        );
        let text = words.next().unwrap_or("");
        match (party, verb) {
            ("proxy", "sockets" | "with" | "debug") => {}
            ("proxy", "log") => drop(wait_log(&mut self.log, text)),
            ("proxy", "tells") => {
                let line = wait_log(&mut self.log, text);
                self.said += &format!("proxy: {}", &line[line.find(text).expect("it is there")..]);
            }
            ("proxy", "term") => self.child.signal(Signal::TERM),
            ("proxy", "reload") => {
                let text = match self.listeners.get(text) {
                    Some(l) => config(&l.local_addr().expect("bound").to_string()),
                    None => text.to_string(),
                };
                std::fs::write(self.config.path(), text).expect("written");
                self.child.signal(Signal::HUP);
            }
            ("proxy", "exit") => {
                let status = self.child.0.wait().expect("it ends");
                self.said += &format!("proxy exit {}\n", status.code().unwrap_or(-1));
            }
            ("proxy", "pause") => self.pause(),
            ("proxy", "resume") => self.child.signal(Signal::CONT),
            ("proxy", "rested") => {
                // Of the thread that does everything: how long it has been on a processor, in ns.
                let path = format!("/proc/{}/schedstat", self.child.0.id());
                let text = std::fs::read_to_string(path).expect("it runs");
                let busy: u64 = text
                    .split(' ')
                    .next()
                    .and_then(|ns| ns.parse().ok())
                    .expect("a number");
                assert!(busy < 1_000_000_000, "{busy} ns on a processor");
            }
            (_, "times") => {
                let (count, text) = text.split_once(' ').expect("N TEXT");
                let text = text
                    .replace("\\r", "\r")
                    .replace("\\n", "\n")
                    .repeat(count.parse().expect("a number"));
                self.stream(party)
                    .get_mut()
                    .write_all(text.as_bytes())
                    .expect("written");
            }
            (_, "list") => {
                let list = self.list(text);
                let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
                self.stream(party)
                    .get_mut()
                    .write_all(chunk.as_bytes())
                    .expect("written");
            }
            (_, ">") => {
                let text = text.replace("\\r", "\r").replace("\\n", "\n");
                self.stream(party)
                    .get_mut()
                    .write_all(text.as_bytes())
                    .expect("written");
            }
            (_, "<") => {
                let message = read_message(self.stream(party));
                self.said += &format!("{party}: {message}\n");
            }
            (_, "close") => self.close(party),
            (_, "fill") => {
                let bytes = vec![b'#'; text.parse().expect("a number")];
                self.stream(party)
                    .get_mut()
                    .write_all(&bytes)
                    .expect("written");
            }
            (_, "hold") => {
                let held = ironmast_fault_injection::full_backlog::FullBacklog::new(
                    &self.listeners[party],
                )
                .expect("held");
                self.held.insert(party.to_string(), held);
            }
            (_, "dialled" | "undialled") => {
                let held = &self.held[party];
                let wanted = verb == "dialled";
                wait_until(line, || {
                    held.has_pending_connection().expect("the system's table") == wanted
                });
            }
            (_, "fin") => {
                let stream = self.stream(party);
                let end = uninterrupted(|| stream.read(&mut [0])).expect("an orderly end");
                assert_eq!(end, 0, "{party}: more came");
                self.open.remove(party);
                self.said += &format!("{party}: ended\n");
            }
            (_, "refuse") => drop(self.listeners.remove(party)),
            (_, "eof") => {
                let stream = self.stream(party);
                match uninterrupted(|| stream.read(&mut [0])) {
                    Ok(bytes) => assert_eq!(bytes, 0, "{party}: more came"),
                    Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{party}"),
                }
                self.open.remove(party);
                self.said += &format!("{party}: closed\n");
            }
            _ => panic!("not a step: {line}"),
        }
    }

    /// Stops the program and waits until none of its threads runs any more.
    fn pause(&self) {
        self.child.signal(Signal::STOP);
        let threads = format!("/proc/{}/task", self.child.0.id());
        let is_stopped = |thread: DirEntry| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).expect("it lives");
            // The state follows the name, which is in brackets.
            stat.rsplit(") ").next().expect("a state").starts_with('T')
        };
        wait_until("the program is stopped", || {
            let mut threads = std::fs::read_dir(&threads).expect("it lives");
            threads.all(|thread| is_stopped(thread.expect("a thread")))
        });
    }

    /// Closes the party's connection. A process that another test is starting has a copy of the socket
    /// until it executes its program: to drop this one would not end the connection before.
    fn close(&mut self, party: &str) {
        if let Some(stream) = self.open.remove(party) {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// The party's connection; a client opens it, the others wait for the program to.
    fn stream(&mut self, party: &str) -> &mut BufReader<TcpStream> {
        self.open.entry(party.to_string()).or_insert_with(|| {
            let stream = match self.listeners.get(party) {
                Some(listener) => {
                    // Guards against a test that waits for good: `accept` itself has no time-out.
                    let (listener, (done, accepted)) =
                        (listener.try_clone().expect("a handle"), channel());
                    std::thread::spawn(move || done.send(listener.accept()));
                    accepted
                        .recv_timeout(PATIENCE)
                        .expect("in time")
                        .expect("a connection")
                        .0
                }
                None => TcpStream::connect(&self.listen).expect("it listens"),
            };
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            stream.set_write_timeout(Some(PATIENCE)).expect("set");
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

/// Reads one message: its first line and headers, and its body; none where the other side ends or
/// falls silent before.
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

/// Reads one message, without what differs from run to run: date, addresses, times.
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

/// The form of a number, digits left out.
fn shape(value: &str) -> String {
    let digits = value.replace(|c: char| c.is_ascii_digit(), "9");
    let mut shape: Vec<char> = digits.chars().collect();
    shape.dedup();
    shape.into_iter().collect()
}
