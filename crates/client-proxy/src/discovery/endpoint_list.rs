//! The endpoint list in discovery's form, and its conversion into the decision module's terms.

use ironmast_admin::endpoint::{Endpoint, InvalidTarget, Target};
use ironmast_balancer::ZoneId;
use serde::Deserialize;
use serde_json::Value;
use slog::{Logger, warn};

/// A list in discovery's form, or changes to one.
#[derive(Deserialize)]
pub(super) struct EndpointList {
    /// The revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete; otherwise it has the changed entries only.
    #[serde(rename = "all")]
    pub is_complete: bool,
    /// The entries, each of which may be invalid by itself.
    targets: Vec<Value>,
}

/// Why an entry of a list is skipped.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error(transparent)]
    Invalid(#[from] InvalidTarget),
}

impl EndpointList {
    /// The entries in the decision module's terms; invalid ones are logged and skipped.
    pub(super) fn endpoints(&self, zones: &mut ZoneIds, log: &Logger) -> Vec<Endpoint> {
        self.targets
            .iter()
            .filter_map(|target| {
                read_entry(target, zones)
                    .inspect_err(|error| {
                        warn!(log, "invalid endpoint skipped"; "error" => %error);
                    })
                    .ok()
            })
            .collect()
    }
}

fn read_entry(entry: &Value, zones: &mut ZoneIds) -> Result<Endpoint, EntryError> {
    let target = Target::deserialize(entry)?;
    Ok(target.into_endpoint(|zone| zones.id(zone))?)
}

/// The ids of the zones: their positions in the settings.
pub(super) struct ZoneIds {
    names: Vec<String>,
}

impl ZoneIds {
    /// The zones of the settings.
    pub(super) fn new(names: Vec<String>) -> Self {
        ZoneIds { names }
    }

    /// The id of a zone. One that is not in the settings gets the next id.
    fn id(&mut self, name: &str) -> ZoneId {
        let known = self.names.iter().position(|known| known == name);
        known.unwrap_or_else(|| {
            self.names.push(name.to_string());
            self.names.len() - 1
        })
    }
}
