//! Machines of the system as real processes on loopback addresses of their own, with their settings
//! and disks in a folder of the test.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod client;

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Whatever a test waits for comes within this, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
/// Ports that a site needs behind its first one.
const PORTS: u16 = 10;

/// Asks until there is an answer.
pub(crate) fn eventually<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(answer) = ask() {
            return answer;
        }
        assert!(
            start.elapsed() < PATIENCE,
            "{what}: not within {PATIENCE:?}"
        );
        std::thread::sleep(POLL);
    }
}

/// The machines of one test.
pub(crate) struct Site {
    folder: TempDir,
    network: [u8; 2],
    port: u16,
    seeds: Vec<SocketAddr>,
}

/// The first of [`PORTS`] consecutive ports that are free at an address of the test's own.
///
/// At 127.0.0.1 they may not exist for a minute: other tests' closed connections occupy half of the
/// system's ports there.
fn first_of_free_ports(ip: IpAddr) -> Option<u16> {
    let listener = TcpListener::bind((ip, 0)).ok()?;
    let first = listener.local_addr().ok()?.port();
    drop(listener);
    let is_free = |port| TcpListener::bind((ip, port)).is_ok();
    let ports = first..first.checked_add(PORTS)?;
    ports.into_iter().all(is_free).then_some(first)
}

impl Site {
    /// A site whose seeds are the first `coordinators` machines.
    pub(crate) fn new(coordinators: u8) -> Self {
        static SITES: AtomicU8 = AtomicU8::new(1);
        // Addresses of a test process and a test of their own: ports that are free stay free.
        let network = [
            (std::process::id() % 250) as u8 + 1,
            SITES.fetch_add(1, Ordering::Relaxed),
        ];
        let mut site = Site {
            folder: tempfile::tempdir().expect("a folder"),
            network,
            port: 0,
            seeds: vec![],
        };
        site.port = eventually("free ports", || first_of_free_ports(site.ip(1)));
        site.seeds = (1..=coordinators)
            .map(|number| site.control_plane(number))
            .collect();
        site
    }

    fn ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], number])
    }

    /// Where the coordinator of a machine serves.
    pub(crate) fn control_plane(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 6)
    }

    /// Where the coordinator of a machine names gates.
    pub(crate) fn directory(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 7)
    }

    /// Where the gate of a machine serves clients.
    pub(crate) fn frontend(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 8)
    }

    /// Where the gate of a machine tells whether it is ready.
    pub(crate) fn readiness(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + 9)
    }

    fn disk(&self, number: u8) -> PathBuf {
        self.folder.path().join(format!("disk-{number}"))
    }

    /// Writes a machine's settings and starts a role of it.
    pub(crate) fn start(&self, role: &str, number: u8, bootstrap: bool) -> Role {
        let path = self.folder.path().join(format!("{role}-{number}.yaml"));
        fs::create_dir_all(self.disk(number)).expect("a disk");
        fs::write(&path, self.settings(number, bootstrap)).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_ironmast"))
            .args([role, "--log-level", "warning"])
            .env("IRONMAST_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program runs");
        Role { child }
    }

    /// Empties the disk of a machine.
    pub(crate) fn wipe(&self, number: u8) {
        fs::remove_dir_all(self.disk(number)).expect("emptied");
    }

    fn settings(&self, number: u8, bootstrap: bool) -> String {
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
seed_nodes:{seeds}
",
            ip = self.ip(number),
            control_plane = self.control_plane(number),
            directory = self.directory(number),
            frontend = self.frontend(number),
            readiness = self.readiness(number),
            first = self.port,
            last = self.port + 5,
            disk = self.disk(number).display(),
        )
    }
}

/// A role of a machine, running; dropping it kills it.
pub(crate) struct Role {
    child: Child,
}

impl Role {
    /// Stops its turn until [`Role::thaw`].
    pub(crate) fn freeze(&self) {
        kill_process(Pid::from_child(&self.child), Signal::STOP).expect("signalled");
    }

    /// Lets it go on.
    pub(crate) fn thaw(&self) {
        kill_process(Pid::from_child(&self.child), Signal::CONT).expect("signalled");
    }

    /// SIGKILL.
    pub(crate) fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("reaped");
    }

    /// Whether it still runs.
    pub(crate) fn runs(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}
