//! The configuration of the client proxy: the JSON file that `GW_CONFIG` names, and the environment
//! variables that override it. `docs/operators/configuration.md` describes each key.
//!
//! The deployment settings are flattened to the simulator's `path=value` form and parsed by
//! `ironmast_settings`, as the simulator adapter does, so that both programs agree on them.

mod flatten;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use ironmast_settings::{DeploymentSettings, FieldError};
use serde::Deserialize;
use serde_json::Value;

use flatten::flatten;

/// The environment variable with the path of the configuration file.
const PATH_VARIABLE: &str = "GW_CONFIG";

/// The environment variable with the address of discovery; overrides the file's `discovery`.
const DISCOVERY_VARIABLE: &str = "GW_DISCOVERY";

/// Keys whose changes are not reported as needing a restart: `discovery` takes effect on SIGHUP;
/// `known` and `seed` are used only during startup.
const KEYS_WITHOUT_RESTART: [&str; 3] = ["discovery", "known", "seed"];

/// The default of `limits.sockets`: the maximum number of open file descriptors.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;

/// The default of `limits.memory_mb`: the memory for buffered bodies, in MB.
const DEFAULT_MEMORY_MB: usize = 64;

/// The validated configuration of a client proxy.
pub struct Config {
    /// The name of the proxy in its deployment.
    pub name: String,
    /// The address on which the proxy accepts clients; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address for operator commands; `None` disables them.
    pub ops: Option<SocketAddr>,
    /// The seed of the decision module's and membership's random numbers.
    pub seed: u64,
    /// The maximum number of open file descriptors, for the two processes of a hot restart
    /// together.
    pub max_descriptors: usize,
    /// The memory for buffered request and response bodies, in MB.
    pub memory_mb: usize,
    /// The UDP address for the peers' datagrams; `None` if there are no peers.
    pub peer_listen: Option<SocketAddr>,
    /// The UDP addresses of all proxies of the cluster, indexed by proxy number.
    pub peers: Vec<SocketAddr>,
    /// The UDP address that reaches all peers at once, if there is one.
    pub broadcast: Option<SocketAddr>,
    /// The last known endpoint list, as discovery's JSON; may be outdated.
    pub cached_endpoints: Option<Value>,
    /// The deployment settings: those of the decision module, and the names of its ids.
    pub deployment: DeploymentSettings,
    /// The flattened values of the file that take effect only after a restart.
    restart_values: BTreeMap<String, String>,
}

/// Why the configuration can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `GW_CONFIG` is not set.
    #[error(
        "{PATH_VARIABLE} is not set: set it to the path of the proxy's JSON file \
         (docs/operators/configuration.md), or see proxies at work: `cargo build --release && \
         target/release/ironmast-testbed demo`"
    )]
    NoPath,
    /// The configuration file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file is not JSON, or a key has a value of another type.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: String,
        /// The parser's error.
        error: serde_json::Error,
    },
    /// A required value is neither in the environment nor in the file.
    #[error("{variable} is not set, and {path} has no value for it")]
    Missing {
        /// The environment variable that could supply the value.
        variable: &'static str,
        /// The file.
        path: String,
    },
    /// A value is not an IP address with a port.
    #[error("{variable}: `{value}` is not ADDRESS:PORT")]
    InvalidAddress {
        /// The environment variable; also named if the value comes from its key in the file.
        variable: &'static str,
        /// The text that can't be parsed.
        value: String,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed: `{0}` is not hex digits")]
    InvalidSeed(String),
    /// The deployment settings are invalid.
    #[error("{path}: settings: {error}")]
    InvalidSettings {
        /// The file.
        path: String,
        /// The first invalid setting.
        error: FieldError,
    },
}

