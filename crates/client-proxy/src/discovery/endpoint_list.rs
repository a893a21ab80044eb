//! Parses discovery's endpoint list and converts it into the decision module's endpoints.

use ironmast_admin::endpoint::{Endpoint, InvalidTarget, Target};
use ironmast_balancer::ZoneId;
use serde::Deserialize;
use serde_json::Value;
use slog::{Logger, warn};

/// An endpoint list of discovery, or changes to one, as sent in JSON.
#[derive(Deserialize)]
pub(super) struct EndpointList {
    /// The revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete; otherwise it holds only the changed entries.
    #[serde(rename = "all")]
    pub is_complete: bool,
    /// The entries, parsed one by one so that an invalid one does not invalidate the list.
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
    /// Converts the entries into the decision module's endpoints; invalid ones are logged and
    /// skipped.
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

/// Assigns ids to zone names: their positions in the settings, then the next free ones.
pub(super) struct ZoneIds {
    names: Vec<String>,
}

impl ZoneIds {
    /// Starts with the zones of the settings, in their order.
    pub(super) fn new(names: Vec<String>) -> Self {
        ZoneIds { names }
    }

    /// Returns the id of a zone; a zone that is not in the settings gets the next free id.
    fn id(&mut self, name: &str) -> ZoneId {
        let known = self.names.iter().position(|known| known == name);
        known.unwrap_or_else(|| {
            self.names.push(name.to_string());
            self.names.len() - 1
        })
    }
}
