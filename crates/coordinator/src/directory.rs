//! The directory: the configuration in force, and address resolution based on it.
//!
//! The register stores each configuration as the operator sent it. While several versions of the
//! program run, the newest configuration may use a schema that this version cannot parse; the last
//! one that could be parsed then stays in force here.

use ironmast_endpoints::GateView;
use ironmast_schema::configuration::{Configuration, ConfigurationError};
use ironmast_schema::control::ControlState;
use ironmast_schema::settings::TimingBounds;

use crate::contact::RequestPolicy;
use crate::outcome::{Resolution, ResolveError, ResolveOutcome};
use crate::resolve::{self, Query};
use crate::value::{ConfigurationDocument, ControlValue};

/// Maximum time for which clients may cache addresses, in seconds. A lost gate may still receive
/// requests for this long.
const MAX_TTL_S: f64 = 1.0;

/// Parses and validates a configuration; [`Configuration::parse`] does so for this version of the
/// schema.
pub type ConfigurationParser = fn(&[u8]) -> Result<Configuration, ConfigurationError>;

/// Error: this version of the program cannot parse the newest configuration, which uses another
/// schema.
#[derive(Debug, thiserror::Error)]
#[error("generation {generation}: {source}")]
pub(crate) struct UnreadableConfiguration {
    /// Generation of the configuration that cannot be parsed.
    pub generation: u64,
    /// The parse error; names the field.
    pub source: ConfigurationError,
}

/// The newest configuration in the register, and whether this version of the program can parse it.
enum NewestDocument {
    /// The register holds no configuration.
    Missing,
    /// The newest configuration could be parsed and is in force.
    InForce(ConfigurationDocument),
    /// The newest configuration cannot be parsed.
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
    /// The last configuration that could be parsed; it stays in force while the newest one
    /// cannot.
    in_force: Option<Configuration>,
    ttl_s: f64,
}

impl Directory {
    /// Creates a directory without a configuration.
    pub(crate) fn new(bounds: &TimingBounds, parse: ConfigurationParser) -> Self {
        Directory {
            parse,
            newest: NewestDocument::Missing,
            in_force: None,
            ttl_s: (bounds.ttl_max_s / 2.0).min(MAX_TTL_S),
        }
    }

    /// Puts the configuration of a control value in force. An unchanged configuration is not parsed
    /// again.
    ///
    /// # Errors
    /// Fails if the configuration has changed and cannot be parsed; the last one that could be
    /// parsed stays in force.
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

    /// The control state to publish to gates; `None` while the newest configuration cannot be
    /// parsed, because gates would treat an older one as the newest.
    pub(crate) fn published_state(&self, value: &ControlValue) -> Option<ControlState> {
        if self.unreadable_generation().is_some() {
            return None;
        }
        Some(ControlState {
            configuration: self.in_force.clone(),
            evacuated: value.evacuated.iter().cloned().collect(),
        })
    }

    /// Generation of the newest configuration if it cannot be parsed, otherwise `None`.
    pub(crate) fn unreadable_generation(&self) -> Option<u64> {
        match &self.newest {
            NewestDocument::Unreadable(document) => Some(document.generation),
            NewestDocument::Missing | NewestDocument::InForce(_) => None,
        }
    }

    /// Resolves a query to the addresses of the gates that the client may connect to.
    ///
    /// # Errors
    /// Fails if there is no such gate, or if the register holds a configuration but none could be
    /// parsed.
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