/// The JSON file, before defaults and environment variables are applied.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<Value>,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// Reads the configuration from the file that `GW_CONFIG` names and from the environment
    /// variables that override it; `env` looks up a variable.
    ///
    /// # Errors
    /// [`ConfigError`] for the first invalid or missing value.
    pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = env(PATH_VARIABLE).ok_or(ConfigError::NoPath)?;
        let json = read_json(&path)?;
        let file = File::deserialize(&json).map_err(|error| ConfigError::Malformed {
            path: path.clone(),
            error,
        })?;
        let required = |variable, value: Option<String>| {
            env(variable).or(value).ok_or_else(|| ConfigError::Missing {
                variable,
                path: path.clone(),
            })
        };
        let address = |variable, value| parse_address(variable, required(variable, value)?);
        Ok(Config {
            name: required("GW_NAME", file.name)?,
            listen: address("GW_LISTEN", file.listen)?,
            discovery: address(DISCOVERY_VARIABLE, file.discovery)?,
            ops: env("GW_OPS")
                .or(file.ops)
                .map(|value| parse_address("GW_OPS", value))
                .transpose()?,
            seed: parse_seed(file.seed.unwrap_or_default())?,
            max_descriptors: file.limits.sockets.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
            memory_mb: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            peer_listen: file.peer_listen,
            peers: file.peers,
            broadcast: file.peers_all,
            cached_endpoints: file.known,
            deployment: deployment_settings(&file.settings)
                .map_err(|error| ConfigError::InvalidSettings { path, error })?,
            restart_values: restart_values(json),
        })
    }

    /// Reads the file again. Unlike at startup, the file's address of discovery overrides the
    /// environment variable, which cannot change while the process runs and may name an address
    /// that no longer listens.
    ///
    /// # Errors
    /// As for [`Config::read`].
    pub fn read_again(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let config = Config::read(&env);
        let without_discovery = |name: &str| env(name).filter(|_| name != DISCOVERY_VARIABLE);
        // Fails if the file has no address of discovery; the variable's then stays in use.
        Config::read(without_discovery).or(config)
    }

    /// A one-line summary of the configuration for the operator.
    #[must_use]
    pub fn summary(&self) -> String {
        let Config {
            name,
            listen,
            discovery,
            ops,
            max_descriptors,
            deployment,
            ..
        } = self;
        let classes = deployment.classes.join(", ");
        let zone = &deployment.zones[deployment.settings.zone];
        let operators = ops.map_or("operator commands are disabled".to_string(), |address| {
            format!("operator commands on {address}")
        });
        format!(
            "sound: {name} listens on {listen} in zone {zone} for {classes}; discovery is {discovery}; \
             {operators}; up to {max_descriptors} file descriptors"
        )
    }

    /// The paths of the values that differ in `new` and take effect only after a restart, sorted.
    #[must_use]
    pub fn changes_needing_restart(&self, new: &Config) -> Vec<String> {
        let paths: BTreeSet<&String> = self
            .restart_values
            .keys()
            .chain(new.restart_values.keys())
            .collect();
        paths
            .into_iter()
            .filter(|path| self.restart_values.get(*path) != new.restart_values.get(*path))
            .cloned()
            .collect()
    }
}

fn read_json(path: &str) -> Result<Value, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::Unreadable {
        path: path.to_string(),
        error,
    })?;
    serde_json::from_str(&text).map_err(|error| ConfigError::Malformed {
        path: path.to_string(),
        error,
    })
}

fn parse_address(variable: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value
        .parse()
        .map_err(|_| ConfigError::InvalidAddress { variable, value })
}

/// Parses a 64-bit number from up to 16 hexadecimal digits.
fn parse_seed(digits: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&digits, 16).map_err(|_| ConfigError::InvalidSeed(digits))
}

/// Parses the deployment settings from their nested form in the file.
///
/// # Errors
/// [`FieldError`] for the first invalid setting.
pub(crate) fn deployment_settings(settings: &Value) -> Result<DeploymentSettings, FieldError> {
    let mut pairs = BTreeMap::new();
    flatten("", settings, &mut pairs);
    DeploymentSettings::from_pairs(
        pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str())),
    )
}

fn restart_values(mut file: Value) -> BTreeMap<String, String> {
    if let Some(file) = file.as_object_mut() {
        file.retain(|key, _| !KEYS_WITHOUT_RESTART.contains(&key.as_str()));
    }
    let mut values = BTreeMap::new();
    flatten("", &file, &mut values);
    values
}

#[cfg(test)]
mod tests;
