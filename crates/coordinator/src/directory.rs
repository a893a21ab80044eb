//! The directory: the configuration in force, and address resolution by it.

use ironmast_endpoints::GateView;
use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::ControlState;
use ironmast_schema::settings::TimingBounds;

use crate::contact::RequestPolicy;
use crate::outcome::{Resolution, ResolveError, ResolveOutcome};
use crate::resolve::{self, Query};
use crate::value::{ConfigurationDocument, ControlValue};

/// Upper limit of the time for which clients may cache addresses, in seconds: a lost gate may
/// still receive requests for this long.
const MAX_TTL_S: f64 = 1.0;

/// A configuration as the operator sent it and as parsed.
struct ParsedConfiguration {
    document: ConfigurationDocument,
    configuration: Configuration,
}

/// The configuration in force and the time for which resolved addresses are valid.
pub(crate) struct Directory {
    in_force: Option<ParsedConfiguration>,
    ttl_s: f64,
}

impl Directory {
    /// A directory without a configuration.
    pub(crate) fn new(bounds: &TimingBounds) -> Self {
        Directory {
            in_force: None,
            ttl_s: (bounds.ttl_max_s / 2.0).min(MAX_TTL_S),
        }
    }

    /// Puts the operator's state in force; returns it in the form that is published to gates. An
    /// unchanged configuration is not parsed again.
    pub(crate) fn apply(&mut self, value: &ControlValue) -> ControlState {
        let document = value.configuration.as_ref();
        if self.in_force.as_ref().map(|parsed| &parsed.document) != document {
            self.in_force = document.and_then(parse);
        }
        ControlState {
            configuration: self.configuration().cloned(),
            evacuated: value.evacuated.iter().cloned().collect(),
        }
    }

    /// The gates that a client may connect to.
    ///
    /// # Errors
    /// There is no such gate.
    pub(crate) fn resolve(
        &self,
        policy: RequestPolicy,
        gates: &[GateView<'_>],
        query: &Query,
    ) -> ResolveOutcome {
        let addresses = match policy {
            RequestPolicy::AllGates => resolve::addresses(gates, self.configuration(), query),
            _ => resolve::addresses_of_direct_gates(gates, self.configuration(), query),
        };
        if addresses.is_empty() {
            return Err(ResolveError::NoGate);
        }
        Ok(Resolution {
            addresses,
            ttl_s: self.ttl_s,
        })
    }

    fn configuration(&self) -> Option<&Configuration> {
        self.in_force.as_ref().map(|parsed| &parsed.configuration)
    }
}

/// Parses a document; `None` for one that is not valid in this version of the program.
fn parse(document: &ConfigurationDocument) -> Option<ParsedConfiguration> {
    let configuration = Configuration::parse(&document.body).ok()?;
    Some(ParsedConfiguration {
        document: document.clone(),
        configuration,
    })
}
