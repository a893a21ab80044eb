//! The settings file of a process: YAML, named by `IRONMAST_CONFIG` (DEPLOY.md, "Settings of a
//! process"). Unknown keys are ignored.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use garde::Validate;
use serde::Deserialize;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "IRONMAST_CONFIG";

/// Why a settings file can't be used. Each message is one line with path, reason and remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable isn't set.
    #[error("{SETTINGS_VARIABLE} is not set: set it to the path of the settings file")]
    VariableNotSet,
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}", path = .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file is not the YAML of settings.
    #[error("{path}: {reason}", path = .path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The parser's message with line and column.
        reason: String,
    },
    /// Values are out of range.
    #[error("{path}: {reason}", path = .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The fields with their reasons.
        reason: String,
    },
    /// The file lacks the address of a listener that the role needs.
    #[error("listeners_map.{name} is missing: this role serves it")]
    MissingListener {
        /// Key of the listener.
        name: &'static str,
    },
}

/// The settings of one process.
#[derive(Debug, Clone, Deserialize, Validate)]
pub struct Settings {
    /// Name of the machine.
    #[garde(length(min = 1))]
    pub node_name: String,
    /// Address at which other machines reach this one.
    #[garde(skip)]
    pub ip_address: IpAddr,
    /// Zone of the machine.
    #[garde(length(min = 1))]
    pub zone: String,
    /// Region of the machine.
    #[garde(length(min = 1))]
    pub region: String,
    /// Regions by zone.
    #[serde(default)]
    #[garde(skip)]
    pub zones: BTreeMap<String, String>,
    /// Addresses of the listeners.
    #[serde(default)]
    #[garde(skip)]
    pub listeners_map: Listeners,
    /// First and last port for the system's internal traffic; the same on every machine.
    #[garde(custom(validate_port_range))]
    pub internal_port_range: [u16; 2],
    /// `control_plane` addresses of the coordinators known when the file was written.
    #[serde(default)]
    #[garde(skip)]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(default)]
    #[garde(skip)]
    pub bootstrap: bool,
    /// Resource limits of the process.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Folder for the process's data.
    #[serde(default)]
    #[garde(skip)]
    pub data_directory: Option<PathBuf>,
    /// Approximate interval of a server's heartbeats, in ms.
    #[serde(default = "default_heartbeat_interval_ms")]
    #[garde(range(min = 50, max = 60_000))]
    pub heartbeat_interval_ms: u64,
    /// Failures that the system tolerates.
    #[serde(default)]
    #[garde(skip)]
    pub fault_tolerance: FaultTolerance,
    /// Timing bounds that the system has to keep.
    #[serde(default)]
    #[garde(dive)]
    pub timing_bounds: TimingBounds,
}

/// Addresses of a process's listeners; `None` for those that its role doesn't serve.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Listeners {
    /// Serves clients' requests.
    pub frontend: Option<SocketAddr>,
    /// Serves the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Serves servers' heartbeats and the operators' API.
    pub control_plane: Option<SocketAddr>,
    /// Serves clients' address resolution.
    pub directory_service: Option<SocketAddr>,
}

/// Resource limits of a process.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Memory limit, in MB.
    #[garde(range(min = 1))]
    pub memory_mb: u64,
    /// Largest number of file descriptors.
    #[garde(range(min = 64))]
    pub max_fds: usize,
    /// Disk space, in MB; 0 if the process has no disk.
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

/// The failures that the system tolerates at the same time.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Number of machines of the quorum that may fail.
    pub hosts_lost: usize,
    /// Number of zones that may fail.
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

/// Timing bounds that the system has to keep; the keys carry their units.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// Largest age of the operators' list of machines, in s.
    #[garde(skip)]
    pub seed_staleness_s: f64,
    /// Time after which a server's address may be reused by another server, in s.
    #[garde(skip)]
    pub address_reuse_s: f64,
    /// Time without faults after which a machine counts as in contact, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub contact_ms: u64,
    /// Timeout for the acknowledgement of an operator's change, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub ack_timeout_ms: u64,
    /// Time after which a machine that returned counts as synchronised, in s.
    #[garde(skip)]
    pub sync_time_s: f64,
    /// Time after a server's announcement to drain, after which it receives no request, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub drain_timeout_ms: u64,
    /// Time from SIGTERM to SIGKILL, in s.
    #[garde(range(min = 0.1))]
    pub grace_period_s: f64,
    /// Time within which a configuration is in force everywhere, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub config_apply_ms: u64,
    /// Retry budget, as a fraction of the requests.
    #[garde(range(min = 0.0))]
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in s.
    #[garde(range(min = 0.1))]
    pub retry_window_s: f64,
    /// Retries allowed beyond the ratio in a window.
    #[garde(range(min = 0.0))]
    pub retry_burst: f64,
    /// Factor on the rate limit of a server that is warming up.
    #[garde(range(min = 0.0))]
    pub warmup_overshoot: f64,
    /// Tolerance added to that rate limit, in requests per second.
    #[garde(range(min = 0.0))]
    pub warmup_tolerance: f64,
    /// Time after an evacuation, after which the zone receives no request, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub evacuation_ms: u64,
    /// Time within which an event of a stream is forwarded, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub pass_ms: u64,
    /// Largest time to live of a resolved address, in s.
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

/// The ports of the internal range, by listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InternalPort {
    /// A coordinator, for other coordinators and agents.
    Coordinator,
    /// An agent, for other agents.
    Agent,
    /// An agent, for the gate on the same machine; on loopback only.
    Feed,
    /// A gate, for datagrams of other gates.
    Gate,
}

impl Settings {
    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// Why the settings can't be used, in one line.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::VariableNotSet)?;
        Settings::read(Path::new(&path))
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Why the settings can't be used, in one line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(path, &text)
    }

    /// Parses and validates the text of a settings file; the path is for error messages.
    ///
    /// # Errors
    /// Why the settings can't be used, in one line.
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

    /// The port of the internal range for a listener.
    #[must_use]
    pub fn internal_port(&self, listener: InternalPort) -> u16 {
        let offset = match listener {
            InternalPort::Coordinator => 0,
            InternalPort::Agent => 1,
            InternalPort::Feed => 2,
            InternalPort::Gate => 3,
        };
        self.internal_port_range[0] + offset
    }

    /// The region of a zone; an unknown zone is a region of its own.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }

    /// The addresses of the seed nodes for internal traffic of coordinators and agents.
    #[must_use]
    pub fn seed_coordinators(&self) -> Vec<SocketAddr> {
        let port = self.internal_port(InternalPort::Coordinator);
        self.seed_nodes
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect()
    }
}

/// Number of internal ports that the programs use.
const MIN_INTERNAL_PORTS: u16 = 4;

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "garde passes both by reference"
)]
fn validate_port_range(range: &[u16; 2], _: &()) -> garde::Result {
    if range[1] >= range[0] && range[1] - range[0] + 1 >= MIN_INTERNAL_PORTS {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "needs {MIN_INTERNAL_PORTS} ports, first to last"
    )))
}

/// Reads a number of ms, and truncates a fraction, which is below the resolution of the clock.
fn truncated_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|milliseconds| milliseconds as u64)
}

fn default_heartbeat_interval_ms() -> u64 {
    1_200
}

#[cfg(test)]
mod tests;
