//! The settings' fields, with the ranges of their values.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use garde::Validate;
use serde::Deserialize;

use super::timing_bounds::TimingBounds;

/// The settings of one process.
#[derive(Debug, Clone, Deserialize, Validate)]
pub struct Settings {
    /// Name of the machine, for the log. Must not be empty.
    #[garde(length(min = 1))]
    pub node_name: String,
    /// Address at which other machines reach this one; it identifies a coordinator in the register.
    /// With a wrong address other machines cannot connect to this one.
    #[garde(skip)]
    pub ip_address: IpAddr,
    /// Zone of the machine. A wrong zone assigns replicas and clients' traffic to the wrong failure
    /// domain. Must not be empty.
    #[garde(length(min = 1))]
    pub zone: String,
    /// Region of the machine. A wrong region sends clients' requests over long links. Must not be
    /// empty.
    #[garde(length(min = 1))]
    pub region: String,
    /// Regions by zone. A zone that is missing here is treated as a region of its own
    /// ([`Settings::region_of`]).
    #[serde(default)]
    #[garde(skip)]
    pub zones: BTreeMap<String, String>,
    /// Addresses of the listeners. A role doesn't start without those that it serves
    /// ([`SettingsError::MissingListener`](super::SettingsError::MissingListener)).
    #[serde(default)]
    #[garde(skip)]
    pub listeners_map: Listeners,
    /// First and last port for the system's internal traffic; at least four ports. All machines
    /// need the same range: others cannot reach a machine that has another one
    /// ([`Settings::internal_port`]).
    #[garde(custom(validate_port_range))]
    pub internal_port_range: [u16; 2],
    /// `control_plane` addresses of the coordinators known when the file was written; only the IP
    /// addresses are used. If none of these coordinators is reachable, the process joins only once
    /// a machine that knows its address connects to it.
    #[serde(default)]
    #[garde(skip)]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks. With `false` at the
    /// first start, no register is created and no change is accepted; `register/src/bootstrap.rs`
    /// describes the check against `true` on a machine that is replaced later.
    #[serde(default)]
    #[garde(skip)]
    pub bootstrap: bool,
    /// Resource limits of the process.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Directory for the process's data. A coordinator doesn't start without it; other roles ignore
    /// it.
    #[serde(default)]
    #[garde(skip)]
    pub data_directory: Option<PathBuf>,
    /// Approximate interval of a server's heartbeats, in ms. Four missed heartbeats mark a server
    /// unreachable: if the value is too short, live servers are marked; if it is too long, crashed
    /// servers are detected late.
    #[serde(default = "default_heartbeat_interval_ms")]
    #[garde(range(min = 50, max = 60_000))]
    pub heartbeat_interval_ms: u64,
    /// Failures that the system tolerates; determines the size of the replica set.
    #[serde(default)]
    #[garde(skip)]
    pub fault_tolerance: FaultTolerance,
    /// Timing requirements on the system.
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
    /// Memory limit, in MiB; bounds the bodies that a gate buffers. If it exceeds the machine's
    /// memory, the process can be killed; if it is too low, requests with long bodies wait for each
    /// other.
    #[garde(range(min = 1))]
    pub memory_mb: u64,
    /// Maximum number of file descriptors; a gate divides them between clients and servers. If it
    /// exceeds the operating system's limit, accepting and opening connections fails.
    #[garde(range(min = 64))]
    pub max_fds: usize,
    /// Disk space, in MiB; 0 means the default of the register's log. The log uses an eighth of it;
    /// a coordinator cannot write records that do not fit into that.
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
    /// Number of replicas that may fail at the same time. The replica set has `2 * hosts_lost + 1`
    /// members: a higher value tolerates more failures, but each change is sent to more replicas.
    pub hosts_lost: usize,
    /// Number of zones that may fail. No program reads it: replicas are always spread over as many
    /// zones as there are.
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

/// The listeners on ports of the internal range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InternalPort {
    /// A coordinator's listener for other coordinators and agents.
    Coordinator,
    /// The listener of an agent or coordinator for the overlay.
    Agent,
    /// An agent's listener for the gate on the same machine; on loopback only.
    Feed,
    /// A gate's socket for datagrams of other gates.
    Gate,
}

impl Settings {
    /// Returns the port of the internal range for a listener.
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

    /// Returns the region of a zone; a zone that is not in [`Settings::zones`] is a region of its
    /// own.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }

    /// Returns the addresses at which the seed nodes accept other coordinators and agents.
    #[must_use]
    pub fn seed_coordinators(&self) -> Vec<SocketAddr> {
        let port = self.internal_port(InternalPort::Coordinator);
        self.seed_nodes
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect()
    }
}

/// Number of internal ports that the programs use, one for each [`InternalPort`].
const MIN_INTERNAL_PORTS: u32 = 4;

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "garde passes both by reference"
)]
fn validate_port_range(range: &[u16; 2], _: &()) -> garde::Result {
    let [first, last] = range.map(u32::from);
    if first == 0 {
        return Err(garde::Error::new("port 0 is none"));
    }
    if last + 1 >= first + MIN_INTERNAL_PORTS {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "needs {MIN_INTERNAL_PORTS} ports, first to last"
    )))
}

fn default_heartbeat_interval_ms() -> u64 {
    1_200
}
