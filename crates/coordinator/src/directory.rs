//! The directory: the configuration in force, and address resolution by it.
//!
//! The register stores the configuration as the operator sent it. While several versions of the
//! program run, the newest one may be of a schema that this version cannot parse; it then stays out
//! of force here, and the last one that could be parsed is used.

use ironmast_endpoints::GateView;
use ironmast_schema::configuration::{Configuration, ConfigurationError};
use ironmast_schema::control::ControlState;
use ironmast_schema::settings::TimingBounds;

use crate::contact::RequestPolicy;
use crate::outcome::{Resolution, ResolveError, ResolveOutcome};
use crate::resolve::{self, Query};
use crate::value::{ConfigurationDocument, ControlValue};

/// Upper limit of the time for which clients may cache addresses, in seconds: a lost gate may
/// still receive requests for this long.
const MAX_TTL_S: f64 = 1.0;

/// Parses and validates a configuration; [`Configuration::parse`] is that of this version of the
/// schema.
pub type ConfigurationParser = fn(&[u8]) -> Result<Configuration, ConfigurationError>;

/// The newest configuration is of a schema that this version of the program cannot parse.
#[derive(Debug, thiserror::Error)]
#[error("generation {generation}: {source}")]
pub(crate) struct UnreadableConfiguration {
    /// Generation of the configuration.
    pub generation: u64,
    /// Why it cannot be parsed; names the field.
    pub source: ConfigurationError,
}

/// The newest document of the register, as far as this version of the program can read it.
enum NewestDocument {
    /// There is none.
    Missing,
    /// It is the one in force.
    InForce(ConfigurationDocument),
    /// It cannot be parsed.
    Unreadable(ConfigurationDocument),
}

impl NewestDocument {
    fn document(&self) -> Option<&ConfigurationDocument> {
        match self {
            NewestDocument::Missing => None,
            NewestDocument::InForce(document) | NewestDocument::Unreadable(document) => {
                Some(document)
            }
        }
    }
}

/// The configuration in force and the time for which resolved addresses are valid.
pub(crate) struct Directory {
    parse: ConfigurationParser,
    newest: NewestDocument,
    /// The last configuration that could be parsed.
    in_force: Option<Configuration>,
    ttl_s: f64,
}

impl Directory {
    /// A directory without a configuration.
    pub(crate) fn new(bounds: &TimingBounds, parse: ConfigurationParser) -> Self {
        Directory {
            parse,
            newest: NewestDocument::Missing,
            in_force: None,
            ttl_s: (bounds.ttl_max_s / 2.0).min(MAX_TTL_S),
        }
    }

    /// Puts the operator's state in force. An unchanged configuration is not parsed again.
    ///
    /// # Errors
    /// The configuration has changed and cannot be parsed; the last one that could stays in force.
    pub(crate) fn apply(&mut self, value: &ControlValue) -> Result<(), UnreadableConfiguration> {
        let document = value.configuration.as_ref();
        if self.newest.document() == document {
            return Ok(());
        }
        let Some(document) = document.cloned() else {
            self.newest = NewestDocument::Missing;
            self.in_force = None;
            return Ok(());
        };
        match (self.parse)(&document.body) {
            Ok(configuration) => {
                self.in_force = Some(configuration);
                self.newest = NewestDocument::InForce(document);
                Ok(())
            }
            Err(source) => {
                let generation = document.generation;
                self.newest = NewestDocument::Unreadable(document);
                Err(UnreadableConfiguration { generation, source })
            }
        }
    }

    /// The state that is published to gates; `None` while the newest configuration cannot be parsed,
    /// since gates would take an older one for the newest.
    pub(crate) fn published_state(&self, value: &ControlValue) -> Option<ControlState> {
        if self.unreadable_generation().is_some() {
            return None;
        }
        Some(ControlState {
            configuration: self.in_force.clone(),
            evacuated: value.evacuated.iter().cloned().collect(),
        })
    }

    /// Generation of the newest configuration, if it cannot be parsed.
    pub(crate) fn unreadable_generation(&self) -> Option<u64> {
        match &self.newest {
            NewestDocument::Unreadable(document) => Some(document.generation),
            NewestDocument::Missing | NewestDocument::InForce(_) => None,
        }
    }

    /// The gates that a client may connect to.
    ///
    /// # Errors
    /// There is no such gate, or there is no configuration that could be parsed.
    pub(crate) fn resolve(
        &self,
        policy: RequestPolicy,
        gates: &[GateView<'_>],
        query: &Query,
    ) -> ResolveOutcome {
        let configuration = self.in_force.as_ref();
        if configuration.is_none() && self.unreadable_generation().is_some() {
            return Err(ResolveError::UnreadableConfiguration);
        }
        let addresses = match policy {
            RequestPolicy::AllGates => resolve::addresses(gates, configuration, query),
            _ => resolve::addresses_of_direct_gates(gates, configuration, query),
        };
        if addresses.is_empty() {
            return Err(ResolveError::NoGate);
        }
        Ok(Resolution {
            addresses,
            ttl_s: self.ttl_s,
        })
    }
}
