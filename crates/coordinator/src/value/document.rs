//! The configuration as the register stores it.

use serde::{Deserialize, Serialize};

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationDocument {
    /// Its generation; generations increase from one applied configuration to the next.
    pub generation: u64,
    /// The request body, byte for byte.
    pub body: Vec<u8>,
}
