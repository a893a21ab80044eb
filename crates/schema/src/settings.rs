//! The settings file of a process: YAML, named by `IRONMAST_CONFIG` (DEPLOY.md, "Settings of a
//! process"). Unknown keys are ignored.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use garde::Validate;
use serde::Deserialize;

/// The variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "IRONMAST_CONFIG";

/// Why a settings file can't be used. Each message is one line: path, reason and what to do.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The variable is missing.
    #[error("{SETTINGS_VARIABLE} is not set: set it to the path of the settings file")]
    NoVariable,
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}", path = .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The file is no YAML of this form.
    #[error("{path}: {reason}", path = .path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's reason, with the place.
        reason: String,
    },
    /// A value is out of range.
    #[error("{path}: {reason}", path = .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Each field and what is wrong with it.
        reason: String,
    },
    /// A role needs an address that the file doesn't give.
    #[error("listeners_map.{name} is missing: this role serves it")]
    NoListener {
        /// The name of the listener.
        name: &'static str,
    },
}

/// The settings of one process.
#[derive(Debug, Clone, Deserialize, Validate)]
pub struct Settings {
    /// The machine's name.
    #[garde(length(min = 1))]
    pub node_name: String,
    /// The address that other machines reach it at.
    #[garde(skip)]
    pub ip_address: IpAddr,
    /// Its zone.
    #[garde(length(min = 1))]
    pub zone: String,
    /// Its region.
    #[garde(length(min = 1))]
    pub region: String,
    /// The region of every zone.
    #[serde(default)]
    #[garde(skip)]
    pub zones: BTreeMap<String, String>,
    /// Where the role serves what it serves.
    #[serde(default)]
    #[garde(skip)]
    pub listeners_map: Listeners,
    /// First and last port for the system's own traffic, on every machine the same.
    #[garde(custom(ordered))]
    pub internal_port_range: [u16; 2],
    /// `control_plane` addresses known when the file was written.
    #[serde(default)]
    #[garde(skip)]
    pub seed_nodes: Vec<SocketAddr>,
    /// The whole system starts for the first time, with empty disks.
    #[serde(default)]
    #[garde(skip)]
    pub bootstrap: bool,
    /// What the process may use.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Where files may be kept.
    #[serde(default)]
    #[garde(skip)]
    pub data_directory: Option<PathBuf>,
    /// About how often a server sends a heartbeat, in ms.
    #[serde(default = "default_heartbeat")]
    #[garde(range(min = 50, max = 60_000))]
    pub heartbeat_interval_ms: u64,
    /// What may be lost at once.
    #[serde(default)]
    #[garde(skip)]
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules in force.
    #[serde(default)]
    #[garde(dive)]
    pub timing_bounds: TimingBounds,
}

/// Addresses of a process's listeners; those a role doesn't serve are absent.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Listeners {
    /// Clients' requests.
    pub frontend: Option<SocketAddr>,
    /// The platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Servers and the operator.
    pub control_plane: Option<SocketAddr>,
    /// Clients that resolve a name.
    pub directory_service: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MB.
    #[garde(range(min = 1))]
    pub memory_mb: u64,
    /// Descriptors.
    #[garde(range(min = 64))]
    pub max_fds: usize,
    /// Disk, in MB; 0 where there is none.
    #[garde(skip)]
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            memory_mb: 256,
            max_fds: 1024,
            disk_mb: 0,
        }
    }
}

/// What may be lost at once while every rule is kept.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines that count for the quorum.
    pub hosts_lost: usize,
    /// Zones.
    pub zones: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance {
            hosts_lost: 1,
            zones: 0,
        }
    }
}

