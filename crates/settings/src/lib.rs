//! Reads the settings of a deployment, given as pairs of path and value, into the decision module's
//! terms.
//!
//! The simulator's protocol and the client proxy's configuration file both end here, so that both
//! programs agree on every default and every range. Durations are integers in microseconds.
#![forbid(unsafe_code)]

mod error;
mod load_report;
mod module;
mod pairs;

use ironmast_balancer::{Micros, Settings};

pub use error::{FieldError, parse_finite, parse_number};
pub use load_report::{LoadReportColumns, parse_load_report};

use crate::pairs::Pairs;

/// The time-out of connecting, unless the deployment has another.
const CONNECT_TIMEOUT: Micros = 200_000;
/// The time after which servers close an idle connection, unless the deployment has another.
const KEEPALIVE: Micros = 60_000_000;

/// The settings of a deployment: those of the decision module, and the names that others use for
/// its ids.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, by [`ironmast_balancer::ClassId`].
    pub classes: Vec<String>,
    /// The names of the tenants, by [`ironmast_balancer::TenantId`].
    pub tenants: Vec<String>,
    /// The names of the zones, by [`ironmast_balancer::ZoneId`].
    pub zones: Vec<String>,
    /// The values in load reports.
    pub load_report: LoadReportColumns,
    /// The time-out of connecting to a server.
    pub connect_timeout: Micros,
    /// The time after which servers close an idle connection.
    pub keepalive: Micros,
}

impl DeploymentSettings {
    /// Reads the settings from pairs of path and value.
    ///
    /// # Errors
    /// [`FieldError`] for the first path whose value is missing or cannot be used.
    pub fn from_pairs<'a>(
        pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, FieldError> {
        let pairs = Pairs::new(pairs);
        Ok(Self {
            settings: module::settings(&pairs)?,
            classes: pairs.names("classes")?,
            tenants: pairs.names("tenants")?,
            zones: pairs.list("zones"),
            load_report: LoadReportColumns::new(pairs.list("load_report.names")),
            connect_timeout: pairs.value_or("limits.connect_timeout", CONNECT_TIMEOUT)?,
            keepalive: pairs.value_or("limits.keepalive", KEEPALIVE)?,
        })
    }
}
