//! The form in which the register stores a configuration.

use serde::{Deserialize, Serialize};

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationDocument {
    /// Generation of the configuration; increases from one applied configuration to the next.
    pub generation: u64,
    /// The request body, byte for byte.
    pub body: Vec<u8>,
}
