//! The configuration of the client proxy: the JSON file that `GW_CONFIG` names, and the variables
//! that take precedence over it. `docs/operators/configuration.md` describes each key.
//!
//! The settings of the deployment are flattened to the simulator's form `path=value` and read by
//! its parser, so that both programs agree on them.

mod flatten;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use ironmast_settings::{DeploymentSettings, FieldError};
use serde::Deserialize;
use serde_json::Value;

use flatten::flatten;

/// The variable that names the file.
const PATH_VARIABLE: &str = "GW_CONFIG";

/// The variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "GW_DISCOVERY";

/// Keys whose changes are not reported as needing a restart: `discovery` takes effect on SIGHUP;
/// `known` and `seed` matter only at a start.
const KEYS_WITHOUT_RESTART: [&str; 3] = ["discovery", "known", "seed"];

/// The descriptors that may be open, if the file gives no limit.
const DEFAULT_SOCKETS: usize = 1024;

/// The memory for bodies in MB, if the file gives no limit.
const DEFAULT_MEMORY_MB: usize = 64;

/// The configuration, validated.
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators connect; `None` if they can't.
    pub ops: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The number of descriptors that may be open.
    pub sockets: usize,
    /// The memory for bodies, in MB.
    pub memory_mb: usize,
    /// Where datagrams of peers arrive; `None` if there are no peers.
    pub peer_listen: Option<SocketAddr>,
    /// Every proxy of the cluster, by number.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all peers at once.
    pub broadcast: Option<SocketAddr>,
    /// The last known endpoint list, in discovery's form; may be outdated.
    pub cached_endpoints: Option<Value>,
    /// The settings of the deployment.
    pub deployment: DeploymentSettings,
    /// The values of the file that take effect at a start only, flattened.
    restart_values: BTreeMap<String, String>,
}

/// Why there is no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error(
        "{PATH_VARIABLE} is not set: set it to the path of the proxy's JSON file \
         (docs/operators/configuration.md), or see proxies at work: `cargo build --release && \
         target/release/ironmast-testbed demo`"
    )]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
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
    /// A required value is missing.
    #[error("{variable} is not set, and {path} has no value for it")]
    Missing {
        /// The variable that could give the value.
        variable: &'static str,
        /// The file.
        path: String,
    },
    /// A value is not an address.
    #[error("{variable}: `{value}` is not ADDRESS:PORT")]
    InvalidAddress {
        /// The variable, which stands for the key of the file as well.
        variable: &'static str,
        /// The value.
        value: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: `{0}` is not hex digits")]
    InvalidSeed(String),
    /// The settings of the deployment are invalid.
    #[error("{path}: settings: {error}")]
    InvalidSettings {
        /// The file.
        path: String,
        /// The first invalid setting.
        error: FieldError,
    },
}

/// The file.
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
    /// Reads the configuration from the file that `GW_CONFIG` names and from the variables that
    /// take precedence over it; `env` looks up a variable.
    ///
    /// # Errors
    /// [`ConfigError`] for the first fault that is found.
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
            sockets: file.limits.sockets.unwrap_or(DEFAULT_SOCKETS),
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

    /// Reads the file again. Its address of discovery now takes precedence over the variable, which
    /// is as old as the process and could name an address that nobody listens on any more.
    ///
    /// # Errors
    /// As for [`Config::read`].
    pub fn read_again(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let config = Config::read(&env);
        let without_discovery = |name: &str| env(name).filter(|_| name != DISCOVERY_VARIABLE);
        // Fails if the file gives no address of discovery: then the variable is all there is.
        Config::read(without_discovery).or(config)
    }

    /// The configuration in one line for the operator.
    #[must_use]
    pub fn summary(&self) -> String {
        let Config {
            name,
            listen,
            discovery,
            ops,
            sockets,
            deployment,
            ..
        } = self;
        let classes = deployment.classes.join(", ");
        let zone = &deployment.zones[deployment.settings.zone];
        let operators = ops.map_or("operators can't call".to_string(), |address| {
            format!("operators call {address}")
        });
        format!(
            "sound: {name} listens on {listen} in zone {zone} for {classes}; discovery is {discovery}; \
             {operators}; {sockets} descriptors"
        )
    }

    /// The paths of the values that differ in `new` and take effect only after a restart.
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

/// Parses up to 16 hex digits.
fn parse_seed(digits: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&digits, 16).map_err(|_| ConfigError::InvalidSeed(digits))
}

/// The settings of the deployment, from their nested form in the file.
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
