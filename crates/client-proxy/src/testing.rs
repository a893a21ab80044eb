//! Fixtures of the unit tests.

use std::path::Path;

use ironmast_settings::DeploymentSettings;
use serde_json::Value;

use crate::config::deployment_settings;

/// A complete, valid configuration whose discovery address is `127.0.0.1:1`.
pub(crate) fn configuration() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-injection/src/proxy.json");
    let text = std::fs::read_to_string(path).expect("the template");
    serde_json::from_str(&text.replace("{discovery}", "127.0.0.1:1")).expect("JSON")
}

/// The deployment settings of [`configuration`].
pub(crate) fn deployment() -> DeploymentSettings {
    deployment_settings(&configuration()["settings"]).expect("valid settings")
}
