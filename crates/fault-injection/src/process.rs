//! Proxies as real processes: started, signalled and watched by their process id, and ended with
//! the stage.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// A signal the stage sends to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGKILL: a crash.
    Kill,
    /// SIGTERM: a planned end.
    Term,
    /// SIGSTOP: a pause, until [`ProcessSignal::Continue`].
    Stop,
    /// SIGCONT.
    Continue,
    /// SIGHUP: read the configuration again.
    Hangup,
}

/// Errors of starting a proxy.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program could not be run.
    #[error("the proxy could not be run: {0}")]
    Spawn(#[from] std::io::Error),
    /// It ended or fell silent before it told where operators call.
    #[error("the proxy never told where operators call (its last lines: {0})")]
    Silent(String),
}

/// One proxy process. It is owned here alone: dropping it kills and reaps it.
pub struct Proxy {
    /// Its name on the stage, as in link names (`proxy0`).
    pub name: String,
    /// Where its operators' address listens.
    pub ops: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Proxy {
    /// Runs `program run` with this configuration file, `GW_OPS` on a port of the system's choice
    /// and `TMPDIR` at `state` (its state directory, where a successor finds it, and its working
    /// directory, where it reads `deploy/membership.toml`), and waits (at most `patience`) until it
    /// tells where operators call.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        config: &Path,
        state: &Path,
        patience: Duration,
    ) -> Result<Proxy, StartError> {
        // It runs in its state directory: a relative path would be looked for there.
        let mut command = Command::new(std::path::absolute(program)?);
        command
            .arg("run")
            .env("GW_CONFIG", config)
            .env("GW_OPS", "127.0.0.1:0")
            .env("TMPDIR", state)
            .current_dir(state);
        command
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .stdin(Stdio::null());
        for variable in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
            command.env_remove(variable);
        }
        let mut child = command.spawn()?;
        let stderr = child.stderr.take().expect("piped");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = Arc::clone(&log);
        // The log is drained at once, so that a proxy never waits on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines() {
                let Ok(line) = line else { return };
                lines.lock().expect("not poisoned").push(line);
            }
        });
        let start = Instant::now();
        let mut proxy = Proxy {
            name: name.into(),
            ops: SocketAddr::from(([127, 0, 0, 1], 0)),
            child,
            log,
        };
        loop {
            let found = proxy
                .log
                .lock()
                .expect("not poisoned")
                .iter()
                .find_map(|line| {
                    let (_, rest) = line.split_once("ops: ")?;
                    rest.split([',', ' ', '"']).next()?.trim().parse().ok()
                });
            if let Some(ops) = found {
                proxy.ops = ops;
                return Ok(proxy);
            }
            if start.elapsed() > patience || proxy.child.try_wait().ok().flatten().is_some() {
                return Err(StartError::Silent(proxy.tail(3)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Every line of its log so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().expect("not poisoned").clone()
    }

    /// The last `n` lines of its log, joined by ` | `.
    #[must_use]
    pub fn tail(&self, n: usize) -> String {
        let log = self.log.lock().expect("not poisoned");
        log[log.len().saturating_sub(n)..].join(" | ")
    }

    /// Sends it a signal; an error where it has already been reaped.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, sent: ProcessSignal) -> std::io::Result<()> {
        let signal = match sent {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Hangup => Signal::HUP,
        };
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(std::io::Error::from)
    }

    /// Whether it has ended (and is reaped).
    pub fn ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Resident memory in bytes and open descriptors, from /proc; none once it has ended.
    #[must_use]
    pub fn usage(&self) -> Option<(u64, usize)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let kb: u64 = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))?
            .trim()
            .trim_end_matches("kB")
            .trim()
            .parse()
            .ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid()))
            .ok()?
            .count();
        Some((kb * 1024, descriptors))
    }

    /// Asks its operators' address `ready` until it says yes, at most `patience`; the time that
    /// took.
    #[must_use]
    pub fn ready(&self, patience: Duration) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < patience {
            if crate::call(self.ops, "ready").is_ok_and(|a| a.starts_with("+OK")) {
                return Some(start.elapsed());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.signal(ProcessSignal::Continue);
        let _ = (self.child.kill(), self.child.wait());
    }
}
