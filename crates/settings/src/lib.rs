//! Parses the settings of a deployment, given as pairs of path and value, into the types of the
//! decision module ([`ironmast_balancer`]).
//!
//! The simulator adapter and the client proxy both read their settings through this crate, so that
//! they agree on every default and every check. Durations are integers in microseconds. The names
//! of classes, tenants and zones are kept beside the ids that the decision module uses.
//!
//! `pairs` looks up values by path and parses them by type, `module` reads the settings of the
//! decision module, `load_report` parses the load reports of servers, and `error` holds the error
//! of an invalid value.
#![forbid(unsafe_code)]

mod error;
mod load_report;
mod module;
mod pairs;

use ironmast_balancer::{Micros, Settings};

pub use error::{FieldError, parse_finite, parse_number};
pub use load_report::{LoadReportColumns, parse_load_report};

use crate::pairs::Pairs;

/// The default of `limits.connect_timeout`: the time-out of connecting to a server, in µs.
const DEFAULT_CONNECT_TIMEOUT: Micros = 200_000;
/// The default of `limits.keepalive`: the time after which servers close an idle connection, in µs.
const DEFAULT_KEEPALIVE: Micros = 60_000_000;

/// The settings of a deployment: those of the decision module, the names behind its ids, and the
/// time-outs of connections.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the request classes, indexed by [`ironmast_balancer::ClassId`].
    pub classes: Vec<String>,
    /// The names of the tenants, indexed by [`ironmast_balancer::TenantId`].
    pub tenants: Vec<String>,
    /// The names of the zones, indexed by [`ironmast_balancer::ZoneId`].
    pub zones: Vec<String>,
    /// The columns of the simulator's load reports.
    pub load_report: LoadReportColumns,
    /// The time-out of connecting to a server, in µs.
    pub connect_timeout: Micros,
    /// The time after which servers close an idle connection, in µs.
    pub keepalive: Micros,
}

impl DeploymentSettings {
    /// Parses the settings from pairs of path and value. Unknown paths are ignored; of two values
    /// for one path the last counts.
    ///
    /// # Errors
    /// [`FieldError`] for the first path whose required value is missing or whose value is invalid.
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
            connect_timeout: pairs.value_or("limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT)?,
            keepalive: pairs.value_or("limits.keepalive", DEFAULT_KEEPALIVE)?,
        })
    }
}
