//! Runs the roles of the system as processes, each machine on its own loopback address. Settings and
//! disks are in a temporary directory of the test.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod client;
pub(crate) mod server;

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use ironmast_fault_injection::free_ports::find_consecutive_free_ports;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// The maximum time that [`eventually`] waits, with a margin for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How often a condition is evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The contact timeout is the shortest of four timing bounds divided by this.
const CONTACT_TIMEOUT_DIVISOR: u128 = 3;
/// The number of consecutive ports that a site needs.
const PORTS: u16 = 10;
/// Distance between the starting points of different test processes' searches for free ports.
const SITES_PER_PROCESS: usize = 37;
/// The offset of the port at which an agent serves its gate, the only port at 127.0.0.1.
const FEED_OFFSET: u16 = 2;
/// The offset of the port at 127.0.0.1 that a site holds for as long as it exists.
const RESERVED_OFFSET: u16 = 9;

/// Evaluates a condition until it yields a value, and returns that; `what` names it in the panic.
///
/// # Panics
/// Panics if the condition yields no value within 60 s.
pub(crate) fn eventually<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether a coordinator may create the replica set (the setting `bootstrap`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bootstrap {
    Permitted,
    Forbidden,
}

/// The machines of one test.
pub(crate) struct Site {
    directory: TempDir,
    network: [u8; 2],
    port: u16,
    /// Keeps the ports from another site that starts at the same time. Otherwise both agents would
    /// serve their gates at the same port of 127.0.0.1.
    reservation: Option<TcpListener>,
    seeds: Vec<SocketAddr>,
    /// How long a coordinator may reach no majority before its contact counts as lost; `None` for
    /// the 1 s that follows from the default timing bounds.
    contact_timeout: Option<Duration>,
}

impl Site {
    /// Creates a site whose seeds are the first `coordinators` machines.
    pub(crate) fn new(coordinators: u8) -> Self {
        static SITES: AtomicU8 = AtomicU8::new(1);
        // Each test uses its own addresses, so that no other test takes its ports.
        let network = [
            (std::process::id() % 250) as u8 + 1,
            SITES.fetch_add(1, Ordering::Relaxed),
        ];
        let mut site = Site {
            directory: tempfile::tempdir().expect("a directory"),
            network,
            port: 0,
            reservation: None,
            seeds: vec![],
            contact_timeout: None,
        };
        let process = std::process::id() as usize;
        let start = process * SITES_PER_PROCESS + usize::from(network[1]);
        // The agent of a machine serves its gate at 127.0.0.1.
        let addresses = [site.ip(1), Ipv4Addr::LOCALHOST.into()];
        (site.port, site.reservation) = (start..)
            .find_map(|start| {
                let port = find_consecutive_free_ports(&addresses, PORTS, start)?;
                let reserved = (Ipv4Addr::LOCALHOST, port + RESERVED_OFFSET);
                Some((port, Some(TcpListener::bind(reserved).ok()?)))
            })
            .expect("free ports");
        site.seeds = (1..=coordinators)
            .map(|number| site.control_plane(number))
            .collect();
        site
    }

    /// Sets another contact timeout. A test that asserts the status of a single call needs one far
    /// longer than a coordinator may stall on a busy machine.
    pub(crate) fn with_contact_timeout(mut self, contact_timeout: Duration) -> Self {
        self.contact_timeout = Some(contact_timeout);
        self
    }

    fn ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], number])
    }

    /// The address at which the coordinator of a machine serves its HTTP API.
    pub(crate) fn control_plane(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 6)
    }

    /// The address at which the coordinator of a machine serves the directory of gates.
    pub(crate) fn directory(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 7)
    }

    /// The address at which the gate of a machine serves clients.
    pub(crate) fn frontend(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 8)
    }

    /// The address at which the gate of a machine serves its readiness.
    pub(crate) fn readiness(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 9)
    }

    /// The address at which the coordinator of a machine accepts links from other nodes.
    pub(crate) fn internal(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port)
    }

    /// The address at which an agent accepts the link of its gate.
    pub(crate) fn feed(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.port + FEED_OFFSET))
    }

    fn disk(&self, number: u8) -> PathBuf {
        self.directory.path().join(format!("disk-{number}"))
    }

    /// Starts the coordinator of a machine, which may create the replica set.
    pub(crate) fn bootstrap_coordinator(&self, number: u8) -> Role {
        self.start("coordinator", number, Bootstrap::Permitted)
    }

    /// Starts the coordinator of a machine, which joins an existing replica set.
    pub(crate) fn start_coordinator(&self, number: u8) -> Role {
        self.start("coordinator", number, Bootstrap::Forbidden)
    }

    pub(crate) fn start_gate(&self, number: u8) -> Role {
        self.start("gate", number, Bootstrap::Forbidden)
    }

    pub(crate) fn start_agent(&self, number: u8) -> Role {
        self.start("agent", number, Bootstrap::Forbidden)
    }

    /// Writes the settings of a machine and starts a role with them.
    fn start(&self, role: &str, number: u8, bootstrap: Bootstrap) -> Role {
        let mut program = Command::new(env!("CARGO_BIN_EXE_ironmast"));
        program.args([role, "--log-level", "info"]);
        self.launch(program, role, number, bootstrap)
    }

    /// Starts the agent of a machine with a limit on its file descriptors.
    pub(crate) fn start_agent_with_descriptors(&self, number: u8, descriptors: u32) -> Role {
        let ironmast = env!("CARGO_BIN_EXE_ironmast");
        let command = format!("ulimit -n {descriptors}; exec '{ironmast}' agent");
        let mut shell = Command::new("sh");
        shell.args(["-c", &command]);
        self.launch(shell, "agent", number, Bootstrap::Forbidden)
    }

    /// Starts a program other than the one under test as the coordinator of a machine, which may
    /// create the replica set.
    pub(crate) fn bootstrap_other_coordinator(&self, program: Command, number: u8) -> Role {
        self.launch(program, "coordinator", number, Bootstrap::Permitted)
    }

    /// Writes the settings of a machine and starts a program with them. Its log is appended to the
    /// log of earlier processes of the same role.
    fn launch(&self, mut program: Command, role: &str, number: u8, bootstrap: Bootstrap) -> Role {
        let settings = self.settings_path(role, number);
        fs::create_dir_all(self.disk(number)).expect("a disk");
        fs::write(&settings, self.settings(number, bootstrap)).expect("the settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(role, number))
            .expect("a log");
        let child = program
            .env("IRONMAST_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program runs");
        Role { child }
    }

    /// Replaces `old` by `new` in the settings file of a role on a machine; the role reads the file at
    /// its next reload.
    pub(crate) fn edit_settings(&self, role: &str, number: u8, old: &str, new: &str) {
        let path = self.settings_path(role, number);
        let settings = fs::read_to_string(&path).expect("settings");
        assert!(settings.contains(old), "{settings}");
        fs::write(&path, settings.replace(old, new)).expect("written");
    }

    /// The settings file of a role on a machine.
    pub(crate) fn settings_path(&self, role: &str, number: u8) -> PathBuf {
        self.directory.path().join(format!("{role}-{number}.yaml"))
    }

    fn log_path(&self, role: &str, number: u8) -> PathBuf {
        self.directory.path().join(format!("{role}-{number}.log"))
    }

    /// The lines that a role on a machine has logged so far.
    pub(crate) fn log(&self, role: &str, number: u8) -> Vec<String> {
        let log = fs::read_to_string(self.log_path(role, number)).unwrap_or_default();
        // A line is written in parts: the last one is complete only with its end.
        let complete = log.rsplit_once('\n').map_or("", |(complete, _)| complete);
        complete.lines().map(str::to_string).collect()
    }

    /// Waits until a role on a machine has logged a line with this text; returns all such lines.
    pub(crate) fn logged(&self, role: &str, number: u8, text: &str) -> Vec<String> {
        eventually(text, || {
            let mut lines = self.log(role, number);
            lines.retain(|line| line.contains(text));
            (!lines.is_empty()).then_some(lines)
        })
    }

    /// Empties the disk of a machine.
    pub(crate) fn wipe(&self, number: u8) {
        fs::remove_dir_all(self.disk(number)).expect("emptied");
    }

    /// The settings line with the timing bounds from which the contact timeout follows.
    fn timing_bounds(&self) -> String {
        let Some(timeout) = self.contact_timeout else {
            return String::new();
        };
        let bound_ms = CONTACT_TIMEOUT_DIVISOR * timeout.as_millis();
        format!(
            "timing_bounds: {{contact_ms: {bound_ms}, drain_timeout_ms: {bound_ms}, \
             config_apply_ms: {bound_ms}, evacuation_ms: {bound_ms}}}\n"
        )
    }

    fn settings(&self, number: u8, bootstrap: Bootstrap) -> String {
        let seeds: String = self
            .seeds
            .iter()
            .map(|seed| format!("\n  - \"{seed}\""))
            .collect();
        format!(
            "node_name: \"m{number}\"
ip_address: \"{ip}\"
zone: \"z{number}\"
region: \"r\"
listeners_map:
  control_plane: \"{control_plane}\"
  directory_service: \"{directory}\"
  frontend: \"{frontend}\"
  readiness: \"{readiness}\"
internal_port_range: [{first}, {last}]
bootstrap: {bootstrap}
data_directory: \"{disk}\"
limits:
  disk_mb: 16
{timing_bounds}seed_nodes:{seeds}
",
            ip = self.ip(number),
            bootstrap = bootstrap == Bootstrap::Permitted,
            control_plane = self.control_plane(number),
            directory = self.directory(number),
            frontend = self.frontend(number),
            readiness = self.readiness(number),
            first = self.port,
            last = self.port + 5,
            disk = self.disk(number).display(),
            timing_bounds = self.timing_bounds(),
        )
    }
}

