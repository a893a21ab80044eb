//! What the program is told: the environment's `GW_*` and the JSON file they name. Settings are
//! flattened to the simulator's `path=value` form and read by its parser, so that both programs
//! agree on them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ironmast_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::Value;

/// All of it, checked.
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call, if they may.
    pub ops: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that may be held.
    pub sockets: usize,
    /// Memory that may be held, in MB.
    pub memory_mb: usize,
    /// Where datagrams arrive, if peers may talk.
    pub peer_listen: Option<SocketAddr>,
    /// Every proxy of the tier, by number.
    pub peers: Vec<SocketAddr>,
    /// Reaches them all.
    pub peers_all: Option<SocketAddr>,
    /// The list as last held, in discovery's form; may be old.
    pub known: Option<Value>,
    /// The settings.
    pub setup: DeploymentSettings,
    /// All that the file says of values that hold until a restart, flattened.
    written: BTreeMap<String, String>,
}

/// What the file may change without a restart, or what says nothing after the start.
const NO_RESTART: [&str; 3] = ["discovery", "known", "seed"];

/// What to do next where nothing is told.
const NO_CONFIG: &str = "GW_CONFIG is not set: set it to the path of the proxy's JSON file \
    (docs/operators/configuration.md), or see proxies at work: `cargo build --release && target/release/ironmast-testbed demo`";

/// The file as it is written.
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
    /// Reads the configuration from the environment and the file that `GW_CONFIG` names; `env` looks
    /// up a variable.
    ///
    /// # Errors
    /// One line that names the file, the field and the reason.
    pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = env("GW_CONFIG").ok_or(NO_CONFIG)?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let mut all: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
        let file = File::deserialize(&all).map_err(|e| format!("{path}: {e}"))?;
        let mut written = BTreeMap::new();
        if let Some(all) = all.as_object_mut() {
            all.retain(|key, _| !NO_RESTART.contains(&key.as_str()));
        }
        flatten("", &all, &mut written);
        let told = |name: &str, written: Option<String>| {
            env(name)
                .or(written)
                .ok_or_else(|| format!("{name} is not set and {path} does not tell it"))
        };
        let parse = |name: &str, value: String| {
            value
                .parse()
                .map_err(|_| format!("{name}: `{value}` is not ADDRESS:PORT"))
        };
        let address = |name: &str, written| parse(name, told(name, written)?);
        let ops = env("GW_OPS").or(file.ops);
        let seed = file.seed.unwrap_or_default();
        let mut pairs = BTreeMap::new();
        flatten("", &file.settings, &mut pairs);
        Ok(Config {
            name: told("GW_NAME", file.name)?,
            listen: address("GW_LISTEN", file.listen)?,
            discovery: address("GW_DISCOVERY", file.discovery)?,
            ops: ops.map(|value| parse("GW_OPS", value)).transpose()?,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("seed: `{seed}` is not hex digits"))?,
            sockets: file.limits.sockets.unwrap_or(1024),
            memory_mb: file.limits.memory_mb.unwrap_or(64),
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            setup: DeploymentSettings::from_pairs(
                pairs
                    .iter()
                    .map(|(path, value)| (path.as_str(), value.as_str())),
            )
            .map_err(|e| format!("{path}: settings: {e}"))?,
            written,
        })
    }

    /// What was read, in one line for the operator.
    #[must_use]
    pub fn summary(&self) -> String {
        let Config {
            name,
            listen,
            discovery,
            ops,
            sockets,
            setup,
            ..
        } = self;
        let (classes, zone) = (setup.classes.join(", "), &setup.zones[setup.settings.zone]);
        let operators = ops.map_or("operators can't call".to_string(), |at| {
            format!("operators call {at}")
        });
        format!(
            "sound: {name} listens on {listen} in zone {zone} for {classes}; discovery is {discovery}; \
             {operators}; {sockets} descriptors"
        )
    }

    /// Reads the file again. Its address of discovery now prevails over the environment: the variable
    /// is as old as the process, and could name an address that has closed.
    ///
    /// # Errors
    /// As for [`Config::read`].
    pub fn read_again(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let config = Config::read(&env);
        if let Ok(moved) = Config::read(|name| env(name).filter(|_| name != "GW_DISCOVERY")) {
            return Ok(moved);
        }
        config
    }

    /// The values that differ in `new` and hold only after a restart.
    #[must_use]
    pub fn need_restart(&self, new: &Config) -> Vec<String> {
        let both: BTreeSet<&String> = self.written.keys().chain(new.written.keys()).collect();
        let differ = both
            .into_iter()
            .filter(|key| self.written.get(*key) != new.written.get(*key));
        differ.cloned().collect()
    }
}

/// Writes nested JSON as the wire's pairs: lists of objects with a count, plain ones joined with
/// commas.
fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let at = |key: &str| {
        if path.is_empty() {
            key.to_string()
        } else {
            format!("{path}.{key}")
        }
    };
    let plain = |value: &Value| match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, value)| flatten(&at(key), value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(at("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, item)| flatten(&at(&i.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let joined: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path.to_string(), joined.join(","));
        }
        value => drop(pairs.insert(path.to_string(), plain(value))),
    }
}
