//! Tests of `config.rs`.

use std::fs;
use std::path::Path;

use serde_json::json;
use tempfile::TempDir;

use super::*;
use crate::testing::configuration;

/// A configuration file in a temporary folder, and the environment variables of the process.
struct Environment {
    folder: TempDir,
    variables: BTreeMap<&'static str, String>,
}

impl Environment {
    fn new(file: &Value) -> Self {
        let environment = Environment {
            folder: tempfile::tempdir().expect("a folder"),
            variables: BTreeMap::new(),
        };
        environment.write(&file.to_string());
        environment
    }

    fn path(&self) -> String {
        let path: &Path = self.folder.path();
        path.join("config.json").display().to_string()
    }

    fn write(&self, text: &str) {
        fs::write(self.path(), text).expect("written");
    }

    fn variable(&self, name: &str) -> Option<String> {
        if name == "GW_CONFIG" {
            return Some(self.path());
        }
        self.variables.get(name).cloned()
    }

    fn read(&self) -> Result<Config, ConfigError> {
        Config::read(|name| self.variable(name))
    }

    fn error(&self) -> String {
        self.read().err().expect("invalid").to_string()
    }
}

fn configuration_with(key: &str, value: Value) -> Value {
    let mut file = configuration();
    file[key] = value;
    file
}

#[test]
fn a_complete_file_is_read_with_its_defaults() {
    let mut file = configuration();
    file["limits"] = json!({});
    let config = Environment::new(&file).read().expect("valid");
    assert_eq!(config.name, "n1");
    assert_eq!(config.listen.to_string(), "127.0.0.1:0");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:1");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.max_descriptors, config.memory_mb), (1024, 64));
    assert_eq!(
        config.deployment.classes,
        ["timesheet-post", "deposit-order", "balance"]
    );
}

#[test]
fn each_cause_of_an_invalid_configuration_is_one_line_with_its_place() {
    let unset = Config::read(|_| None).err().expect("no file").to_string();
    assert!(unset.starts_with("GW_CONFIG is not set: "), "{unset}");

    let environment = Environment::new(&configuration());
    let path = environment.path();
    environment.write("{");
    assert!(environment.error().starts_with(&format!("{path}: EOF")));
    fs::remove_file(&path).expect("removed");
    assert!(environment.error().starts_with(&format!("{path}: No such")));

    for (key, value, expected) in [
        (
            "name",
            json!(null),
            "GW_NAME is not set, and PATH has no value for it",
        ),
        (
            "listen",
            json!("here"),
            "GW_LISTEN: `here` is not ADDRESS:PORT",
        ),
        ("ops", json!("here"), "GW_OPS: `here` is not ADDRESS:PORT"),
        ("seed", json!("xyz"), "seed: `xyz` is not hex digits"),
        ("settings", json!({}), "PATH: settings: "),
        (
            "peers",
            json!(["here"]),
            "PATH: invalid socket address syntax",
        ),
    ] {
        let environment = Environment::new(&configuration_with(key, value));
        let expected = expected.replace("PATH", &environment.path());
        let error = environment.error();
        assert!(error.starts_with(&expected), "{key}: {error}");
        assert!(!error.contains('\n'), "{key}: {error}");
    }
}

#[test]
fn variables_override_the_file_except_its_discovery_address_after_a_reload() {
    let mut environment = Environment::new(&configuration());
    let variable = "127.0.0.1:2".to_string();
    environment.variables.insert("GW_DISCOVERY", variable);
    let discovery = |config: Result<Config, ConfigError>| {
        let config = config.expect("valid");
        config.discovery.to_string()
    };
    let read_again = |environment: &Environment| {
        discovery(Config::read_again(|name| environment.variable(name)))
    };
    assert_eq!(discovery(environment.read()), "127.0.0.1:2");
    assert_eq!(read_again(&environment), "127.0.0.1:1");
    environment.write(&configuration_with("discovery", json!(null)).to_string());
    assert_eq!(
        read_again(&environment),
        "127.0.0.1:2",
        "the variable is the only source"
    );
}

#[test]
fn all_changes_but_those_of_discovery_known_and_seed_need_a_restart() {
    let old = Environment::new(&configuration()).read().expect("valid");
    let mut file = configuration();
    file["discovery"] = json!("127.0.0.1:3");
    file["known"] = json!({"rev": 1});
    file["seed"] = json!("1");
    let new = Environment::new(&file).read().expect("valid");
    assert!(old.changes_needing_restart(&new).is_empty());

    file["name"] = json!("n2");
    file["settings"]["classes"][1]["worth"] = json!(6.0);
    file["settings"]["zones"] = json!(["seattle", "portland", "boise"]);
    let new = Environment::new(&file).read().expect("valid");
    assert_eq!(
        old.changes_needing_restart(&new),
        ["name", "settings.classes.1.worth", "settings.zones"]
    );
}

#[test]
fn nested_json_becomes_pairs_of_path_and_value() {
    let json = json!({
        "text": "a b,c",
        "nothing": null,
        "list": [1, "x y"],
        "objects": [{"on": true}, {"on": false}],
    });
    let mut pairs = BTreeMap::new();
    flatten("", &json, &mut pairs);
    let pairs: Vec<(&str, &str)> = pairs
        .iter()
        .map(|(path, value)| (path.as_str(), value.as_str()))
        .collect();
    assert_eq!(
        pairs,
        [
            ("list", "1,x_y"),
            ("nothing", ""),
            ("objects.0.on", "true"),
            ("objects.1.on", "false"),
            ("objects.count", "2"),
            ("text", "a_b_c"),
        ]
    );
}