impl Site {
    /// Prints the logs of all roles.
    pub(crate) fn print_logs(&self) {
        let files = fs::read_dir(self.directory.path()).into_iter().flatten();
        for path in files.flatten().map(|file| file.path()) {
            if path.extension().is_some_and(|extension| extension == "log") {
                let log = fs::read_to_string(&path).unwrap_or_default();
                eprintln!("{}:\n{log}", path.display());
            }
        }
    }
}

impl Drop for Site {
    /// Prints the logs of a test that has failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

/// A running process of a role; dropping it kills the process.
pub(crate) struct Role {
    child: Child,
}

impl Role {
    /// Sends SIGSTOP: the process is suspended until [`Role::resume`].
    pub(crate) fn pause(&self) {
        kill_process(Pid::from_child(&self.child), Signal::STOP).expect("signalled");
    }

    /// Sends SIGCONT.
    pub(crate) fn resume(&self) {
        kill_process(Pid::from_child(&self.child), Signal::CONT).expect("signalled");
    }

    /// Sends SIGHUP: the process reloads its settings.
    pub(crate) fn reload(&self) {
        kill_process(Pid::from_child(&self.child), Signal::HUP).expect("signalled");
    }

    /// Sends SIGTERM: the process ends gracefully.
    pub(crate) fn terminate(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).expect("signalled");
    }

    /// Waits until the process has installed its signal handlers: until then a signal ends it.
    pub(crate) fn wait_until_started(&self) {
        eventually("signal handlers", || {
            let path = format!("/proc/{}/status", self.child.id());
            let status = fs::read_to_string(path).ok()?;
            let caught = status
                .lines()
                .find_map(|line| line.strip_prefix("SigCgt:"))?;
            let caught = u64::from_str_radix(caught.trim(), 16).ok()?;
            let bit = |signal: Signal| 1_u64 << (signal.as_raw() - 1);
            (caught & bit(Signal::HUP) != 0 && caught & bit(Signal::TERM) != 0).then_some(())
        });
    }

    /// Waits for the process to exit; `None` if it has not after `timeout`.
    pub(crate) fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub(crate) fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("reaped");
    }

    /// Sends SIGKILL to all processes before it waits for the first one to exit.
    pub(crate) fn kill_all(roles: Vec<Role>) {
        for role in &roles {
            kill_process(Pid::from_child(&role.child), Signal::KILL).expect("signalled");
        }
        roles.into_iter().for_each(Role::kill);
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}
