//! A hosted instance of the decision module, with its tables of names.

use std::collections::BTreeMap;

use ironmast_balancer::{Balancer, ServerId, ZoneId};
use ironmast_settings::{DeploymentSettings, FieldError, LoadReportColumns};

use crate::fields::{Fields, invalid};

/// A hosted instance of the decision module, with the names that the simulator's lines use.
pub(crate) struct Instance {
    pub balancer: Balancer,
    /// The names of the servers that lists of this instance have contained.
    pub servers: BTreeMap<ServerId, String>,
    /// The names of the classes, by id.
    pub classes: Vec<String>,
    /// The names of the tenants, by id.
    pub tenants: Vec<String>,
    /// The names of the zones, by id.
    zones: Vec<String>,
    pub load_report_columns: LoadReportColumns,
}

impl Instance {
    /// Reads the rest of a `CREATE` line.
    pub(crate) fn create(fields: &mut Fields) -> Result<Self, FieldError> {
        let seed = fields.number("init_seed")?;
        let mut pairs = Vec::new();
        for pair in fields.rest().filter(|pair| !pair.is_empty()) {
            match pair.split_once('=') {
                Some(pair) => pairs.push(pair),
                None => {
                    return invalid(
                        "params",
                        format!("`{pair}` does not have the form path=value"),
                    );
                }
            }
        }
        let deployment = DeploymentSettings::from_pairs(pairs)?;
        let balancer = Balancer::new(deployment.settings, seed)
            .or_else(|error| invalid("params", error.to_string()))?;
        Ok(Self {
            balancer,
            servers: BTreeMap::new(),
            classes: deployment.classes,
            tenants: deployment.tenants,
            zones: deployment.zones,
            load_report_columns: deployment.load_report,
        })
    }

    /// Returns the id of a zone; an unknown name is assigned the next id.
    pub(crate) fn zone_id(&mut self, name: &str) -> ZoneId {
        if let Some(zone) = self.zones.iter().position(|zone| zone == name) {
            return zone;
        }
        self.zones.push(name.to_string());
        self.zones.len() - 1
    }
}