/// Figures of the rules in force; keys carry their unit.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// How old the operators' list of machines may be, in s.
    #[garde(skip)]
    pub seed_staleness_s: f64,
    /// After this a server's address may belong to another, in s.
    #[garde(skip)]
    pub address_reuse_s: f64,
    /// A machine is in touch after so long without trouble, in ms.
    #[serde(deserialize_with = "whole")]
    #[garde(range(min = 1))]
    pub contact_ms: u64,
    /// Orders are acknowledged within this, in ms.
    #[serde(deserialize_with = "whole")]
    #[garde(range(min = 1))]
    pub ack_timeout_ms: u64,
    /// A machine that came back counts as whole after this, in s.
    #[garde(skip)]
    pub sync_time_s: f64,
    /// Nothing reaches a draining server later than this after its word, in ms.
    #[serde(deserialize_with = "whole")]
    #[garde(range(min = 1))]
    pub drain_timeout_ms: u64,
    /// From SIGTERM to SIGKILL, in s.
    #[garde(range(min = 0.1))]
    pub grace_period_s: f64,
    /// A configuration is in force everywhere within this, in ms.
    #[serde(deserialize_with = "whole")]
    #[garde(range(min = 1))]
    pub config_apply_ms: u64,
    /// Repeats, as a part of the requests.
    #[garde(range(min = 0.0))]
    pub retry_budget_ratio: f64,
    /// The window of the retry budget, in s.
    #[garde(range(min = 0.1))]
    pub retry_window_s: f64,
    /// Repeats allowed beyond the ratio in a window.
    #[garde(range(min = 0.0))]
    pub retry_burst: f64,
    /// Factor on a cold server's rate.
    #[garde(range(min = 0.0))]
    pub warmup_overshoot: f64,
    /// Requests a second beyond that.
    #[garde(range(min = 0.0))]
    pub warmup_tolerance: f64,
    /// Nothing reaches an evacuated zone later than this, in ms.
    #[serde(deserialize_with = "whole")]
    #[garde(range(min = 1))]
    pub evacuation_ms: u64,
    /// An event is passed on within this, in ms.
    #[serde(deserialize_with = "whole")]
    #[garde(range(min = 1))]
    pub pass_ms: u64,
    /// The longest time to live of an address answer, in s.
    #[garde(range(min = 0.1))]
    pub ttl_max_s: f64,
}

impl Default for TimingBounds {
    fn default() -> Self {
        TimingBounds {
            seed_staleness_s: 3.0,
            address_reuse_s: 2.0,
            contact_ms: 5_000,
            ack_timeout_ms: 6_000,
            sync_time_s: 4.0,
            drain_timeout_ms: 3_000,
            grace_period_s: 8.0,
            config_apply_ms: 3_000,
            retry_budget_ratio: 0.1,
            retry_window_s: 10.0,
            retry_burst: 10.0,
            warmup_overshoot: 1.0,
            warmup_tolerance: 0.0,
            evacuation_ms: 5_000,
            pass_ms: 600,
            ttl_max_s: 5.0,
        }
    }
}

/// Ports of the internal range, by what listens there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InternalPort {
    /// Coordinators, for one another and for agents.
    Coordinator,
    /// Agents, for one another.
    Agent,
    /// An agent, for the gate beside it, on loopback only.
    Feed,
    /// Gates, for one another, by datagrams.
    Gate,
}

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// Why it can't be used, in one line.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NoVariable)?;
        Settings::read(Path::new(&path))
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// Why it can't be used, in one line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(path, &text)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// Why it can't be used, in one line.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let one_line = |text: String| text.lines().map(str::trim).collect::<Vec<_>>().join("; ");
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| SettingsError::Malformed {
                path: path.to_path_buf(),
                reason: one_line(error.to_string()),
            })?;
        settings
            .validate()
            .map_err(|report| SettingsError::Invalid {
                path: path.to_path_buf(),
                reason: one_line(report.to_string()),
            })?;
        Ok(settings)
    }

    /// The port of the internal range for `what`.
    #[must_use]
    pub fn internal_port(&self, what: InternalPort) -> u16 {
        let offset = match what {
            InternalPort::Coordinator => 0,
            InternalPort::Agent => 1,
            InternalPort::Feed => 2,
            InternalPort::Gate => 3,
        };
        self.internal_port_range[0] + offset
    }

    /// The region of a zone; unknown zones are regions of their own.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }

    /// The seeds' addresses for traffic between coordinators and agents.
    #[must_use]
    pub fn seed_coordinators(&self) -> Vec<SocketAddr> {
        let port = self.internal_port(InternalPort::Coordinator);
        self.seed_nodes
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect()
    }
}

/// Internal ports that the programs use.
const PORTS_NEEDED: u16 = 4;

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "garde passes both by reference"
)]
fn ordered(range: &[u16; 2], _: &()) -> garde::Result {
    if range[1] >= range[0] && range[1] - range[0] + 1 >= PORTS_NEEDED {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "needs {PORTS_NEEDED} ports, first to last"
    )))
}

/// Reads a figure in ms; figures may have a fraction, which is less than the clock shows.
fn whole<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|figure| figure as u64)
}

fn default_heartbeat() -> u64 {
    1_200
}

#[cfg(test)]
mod tests;
