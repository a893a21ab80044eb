//! Proxies as processes: started, signalled and measured by their process id, and killed when their
//! owner is dropped.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Interval at which the log and the readiness of a starting process are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A signal to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGKILL: a crash.
    Kill,
    /// SIGTERM: a graceful shutdown.
    Term,
    /// SIGSTOP: a pause, until [`ProcessSignal::Continue`].
    Stop,
    /// SIGCONT: the end of a pause.
    Continue,
    /// SIGHUP: reload the configuration.
    Hangup,
}

impl ProcessSignal {
    fn number(self) -> Signal {
        match self {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Hangup => Signal::HUP,
        }
    }
}

/// A proxy that did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program could not be run.
    #[error("the proxy process could not be started: {0}")]
    Spawn(#[from] std::io::Error),
    /// The process ended or timed out before it logged its operations address; with its last log
    /// lines.
    #[error(
        "the proxy did not log its operations address before it ended or timed out; last log lines: {0}"
    )]
    NoOperationsAddress(String),
}

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory in bytes.
    pub memory: u64,
    /// The number of open file descriptors.
    pub descriptors: usize,
}

/// One proxy process. Dropping it kills and reaps the process.
pub struct Proxy {
    /// Name of the proxy in links (`proxy0`).
    pub name: String,
    /// Address at which the proxy accepts operators' commands.
    pub ops: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

/// The command that runs a proxy with this configuration file and state directory.
fn command(program: &Path, config: &Path, state: &Path) -> std::io::Result<Command> {
    // The process runs in its state directory, against which a relative path would be resolved.
    let mut command = Command::new(std::path::absolute(program)?);
    command
        .arg("run")
        .env("GW_CONFIG", config)
        .env("GW_OPS", "127.0.0.1:0")
        .env("TMPDIR", state)
        .current_dir(state)
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .stdin(Stdio::null());
    for variable in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
        command.env_remove(variable);
    }
    Ok(command)
}

/// The operations address in a log line.
fn operations_address(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once("ops: ")?;
    rest.split([',', ' ', '"']).next()?.trim().parse().ok()
}

impl Proxy {
    /// Runs `program run` with this configuration file, with `GW_OPS` on a port of the system's
    /// choice, and waits at most `timeout` until it logs its operations address. `state` is its
    /// `TMPDIR`, where a successor finds its state, and its working directory, where it reads
    /// `deploy/membership.toml`.
    ///
    /// # Errors
    /// The program cannot be run, ends or logs no address in time.
    pub fn start(
        name: &str,
        program: &Path,
        config: &Path,
        state: &Path,
        timeout: Duration,
    ) -> Result<Proxy, StartError> {
        let mut child = command(program, config, state)?.spawn()?;
        let stderr = child.stderr.take().expect("piped");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = Arc::clone(&log);
        // The log is read continuously, so that the process never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines.lock().expect("not poisoned").push(line);
            }
        });
        let proxy = Proxy {
            name: name.into(),
            ops: SocketAddr::from(([127, 0, 0, 1], 0)),
            child,
            log,
        };
        proxy.await_operations_address(timeout)
    }

    fn await_operations_address(mut self, timeout: Duration) -> Result<Proxy, StartError> {
        let start = Instant::now();
        loop {
            let address = {
                let log = self.log.lock().expect("not poisoned");
                log.iter().find_map(|line| operations_address(line))
            };
            if let Some(address) = address {
                self.ops = address;
                return Ok(self);
            }
            if start.elapsed() > timeout || self.has_ended() {
                return Err(StartError::NoOperationsAddress(self.tail(3)));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Process id of the proxy.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Every line that the process has written to stderr so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().expect("not poisoned").clone()
    }

    /// The last `count` log lines of the process, joined by ` | `.
    #[must_use]
    pub fn tail(&self, count: usize) -> String {
        let log = self.log.lock().expect("not poisoned");
        log[log.len().saturating_sub(count)..].join(" | ")
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process has ended and has been reaped.
    pub fn signal(&self, signal: ProcessSignal) -> std::io::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal.number()).map_err(std::io::Error::from)
    }

    /// Whether the process has ended; if so, reaps it.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Memory and open descriptors of the process, from `/proc`; `None` once it has ended.
    #[must_use]
    pub fn usage(&self) -> Option<ResourceUsage> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = resident.trim().trim_end_matches("kB").trim().parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).ok()?;
        Some(ResourceUsage {
            memory: kilobytes * 1024,
            descriptors: descriptors.count(),
        })
    }

    /// Sends the command `ready` to the operations address until it responds `+OK`, at most for
    /// `timeout`; returns how long that took.
    #[must_use]
    pub fn ready(&self, timeout: Duration) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if crate::send_command(self.ops, "ready")
                .is_ok_and(|response| response.starts_with("+OK"))
            {
                return Some(start.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.signal(ProcessSignal::Continue);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
